package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A keyed message with an attempt that may have run before the previous process ended. The destination drops repeats of
 * a key only within a window, so a repeat that is written after the window could take effect a second time.
 */
class RepeatWindowTest {
    private static final int WINDOW_MS = 1000;

    @TempDir
    private Path folder;
    private StubServer endpoint;
    private SenderTestEnvironment world;
    private Sender sender;

    private void open(StubServer at) throws Exception {
        endpoint = at;
        world = new SenderTestEnvironment(folder, at);
        world.windowMs = WINDOW_MS;
        world.agent.setScript(this::agent);
    }

    /** Answers no notice, so that the journal keeps the message. */
    private void agent(StubServer.Message request, Socket socket) throws IOException {
        if (request.line().startsWith("POST")) {
            world.notices.add(request.body());
        } else {
            world.answerAsAgent(request, socket);
        }
    }

    @AfterEach
    void close() throws Exception {
        if (sender != null) {
            sender.kill();
        }
        world.close();
        endpoint.close();
    }

    /** Writes a journal with a message that has one unfinished attempt; returns its wall-clock time. */
    private long leave(long agoMs) throws Exception {
        try (Journal journal = world.openJournal()) {
            long wall = System.currentTimeMillis();
            AcceptedMessage held = AcceptedMessage.withTimeLeft(journal.nextNumber(), "old", "order", "",
                    Optional.of("key-old"), 0, 20_000, new byte[0], MachineClock.system());
            journal.recordAccepted(held);
            journal.recordAttempt(held, AcceptedMessage.Attempt.sentAgo("s-0", agoMs, MachineClock.system()));
            return wall - agoMs;
        }
    }

    private void start() throws Exception {
        sender = world.createSender();
        sender.start();
    }

    /** Waits for the notice of a message that has this number of attempts, none of them written by this process. */
    private void awaitRefused(int attempts) throws Exception {
        StubServer.await("the notice", () -> !world.notices.isEmpty());
        assertTrue(world.notices.get(0).contains("bounced"), world.notices.toString());
        assertEquals(List.of(attempts), world.journalMessages().stream().map(held -> held.attempts.size()).toList());
        assertEquals(List.of(), endpoint.requests);
    }

    @Test
    void itIsRepeatedInsideTheWindow() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        world.windowMs = 20_000;
        leave(100);
        start();
        StubServer.await("the repeat", () -> endpoint.requests.size() == 1);
        assertEquals("old", endpoint.requests.get(0).header("X-Call-Id"));
    }

    @Test
    void itIsNotRepeatedPastTheWindow() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        leave(WINDOW_MS + 1);
        start();
        awaitRefused(1);
    }

    /** The agent answers only after the window has passed, and without a list nothing can be sent before that. */
    @Test
    void itIsNotRepeatedWhereTheRestartTakesLongerThanTheWindow() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        world.listInConfig = false;
        long sentAt = leave(0);
        world.agent.setScript((request, socket) -> {
            StubServer.await("the window's end", () -> System.currentTimeMillis() > sentAt + WINDOW_MS);
            world.agent.setScript(this::agent);
            socket.close();
        });
        start();
        awaitRefused(1);
    }

    /** The repeat is decided on within the window, but its connection is established only after the window. */
    @Test
    void itIsNotWrittenLate() throws Exception {
        open(StubServer.withFullAcceptQueue(StubServer.status(200, "")));
        world.dialTimeoutMs = 20_000;
        world.windowMs = 2 * WINDOW_MS;
        long sentAt = leave(0);
        start();
        StubServer.await("the repeat is decided on",
                () -> world.journalMessages().stream().anyMatch(held -> held.attempts.size() == 2));
        StubServer.await("the window's end", () -> System.currentTimeMillis() > sentAt + 2 * WINDOW_MS);
        endpoint.startAccepting();
        awaitRefused(2);
    }

    /** The attempt seems to have been made in the future, so its age counts as unknown. */
    @Test
    void itIsNotRepeatedWhereTheWallClockWasSetBack() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        world.windowMs = 20_000;
        leave(-5000);
        start();
        awaitRefused(1);
    }
}
