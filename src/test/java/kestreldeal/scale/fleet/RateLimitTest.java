package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Rate limits admit exactly their rate, and a call is admitted after the wait that a limit reports. */
class RateLimitTest {
    @Test
    void aTokenBucketAdmitsItsSizeAtOnceAndThenItsRate() {
        RateLimit limit = RateLimit.tokenBucket(0.004, 2);
        assertTrue(limit.tryAcquire(0) && limit.tryAcquire(0));
        assertEquals(0, limit.remainingShare(0), 1e-9);
        assertFalse(limit.tryAcquire(0));
        assertEquals(250, limit.msUntilAvailable(0), 1e-9);
        assertFalse(limit.tryAcquire(249));
        assertTrue(limit.tryAcquire(250));
    }

    @Test
    void aFixedWindowAdmitsItsMaximumInEachWindow() {
        RateLimit limit = RateLimit.fixedWindow(0.003, 1000);
        assertTrue(limit.tryAcquire(100) && limit.tryAcquire(200) && limit.tryAcquire(300));
        assertFalse(limit.tryAcquire(400));
        assertEquals(600, limit.msUntilAvailable(400), 1e-9);
        assertEquals(0, limit.remainingShare(999), 1e-9);
        assertTrue(limit.tryAcquire(1000));
    }
}
