package kestreldeal.net;

import java.util.concurrent.TimeUnit;

/**
 * Limit on the number of client connections. It is lowered when this process runs out of file descriptors, and then
 * rises step by step to the configured value again. All times are values of {@link System#nanoTime}.
 */
final class ClientConnectionLimit {
    /** Number of descriptors to free when none is left; also the minimum of the limit. */
    static final int SPARE = 32;
    /** After each interval without another shortage the limit rises by one step. */
    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int STEP = SPARE / 4;

    private int configured;
    private int most;
    private long changedNanos;

    ClientConnectionLimit(int configured) {
        set(configured);
    }

    /** Sets the value that the configuration, or another process sharing the descriptors, allows for. */
    void set(int allowed) {
        configured = allowed;
        most = allowed;
    }

    /** Lowers the limit because no descriptor is left while this many clients are connected. */
    void lower(int clients, long nowNanos) {
        most = Math.min(configured, Math.max(SPARE, clients - SPARE));
        changedNanos = nowNanos;
    }

    /** The limit at this time. */
    int most(long nowNanos) {
        while (most < configured && nowNanos - changedNanos >= STEP_NANOS) {
            most = Math.min(configured, most + STEP);
            changedNanos += STEP_NANOS;
        }
        return most;
    }
}
