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
    private SenderTestEnvironment environment;
    private Sender sender;

    private void open(StubServer server) throws Exception {
        endpoint = server;
        environment = new SenderTestEnvironment(folder, server);
        environment.windowMs = WINDOW_MS;
        environment.agent.setScript(this::answerAsAgent);
    }

    /** Answers no notice, so that the journal keeps the message. */
    private void answerAsAgent(StubServer.Message request, Socket socket) throws IOException {
        if (request.line().startsWith("POST")) {
            environment.notices.add(request.body());
        } else {
            environment.answerAsAgent(request, socket);
        }
    }

    @AfterEach
    void close() throws Exception {
        if (sender != null) {
            sender.kill();
        }
        environment.close();
        endpoint.close();
    }

    /** Writes a journal with a message that has one unfinished attempt; returns its wall-clock time. */
    private long writeJournal(long attemptAgeMs) throws Exception {
        try (Journal journal = environment.openJournal()) {
            long wallMillis = System.currentTimeMillis();
            AcceptedMessage message = AcceptedMessage.withTimeLeft(journal.assignNumber(), "old", "order", "",
                    Optional.of("key-old"), 0, 20_000, new byte[0], MachineClock.system());
            journal.recordAccepted(message);
            journal.recordAttempt(message,
                    AcceptedMessage.Attempt.startedAgo("s-0", attemptAgeMs, MachineClock.system()));
            return wallMillis - attemptAgeMs;
        }
    }

    private void start() throws Exception {
        sender = environment.createSender();
        sender.startAndAwaitListening();
    }

    /** Waits for the notice of a message that has this number of attempts, none of them written by this process. */
    private void awaitRejected(int attempts) throws Exception {
        StubServer.await("the notice", () -> !environment.notices.isEmpty());
        assertTrue(environment.notices.get(0).contains("bounced"), environment.notices.toString());
        assertEquals(List.of(attempts),
                environment.journalMessages().stream().map(message -> message.attempts.size()).toList());
        assertEquals(List.of(), endpoint.requests);
    }

    @Test
    void attemptIsRepeatedWithinTheWindow() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        environment.windowMs = 20_000;
        writeJournal(100);
        start();
        StubServer.await("the repeat", () -> endpoint.requests.size() == 1);
        assertEquals("old", endpoint.requests.get(0).header("X-Call-Id"));
    }

    @Test
    void attemptIsNotRepeatedAfterTheWindow() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        writeJournal(WINDOW_MS + 1);
        start();
        awaitRejected(1);
    }

    /** The agent answers only after the window has passed, and without a list nothing can be sent before that. */
    @Test
    void attemptIsNotRepeatedIfTheRestartOutlastsTheWindow() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        environment.listInConfig = false;
        long sentAt = writeJournal(0);
        environment.agent.setScript((request, socket) -> {
            StubServer.await("the window's end", () -> System.currentTimeMillis() > sentAt + WINDOW_MS);
            environment.agent.setScript(this::answerAsAgent);
            socket.close();
        });
        start();
        awaitRejected(1);
    }

    /** The repeat is decided on within the window, but its connection is established only after the window. */
    @Test
    void repeatIsNotWrittenAfterTheWindow() throws Exception {
        open(StubServer.withFullAcceptQueue(StubServer.status(200, "")));
        environment.dialTimeoutMs = 20_000;
        environment.windowMs = 2 * WINDOW_MS;
        long sentAt = writeJournal(0);
        start();
        StubServer.await("the repeat is decided on",
                () -> environment.journalMessages().stream().anyMatch(message -> message.attempts.size() == 2));
        StubServer.await("the window's end", () -> System.currentTimeMillis() > sentAt + 2 * WINDOW_MS);
        endpoint.startAccepting();
        awaitRejected(2);
    }

    /** The attempt seems to have been made in the future, so its age counts as unknown. */
    @Test
    void attemptWithANegativeAgeIsNotRepeated() throws Exception {
        open(new StubServer(StubServer.status(200, "")));
        environment.windowMs = 20_000;
        writeJournal(-5000);
        start();
        awaitRejected(1);
    }
}
