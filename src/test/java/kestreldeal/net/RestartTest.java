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
    private static final int EACH = 10;
    private static final int ENDPOINTS = 300;

    private enum Mode {
        ANSWERING, SILENT, SLOW
    }

    @TempDir
    private Path folder;
    private StubServer endpoint;
    private final List<Restarted> all = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        endpoint = StubServer.withFullAcceptQueue(StubServer.silent());
    }

    @AfterEach
    void close() throws Exception {
        for (Restarted each : all) {
            each.close();
        }
        endpoint.close();
    }

    /** One sender with its agent, and the sender's health at each request to the agent after the first. */
    private final class Restarted {
        final Mode mode;
        final SenderTestEnvironment world;
        final int held;
        final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
        final AtomicInteger questions = new AtomicInteger();
        final List<Integer> healthAtLaterQuestions = new CopyOnWriteArrayList<>();
        private Sender sender;

        Restarted(Mode mode, int number) throws Exception {
            this.mode = mode;
            world = new SenderTestEnvironment(folder.resolve(mode + "-" + number), endpoint);
            world.endpointCount = ENDPOINTS;
            world.agent.setScript(this::agent);
            held = fill();
        }

        /** Fills the journal with messages that are untried, attempted, or ended by an unconfirmed notice. */
        private int fill() throws IOException {
            try (Journal journal = world.openJournal()) {
                for (int i = 0; i < ENDPOINTS; i += 10) {
                    journal.recordEndpointHealth("s-" + i,
                            Journal.RecordedHealth.ofAge(0, Relay.EndpointState.DOWN, 0.001, MachineClock.system()));
                }
                for (int i = 0;; i++) {
                    AcceptedMessage message = AcceptedMessage.withTimeLeft(journal.nextNumber(), "old-" + i,
                            i % 2 == 0 ? "order" : "once",
                            "", Optional.of("key-" + i), i % ENDPOINTS, 20_000, new byte[200], MachineClock.system());
                    try {
                        journal.recordAccepted(message);
                    } catch (IOException full) {
                        return i;
                    }
                    if (i % 3 == 1) {
                        journal.recordAttempt(message,
                                AcceptedMessage.Attempt.sentAgo("s-" + i % ENDPOINTS, 0, MachineClock.system()));
                    } else if (i % 3 == 2) {
                        journal.recordNotice(message, new AcceptedMessage.Notice(true, 0));
                    }
                }
            }
        }

        private void agent(StubServer.Message request, Socket socket) throws Exception {
            if (request.line().startsWith("POST")) {
                return;
            }
            if (questions.incrementAndGet() > 1) {
                healthAtLaterQuestions.add(health());
                return;
            }
            if (mode == Mode.ANSWERING) {
                world.answerAsAgent(request, socket);
            } else if (mode == Mode.SLOW) {
                String list = world.endpointListJson();
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
                sender = world.createSender();
                address.complete(sender.start());
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        }

        void close() throws Exception {
            if (sender != null) {
                sender.kill();
            }
            world.close();
        }
    }

    @Test
    void nothingButOneQuestionToTheAgentIsWaitedFor() throws Exception {
        for (int i = 0; i < EACH; i++) {
            for (Mode mode : Mode.values()) {
                all.add(new Restarted(mode, i));
            }
        }
        long begun = System.nanoTime();
        all.forEach(each -> new Thread(each::start).start());
        List<Restarted> waiting = new ArrayList<>(all);
        List<String> times = new ArrayList<>();
        StubServer.await("all senders are ready", () -> {
            waiting.removeIf(each -> {
                boolean ready = each.address.isDone() && each.health() == 200;
                if (ready) {
                    times.add(each.mode + " " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
                }
                return ready;
            });
            return waiting.isEmpty();
        });
        System.out.println("thirty restarts with " + all.get(0).held + " messages in each journal, ready after (ms): "
                + times);
        for (Restarted each : all) {
            assertTrue(each.held > 500, each.held + " messages");
            StubServer.await("the next request to the agent", () -> !each.healthAtLaterQuestions.isEmpty());
            assertEquals(200, each.healthAtLaterQuestions.get(0),
                    each.mode + ": the sender is ready before its next request");
        }
    }
}
