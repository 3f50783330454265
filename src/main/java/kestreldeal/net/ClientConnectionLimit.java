package kestreldeal.net;

import java.util.concurrent.TimeUnit;

/**
 * Limit on the number of client connections. It is lowered when this process runs out of file descriptors, and then
 * rises step by step to the configured value again. All times are values of {@link System#nanoTime}.
 */
final class ClientConnectionLimit {
    /** Number of descriptors to free when none is left; also the minimum of the limit. */
    static final int SPARE_DESCRIPTORS = 32;
    /** After each interval without another shortage the limit rises by one step. */
    private static final long RAISE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int RAISE_STEP = SPARE_DESCRIPTORS / 4;

    private int configured;
    private int limit;
    private long lastChangeNanos;

    ClientConnectionLimit(int configured) {
        setConfigured(configured);
    }

    /** Sets the value that the configuration, or another process sharing the descriptors, allows for. */
    void setConfigured(int allowed) {
        configured = allowed;
        limit = allowed;
    }

    /** Lowers the limit because no descriptor is left while this many clients are connected. */
    void lower(int clients, long nowNanos) {
        limit = Math.min(configured, Math.max(SPARE_DESCRIPTORS, clients - SPARE_DESCRIPTORS));
        lastChangeNanos = nowNanos;
    }

    /** The limit at this time. */
    int current(long nowNanos) {
        while (limit < configured && nowNanos - lastChangeNanos >= RAISE_INTERVAL_NANOS) {
            limit = Math.min(configured, limit + RAISE_STEP);
            lastChangeNanos += RAISE_INTERVAL_NANOS;
        }
        return limit;
    }
}
