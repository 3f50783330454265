package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import kestreldeal.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Restarts thirty senders at the same time, each with a full journal, three hundred listed endpoints, and an agent
 * that answers, is silent or is slow. Guards against a sender that waits for anything but one request to the agent,
 * with its timeout of half a second, before it is ready. The test counts requests and measures no time. Waiting for
 * anything else would never end: no connection to an endpoint is established, and no pending notice is confirmed.
 */
class RestartTest {
    private static final int SENDERS_PER_MODE = 10;
    private static final int ENDPOINTS = 300;

    private enum AgentMode {
        ANSWERING, SILENT, SLOW
    }

    @TempDir
    private Path folder;
    private StubServer endpoint;
    private final List<RestartedSender> senders = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        endpoint = StubServer.withFullAcceptQueue(StubServer.silent());
    }

    @AfterEach
    void close() throws Exception {
        for (RestartedSender sender : senders) {
            sender.close();
        }
        endpoint.close();
    }

    /** One sender with its agent, and the sender's health at each request to the agent after the first. */
    private final class RestartedSender {
        final AgentMode mode;
        final SenderTestEnvironment environment;
        final int messageCount;
        final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
        final AtomicInteger agentRequests = new AtomicInteger();
        final List<Integer> healthAtLaterRequests = new CopyOnWriteArrayList<>();
        private Sender sender;

        RestartedSender(AgentMode mode, int number) throws Exception {
            this.mode = mode;
            environment = new SenderTestEnvironment(folder.resolve(mode + "-" + number), endpoint);
            environment.endpointCount = ENDPOINTS;
            environment.agent.setScript(this::answerAsAgent);
            messageCount = fillJournal();
        }

        /** Fills the journal with messages that are untried, attempted, or ended by an unconfirmed notice. */
        private int fillJournal() throws IOException {
            try (Journal journal = environment.openJournal()) {
                for (int i = 0; i < ENDPOINTS; i += 10) {
                    journal.recordEndpointHealth("s-" + i,
                            Journal.RecordedHealth.ofAge(0, Relay.EndpointState.DOWN, 0.001, MachineClock.system()));
                }
                for (int i = 0;; i++) {
                    AcceptedMessage message = AcceptedMessage.withTimeLeft(journal.assignNumber(), "old-" + i,
                            i % 2 == 0 ? "order" : "once",
                            "", Optional.of("key-" + i), i % ENDPOINTS, 20_000, new byte[200], MachineClock.system());
                    try {
                        journal.recordAccepted(message);
                    } catch (IOException full) {
                        return i;
                    }
                    if (i % 3 == 1) {
                        journal.recordAttempt(message,
                                AcceptedMessage.Attempt.startedAgo("s-" + i % ENDPOINTS, 0, MachineClock.system()));
                    } else if (i % 3 == 2) {
                        journal.recordNotice(message, new AcceptedMessage.Notice(true, 0));
                    }
                }
            }
        }

        private void answerAsAgent(StubServer.Message request, Socket socket) throws Exception {
            if (request.line().startsWith("POST")) {
                return;
            }
            if (agentRequests.incrementAndGet() > 1) {
                healthAtLaterRequests.add(health());
                return;
            }
            if (mode == AgentMode.ANSWERING) {
                environment.answerAsAgent(request, socket);
            } else if (mode == AgentMode.SLOW) {
                String list = environment.endpointListJson();
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n"
                        + list.substring(0, list.length() - 1));
                StubServer.await("the sender is ready before the list is complete", () -> health() == 200);
            }
        }

        private int health() {
            return SenderTestEnvironment.requestStatus(address.join(), SenderTestEnvironment.HEALTH);
        }

        void start() {
            try {
                sender = environment.createSender();
                address.complete(sender.startAndAwaitListening());
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        }

        void close() throws Exception {
            if (sender != null) {
                sender.kill();
            }
            environment.close();
        }
    }

    @Test
    void senderWaitsForNothingButOneRequestToItsAgent() throws Exception {
        for (int i = 0; i < SENDERS_PER_MODE; i++) {
            for (AgentMode mode : AgentMode.values()) {
                senders.add(new RestartedSender(mode, i));
            }
        }
        long startNanos = System.nanoTime();
        senders.forEach(restarted -> new Thread(restarted::start).start());
        List<RestartedSender> waiting = new ArrayList<>(senders);
        List<String> readyTimes = new ArrayList<>();
        StubServer.await("all senders are ready", () -> {
            waiting.removeIf(restarted -> {
                boolean ready = restarted.address.isDone() && restarted.health() == 200;
                if (ready) {
                    readyTimes.add(
                            restarted.mode + " " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                }
                return ready;
            });
            return waiting.isEmpty();
        });
        System.out.println("thirty restarts with " + senders.get(0).messageCount
                + " messages in each journal, ready after (ms): " + readyTimes);
        for (RestartedSender restarted : senders) {
            assertTrue(restarted.messageCount > 500, restarted.messageCount + " messages");
            StubServer.await("the next request to the agent", () -> !restarted.healthAtLaterRequests.isEmpty());
            assertEquals(200, restarted.healthAtLaterRequests.get(0),
                    restarted.mode + ": the sender is ready before its next request");
        }
    }
}
