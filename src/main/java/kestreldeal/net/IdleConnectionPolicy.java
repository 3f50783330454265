package kestreldeal.net;

/**
 * Learns how long a connection may be idle and still be reused for a call. A middlebox may drop idle connections long
 * before the endpoint would: long-idle connections then break before any response, while fresh ones do not. Losses that
 * affect both alike are not attributed to idling. The counts decay, since an idle time that is avoided yields no new
 * observations.
 */
final class IdleConnectionPolicy {
    /** Buckets of idle times in milliseconds, by powers of two. */
    private static final int BUCKETS = 16;
    /** Min loss rate at which an idle time is avoided. */
    private static final double MIN_LOSS_RATE = 0.2;
    /** Min number of losses at which an idle time is avoided. */
    private static final double MIN_LOSSES = 3;
    /** Min ratio of the loss rate to that of fresh connections at which an idle time is avoided. */
    private static final double MIN_RATIO_TO_FRESH = 2;
    /** Interval at which all counts are halved. */
    private static final long HALF_LIFE_MS = 10_000;

    /** Counts by bucket; index 0 is for fresh connections. */
    private final double[] uses = new double[BUCKETS + 1];
    private final double[] losses = new double[BUCKETS + 1];
    private long lastHalvedMs = Long.MIN_VALUE;

    /**
     * Records a call on a connection that had been idle for this time (-1 for a fresh one): whether the connection was
     * lost before the response began.
     */
    void recordUse(long nowMs, long idleMs, boolean lost) {
        decay(nowMs);
        uses[bucketOf(idleMs)]++;
        losses[bucketOf(idleMs)] += lost ? 1 : 0;
    }

    /** Whether a connection that has been idle for this time may be reused. */
    boolean mayReuse(long nowMs, long idleMs) {
        decay(nowMs);
        for (int i = 1; i <= bucketOf(idleMs); i++) {
            if (losses[i] >= MIN_LOSSES && lossRate(i) >= Math.max(MIN_LOSS_RATE, MIN_RATIO_TO_FRESH * lossRate(0))) {
                return false;
            }
        }
        return true;
    }

    private double lossRate(int bucket) {
        return uses[bucket] == 0 ? 0 : losses[bucket] / uses[bucket];
    }

    private static int bucketOf(long idleMs) {
        return idleMs < 0 ? 0 : Math.min(BUCKETS, 64 - Long.numberOfLeadingZeros(idleMs | 1));
    }

    private void decay(long nowMs) {
        if (lastHalvedMs == Long.MIN_VALUE) {
            lastHalvedMs = nowMs;
        }
        for (; nowMs - lastHalvedMs >= HALF_LIFE_MS; lastHalvedMs += HALF_LIFE_MS) {
            for (int i = 0; i <= BUCKETS; i++) {
                uses[i] /= 2;
                losses[i] /= 2;
            }
        }
    }
}
