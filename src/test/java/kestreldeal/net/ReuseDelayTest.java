package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReuseDelayTest {
    /** The largest jitter of a site, as a share of the one-way delay. */
    private static final double JITTER = 0.34;

    @Test
    void delayIsAShareOfTheFastestResponseWithinItsBounds() {
        assertEquals(ReuseDelay.MIN_MS, ReuseDelay.ofFastestResponse(Double.POSITIVE_INFINITY));
        assertEquals(ReuseDelay.MIN_MS, ReuseDelay.ofFastestResponse(0.1));
        assertEquals(54, ReuseDelay.ofFastestResponse(90));
        assertEquals(ReuseDelay.MAX_MS, ReuseDelay.ofFastestResponse(5000));
    }

    /** A second copy of a response was taken for the response to the next call, and a payment ran twice. */
    @Test
    void whatIsSentWithAResponseArrivesInTheDelay() {
        for (double oneWayMs = 1; oneWayMs <= 140; oneWayMs++) {
            double fastestResponseMs = 2 * oneWayMs * (1 - JITTER);
            double largestGapMs = 2 * oneWayMs * JITTER;
            assertTrue(ReuseDelay.ofFastestResponse(fastestResponseMs) > largestGapMs, oneWayMs + " ms one way");
        }
    }
}
