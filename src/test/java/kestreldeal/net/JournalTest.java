package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import kestreldeal.Relay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JournalTest {
    private static final long DISK_BYTES = 200_000;

    private final ManualClock clock = new ManualClock();

    @TempDir
    private Path folder;

    private Journal open() throws IOException {
        return new Journal(folder, DISK_BYTES, 12, clock, FileChannel::open);
    }

    private AcceptedMessage newMessage(Journal journal, int bodyBytes) {
        long number = journal.assignNumber();
        return AcceptedMessage.withTimeLeft(number, "id-" + number, "order", "desk", Optional.of("key"), 7, 12_345,
                new byte[bodyBytes], clock);
    }

    private AcceptedMessage.Attempt newAttempt(String endpoint) {
        return AcceptedMessage.Attempt.startedAgo(endpoint, 0, clock);
    }

    @Test
    void restoresMessagesWithTheirHistory() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage a = newMessage(journal, 3);
            AcceptedMessage b = newMessage(journal, 3);
            AcceptedMessage c = newMessage(journal, 3);
            for (AcceptedMessage h : List.of(a, b, c)) {
                journal.recordAccepted(h);
            }
            clock.advance(100);
            journal.recordAttempt(a, newAttempt("s-1"));
            clock.advance(100);
            journal.recordAttempt(a, newAttempt("s-2"));
            clock.advance(100);
            journal.recordNeverRan(a, 0);
            journal.recordNotice(b, new AcceptedMessage.Notice(true, 500));
            journal.recordCompleted(c);
        }
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = List.copyOf(journal.liveMessages());
            assertEquals(2, messages.size());
            AcceptedMessage a = messages.get(0);
            assertEquals("id-0", a.id);
            assertEquals(Optional.of("key"), a.key);
            assertEquals(12_345 - 300, a.timeLeftMs(clock));
            assertArrayEquals(new byte[3], a.body);
            assertEquals(List.of("s-1", "s-2"), a.attempts.stream().map(x -> x.endpoint).toList());
            assertEquals(List.of(true, false), a.attempts.stream().map(x -> x.neverRan).toList());
            assertEquals(100, a.attempts.get(1).ageMs(clock));
            assertEquals(Optional.of(new AcceptedMessage.Notice(true, 500)), messages.get(1).pendingNotice);
            assertEquals(3, journal.assignNumber(), "message numbers are not reused");
        }
    }

    @Test
    void endpointHealthSurvivesRestartsAndCompactionsUntilInService() throws Exception {
        Journal.RecordedHealth down = new Journal.RecordedHealth(Relay.EndpointState.DOWN, 100, 0.5);
        Journal.RecordedHealth warming = new Journal.RecordedHealth(Relay.EndpointState.WARMING, 200, 0.25);
        Journal.RecordedHealth up = new Journal.RecordedHealth(Relay.EndpointState.UP, 300, 0.25);
        try (Journal journal = open()) {
            journal.recordEndpointHealth("s-1", down);
            journal.recordEndpointHealth("s-2", down);
            journal.recordEndpointHealth("s-1", warming);
            journal.recordEndpointHealth("s-2", up);
            AcceptedMessage message = newMessage(journal, 1000);
            journal.recordAccepted(message);
            for (long written = 0; written < 2 * DISK_BYTES; written += 50) {
                journal.recordEndpointHealth("s-3", down);
            }
            assertTrue(journal.size() < DISK_BYTES);
        }
        try (Journal journal = open()) {
            assertEquals(Map.of("s-1", warming, "s-3", down), journal.endpointHealth());
            assertEquals(1, journal.liveMessages().size());
        }
    }

    @Test
    void incompleteLastRecordIsDroppedAndOverwritten() throws Exception {
        long firstRecordEnd;
        try (Journal journal = open()) {
            journal.recordAccepted(newMessage(journal, 10));
            firstRecordEnd = journal.size();
            journal.recordAccepted(newMessage(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        for (int cut = whole.length - 1; cut >= firstRecordEnd; cut--) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(1, journal.liveMessages().size());
                journal.recordAccepted(newMessage(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.liveMessages().size(), "a record written after an incomplete one must be read");
            }
        }
        Files.write(file, whole);
        Files.write(file, new byte[700], StandardOpenOption.APPEND);
        try (Journal journal = open()) {
            assertEquals(2, journal.liveMessages().size());
        }
    }

    @Test
    void corruptedRecordEndsTheReplay() throws Exception {
        try (Journal journal = open()) {
            journal.recordAccepted(newMessage(journal, 10));
            journal.recordAccepted(newMessage(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 2] ^= 1;
        Files.write(file, bytes);
        try (Journal journal = open()) {
            assertEquals(1, journal.liveMessages().size());
        }
    }

    @Test
    void folderNeverExceedsItsLimitAndLosesNoMessage() throws Exception {
        Random random = new Random(5);
        Deque<AcceptedMessage> live = new ArrayDeque<>();
        int rejected = 0;
        int compactions = 0;
        try (Journal journal = open()) {
            for (int i = 0; i < 4000; i++) {
                long sizeBefore = journal.size();
                AcceptedMessage message = newMessage(journal, random.nextInt(4000));
                try {
                    journal.recordAccepted(message);
                    live.add(message);
                    journal.recordAttempt(message, newAttempt("s-" + i));
                    journal.recordNeverRan(message, 0);
                } catch (IOException full) {
                    rejected++;
                }
                if (random.nextInt(100) < 48 || live.size() > 60) {
                    AcceptedMessage completed = live.remove();
                    journal.recordNotice(completed, new AcceptedMessage.Notice(false, 0));
                    journal.recordCompleted(completed);
                }
                compactions += journal.size() < sizeBefore ? 1 : 0;
                // A compaction now would write all live records to a second file beside this one.
                long liveBytes = live.stream().mapToLong(x -> x.journalBytes).sum();
                assertTrue(journal.size() + liveBytes + 1024 <= DISK_BYTES, "at step " + i);
            }
        }
        assertTrue(rejected > 0, "messages are rejected when live records leave no room");
        assertTrue(compactions > 10);
        try (Journal journal = open()) {
            assertEquals(live.stream().map(message -> message.id).toList(),
                    journal.liveMessages().stream().map(message -> message.id).toList());
        }
    }

    @Test
    void acceptedMessagesHaveRoomForAllLaterRecords() throws Exception {
        try (Journal journal = open()) {
            Deque<AcceptedMessage> accepted = new ArrayDeque<>();
            assertThrows(IOException.class, () -> {
                while (true) {
                    AcceptedMessage message = newMessage(journal, 500);
                    journal.recordAccepted(message);
                    accepted.add(message);
                }
            });
            for (AcceptedMessage message : accepted) {
                for (int i = 0; i < 12; i++) {
                    journal.recordAttempt(message, newAttempt("s-5be2a07c5be2a07c"));
                    journal.recordNeverRan(message, i);
                }
                journal.recordNotice(message, new AcceptedMessage.Notice(true, 1));
            }
            for (AcceptedMessage message : accepted) {
                journal.recordCompleted(message);
            }
            journal.recordAccepted(newMessage(journal, 500));
        }
    }

    @Test
    void unfinishedCompactionIsDeleted() throws Exception {
        Files.write(folder.resolve("journal.next"), new byte[5000]);
        try (Journal journal = open()) {
            assertTrue(Files.notExists(folder.resolve("journal.next")));
            assertEquals(0, journal.size());
        }
    }

    /**
     * An attempt that could not be recorded must not shift the indexes of those that were: a restart would then restore
     * an attempt that may have run as one that never did, or fail.
     */
    @Test
    void unrecordedAttemptDoesNotShiftOtherIndexes() throws Exception {
        String hugeId = "e".repeat(60_000);
        try (Journal journal = open()) {
            AcceptedMessage message = newMessage(journal, 3);
            AcceptedMessage other = newMessage(journal, 3);
            journal.recordAccepted(message);
            journal.recordAccepted(other);
            journal.recordAttempt(other, newAttempt(hugeId));
            journal.recordAttempt(message, newAttempt("s-1"));
            assertThrows(IOException.class, () -> {
                while (true) {
                    journal.recordAttempt(message, newAttempt(hugeId));
                }
            });
            int unrecorded = message.attempts.size() - 1;
            journal.recordCompleted(other);
            journal.recordNeverRan(message, unrecorded);
            journal.recordAttempt(message, newAttempt("s-3"));
        }
        for (int restart = 0; restart < 2; restart++) {
            try (Journal journal = open()) {
                AcceptedMessage message = journal.liveMessages().iterator().next();
                AcceptedMessage.Attempt last = message.attempts.get(message.attempts.size() - 1);
                assertEquals("s-3", last.endpoint);
                assertTrue(message.attempts.stream().noneMatch(a -> a.neverRan), "every recorded attempt may have run");
                journal.handOver();
            }
        }
    }

    @Test
    void completedIdsSurviveRestartsAndCompactions() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage delivered = newMessage(journal, 3);
            AcceptedMessage noticePending = newMessage(journal, 3);
            AcceptedMessage noticeConfirmed = newMessage(journal, 3);
            AcceptedMessage unacknowledged = newMessage(journal, 3);
            for (AcceptedMessage message : List.of(delivered, noticePending, noticeConfirmed, unacknowledged)) {
                journal.recordAccepted(message);
            }
            journal.recordAttempt(delivered, newAttempt("s-1"));
            journal.recordCompleted(delivered);
            journal.recordNotice(noticePending, new AcceptedMessage.Notice(true, 500));
            journal.recordNotice(noticeConfirmed, new AcceptedMessage.Notice(false, 0));
            journal.recordCompleted(noticeConfirmed);
            journal.recordCompleted(unacknowledged);
        }
        for (int restart = 0; restart < 3; restart++) {
            try (Journal journal = open()) {
                assertEquals(Map.of("id-0", true, "id-1", false, "id-2", false), journal.deliveredByCompletedId());
                assertEquals(Optional.empty(), journal.wasDelivered("id-3"),
                        "its client never got the answer that it was accepted");
                journal.handOver();
            }
        }
    }

    @Test
    void completedIdsAreLimited() throws Exception {
        try (Journal journal = open()) {
            for (int i = 0; i < 6000; i++) {
                journal.rememberCompleted("9b1f03aa5c7e2d41-" + i, true);
            }
            assertEquals(Optional.of(true), journal.wasDelivered("9b1f03aa5c7e2d41-5999"));
            assertEquals(Optional.empty(), journal.wasDelivered("9b1f03aa5c7e2d41-0"));
            journal.handOver();
            assertTrue(journal.size() <= DISK_BYTES / 16, "bytes: " + journal.size());
        }
    }
}
