package kestreldeal;

/** Events a millisecond over the last stretch of time in which they were watched, older ones of less weight. */
final class Rate {
    /** Whole parts of an event. */
    private static final double PARTS = 1 << 30;

    private final Span span;
    private final Total total;
    private double events;
    private double over;
    private double at;

    /** The events of several rates, in whole parts of an event, lest the sum drift. */
    static final class Total {
        private long parts;
    }

    /** The time over which events are averaged, and the shortest that counts. */
    record Span(double averagedMs, double leastMs) {
    }

    /** None yet, watched from now on. */
    Rate(double now, Span span) {
        this(now, span, null);
    }

    /** One whose share in a total is asked for. */
    Rate(double now, Span span, Total total) {
        this.at = now;
        this.span = span;
        this.total = total;
    }

    void count(double now) {
        double kept = Math.exp((at - now) / span.averagedMs());
        set(events * kept + 1);
        over = over * kept + span.averagedMs() * (1 - kept);
        at = now;
    }

    /** Goes on from a rate that another process saw. */
    void recall(double perMs) {
        set(perMs * span.averagedMs());
        over = span.averagedMs();
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
        return events / Math.max(over, span.leastMs());
    }
}
