package kestreldeal.net;

import java.util.concurrent.TimeUnit;

/**
 * How many clients may have a connection: as many as the configuration allows for, or fewer for a while once this process
 * had no descriptor left. All times are of {@link System#nanoTime}.
 */
final class ClientConnectionLimit {
    /** Descriptors that clients leave free then, and clients that may stay at least. */
    static final int SPARE = 32;
    /** So long without another shortage let so many more clients stay. */
    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int STEP = SPARE / 4;

    private int configured;
    private int most;
    private long changedNanos;

    ClientConnectionLimit(int configured) {
        set(configured);
    }

    /** The configuration, or another process on the same descriptors, allows for so many. */
    void set(int allowed) {
        configured = allowed;
        most = allowed;
    }

    /** Clients hold the last descriptor, so many of them. */
    void lower(int clients, long nowNanos) {
        most = Math.min(configured, Math.max(SPARE, clients - SPARE));
        changedNanos = nowNanos;
    }

    /** How many may stay now. */
    int most(long nowNanos) {
        while (most < configured && nowNanos - changedNanos >= STEP_NANOS) {
            most = Math.min(configured, most + STEP);
            changedNanos += STEP_NANOS;
        }
        return most;
    }
}
