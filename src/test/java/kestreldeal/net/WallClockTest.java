package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import kestreldeal.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Deadlines, deduplication windows and ages are measured by the monotonic clock: a step of the wall clock must change
 * none of them, neither within a process nor across a restart.
 */
class WallClockTest {
    private static final long DISK_BYTES = 200_000;

    @TempDir
    private Path folder;
    private final ManualClock clock = new ManualClock();
    private StubServer endpoint;
    private SenderTestEnvironment environment;
    private Sender sender;

    @AfterEach
    void close() throws Exception {
        if (sender != null) {
            sender.kill();
        }
        if (environment != null) {
            environment.close();
            endpoint.close();
        }
    }

    private Journal journal() throws IOException {
        return new Journal(folder, DISK_BYTES, 12, clock, FileChannel::open);
    }

    private void assertSpans(AcceptedMessage message, Journal.RecordedHealth health, long passedMs) {
        assertEquals(24_000 - passedMs, message.timeLeftMs(clock));
        assertTrue(message.budgetLeftMs(clock) > 0);
        assertEquals(passedMs, message.attempts.get(0).ageMs(clock));
        assertEquals(passedMs, health.ageMs(clock));
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, 5000, -5000, -3_600_000})
    void stepOfTheWallClockChangesNoTimeSpan(long stepMs) throws Exception {
        try (Journal journal = journal()) {
            AcceptedMessage message = AcceptedMessage.withTimeLeft(journal.assignNumber(), "id", "order", "",
                    Optional.of("key"), 7, 24_000, new byte[1], clock);
            journal.recordAccepted(message);
            journal.recordAttempt(message, AcceptedMessage.Attempt.startedAgo("e", 0, clock));
            journal.recordEndpointHealth("e", Journal.RecordedHealth.ofAge(0, Relay.EndpointState.DOWN, 0.5, clock));
            clock.advance(6000);
            clock.stepWallClock(stepMs);
            assertSpans(message, journal.endpointHealth().get("e"), 6000);
        }
        clock.advance(4000);
        try (Journal journal = journal()) {
            assertSpans(journal.liveMessages().iterator().next(), journal.endpointHealth().get("e"), 10_000);
        }
    }

    /**
     * After a reboot nothing in the journal has a known age: messages get a full deadline, attempts count as older than
     * any deduplication window, and a slow start begins again.
     */
    @Test
    void rebootGivesAFullDeadlineButAllowsNoRepeat() throws Exception {
        writeJournal();
        clock.reboot(5_000);
        for (int restart = 0; restart < 2; restart++) {
            try (Journal journal = journal()) {
                AcceptedMessage message = journal.liveMessages().iterator().next();
                assertTrue(message.timeLeftMs(clock) > 24_000, "left: " + message.timeLeftMs(clock));
                assertTrue(message.attempts.get(0).ageMs(clock) > TimeUnit.DAYS.toMillis(1));
                assertEquals(0, journal.endpointHealth().get("e").ageMs(clock));
                journal.handOver();
            }
        }
    }

    /** A monotonic clock that has gone back under the same boot id, as on a copy of the machine. */
    @Test
    void clockBehindTheJournalCountsAsAnotherBoot() throws Exception {
        writeJournal();
        clock.restartMonotonicClock(5_000);
        try (Journal journal = journal()) {
            AcceptedMessage message = journal.liveMessages().iterator().next();
            assertTrue(message.timeLeftMs(clock) > 24_000, "left: " + message.timeLeftMs(clock));
            assertTrue(message.attempts.get(0).ageMs(clock) > TimeUnit.DAYS.toMillis(1));
        }
    }

    private void writeJournal() throws IOException {
        try (Journal journal = journal()) {
            AcceptedMessage message = AcceptedMessage.withTimeLeft(journal.assignNumber(), "id", "order", "",
                    Optional.of("key"), 7, 24_000, new byte[1], clock);
            journal.recordAccepted(message);
            journal.recordAttempt(message, AcceptedMessage.Attempt.startedAgo("e", 0, clock));
            journal.recordEndpointHealth("e", Journal.RecordedHealth.ofAge(0, Relay.EndpointState.WARMING, 0.5, clock));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void restoredMessageIsTriedWhateverTheWallClockSays(long stepMs) throws Exception {
        endpoint = new StubServer(StubServer.status(200, ""));
        environment = new SenderTestEnvironment(folder, endpoint);
        try (Journal journal = environment.openJournal()) {
            journal.recordAccepted(AcceptedMessage.withTimeLeft(journal.assignNumber(), "untried", "once", "",
                    Optional.empty(), 0, 20_000, new byte[0], MachineClock.system()));
        }
        sender = environment.createSender(new AdjustableClock().stepWallClock(stepMs));
        sender.startAndAwaitListening();
        StubServer.await("the call to the endpoint", () -> endpoint.requests.size() == 1);
        assertEquals("untried", endpoint.requests.get(0).header("X-Call-Id"));
    }
}
