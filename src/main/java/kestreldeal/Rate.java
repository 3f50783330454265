package kestreldeal;

/** Events a millisecond over the last stretch of time in which they were watched, older ones of less weight. */
final class Rate {
    /** Time over which it is averaged, and the shortest that counts. */
    private static final double PERIOD_MS = 10_000;
    private static final double LEAST_MS = 2000;

    /** Whole parts of an event. */
    private static final double PARTS = 1 << 30;

    private final Total total;
    private double events;
    private double over;
    private double at;

    /** The events of several rates, in whole parts of an event, lest the sum drift. */
    static final class Total {
        private long parts;
    }

    /** None yet, watched from now on. */
    Rate(double now) {
        this(now, null);
    }

    /** One whose share in a total is asked for. */
    Rate(double now, Total total) {
        this.at = now;
        this.total = total;
    }

    void count(double now) {
        double kept = Math.exp((at - now) / PERIOD_MS);
        set(events * kept + 1);
        over = over * kept + PERIOD_MS * (1 - kept);
        at = now;
    }

    /** Goes on from a rate that another process saw. */
    void recall(double perMs) {
        set(perMs * PERIOD_MS);
        over = PERIOD_MS;
    }

    /** The time since the last event does not count. */
    void skipTo(double now) {
        at = now;
    }

    /** Its share in the events of the total; not a number where there is none. */
    double share() {
        return (double) parts() / total.parts;
    }

    private void set(double newEvents) {
        long before = parts();
        events = newEvents;
        if (total != null) {
            total.parts += parts() - before;
        }
    }

    private long parts() {
        return Math.round(events * PARTS);
    }

    double perMs() {
        return events / Math.max(over, LEAST_MS);
    }
}
