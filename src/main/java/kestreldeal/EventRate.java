package kestreldeal;

/**
 * Rate of events per millisecond, as an exponentially weighted moving average over the observed time, which ends at the
 * last event: the rate does not fall while there are no events.
 */
final class EventRate {
    /** Fixed-point units in one event. */
    private static final double UNITS_PER_EVENT = 1 << 30;

    private final Averaging averaging;
    private final Total total;
    private double weightedEvents;
    private double weightedMs;
    private double updatedAtMs;

    /** The sum of the weighted events of several rates, in fixed-point units, so that rounding errors don't add up. */
    static final class Total {
        private long units;
    }

    /** Time constant of the average, and the shortest observed time by which events are divided. */
    record Averaging(double timeConstantMs, double minObservedMs) {
    }

    /** Creates a rate without events, observed from {@code nowMs} on. */
    EventRate(double nowMs, Averaging averaging) {
        this(nowMs, averaging, null);
    }

    /** The same, as part of a total. */
    EventRate(double nowMs, Averaging averaging, Total total) {
        this.updatedAtMs = nowMs;
        this.averaging = averaging;
        this.total = total;
    }

    void addEvent(double nowMs) {
        double decay = Math.exp((updatedAtMs - nowMs) / averaging.timeConstantMs());
        setEvents(weightedEvents * decay + 1);
        weightedMs = weightedMs * decay + averaging.timeConstantMs() * (1 - decay);
        updatedAtMs = nowMs;
    }

    /** Continues from a rate that a previous process recorded. */
    void restore(double perMs) {
        setEvents(perMs * averaging.timeConstantMs());
        weightedMs = averaging.timeConstantMs();
    }

    /** Excludes the time since the last event from the observed time. */
    void skipTo(double nowMs) {
        updatedAtMs = nowMs;
    }

    /** Share of the total's events; NaN, for which all comparisons are false, if the total has none. */
    double shareOfTotal() {
        return (double) units() / total.units;
    }

    private void setEvents(double newEvents) {
        long before = units();
        weightedEvents = newEvents;
        if (total != null) {
            total.units += units() - before;
        }
    }

    private long units() {
        return Math.round(weightedEvents * UNITS_PER_EVENT);
    }

    double perMs() {
        return weightedEvents / Math.max(weightedMs, averaging.minObservedMs());
    }
}
