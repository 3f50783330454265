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
    private static Counts play(int senders, Scenario scenario, long seed) {
        return play(senders, 15, 40, scenario, seed);
    }

    private static Counts play(int senders, int destinations, double seconds, Scenario scenario, long seed) {
        return new FleetSimulation(new FleetSettings(senders, destinations, 4, seconds, seed, scenario, false, FleetModel.STANDARD))
                .run((now, events) -> { });
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void everyMessageHasOneEndAndCountsStayInBounds(Scenario scenario) {
        Counts c = play(30, scenario, 3);
        String figures = c.figures().toString();
        assertEquals(c.asked, c.inTime + c.late + c.refusedToClients + c.failed + c.turnedAway + c.unanswered, figures);
        assertTrue(c.asked > 1500, figures);
        assertEquals(0, c.callsAfterWord, figures);
        assertTrue(c.refusedShare() < 0.1, figures);
        assertTrue(c.copyShare() <= 0.1, figures);
        assertTrue(c.wastedShare() < 0.1, figures);
        assertTrue(c.changes >= 9 && c.inForceAtAllMs.getTotalCount() == c.changes, figures);
        assertTrue(c.inForceAtAllMs.getMaxValue() <= 6000, figures);
        assertTrue(scenario != Scenario.RESTARTS && scenario != Scenario.ZONE || c.restarts > 0, figures);
        boolean returns = scenario == Scenario.DOWN || scenario == Scenario.RETURN;
        assertTrue(!returns || c.outages > 0 && c.coldReturns.size() == c.outages && c.trials > 0, figures);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ZONE")
    void coldReturnsStayWithinTheirBudget(Scenario scenario) {
        assertNoneIsOverItsBudget(scenario);
    }

    /** Separate from the other scenarios, because it can fail where they pass. */
    @Test
    void coldReturnsInALostZoneStayWithinTheirBudget() {
        assertNoneIsOverItsBudget(Scenario.ZONE);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 10, 60, 120})
    void soTheyDoInFleetsOfEverySize(int senders) {
        for (Scenario scenario : List.of(Scenario.DOWN, Scenario.RETURN, Scenario.ZONE)) {
            for (long seed = 1; seed <= 2; seed++) {
                Counts c = play(senders, scenario, seed);
                assertTrue(!c.coldReturns.isEmpty(), scenario + ", seed " + seed);
                assertEquals(0, c.overBudget(), scenario + ", seed " + seed + ": " + c.figures());
            }
        }
    }

    private static void assertNoneIsOverItsBudget(Scenario scenario) {
        Counts c = play(30, scenario, 3);
        assertEquals(0, c.overBudget(), c.figures().toString());
    }

    @Test
    void equalSeedsGiveEqualFigures() {
        assertEquals(play(20, Scenario.RETURN, 9).figures(), play(20, Scenario.RETURN, 9).figures());
        assertNotEquals(play(20, Scenario.RETURN, 9).figures(), play(20, Scenario.RETURN, 10).figures());
    }

    /** The load of a hundred senders on the same destinations must be far less than ten times that of ten senders. */
    @Test
    void theSumGrowsSlowerThanTheSenders() {
        Counts few = play(10, 30, 60, Scenario.RETURN, 4);
        Counts many = play(100, 30, 60, Scenario.RETURN, 4);
        assertTrue(few.trials > 0 && many.trials < 3 * few.trials, few.trials + " probes, then " + many.trials);
        assertTrue(many.refused < 4 * few.refused, few.refused + " refused calls, then " + many.refused);
        assertTrue(many.connects > few.connects, "senders with less traffic each reuse fewer idle connections");
    }
}
