package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counters and histograms of a simulation run, over the whole fleet. */
final class Counts {
    private static final long MAX_MS = 3_600_000;

    /** Requests of clients, and the submissions that senders accepted for them; a retry is another submission. */
    long requests;
    long submissions;
    /** Requests whose last submission was rejected because the sender had too many pending messages. */
    long rejectedAtCapacity;
    /** Requests given up because the last sender tried was down and too little time was left to try another. */
    long noSenderReached;
    /** Requests delivered within and after the target latency of their class. */
    long deliveredInTime;
    long deliveredLate;
    /** Requests whose last submission was accepted, but then rejected by the module. */
    long rejectedBySenders;
    long failed;
    long deliveredAfterResult;
    /** Calls written by senders, and those that reached an endpoint that accepts connections. */
    long callsWritten;
    long callsReceived;
    /** Connections that senders tried to open. */
    long connects;
    /** Calls refused by endpoints, and those of them that were refused by a rate limit. */
    long callsRefused;
    long callsRefusedByLimit;
    /** Attempts to an endpoint that the sender assumes to be in an outage. */
    long probes;
    long firstAttempts;
    long hedgedAttempts;
    /** Messages in calls that an endpoint processed to the end. */
    long messagesProcessed;
    long outages;
    /** Collapses of recovering destinations under more calls than their load budget. */
    long collapses;
    /** Collapses that were mostly caused by senders that had learned of the outage. */
    long collapsesByInformedSenders;
    /** Recoveries with a window over budget, more than two thirds of it from senders that had learned of the outage. */
    long recoveriesOverBudgetByInformedSenders;
    long restarts;
    long listChanges;
    /** Attempts to draining or removed endpoints after their sender was notified, and the longest time after that. */
    long attemptsAfterDrainNotification;
    double maxMsAfterDrainNotification;
    /** The same, counted from the publication by discovery. */
    long attemptsAfterDrainPublication;
    double maxMsAfterDrainPublication;
    /** Time from the first submission of a request to its delivery. */
    final Histogram deliveryLatencyMs = new Histogram(MAX_MS, 3);
    /** Time from the publication of a change until a sender's agent has it, for each agent and for the last one. */
    final Histogram propagationMs = new Histogram(MAX_MS, 3);
    final Histogram fullPropagationMs = new Histogram(MAX_MS, 3);
    /** The worst window of each recovery. */
    final List<DestinationRecovery.LoadWindow> worstWindows = new ArrayList<>();

    /** Records a delivery, with the time since the first submission of the request. */
    void recordDelivery(double latencyMs, boolean inTime) {
        deliveredInTime += inTime ? 1 : 0;
        deliveredLate += inTime ? 0 : 1;
        deliveryLatencyMs.recordValue(Math.round(latencyMs));
    }

    void recoveryEnded(DestinationRecovery recovery) {
        worstWindows.add(recovery.worstWindow());
        recoveriesOverBudgetByInformedSenders += recovery.isOverBudgetByInformedSenders() ? 1 : 0;
    }

    /** The window with the highest ratio of calls to its budget, or {@link DestinationRecovery.LoadWindow#NONE}. */
    DestinationRecovery.LoadWindow worstWindow() {
        return worstWindows.stream().reduce(DestinationRecovery.LoadWindow.NONE,
                (a, b) -> b.ratio() > a.ratio() ? b : a);
    }

    /** Number of recoveries with a window over its budget. */
    long recoveriesOverBudget() {
        return worstWindows.stream().filter(window -> window.ratio() > 1).count();
    }

    double refusedCallShare() {
        return share(callsRefused, callsReceived);
    }

    double hedgingShare() {
        return share(hedgedAttempts, firstAttempts);
    }

    /** The share of processed messages whose processing did not deliver them. */
    double wastedShare() {
        return share(messagesProcessed - deliveredInTime - deliveredLate, messagesProcessed);
    }

    /** All values by their names in the results. */
    Map<String, Object> values() {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("asked", requests);
        values.put("handedIn", submissions);
        values.put("turnedAway", rejectedAtCapacity);
        values.put("unanswered", noSenderReached);
        values.put("deliveredInTime", deliveredInTime);
        values.put("deliveredLate", deliveredLate);
        values.put("refusedToClients", rejectedBySenders);
        values.put("failed", failed);
        values.put("deliveredAfterEnd", deliveredAfterResult);
        values.put("callsWritten", callsWritten);
        values.put("callsReceived", callsReceived);
        values.put("connects", connects);
        values.put("refused", callsRefused);
        values.put("refusedAboveLimit", callsRefusedByLimit);
        values.put("refusedShare", refusedCallShare());
        values.put("trials", probes);
        values.put("probes", 0);
        values.put("firstSends", firstAttempts);
        values.put("copies", hedgedAttempts);
        values.put("copyShare", hedgingShare());
        values.put("itemsRun", messagesProcessed);
        values.put("wastedShare", wastedShare());
        values.put("outages", outages);
        values.put("coldReturns", worstWindows.size());
        DestinationRecovery.LoadWindow worst = worstWindow();
        values.put("coldWorstRatio", worst.ratio());
        values.put("coldWorstCalls", worst.calls());
        values.put("coldWorstMost", worst.maxCalls());
        values.put("coldWorstToldCalls", worst.informedCalls());
        values.put("coldWorstHeldUpCalls", worst.assumedUpCalls());
        values.put("coldWorstTrials", worst.probes());
        values.put("coldWorstAfter", worst.outageState().toString());
        values.put("coldWorstEndMs", worst.endMs());
        values.put("coldOverBudget", recoveriesOverBudget());
        values.put("coldToldOverBudget", recoveriesOverBudgetByInformedSenders);
        values.put("falls", collapses);
        values.put("brokenReturns", collapsesByInformedSenders);
        values.put("restarts", restarts);
        values.put("changes", listChanges);
        values.put("callsAfterWord", attemptsAfterDrainNotification);
        values.put("afterWordMostMs", maxMsAfterDrainNotification);
        values.put("callsAfterPublished", attemptsAfterDrainPublication);
        values.put("afterPublishedMostMs", maxMsAfterDrainPublication);
        values.put("inForceMedianMs", propagationMs.getValueAtPercentile(50));
        values.put("inForceMostMs", propagationMs.getMaxValue());
        values.put("inForceAtAllMedianMs", fullPropagationMs.getValueAtPercentile(50));
        values.put("inForceAtAllMostMs", fullPropagationMs.getMaxValue());
        values.put("deliveryMedianMs", deliveryLatencyMs.getValueAtPercentile(50));
        values.put("delivery99Ms", deliveryLatencyMs.getValueAtPercentile(99));
        return values;
    }

    private static double share(long part, long total) {
        return total == 0 ? 0 : (double) part / total;
    }
}
