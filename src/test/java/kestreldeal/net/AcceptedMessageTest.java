package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AcceptedMessageTest {
    private final ManualClock clock = new ManualClock();
    private final long startNanos = clock.nanos();
    private final AcceptedMessage message =
            new AcceptedMessage(1, "id", "order", "t", Optional.of("key"), 7, 20_000, new byte[0]);

    private AcceptedMessage.Attempt addAttempt(long atMs) {
        clock.advanceTo(startNanos + TimeUnit.MILLISECONDS.toNanos(atMs));
        AcceptedMessage.Attempt attempt = AcceptedMessage.Attempt.startedAgo("e", 0, clock);
        message.attempts.add(attempt);
        return attempt;
    }

    private boolean isWithinDedupWindows(int attempt, long nowMs, double windowMs) {
        return message.isWithinDedupWindows(attempt, startNanos + TimeUnit.MILLISECONDS.toNanos(nowMs), windowMs);
    }

    @Test
    void repeatMustBeInTheWindowOfTheFirstAttemptThatMayHaveRun() {
        AcceptedMessage.Attempt first = addAttempt(1000);
        addAttempt(3000);
        addAttempt(5000);
        assertTrue(isWithinDedupWindows(2, 6000, 5000));
        assertFalse(isWithinDedupWindows(2, 6001, 5000));
        first.neverRan = true;
        assertTrue(isWithinDedupWindows(2, 8000, 5000));
        assertFalse(isWithinDedupWindows(2, 8001, 5000));
    }

    @Test
    void firstAttemptIsNotBoundToAWindow() {
        addAttempt(1000);
        assertTrue(isWithinDedupWindows(0, 60_000, 5000));
    }

    /** A first attempt whose connection is established late may be overtaken by its hedged attempt. */
    @Test
    void overtakenAttemptCountsAsARepeat() {
        addAttempt(1000);
        AcceptedMessage.Attempt hedge = addAttempt(2000);
        assertTrue(isWithinDedupWindows(0, 7000, 5000));
        assertFalse(isWithinDedupWindows(0, 7001, 5000));
        hedge.neverRan = true;
        assertTrue(isWithinDedupWindows(0, 7001, 5000));
    }

    /** The clock went back, so how long ago the attempt was made is unknown. */
    @Test
    void attemptFromTheFutureIsOutsideAnyWindow() {
        message.attempts.add(AcceptedMessage.Attempt.startedAgo("e", -5000, clock));
        addAttempt(0);
        assertFalse(isWithinDedupWindows(1, 0, TimeUnit.DAYS.toMillis(1)));
    }

    @Test
    void attemptOfAPreviousProcessKeepsItsAge() {
        message.attempts.add(AcceptedMessage.Attempt.startedAgo("e", 60_000, clock));
        addAttempt(0);
        assertFalse(isWithinDedupWindows(1, 0, 60_000 - 1));
        assertTrue(isWithinDedupWindows(1, 0, 60_000));
    }

    /** A request may have been unread for as long as its client waits, or for a quarter of its class's deadline. */
    @Test
    void budgetMayBeUsedUpBeforeTheRequestIsRead() {
        ClientServer.Submission submission =
                new ClientServer.Submission("id", "order", "t", Optional.empty(), 7, 2000, new byte[0]);
        assertTimes(AcceptedMessage.fromSubmission(1, submission, 24_000, clock), 1300, 1600);
        assertTimes(AcceptedMessage.fromSubmission(1, submission, 800, clock), 400, 600);
    }

    private void assertTimes(AcceptedMessage message, long timeLeftMs, long expiresInMs) {
        assertEquals(timeLeftMs, message.timeLeftMs(clock));
        clock.advance(expiresInMs - 1);
        assertTrue(message.budgetLeftMs(clock) > 0);
        clock.advance(1);
        assertEquals(0, message.budgetLeftMs(clock));
    }
}
