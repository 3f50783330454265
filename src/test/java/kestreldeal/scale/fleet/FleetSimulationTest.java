package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates small fleets in every scenario: all invariants must hold, and the counts and their growth with the number
 * of senders must stay within bounds.
 */
class FleetSimulationTest {
    private static Counts simulate(int senderCount, Scenario scenario, long seed) {
        return simulate(senderCount, 15, 40, scenario, seed);
    }

    private static Counts simulate(int senderCount, int destinationCount, double seconds, Scenario scenario,
            long seed) {
        return new FleetSimulation(new FleetSettings(senderCount, destinationCount, 4, seconds, seed, scenario, false,
                FleetModel.STANDARD))
                .run((nowMs, eventCount) -> { });
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void everyMessageHasOneResultAndCountsStayInBounds(Scenario scenario) {
        Counts counts = simulate(30, scenario, 3);
        String values = counts.values().toString();
        assertEquals(counts.requests, counts.deliveredInTime + counts.deliveredLate + counts.rejectedBySenders
                + counts.failed + counts.rejectedAtCapacity + counts.noSenderReached, values);
        assertTrue(counts.requests > 1500, values);
        assertEquals(0, counts.attemptsAfterDrainNotification, values);
        assertTrue(counts.refusedCallShare() < 0.1, values);
        assertTrue(counts.hedgingShare() <= 0.1, values);
        assertTrue(counts.wastedShare() < 0.1, values);
        assertTrue(counts.listChanges >= 9 && counts.fullPropagationMs.getTotalCount() == counts.listChanges, values);
        assertTrue(counts.fullPropagationMs.getMaxValue() <= 6000, values);
        assertTrue(scenario != Scenario.RESTARTS && scenario != Scenario.ZONE || counts.restarts > 0, values);
        boolean hasOutages = scenario == Scenario.DOWN || scenario == Scenario.RETURN;
        assertTrue(!hasOutages || counts.outages > 0 && counts.worstWindows.size() == counts.outages
                && counts.probes > 0, values);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ZONE")
    void recoveriesStayWithinTheirLoadBudget(Scenario scenario) {
        assertNoRecoveryOverBudget(scenario);
    }

    /** Separate from the other scenarios, because it can fail where they pass. */
    @Test
    void recoveriesOfALostZoneStayWithinTheirLoadBudget() {
        assertNoRecoveryOverBudget(Scenario.ZONE);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 10, 60, 120})
    void recoveriesStayWithinTheirLoadBudgetInFleetsOfAllSizes(int senderCount) {
        for (Scenario scenario : List.of(Scenario.DOWN, Scenario.RETURN, Scenario.ZONE)) {
            for (long seed = 1; seed <= 2; seed++) {
                Counts counts = simulate(senderCount, scenario, seed);
                assertTrue(!counts.worstWindows.isEmpty(), scenario + ", seed " + seed);
                assertEquals(0, counts.recoveriesOverBudget(), scenario + ", seed " + seed + ": " + counts.values());
            }
        }
    }

    private static void assertNoRecoveryOverBudget(Scenario scenario) {
        Counts counts = simulate(30, scenario, 3);
        assertEquals(0, counts.recoveriesOverBudget(), counts.values().toString());
    }

    @Test
    void equalSeedsGiveEqualCounts() {
        assertEquals(simulate(20, Scenario.RETURN, 9).values(), simulate(20, Scenario.RETURN, 9).values());
        assertNotEquals(simulate(20, Scenario.RETURN, 9).values(), simulate(20, Scenario.RETURN, 10).values());
    }

    /** The load of a hundred senders on the same destinations must be far less than ten times that of ten senders. */
    @Test
    void totalLoadGrowsSlowerThanTheNumberOfSenders() {
        Counts few = simulate(10, 30, 60, Scenario.RETURN, 4);
        Counts many = simulate(100, 30, 60, Scenario.RETURN, 4);
        assertTrue(few.probes > 0 && many.probes < 3 * few.probes, few.probes + " probes, then " + many.probes);
        assertTrue(many.callsRefused < 4 * few.callsRefused, few.callsRefused + " refused calls, then "
                + many.callsRefused);
        assertTrue(many.connects > few.connects, "senders with less traffic each reuse fewer idle connections");
    }
}
