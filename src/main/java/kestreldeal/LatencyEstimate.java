package kestreldeal;

/** Mean latency of an endpoint's deliveries and its mean absolute deviation, as moving averages in milliseconds. */
final class LatencyEstimate {
    private static final double SAMPLE_WEIGHT = 0.15;
    private static final double INITIAL_MS = 250;
    /** An endpoint with a mean latency up to this counts as fast: it frees its slots soon. */
    private static final double FAST_MS = 250;
    private static final double OVERDUE_DEVIATION_FACTOR = 4;
    private static final double SLOWEST_DEVIATION_FACTOR = 8;

    private double mean = INITIAL_MS;
    private double deviation = INITIAL_MS / 2;

    double mean() {
        return mean;
    }

    double deviation() {
        return deviation;
    }

    void restore(double meanMs, double deviationMs) {
        mean = meanMs;
        deviation = deviationMs;
    }

    void addSample(double latencyMs) {
        deviation += SAMPLE_WEIGHT * (Math.abs(latencyMs - mean) - deviation);
        mean += SAMPLE_WEIGHT * (latencyMs - mean);
    }

    /** Starts the mean again, as the latency after an outage says more than that before it. */
    void restartMean(double latencyMs) {
        mean = latencyMs;
    }

    boolean isFast() {
        return mean <= FAST_MS;
    }

    /** A latency that is rarely exceeded. */
    double overdueAfter() {
        return mean + OVERDUE_DEVIATION_FACTOR * deviation;
    }

    /** The slowest likely latency. */
    double slowest() {
        return mean + SLOWEST_DEVIATION_FACTOR * deviation;
    }
}
