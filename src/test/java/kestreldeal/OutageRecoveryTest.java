package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import kestreldeal.OutageRecoverySimulation.Outage;
import kestreldeal.OutageRecoverySimulation.Plan;
import kestreldeal.OutageRecoverySimulation.Rates;
import kestreldeal.OutageRecoverySimulation.Worst;
import org.junit.jupiter.api.Test;

/**
 * Checks the rule on a destination that recovers from an outage with a reduced capacity, for the calls of all senders
 * together: no window of the rule's length may get more than N + 2 x sqrt(N) + 2 calls. All calls count, also those of
 * senders that had seen nothing of the outage.
 */
class OutageRecoveryTest {
    private static final double[] CAPACITIES = {5, 20, 80, 300};

    /**
     * The rule is broken only by an overload of which at least this share of the calls came from senders that had seen
     * the outage.
     */
    private static final double TOLD_SHARE = 2.0 / 3;

    private static void holds(List<Plan> plans) {
        holds(plans, 0);
    }

    /**
     * Runs each scenario and prints its worst window. Fails if windows had too many calls of which at least the given
     * share came from senders that had seen the outage.
     */
    private static void holds(List<Plan> plans, double toldShare) {
        List<String> over = new ArrayList<>();
        for (Plan plan : plans) {
            OutageRecoverySimulation fleet = new OutageRecoverySimulation(plan).run();
            Worst worst = fleet.worst();
            String line = String.format(Locale.ROOT, "%s: %.1f calls of %.1f allowed (N %.1f) from %.0f ms after the "
                    + "recovery on, share from senders that saw the outage %.2f; delivered %d, %d since the recovery", plan, worst.calls(), worst.allowed(), worst.budget(),
                    worst.from(), worst.toldShare(), fleet.delivered(), fleet.deliveredCold());
            System.out.println(line);
            if (worst.over() > 0 && worst.toldShare() >= toldShare) {
                over.add(line);
            }
            assertTrue(fleet.deliveredCold() > 0, "nothing was delivered after the recovery: " + line);
        }
        assertEquals(List.of(), over);
    }

    private static List<Plan> thirty(boolean restart) {
        List<Plan> plans = new ArrayList<>();
        for (double capacity : CAPACITIES) {
            for (Rates rates : Rates.values()) {
                for (Outage outage : Outage.values()) {
                    plans.add(new Plan(30, capacity, rates, outage, restart));
                }
            }
        }
        return plans;
    }

    @Test
    void thirtySendersStayWithinTheBudgetOfOneDestination() {
        holds(thirty(false));
    }

    /** Seven senders in ten are killed in the middle of the outage and restart from their journals. */
    @Test
    void soTheyDoWhereMostAreRestartedInTheOutage() {
        holds(thirty(true));
    }

    /** Further messages in a call, and calls to each of several endpoints, count for the destination as a whole. */
    @Test
    void callsOfSeveralMessagesAndSeveralEndpointsStayWithinIt() {
        List<Plan> plans = new ArrayList<>();
        for (Outage outage : Outage.values()) {
            plans.add(new Plan(30, 60, 0.8, Rates.LISTED, outage, true, 5, 1, 2));
            plans.add(new Plan(30, 60, 0.8, Rates.TOLD, outage, false, 1, 3, 3));
            plans.add(new Plan(30, 60, 1.2, Rates.NONE, outage, true, 5, 3, 4));
            plans.add(new Plan(30, 10, 0.8, Rates.LISTED, outage, false, 1, 4, 5));
        }
        holds(plans);
    }

    /** Checks the exact rule: if N is below 30, it allows N + 3 x sqrt(N) + 3 calls. */
    @Test
    void soTheyDoInFleetsOfEverySizeAndOnOtherDraws() {
        List<Plan> plans = new ArrayList<>();
        for (int senders : new int[] {2, 10, 60, 120}) {
            for (Outage outage : Outage.values()) {
                for (long seed = 11; seed <= 12; seed++) {
                    plans.add(new Plan(senders, 60, 0.8, Rates.LISTED, outage, seed == 12, 1, 3, seed));
                    plans.add(new Plan(senders, 15, 1, Rates.TOLD, outage, seed == 11, 5, 2, seed));
                }
            }
        }
        List<String> over = plans.stream().map(plan -> new OutageRecoverySimulation(plan).run())
                .map(fleet -> fleet.worst(Worst::overTheRule)).filter(worst -> worst.overTheRule() > 0)
                .map(Worst::toString).toList();
        assertEquals(List.of(), over);
    }

    @Test
    void fleetsOfEverySizeStayWithinIt() {
        holds(sizes(1, 2, 30, 100));
    }

    /**
     * Most senders of such a fleet have no message for the destination during the whole outage, and nothing tells them
     * of it. Under the rule an overload by their calls doesn't count.
     */
    @Test
    void largeFleetsBreakNoRule() {
        holds(sizes(1024, 5800), TOLD_SHARE);
    }

    private static List<Plan> sizes(int... all) {
        List<Plan> plans = new ArrayList<>();
        for (int senders : all) {
            plans.add(new Plan(senders, 100, Rates.LISTED, Outage.FAILS, senders < 1000));
            plans.add(new Plan(senders, 100, Rates.NONE, Outage.REFUSES, senders < 1000));
        }
        return plans;
    }
}
