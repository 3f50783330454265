package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Optional;
import kestreldeal.Relay;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Deadlines, windows and ages are spans of real time: a step of the wall clock moves none, in one life or over two. */
class WallClockTest {
    private static final long DISK = 200_000;

    @TempDir
    private Path folder;
    private final ManualClock clock = new ManualClock();

    private Journal journal() throws IOException {
        return new Journal(folder, DISK, 12, clock, FileChannel::open);
    }

    private void assertSpans(Held held, Journal.Health health, long passedMs) {
        assertEquals(24_000 - passedMs, held.leftMs(clock));
        assertFalse(held.isTimeUp(clock));
        assertEquals(passedMs, held.attempts.get(0).ageMs(clock));
        assertEquals(passedMs, health.ageMs(clock));
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, 5000, -5000, -3_600_000})
    void aStepMovesNoSpan(long stepMs) throws Exception {
        try (Journal journal = journal()) {
            Held held = Held.withTimeLeft(journal.nextNumber(), "id", "order", "", Optional.of("key"), 7, 24_000,
                    new byte[1], clock);
            journal.taken(held);
            journal.attempt(held, Held.Attempt.sentAgo("e", 0, clock));
            journal.health("e", Journal.Health.since(0, Relay.State.DOWN, 0.5, clock));
            clock.pass(6000);
            clock.stepWall(stepMs);
            assertSpans(held, journal.health().get("e"), 6000);
        }
        clock.pass(4000);
        try (Journal journal = journal()) {
            assertSpans(journal.held().iterator().next(), journal.health().get("e"), 10_000);
        }
    }
}
