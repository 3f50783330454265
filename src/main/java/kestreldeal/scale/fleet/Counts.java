package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counters and histograms of a simulation run, over the whole fleet. */
final class Counts {
    private static final long MOST_MS = 3_600_000;

    /** Requests of clients, and the submissions that senders accepted for them; a retry is another submission. */
    long asked;
    long handedIn;
    /** Requests whose last submission was rejected because the sender had too many pending messages. */
    long turnedAway;
    /** Requests given up because the last sender tried was down and too little time was left to try another. */
    long unanswered;
    /** Requests delivered within and after the target latency of their class. */
    long inTime;
    long late;
    /** Requests whose last submission was accepted, but then rejected by the module. */
    long refusedToClients;
    long failed;
    long deliveredAfterEnd;
    /** Calls written by senders, and those that reached an endpoint that accepts connections. */
    long callsWritten;
    long callsReceived;
    long connects;
    /** Calls refused by endpoints, and those of them that were refused by a rate limit. */
    long refused;
    long refusedAboveLimit;
    /** Attempts to an endpoint that the sender assumes to be in an outage. */
    long trials;
    long firstSends;
    long copies;
    /** Messages in calls that an endpoint processed to the end. */
    long itemsRun;
    long outages;
    /** Collapses of recovering destinations under more calls than their load budget. */
    long falls;
    /** Collapses that were mostly caused by senders that had learned of the outage. */
    long brokenReturns;
    /** Recoveries with a window over budget, more than two thirds of it from senders that had learned of the outage. */
    long toldOverBudget;
    long restarts;
    long changes;
    /** Attempts to draining or removed endpoints after their sender was notified, and the longest time after that. */
    long callsAfterWord;
    double afterWordMs;
    /** The same, counted from the publication by discovery. */
    long callsAfterPublished;
    double afterPublishedMs;
    /** Time from the first submission of a request to its delivery. */
    final Histogram deliveryMs = new Histogram(MOST_MS, 3);
    /** Time from the publication of a change until a sender's agent has it, for each agent and for the last one. */
    final Histogram inForceMs = new Histogram(MOST_MS, 3);
    final Histogram inForceAtAllMs = new Histogram(MOST_MS, 3);
    /** The worst window of each recovery. */
    final List<DestinationRecovery.LoadWindow> coldReturns = new ArrayList<>();

    /** Records a delivery, with the time since the first submission of the request. */
    void delivered(double tookMs, boolean wantedBy) {
        inTime += wantedBy ? 1 : 0;
        late += wantedBy ? 0 : 1;
        deliveryMs.recordValue(Math.round(tookMs));
    }

    void coldReturnOver(DestinationRecovery seen) {
        coldReturns.add(seen.worst());
        toldOverBudget += seen.isBroken() ? 1 : 0;
    }

    /** The window with the highest ratio of calls to its budget, or {@link DestinationRecovery.LoadWindow#NONE}. */
    DestinationRecovery.LoadWindow worstWindow() {
        return coldReturns.stream().reduce(DestinationRecovery.LoadWindow.NONE,
                (a, b) -> b.ratio() > a.ratio() ? b : a);
    }

    /** Number of recoveries with a window over its budget. */
    long overBudget() {
        return coldReturns.stream().filter(window -> window.ratio() > 1).count();
    }

    double refusedShare() {
        return share(refused, callsReceived);
    }

    double copyShare() {
        return share(copies, firstSends);
    }

    /** The share of processed messages whose processing did not deliver them. */
    double wastedShare() {
        return share(itemsRun - inTime - late, itemsRun);
    }

    /** All values by their names in the results. */
    Map<String, Object> figures() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("asked", asked);
        all.put("handedIn", handedIn);
        all.put("turnedAway", turnedAway);
        all.put("unanswered", unanswered);
        all.put("deliveredInTime", inTime);
        all.put("deliveredLate", late);
        all.put("refusedToClients", refusedToClients);
        all.put("failed", failed);
        all.put("deliveredAfterEnd", deliveredAfterEnd);
        all.put("callsWritten", callsWritten);
        all.put("callsReceived", callsReceived);
        all.put("connects", connects);
        all.put("refused", refused);
        all.put("refusedAboveLimit", refusedAboveLimit);
        all.put("refusedShare", refusedShare());
        all.put("trials", trials);
        all.put("probes", 0);
        all.put("firstSends", firstSends);
        all.put("copies", copies);
        all.put("copyShare", copyShare());
        all.put("itemsRun", itemsRun);
        all.put("wastedShare", wastedShare());
        all.put("outages", outages);
        all.put("coldReturns", coldReturns.size());
        DestinationRecovery.LoadWindow worst = worstWindow();
        all.put("coldWorstRatio", worst.ratio());
        all.put("coldWorstCalls", worst.calls());
        all.put("coldWorstMost", worst.most());
        all.put("coldWorstToldCalls", worst.told());
        all.put("coldWorstHeldUpCalls", worst.heldUp());
        all.put("coldWorstTrials", worst.trials());
        all.put("coldWorstAfter", worst.after().toString());
        all.put("coldWorstEndMs", worst.endMs());
        all.put("coldOverBudget", overBudget());
        all.put("coldToldOverBudget", toldOverBudget);
        all.put("falls", falls);
        all.put("brokenReturns", brokenReturns);
        all.put("restarts", restarts);
        all.put("changes", changes);
        all.put("callsAfterWord", callsAfterWord);
        all.put("afterWordMostMs", afterWordMs);
        all.put("callsAfterPublished", callsAfterPublished);
        all.put("afterPublishedMostMs", afterPublishedMs);
        all.put("inForceMedianMs", inForceMs.getValueAtPercentile(50));
        all.put("inForceMostMs", inForceMs.getMaxValue());
        all.put("inForceAtAllMedianMs", inForceAtAllMs.getValueAtPercentile(50));
        all.put("inForceAtAllMostMs", inForceAtAllMs.getMaxValue());
        all.put("deliveryMedianMs", deliveryMs.getValueAtPercentile(50));
        all.put("delivery99Ms", deliveryMs.getValueAtPercentile(99));
        return all;
    }

    private static double share(long part, long all) {
        return all == 0 ? 0 : (double) part / all;
    }
}
