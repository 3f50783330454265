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
    private static final long DISK = 200_000;

    @TempDir
    private Path folder;
    private final ManualClock clock = new ManualClock();
    private StubServer endpoint;
    private SenderTestEnvironment world;
    private Sender sender;

    @AfterEach
    void close() throws Exception {
        if (sender != null) {
            sender.kill();
        }
        if (world != null) {
            world.close();
            endpoint.close();
        }
    }

    private Journal journal() throws IOException {
        return new Journal(folder, DISK, 12, clock, FileChannel::open);
    }

    private void assertSpans(AcceptedMessage held, Journal.RecordedHealth health, long passedMs) {
        assertEquals(24_000 - passedMs, held.timeLeftMs(clock));
        assertFalse(held.mayHaveExpired(clock));
        assertEquals(passedMs, held.attempts.get(0).ageMs(clock));
        assertEquals(passedMs, health.ageMs(clock));
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, 5000, -5000, -3_600_000})
    void aStepMovesNoSpan(long stepMs) throws Exception {
        try (Journal journal = journal()) {
            AcceptedMessage held = AcceptedMessage.withTimeLeft(journal.nextNumber(), "id", "order", "",
                    Optional.of("key"), 7, 24_000, new byte[1], clock);
            journal.recordAccepted(held);
            journal.recordAttempt(held, AcceptedMessage.Attempt.sentAgo("e", 0, clock));
            journal.recordEndpointHealth("e", Journal.RecordedHealth.ofAge(0, Relay.EndpointState.DOWN, 0.5, clock));
            clock.advance(6000);
            clock.stepWall(stepMs);
            assertSpans(held, journal.endpointHealth().get("e"), 6000);
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
    void anotherBootIsCarefulWithRepeatsAndGenerousWithTrying() throws Exception {
        leave();
        clock.reboot(5_000);
        for (int life = 0; life < 2; life++) {
            try (Journal journal = journal()) {
                AcceptedMessage held = journal.liveMessages().iterator().next();
                assertTrue(held.timeLeftMs(clock) > 24_000, "left: " + held.timeLeftMs(clock));
                assertTrue(held.attempts.get(0).ageMs(clock) > TimeUnit.DAYS.toMillis(1));
                assertEquals(0, journal.endpointHealth().get("e").ageMs(clock));
                journal.handOver();
            }
        }
    }

    /** A monotonic clock that has gone back under the same boot id, as on a copy of the machine. */
    @Test
    void aClockThatIsBehindTheJournalIsOfAnotherBoot() throws Exception {
        leave();
        clock.rewind(5_000);
        try (Journal journal = journal()) {
            AcceptedMessage held = journal.liveMessages().iterator().next();
            assertTrue(held.timeLeftMs(clock) > 24_000, "left: " + held.timeLeftMs(clock));
            assertTrue(held.attempts.get(0).ageMs(clock) > TimeUnit.DAYS.toMillis(1));
        }
    }

    private void leave() throws IOException {
        try (Journal journal = journal()) {
            AcceptedMessage held = AcceptedMessage.withTimeLeft(journal.nextNumber(), "id", "order", "",
                    Optional.of("key"), 7, 24_000, new byte[1], clock);
            journal.recordAccepted(held);
            journal.recordAttempt(held, AcceptedMessage.Attempt.sentAgo("e", 0, clock));
            journal.recordEndpointHealth("e", Journal.RecordedHealth.ofAge(0, Relay.EndpointState.WARMING, 0.5, clock));
        }
    }

    /** The machine's clocks, with the wall clock off by the given time. */
    private record Stepped(long stepMs) implements MachineClock {
        @Override
        public long nanos() {
            return System.nanoTime();
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis() + stepMs;
        }

        @Override
        public String bootId() {
            return MachineClock.system().bootId();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void whatIsHeldIsTriedInTheNextLifeWhateverTheWallClockSays(long stepMs) throws Exception {
        endpoint = new StubServer(StubServer.status(200, ""));
        world = new SenderTestEnvironment(folder, endpoint);
        try (Journal journal = world.openJournal()) {
            journal.recordAccepted(AcceptedMessage.withTimeLeft(journal.nextNumber(), "untried", "once", "",
                    Optional.empty(), 0, 20_000, new byte[0], MachineClock.system()));
        }
        sender = world.createSender(new Stepped(stepMs));
        sender.start();
        StubServer.await("the call to the endpoint", () -> endpoint.requests.size() == 1);
        assertEquals("untried", endpoint.requests.get(0).header("X-Call-Id"));
    }
}
