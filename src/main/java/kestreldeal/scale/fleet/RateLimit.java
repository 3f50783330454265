package kestreldeal.scale.fleet;

/** The rate limit of a destination for the calls of all senders together; refused calls do not use it up. */
interface RateLimit {
    /** Admits a call if the limit allows it. */
    boolean tryAcquire(double nowMs);

    /** Milliseconds until the next call would be admitted, if no other call comes before. */
    double msUntilAvailable(double nowMs);

    /** The unused share of the limit, 0 to 1. */
    double remainingShare(double nowMs);

    /**
     * A token bucket.
     *
     * @param perMs refill rate in calls per millisecond
     * @param bucketSize bucket size in calls; treated as 1 if smaller
     */
    static RateLimit tokenBucket(double perMs, double bucketSize) {
        return new RateLimit() {
            private double tokens = Math.max(1, bucketSize);
            private double refilledAtMs;

            private void refill(double nowMs) {
                tokens = Math.min(Math.max(1, bucketSize), tokens + perMs * (nowMs - refilledAtMs));
                refilledAtMs = nowMs;
            }

            @Override
            public boolean tryAcquire(double nowMs) {
                refill(nowMs);
                boolean admitted = tokens >= 1;
                tokens -= admitted ? 1 : 0;
                return admitted;
            }

            @Override
            public double msUntilAvailable(double nowMs) {
                refill(nowMs);
                return Math.max(0, (1 - tokens) / perMs);
            }

            @Override
            public double remainingShare(double nowMs) {
                refill(nowMs);
                return tokens / Math.max(1, bucketSize);
            }
        };
    }

    /**
     * A fixed-window counter.
     *
     * @param perMs mean calls per millisecond
     * @param windowMs length of a window; the first starts at time 0
     */
    static RateLimit fixedWindow(double perMs, double windowMs) {
        return new RateLimit() {
            private final long maxCalls = Math.max(1, Math.round(perMs * windowMs));
            private long window = -1;
            private long callsInWindow;

            private void advanceTo(double nowMs) {
                long current = (long) Math.floor(nowMs / windowMs);
                callsInWindow = current == window ? callsInWindow : 0;
                window = current;
            }

            @Override
            public boolean tryAcquire(double nowMs) {
                advanceTo(nowMs);
                boolean admitted = callsInWindow < maxCalls;
                callsInWindow += admitted ? 1 : 0;
                return admitted;
            }

            @Override
            public double msUntilAvailable(double nowMs) {
                advanceTo(nowMs);
                return callsInWindow < maxCalls ? 0 : (window + 1) * windowMs - nowMs;
            }

            @Override
            public double remainingShare(double nowMs) {
                advanceTo(nowMs);
                return 1 - (double) callsInWindow / maxCalls;
            }
        };
    }
}
