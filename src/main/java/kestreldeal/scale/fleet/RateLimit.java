package kestreldeal.scale.fleet;

/** The rate limit of a destination for the calls of all senders together; refused calls do not use it up. */
interface RateLimit {
    /** Admits a call if the limit allows it. */
    boolean take(double now);

    /** Milliseconds until the next call would be admitted, if no other call comes before. */
    double roomIn(double now);

    /** The unused share of the limit, 0 to 1. */
    double left(double now);

    /**
     * A token bucket.
     *
     * @param perMs refill rate in calls per millisecond
     * @param depth bucket size in calls; treated as 1 if smaller
     */
    static RateLimit byRate(double perMs, double depth) {
        return new RateLimit() {
            private double room = Math.max(1, depth);
            private double at;

            private void fill(double now) {
                room = Math.min(Math.max(1, depth), room + perMs * (now - at));
                at = now;
            }

            @Override
            public boolean take(double now) {
                fill(now);
                boolean taken = room >= 1;
                room -= taken ? 1 : 0;
                return taken;
            }

            @Override
            public double roomIn(double now) {
                fill(now);
                return Math.max(0, (1 - room) / perMs);
            }

            @Override
            public double left(double now) {
                fill(now);
                return room / Math.max(1, depth);
            }
        };
    }

    /**
     * A fixed-window counter.
     *
     * @param perMs mean calls per millisecond
     * @param spanMs length of a window; the first starts at time 0
     */
    static RateLimit byCount(double perMs, double spanMs) {
        return new RateLimit() {
            private final long most = Math.max(1, Math.round(perMs * spanMs));
            private long span = -1;
            private long taken;

            private void turnTo(double now) {
                long current = (long) Math.floor(now / spanMs);
                taken = current == span ? taken : 0;
                span = current;
            }

            @Override
            public boolean take(double now) {
                turnTo(now);
                boolean room = taken < most;
                taken += room ? 1 : 0;
                return room;
            }

            @Override
            public double roomIn(double now) {
                turnTo(now);
                return taken < most ? 0 : (span + 1) * spanMs - now;
            }

            @Override
            public double left(double now) {
                turnTo(now);
                return 1 - (double) taken / most;
            }
        };
    }
}
