package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import kestreldeal.OutageRecoverySimulation.LoadWindow;
import kestreldeal.OutageRecoverySimulation.OutageKind;
import kestreldeal.OutageRecoverySimulation.RateInformation;
import kestreldeal.OutageRecoverySimulation.Scenario;
import org.junit.jupiter.api.Test;

/**
 * Checks the rule on a destination that recovers from an outage with a reduced capacity, for the calls of all senders
 * together: no window of the rule's length may get more than N + 2 x sqrt(N) + 2 calls. All calls count, also those of
 * senders that had seen nothing of the outage.
 */
class OutageRecoveryTest {
    private static final double[] CAPACITIES_PER_S = {5, 20, 80, 300};

    /**
     * The rule is broken only by an overload of which at least this share of the calls came from senders that had seen
     * the outage.
     */
    private static final double MIN_SAW_OUTAGE_SHARE = 2.0 / 3;

    private static void checkWithinBudget(List<Scenario> scenarios) {
        checkWithinBudget(scenarios, 0);
    }

    /**
     * Runs each scenario and prints its worst window. Fails if windows had too many calls of which at least the given
     * share came from senders that had seen the outage.
     */
    private static void checkWithinBudget(List<Scenario> scenarios, double minSawOutageShare) {
        List<String> violations = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            OutageRecoverySimulation simulation = new OutageRecoverySimulation(scenario).run();
            LoadWindow window = simulation.worstWindow();
            String summary = String.format(Locale.ROOT,
                    "%s: %.1f calls of %.1f allowed (N %.1f) from %.0f ms after the outage on, share from senders that "
                    + "saw the outage %.2f; delivered %d, %d since the recovery",
                    scenario, window.calls(), window.allowedCalls(), window.budget(),
                    window.startMs(), window.sawOutageShare(), simulation.delivered(),
                    simulation.deliveredAfterRecovery());
            System.out.println(summary);
            if (window.excessCalls() > 0 && window.sawOutageShare() >= minSawOutageShare) {
                violations.add(summary);
            }
            assertTrue(simulation.deliveredAfterRecovery() > 0, "nothing was delivered after the recovery: " + summary);
        }
        assertEquals(List.of(), violations);
    }

    private static List<Scenario> scenariosWithThirtySenders(boolean restart) {
        List<Scenario> scenarios = new ArrayList<>();
        for (double capacityPerS : CAPACITIES_PER_S) {
            for (RateInformation rateInformation : RateInformation.values()) {
                for (OutageKind outageKind : OutageKind.values()) {
                    scenarios.add(new Scenario(30, capacityPerS, rateInformation, outageKind, restart));
                }
            }
        }
        return scenarios;
    }

    @Test
    void thirtySendersStayWithinTheBudgetOfOneDestination() {
        checkWithinBudget(scenariosWithThirtySenders(false));
    }

    /** Seven senders in ten are killed in the middle of the outage and restart from their journals. */
    @Test
    void thirtySendersStayWithinTheBudgetWhenMostRestartInTheOutage() {
        checkWithinBudget(scenariosWithThirtySenders(true));
    }

    /** Further messages in a call, and calls to each of several endpoints, count for the destination as a whole. */
    @Test
    void batchedCallsToSeveralEndpointsStayWithinTheBudget() {
        List<Scenario> scenarios = new ArrayList<>();
        for (OutageKind outageKind : OutageKind.values()) {
            scenarios.add(new Scenario(30, 60, 0.8, RateInformation.LISTED, outageKind, true, 5, 1, 2));
            scenarios.add(new Scenario(30, 60, 0.8, RateInformation.REPORTED, outageKind, false, 1, 3, 3));
            scenarios.add(new Scenario(30, 60, 1.2, RateInformation.NONE, outageKind, true, 5, 3, 4));
            scenarios.add(new Scenario(30, 10, 0.8, RateInformation.LISTED, outageKind, false, 1, 4, 5));
        }
        checkWithinBudget(scenarios);
    }

    /** Checks the exact rule: if N is below 30, it allows N + 3 x sqrt(N) + 3 calls. */
    @Test
    void fleetsOfSeveralSizesAndSeedsStayWithinTheExactRule() {
        List<Scenario> scenarios = new ArrayList<>();
        for (int senderCount : new int[] {2, 10, 60, 120}) {
            for (OutageKind outageKind : OutageKind.values()) {
                for (long seed = 11; seed <= 12; seed++) {
                    scenarios.add(new Scenario(senderCount, 60, 0.8, RateInformation.LISTED, outageKind, seed == 12, 1,
                            3, seed));
                    scenarios.add(new Scenario(senderCount, 15, 1, RateInformation.REPORTED, outageKind, seed == 11, 5,
                            2, seed));
                }
            }
        }
        List<String> violations = scenarios.stream().map(scenario -> new OutageRecoverySimulation(scenario).run())
                .map(simulation -> simulation.worstWindow(LoadWindow::excessOverRule))
                .filter(window -> window.excessOverRule() > 0)
                .map(LoadWindow::toString).toList();
        assertEquals(List.of(), violations);
    }

    @Test
    void fleetsOfSeveralSizesStayWithinTheBudget() {
        checkWithinBudget(scenariosOfSizes(1, 2, 30, 100));
    }

    /**
     * Most senders of such a fleet have no message for the destination during the whole outage, and nothing tells them
     * of it. Under the rule an overload by their calls doesn't count.
     */
    @Test
    void largeFleetsKeepTheRule() {
        checkWithinBudget(scenariosOfSizes(1024, 5800), MIN_SAW_OUTAGE_SHARE);
    }

    private static List<Scenario> scenariosOfSizes(int... senderCounts) {
        List<Scenario> scenarios = new ArrayList<>();
        for (int senderCount : senderCounts) {
            scenarios.add(new Scenario(senderCount, 100, RateInformation.LISTED, OutageKind.ERRORS,
                    senderCount < 1000));
            scenarios.add(new Scenario(senderCount, 100, RateInformation.NONE, OutageKind.UNREACHABLE,
                    senderCount < 1000));
        }
        return scenarios;
    }
}
