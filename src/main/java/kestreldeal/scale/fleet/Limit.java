package kestreldeal.scale.fleet;

/** What a destination takes from all senders together; what it refuses does not count against it. */
interface Limit {
    /** Lets a call through, if there is room for it. */
    boolean take(double now);

    /** Milliseconds until there is room, if nobody else takes it. */
    double roomIn(double now);

    /** The share that is left, 0 to 1. */
    double left(double now);

    /**
     * A plain rate.
     *
     * @param perMs calls a millisecond
     * @param depth calls that it lets through at once, one at least
     */
    static Limit byRate(double perMs, double depth) {
        return new Limit() {
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
     * A count in each span.
     *
     * @param perMs calls a millisecond in the mean
     * @param spanMs length of a span; the first begins at 0
     */
    static Limit byCount(double perMs, double spanMs) {
        return new Limit() {
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
