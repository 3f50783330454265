package kestreldeal.net;

/**
 * Learns how long a connection may be idle and still be reused for a call. A middlebox may drop idle connections long
 * before the endpoint would: long-idle connections then break before any response, while fresh ones do not. Losses that
 * affect both alike are not attributed to idling. The counts decay, since an idle time that is avoided yields no new
 * observations.
 */
final class IdleConnectionPolicy {
    /** Buckets of idle times in milliseconds, by powers of two. */
    private static final int STEPS = 16;
    /** Min loss rate at which an idle time is avoided. */
    private static final double LOST_SHARE = 0.2;
    /** Min number of losses at which an idle time is avoided. */
    private static final double LEAST_LOST = 3;
    /** Min ratio of the loss rate to that of fresh connections at which an idle time is avoided. */
    private static final double OVER_FRESH = 2;
    /** Interval at which all counts are halved. */
    private static final long HALF_MS = 10_000;

    /** Counts by bucket; index 0 is for fresh connections. */
    private final double[] uses = new double[STEPS + 1];
    private final double[] losses = new double[STEPS + 1];
    private long halvedAtMs = Long.MIN_VALUE;

    /**
     * Records a call on a connection that had been idle for this time (-1 for a fresh one): whether the connection was
     * lost before the response began.
     */
    void used(long nowMs, long idleMs, boolean lost) {
        fade(nowMs);
        uses[step(idleMs)]++;
        losses[step(idleMs)] += lost ? 1 : 0;
    }

    /** Whether a connection that has been idle for this time may be reused. */
    boolean trusts(long nowMs, long idleMs) {
        fade(nowMs);
        for (int i = 1; i <= step(idleMs); i++) {
            if (losses[i] >= LEAST_LOST && share(i) >= Math.max(LOST_SHARE, OVER_FRESH * share(0))) {
                return false;
            }
        }
        return true;
    }

    private double share(int step) {
        return uses[step] == 0 ? 0 : losses[step] / uses[step];
    }

    private static int step(long idleMs) {
        return idleMs < 0 ? 0 : Math.min(STEPS, 64 - Long.numberOfLeadingZeros(idleMs | 1));
    }

    private void fade(long nowMs) {
        if (halvedAtMs == Long.MIN_VALUE) {
            halvedAtMs = nowMs;
        }
        for (; nowMs - halvedAtMs >= HALF_MS; halvedAtMs += HALF_MS) {
            for (int i = 0; i <= STEPS; i++) {
                uses[i] /= 2;
                losses[i] /= 2;
            }
        }
    }
}
