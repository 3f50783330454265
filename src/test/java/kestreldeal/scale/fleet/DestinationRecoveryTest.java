package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kestreldeal.Relay;
import org.junit.jupiter.api.Test;

/** Compares the load budget of a recovering destination with values calculated by hand. */
class DestinationRecoveryTest {
    /** Capacity 10 calls/s; ramps up from 20% at 10 s to 100% at 22 s; budget: twice the capacity in windows of 3 s. */
    private final DestinationRecovery cold = new DestinationRecovery(0.01, new Relay.SlowStart(0.2, 12_000, 2, 3000), 10_000,
            SimulatedEndpoint.State.SHUT);

    private static double most(double n) {
        return n + 2 * Math.sqrt(n) + 2;
    }

    @Test
    void theBudgetGrowsWithWhatItCanDo() {
        assertEquals(most(12), cold.most(10_000), 1e-9);
        // The capacity share rises from 0.2 to 0.4 in these 3 s, with a mean of 0.3.
        assertEquals(most(18), cold.most(13_000), 1e-9);
        assertEquals(most(60), cold.most(25_000), 1e-9);
        assertEquals(0.6, cold.share(16_000), 1e-9);
        assertFalse(cold.isOver(21_999));
        assertTrue(cold.isOver(22_000));
    }

    @Test
    void aWindowHoldsTheCallsOfItsSpanOnly() {
        for (int i = 0; i < 20; i++) {
            cold.arrived(10_000 + i, i < 14, i < 3 ? Relay.EndpointState.UP : Relay.EndpointState.DOWN);
        }
        assertEquals(20, cold.worst().calls());
        assertEquals(14, cold.worst().told());
        assertEquals(3, cold.worst().heldUp());
        assertEquals(17, cold.worst().trials());
        assertEquals(SimulatedEndpoint.State.SHUT, cold.worst().after());
        assertTrue(cold.worst().isTold());
        assertFalse(cold.worst().ratio() > 1, "the budget is 20.9 calls");
        assertTrue(cold.arrived(10_020, false, Relay.EndpointState.WARMING).ratio() > 1);
        assertFalse(cold.worst().isTold(), "14 of 21 calls are not more than two thirds");
        assertEquals(1, cold.arrived(13_020, false, Relay.EndpointState.WARMING).calls());
        assertFalse(cold.isBroken());
    }

    @Test
    void theRuleIsBrokenBySendersThatWereTold() {
        for (int i = 0; i < 20; i++) {
            cold.arrived(10_000 + i, i < 15, Relay.EndpointState.WARMING);
        }
        assertFalse(cold.isBroken());
        cold.arrived(10_020, false, Relay.EndpointState.WARMING);
        assertTrue(cold.isBroken(), "15 of 21 calls are more than two thirds");
    }
}
