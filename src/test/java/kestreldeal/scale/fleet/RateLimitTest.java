package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Rate limits admit exactly their rate, and a call is admitted after the wait that a limit reports. */
class RateLimitTest {
    @Test
    void aRateTakesItsDepthAtOnceAndThenItsPace() {
        RateLimit limit = RateLimit.byRate(0.004, 2);
        assertTrue(limit.take(0) && limit.take(0));
        assertEquals(0, limit.left(0), 1e-9);
        assertFalse(limit.take(0));
        assertEquals(250, limit.roomIn(0), 1e-9);
        assertFalse(limit.take(249));
        assertTrue(limit.take(250));
    }

    @Test
    void aCountTakesSoManyInEachSpan() {
        RateLimit limit = RateLimit.byCount(0.003, 1000);
        assertTrue(limit.take(100) && limit.take(200) && limit.take(300));
        assertFalse(limit.take(400));
        assertEquals(600, limit.roomIn(400), 1e-9);
        assertEquals(0, limit.left(999), 1e-9);
        assertTrue(limit.take(1000));
    }
}
