package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kestreldeal.Relay;
import org.junit.jupiter.api.Test;

/** Compares the load budget of a recovering destination with values calculated by hand. */
class DestinationRecoveryTest {
    /** Capacity 10 calls/s; ramps up from 20% at 10 s to 100% at 22 s; budget: twice the capacity in windows of 3 s. */
    private final DestinationRecovery recovery = new DestinationRecovery(0.01,
            new Relay.SlowStart(0.2, 12_000, 2, 3000), 10_000, SimulatedEndpoint.State.SHUT);

    private static double budget(double n) {
        return n + 2 * Math.sqrt(n) + 2;
    }

    @Test
    void theBudgetGrowsWithTheCapacity() {
        assertEquals(budget(12), recovery.maxCalls(10_000), 1e-9);
        // The capacity share rises from 0.2 to 0.4 in these 3 s, with a mean of 0.3.
        assertEquals(budget(18), recovery.maxCalls(13_000), 1e-9);
        assertEquals(budget(60), recovery.maxCalls(25_000), 1e-9);
        assertEquals(0.6, recovery.capacityShare(16_000), 1e-9);
        assertFalse(recovery.isOver(21_999));
        assertTrue(recovery.isOver(22_000));
    }

    @Test
    void aWindowCountsOnlyTheCallsWithinItsLength() {
        for (int i = 0; i < 20; i++) {
            recovery.callArrived(10_000 + i, i < 14, i < 3 ? Relay.EndpointState.UP : Relay.EndpointState.DOWN);
        }
        assertEquals(20, recovery.worstWindow().calls());
        assertEquals(14, recovery.worstWindow().informedCalls());
        assertEquals(3, recovery.worstWindow().assumedUpCalls());
        assertEquals(17, recovery.worstWindow().probes());
        assertEquals(SimulatedEndpoint.State.SHUT, recovery.worstWindow().outageState());
        assertTrue(recovery.worstWindow().isMostlyInformed());
        assertFalse(recovery.worstWindow().ratio() > 1, "the budget is 20.9 calls");
        assertTrue(recovery.callArrived(10_020, false, Relay.EndpointState.WARMING).ratio() > 1);
        assertFalse(recovery.worstWindow().isMostlyInformed(), "14 of 21 calls are not more than two thirds");
        assertEquals(1, recovery.callArrived(13_020, false, Relay.EndpointState.WARMING).calls());
        assertFalse(recovery.isOverBudgetByInformedSenders());
    }

    @Test
    void onlyInformedSendersBreakTheBudgetRule() {
        for (int i = 0; i < 20; i++) {
            recovery.callArrived(10_000 + i, i < 15, Relay.EndpointState.WARMING);
        }
        assertFalse(recovery.isOverBudgetByInformedSenders());
        recovery.callArrived(10_020, false, Relay.EndpointState.WARMING);
        assertTrue(recovery.isOverBudgetByInformedSenders(), "15 of 21 calls are more than two thirds");
    }
}
