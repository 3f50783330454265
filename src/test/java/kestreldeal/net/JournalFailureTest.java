package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import kestreldeal.Relay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Write failures that last for a while: the next process must find every accepted message, and what became of it. */
class JournalFailureTest {
    private static final long DISK_BYTES = 200_000;
    /** Longer than any delay before the journal retries. */
    private static final long AFTER_RETRY_DELAY_MS = 60_000;

    @TempDir
    private Path folder;
    private final ManualClock clock = new ManualClock();
    private final FailingFiles files = new FailingFiles();

    private Journal openWithFailingFiles() throws IOException {
        return new Journal(folder, DISK_BYTES, 12, clock, files);
    }

    private Journal reopen() throws IOException {
        return new Journal(folder, DISK_BYTES, 12, clock, FileChannel::open);
    }

    private AcceptedMessage newMessage(Journal journal) {
        long number = journal.assignNumber();
        return AcceptedMessage.withTimeLeft(number, "id-" + number, "order", "", Optional.of("key"), 7, 600_000,
                new byte[100], clock);
    }

    private AcceptedMessage accept(Journal journal) throws IOException {
        AcceptedMessage message = newMessage(journal);
        journal.recordAccepted(message);
        return message;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void messagesAcceptedAfterAFailedWriteAreRestored(boolean canTruncate) throws Exception {
        if (!canTruncate) {
            files.failTruncating();
        }
        try (Journal journal = openWithFailingFiles()) {
            for (int i = 0; i < 5; i++) {
                accept(journal);
            }
            files.fail(true);
            assertThrows(IOException.class, () -> accept(journal));
            files.fail(false);
            clock.advance(AFTER_RETRY_DELAY_MS);
            for (int i = 0; i < 20; i++) {
                accept(journal);
            }
        }
        try (Journal journal = reopen()) {
            assertEquals(25, journal.liveMessages().size());
        }
    }

    /** A write may report an error after it wrote the whole record; the message was rejected, so it must not return. */
    @Test
    void recordOfAFailedWriteIsNotRestored() throws Exception {
        try (Journal journal = openWithFailingFiles()) {
            accept(journal);
            files.failAfterWriting();
            assertThrows(IOException.class, () -> accept(journal));
            files.fail(false);
            clock.advance(AFTER_RETRY_DELAY_MS);
            accept(journal);
        }
        try (Journal journal = reopen()) {
            assertEquals(List.of("id-0", "id-2"), journal.liveMessages().stream().map(h -> h.id).toList());
        }
    }

    /** A compaction closes the old file after the new one has replaced it. */
    @Test
    void failureToCloseTheOldFileLosesNothing() throws Exception {
        files.failClosing();
        try (Journal journal = openWithFailingFiles()) {
            AcceptedMessage message = accept(journal);
            for (long sizeBefore = -1; journal.size() > sizeBefore;) {
                sizeBefore = journal.size();
                journal.recordAttempt(message, AcceptedMessage.Attempt.startedAgo("e".repeat(5000), 0, clock));
                journal.recordCompleted(message);
                message = accept(journal);
            }
            accept(journal);
        }
        try (Journal journal = reopen()) {
            assertEquals(2, journal.liveMessages().size());
        }
    }

    /**
     * Whatever follows a damaged record has to be overwritten before the next append: a new record of the same length
     * as the damaged one would make the old records after it readable again.
     */
    @Test
    void recordsAfterADamagedOneAreNeverRestored() throws Exception {
        long firstRecordEnd;
        try (Journal journal = reopen()) {
            accept(journal);
            firstRecordEnd = journal.size();
            accept(journal);
            accept(journal);
        }
        byte[] bytes = Files.readAllBytes(folder.resolve("journal"));
        bytes[(int) firstRecordEnd + 20] ^= 1;
        Files.write(folder.resolve("journal"), bytes);
        files.failTruncating();
        try (Journal journal = openWithFailingFiles()) {
            assertEquals(1, journal.liveMessages().size());
            AcceptedMessage again = AcceptedMessage.withTimeLeft(1, "id-1", "order", "", Optional.of("key"), 7, 600_000,
                    new byte[100], clock);
            journal.recordAccepted(again);
        }
        try (Journal journal = reopen()) {
            assertEquals(List.of("id-0", "id-1"), journal.liveMessages().stream().map(h -> h.id).toList());
        }
    }

    @Test
    void eventsDuringAWriteFailureAreRestored() throws Exception {
        try (Journal journal = openWithFailingFiles()) {
            AcceptedMessage delivered = accept(journal);
            AcceptedMessage noticePending = accept(journal);
            AcceptedMessage notRun = accept(journal);
            for (AcceptedMessage message : List.of(delivered, noticePending, notRun)) {
                journal.recordAttempt(message, AcceptedMessage.Attempt.startedAgo("e", 0, clock));
            }
            files.fail(true);
            journal.recordCompleted(delivered);
            journal.recordNotice(noticePending, new AcceptedMessage.Notice(true, 500));
            journal.recordNeverRan(notRun, 0);
            journal.recordEndpointHealth("e", Journal.RecordedHealth.ofAge(0, Relay.EndpointState.DOWN, 0.5, clock));
            files.fail(false);
            clock.advance(AFTER_RETRY_DELAY_MS);
            accept(journal);
        }
        try (Journal journal = reopen()) {
            assertEquals(List.of("id-1", "id-2", "id-3"),
                    journal.liveMessages().stream().map(message -> message.id).toList());
            assertEquals(Optional.of(true), journal.wasDelivered("id-0"));
            List<AcceptedMessage> messages = List.copyOf(journal.liveMessages());
            assertEquals(Optional.of(new AcceptedMessage.Notice(true, 500)), messages.get(0).pendingNotice);
            assertTrue(messages.get(1).attempts.get(0).neverRan);
            assertEquals(Relay.EndpointState.DOWN, journal.endpointHealth().get("e").state());
        }
    }

    /** More unwritten records than are kept one by one: the journal then writes a compaction instead of them. */
    @Test
    void longWriteFailureLosesNothing() throws Exception {
        try (Journal journal = openWithFailingFiles()) {
            AcceptedMessage noticePending = accept(journal);
            AcceptedMessage completed = accept(journal);
            files.fail(true);
            for (int i = 0; i < 20_000; i++) {
                Relay.EndpointState state = i % 2 == 0 ? Relay.EndpointState.WARMING : Relay.EndpointState.DOWN;
                journal.recordEndpointHealth("e", Journal.RecordedHealth.ofAge(0, state, 0.5, clock));
            }
            journal.recordCompleted(completed);
            journal.recordNotice(noticePending, new AcceptedMessage.Notice(false, 0));
            assertTrue(journal.hasUnwrittenState());
            files.fail(false);
            clock.advance(AFTER_RETRY_DELAY_MS);
            assertTrue(journal.retryFailedWrites());
        }
        try (Journal journal = reopen()) {
            assertEquals(List.of("id-0"), journal.liveMessages().stream().map(h -> h.id).toList());
            assertTrue(journal.liveMessages().iterator().next().pendingNotice.isPresent());
            assertEquals(Relay.EndpointState.DOWN, journal.endpointHealth().get("e").state());
        }
    }

    @Test
    void retriesFailedWritesWithGrowingDelays() throws Exception {
        List<Long> delays = new ArrayList<>();
        try (Journal journal = openWithFailingFiles()) {
            AcceptedMessage message = accept(journal);
            journal.onFailure(delays::add);
            files.fail(true);
            assertThrows(IOException.class, () -> accept(journal));
            for (int i = 0; i < 7; i++) {
                assertFalse(journal.retryFailedWrites(), "the retry delay is still running");
                clock.advance(delays.get(i));
                assertFalse(journal.retryFailedWrites());
            }
            assertEquals(List.of(10L, 20L, 40L, 80L, 160L, 320L, 320L, 320L), delays);
            assertEquals(8, journal.writeFailures());
            files.fail(false);
            assertThrows(IOException.class,
                    () -> journal.recordAttempt(message, AcceptedMessage.Attempt.startedAgo("e", 0, clock)));
            clock.advance(320);
            assertTrue(journal.retryFailedWrites());
            assertFalse(journal.hasUnwrittenState());
            journal.recordAttempt(message, AcceptedMessage.Attempt.startedAgo("e", 0, clock));
        }
    }
}
