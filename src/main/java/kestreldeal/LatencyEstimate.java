package kestreldeal;

/**
 * Mean latency of an endpoint's deliveries and its mean absolute deviation, as moving averages in milliseconds. The
 * estimates are values, as most endpoints of a long list are never called and share the initial one.
 */
record LatencyEstimate(double mean, double deviation) {
    private static final double SAMPLE_WEIGHT = 0.15;
    private static final double INITIAL_MS = 250;
    /** An endpoint with a mean latency up to this counts as fast: it frees its slots soon. */
    private static final double FAST_MS = 250;
    private static final double OVERDUE_DEVIATION_FACTOR = 4;
    private static final double SLOWEST_DEVIATION_FACTOR = 8;

    /** The estimate for an endpoint without a delivery. */
    static final LatencyEstimate INITIAL = new LatencyEstimate(INITIAL_MS, INITIAL_MS / 2);

    LatencyEstimate withSample(double latencyMs) {
        return new LatencyEstimate(mean + SAMPLE_WEIGHT * (latencyMs - mean),
                deviation + SAMPLE_WEIGHT * (Math.abs(latencyMs - mean) - deviation));
    }

    /** Starts the mean again, as the latency after an outage says more than that before it. */
    LatencyEstimate withMean(double latencyMs) {
        return new LatencyEstimate(latencyMs, deviation);
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
