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
 * Thirty senders restarted at one moment, each with a journal that is full to its bound, three hundred endpoints on the
 * list, and an agent that answers, is silent or is slow. What stands between the start and being ready is counted, not
 * timed: one question to the agent, which has a limit of half a second. Nothing else can be waited for, since it never
 * comes: no endpoint's connection comes up, and no notice that is owed is heard.
 */
class RestartTest {
    private static final int EACH = 10;
    private static final int ENDPOINTS = 300;

    /** How the agent answers. */
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

    /** One sender, and whether it was ready each time that its agent was asked. */
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

        /** Until the journal takes no more: untried, tried, and ended by a notice that was not heard. */
        private int fill() throws IOException {
            try (Journal journal = world.openJournal()) {
                for (int i = 0; i < ENDPOINTS; i += 10) {
                    journal.health("s-" + i, Journal.Health.since(0, Relay.EndpointState.DOWN, 0.001,
                            MachineClock.system()));
                }
                for (int i = 0;; i++) {
                    AcceptedMessage message = AcceptedMessage.withTimeLeft(journal.nextNumber(), "old-" + i,
                            i % 2 == 0 ? "order" : "once",
                            "", Optional.of("key-" + i), i % ENDPOINTS, 20_000, new byte[200], MachineClock.system());
                    try {
                        journal.taken(message);
                    } catch (IOException full) {
                        return i;
                    }
                    if (i % 3 == 1) {
                        journal.attempt(message,
                                AcceptedMessage.Attempt.sentAgo("s-" + i % ENDPOINTS, 0, MachineClock.system()));
                    } else if (i % 3 == 2) {
                        journal.owed(message, new AcceptedMessage.Notice(true, 0));
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
                StubServer.await("it is ready without the end of the list", () -> health() == 200);
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
        StubServer.await("all are ready", () -> {
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
            StubServer.await("the next question", () -> !each.healthAtLaterQuestions.isEmpty());
            assertEquals(200, each.healthAtLaterQuestions.get(0), each.mode + ": ready before it asks again");
        }
    }
}
