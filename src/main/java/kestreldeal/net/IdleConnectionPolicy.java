package kestreldeal.net;

/**
 * How long a connection may idle and still be trusted with a call. Something on the way may drop idle connections
 * long before their endpoint would: it shows as losses, before any answer, on connections that idled for long,
 * where fresh ones hold. Losses that strike both alike tell nothing of idling. What is known fades, since an idle
 * time that is avoided brings no news.
 */
final class IdleConnectionPolicy {
    /** Idle times by powers of two, in milliseconds. */
    private static final int STEPS = 16;
    /** So much of the uses after an idle time must be lost, at so many losses at least. */
    private static final double LOST_SHARE = 0.2;
    private static final double LEAST_LOST = 3;
    /** And so many times the share that is lost on fresh connections. */
    private static final double OVER_FRESH = 2;
    /** All counts are halved so often. */
    private static final long HALF_MS = 10_000;

    /** Index 0 is for fresh connections. */
    private final double[] uses = new double[STEPS + 1];
    private final double[] losses = new double[STEPS + 1];
    private long halvedAtMs = Long.MIN_VALUE;

    /** A call began to be answered, or was lost before that, on a connection that had idled so long; fresh: -1. */
    void used(long nowMs, long idleMs, boolean lost) {
        fade(nowMs);
        uses[step(idleMs)]++;
        losses[step(idleMs)] += lost ? 1 : 0;
    }

    /** Whether a connection that has idled for so long may take a call. */
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
