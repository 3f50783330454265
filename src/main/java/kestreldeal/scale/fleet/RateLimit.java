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
            private double room = Math.max(1, bucketSize);
            private double at;

            private void fill(double nowMs) {
                room = Math.min(Math.max(1, bucketSize), room + perMs * (nowMs - at));
                at = nowMs;
            }

            @Override
            public boolean tryAcquire(double nowMs) {
                fill(nowMs);
                boolean taken = room >= 1;
                room -= taken ? 1 : 0;
                return taken;
            }

            @Override
            public double msUntilAvailable(double nowMs) {
                fill(nowMs);
                return Math.max(0, (1 - room) / perMs);
            }

            @Override
            public double remainingShare(double nowMs) {
                fill(nowMs);
                return room / Math.max(1, bucketSize);
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
            private final long most = Math.max(1, Math.round(perMs * windowMs));
            private long span = -1;
            private long taken;

            private void turnTo(double nowMs) {
                long current = (long) Math.floor(nowMs / windowMs);
                taken = current == span ? taken : 0;
                span = current;
            }

            @Override
            public boolean tryAcquire(double nowMs) {
                turnTo(nowMs);
                boolean room = taken < most;
                taken += room ? 1 : 0;
                return room;
            }

            @Override
            public double msUntilAvailable(double nowMs) {
                turnTo(nowMs);
                return taken < most ? 0 : (span + 1) * windowMs - nowMs;
            }

            @Override
            public double remainingShare(double nowMs) {
                turnTo(nowMs);
                return 1 - (double) taken / most;
            }
        };
    }
}
