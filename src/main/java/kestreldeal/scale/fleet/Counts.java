package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What a run has counted over the whole fleet. */
final class Counts {
    private static final long MOST_MS = 3_600_000;

    /** What clients wanted delivered, and what they handed in for it. */
    long asked;
    long handedIn;
    long turnedAway;
    /** Given up by their clients, as no sender that they came to was alive. */
    long unanswered;
    long inTime;
    long late;
    long refusedToClients;
    long failed;
    long deliveredAfterEnd;
    /** Calls by senders, and those that reached an endpoint that takes connections. */
    long callsWritten;
    long callsReceived;
    long connects;
    long refused;
    long refusedAboveLimit;
    long trials;
    long firstSends;
    long copies;
    /** Messages in calls that were worked through to the end. */
    long itemsRun;
    long outages;
    long falls;
    /** Falls by the doing of senders that had been told of the outage. */
    long brokenReturns;
    /** Returns with a window over the budget of which over two thirds came from such senders. */
    long toldOverBudget;
    long restarts;
    long changes;
    long callsAfterWord;
    double afterWordMs;
    long callsAfterPublished;
    double afterPublishedMs;
    /** From handing in to delivery, and from a change to its being in force, per sender and at the last of them. */
    final Histogram deliveryMs = new Histogram(MOST_MS, 3);
    final Histogram inForceMs = new Histogram(MOST_MS, 3);
    final Histogram inForceAtAllMs = new Histogram(MOST_MS, 3);
    final List<ColdReturn.Window> coldReturns = new ArrayList<>();

    /** A message was delivered, so long after its client first wanted it. */
    void delivered(double tookMs, boolean wantedBy) {
        inTime += wantedBy ? 1 : 0;
        late += wantedBy ? 0 : 1;
        deliveryMs.recordValue(Math.round(tookMs));
    }

    void coldReturnOver(ColdReturn seen) {
        coldReturns.add(seen.worst());
        toldOverBudget += seen.isBroken() ? 1 : 0;
    }

    /** The window with the highest ratio of calls to what may come; one of nothing if there was none. */
    ColdReturn.Window worstWindow() {
        return coldReturns.stream().reduce(ColdReturn.Window.NONE,
                (a, b) -> b.ratio() > a.ratio() ? b : a);
    }

    /** Returns of which a window had more than may come. */
    long overBudget() {
        return coldReturns.stream().filter(window -> window.ratio() > 1).count();
    }

    double refusedShare() {
        return share(refused, callsReceived);
    }

    double copyShare() {
        return share(copies, firstSends);
    }

    /** Messages that were worked on without being delivered by it, by all worked on. */
    double wastedShare() {
        return share(itemsRun - inTime - late, itemsRun);
    }

    /** All figures by their names, with units. */
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
        ColdReturn.Window worst = worstWindow();
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
