package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AcceptedMessageTest {
    private final ManualClock clock = new ManualClock();
    private final long begun = clock.nanos();
    private final AcceptedMessage held =
            new AcceptedMessage(1, "id", "order", "t", Optional.of("key"), 7, 20_000, new byte[0]);

    private AcceptedMessage.Attempt sent(long atMs) {
        clock.advanceTo(begun + TimeUnit.MILLISECONDS.toNanos(atMs));
        AcceptedMessage.Attempt attempt = AcceptedMessage.Attempt.sentAgo("e", 0, clock);
        held.attempts.add(attempt);
        return attempt;
    }

    private boolean isInWindow(int attempt, long nowMs, double windowMs) {
        return held.isInDedupWindow(attempt, begun + TimeUnit.MILLISECONDS.toNanos(nowMs), windowMs);
    }

    @Test
    void aRepeatIsInTheWindowOfTheFirstAttemptThatMayHaveRun() {
        AcceptedMessage.Attempt first = sent(1000);
        sent(3000);
        sent(5000);
        assertTrue(isInWindow(2, 6000, 5000));
        assertFalse(isInWindow(2, 6001, 5000));
        first.neverRan = true;
        assertTrue(isInWindow(2, 8000, 5000));
        assertFalse(isInWindow(2, 8001, 5000));
    }

    @Test
    void aFirstAttemptHasNoWindow() {
        sent(1000);
        assertTrue(isInWindow(0, 60_000, 5000));
    }

    /** A first attempt whose connection is established late may be overtaken by its hedged attempt. */
    @Test
    void anAttemptThatWasOvertakenIsARepeatItself() {
        sent(1000);
        AcceptedMessage.Attempt copy = sent(2000);
        assertTrue(isInWindow(0, 7000, 5000));
        assertFalse(isInWindow(0, 7001, 5000));
        copy.neverRan = true;
        assertTrue(isInWindow(0, 7001, 5000));
    }

    /** The clock went back, so how long ago the attempt was made is unknown. */
    @Test
    void anAttemptFromTheFutureIsPastAnyWindow() {
        held.attempts.add(AcceptedMessage.Attempt.sentAgo("e", -5000, clock));
        sent(0);
        assertFalse(isInWindow(1, 0, TimeUnit.DAYS.toMillis(1)));
    }

    @Test
    void anAttemptOfAnEarlierLifeHasItsAge() {
        held.attempts.add(AcceptedMessage.Attempt.sentAgo("e", 60_000, clock));
        sent(0);
        assertFalse(isInWindow(1, 0, 60_000 - 1));
        assertTrue(isInWindow(1, 0, 60_000));
    }

    /** A request may have been unread for as long as its client waits, or for a quarter of its class's deadline. */
    @Test
    void itsTimeMayBeUpSoonerThanItsBudgetSays() {
        ClientServer.Submission asked =
                new ClientServer.Submission("id", "order", "t", Optional.empty(), 7, 2000, new byte[0]);
        assertTimes(AcceptedMessage.fromSubmission(1, asked, 24_000, clock), 1300, 1600);
        assertTimes(AcceptedMessage.fromSubmission(1, asked, 800, clock), 400, 600);
    }

    private void assertTimes(AcceptedMessage taken, long leftMs, long timeUpInMs) {
        assertEquals(leftMs, taken.timeLeftMs(clock));
        clock.advance(timeUpInMs - 1);
        assertFalse(taken.mayHaveExpired(clock));
        clock.advance(1);
        assertTrue(taken.mayHaveExpired(clock));
    }
}
