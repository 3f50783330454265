package kestreldeal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * Decides when an endpoint that is not listed is forgotten. A list may omit one by mistake, so it is kept for
 * a while, and for as long as it is in use. Times are in milliseconds.
 */
final class UnlistedEndpoints {
    private static final double RETENTION_MS = 30_000;

    private static final class Retention {
        private final double sinceMs;
        private double untilMs = Double.NEGATIVE_INFINITY;

        Retention(double sinceMs) {
            this.sinceMs = sinceMs;
        }
    }

    /** By endpoint, in the order in which they were added. */
    private final Map<Long, Retention> retentions = new LinkedHashMap<>();
    private final Runnable countOperation;

    /** Runs {@code countOperation} for each endpoint that is looked at, to measure the cost. */
    UnlistedEndpoints(Runnable countOperation) {
        this.countOperation = countOperation;
    }

    /** Adds an endpoint that is not listed; it keeps its time if it was added before. */
    void add(long endpoint, double nowMs) {
        retentions.computeIfAbsent(endpoint, k -> new Retention(nowMs));
    }

    /** Keeps an endpoint that was added until this time at least. */
    void keepUntil(long endpoint, double untilMs) {
        Retention retention = retentions.get(endpoint);
        retention.untilMs = Math.max(retention.untilMs, untilMs);
    }

    /** Removes an endpoint, which has been listed. */
    void remove(long endpoint) {
        retentions.remove(endpoint);
    }

    boolean contains(long endpoint) {
        return retentions.containsKey(endpoint);
    }

    /** Whether this time is so long ago that nothing depends on what happened then. */
    static boolean isRetentionOver(double sinceMs, double nowMs) {
        return nowMs > sinceMs + RETENTION_MS;
    }

    /** Removes and returns the endpoints to be forgotten now; those that are in use are kept. */
    List<Long> removeExpired(double nowMs, LongPredicate inUse) {
        List<Long> expired = new ArrayList<>();
        for (Map.Entry<Long, Retention> entry : retentions.entrySet()) {
            countOperation.run();
            if (!isRetentionOver(entry.getValue().sinceMs, nowMs)) {
                break;
            }
            if (entry.getValue().untilMs <= nowMs && !inUse.test(entry.getKey())) {
                expired.add(entry.getKey());
            }
        }
        expired.forEach(retentions::remove);
        return expired;
    }
}
