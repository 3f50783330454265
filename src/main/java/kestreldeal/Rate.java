package kestreldeal;

/** Rate of events per millisecond, as an exponentially weighted moving average over the observed time. */
final class Rate {
    /** Fixed-point units in one event. */
    private static final double PARTS = 1 << 30;

    private final Span span;
    private final Total total;
    private double events;
    private double over;
    private double at;

    /** The sum of the weighted events of several rates, in fixed-point units, so that rounding does not add up. */
    static final class Total {
        private long parts;
    }

    /** Time constant of the average, and the shortest observed time by which events are divided. */
    record Span(double averagedMs, double leastMs) {
    }

    /** No events yet, observed from now on. */
    Rate(double now, Span span) {
        this(now, span, null);
    }

    /** The same, as part of a total. */
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

    /** Continues from a rate that a previous process recorded. */
    void recall(double perMs) {
        set(perMs * span.averagedMs());
        over = span.averagedMs();
    }

    /** Excludes the time since the last event from the observed time. */
    void skipTo(double now) {
        at = now;
    }

    /** Share of the total's events; NaN if the total has none. */
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
