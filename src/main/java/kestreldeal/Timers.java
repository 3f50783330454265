package kestreldeal;

import java.util.function.DoubleConsumer;

/** What is due later, and the one wake that is asked for it. */
final class Timers extends DueQueue<Timers.Timer> {
    private final double margin;
    private final DoubleConsumer wakeAt;
    private double asked = Double.POSITIVE_INFINITY;

    /** Something that is due later. */
    abstract static class Timer extends DueQueue.Entry {
        abstract void due();
    }

    /** A wake counts as come within this margin, as clocks are rounded. */
    Timers(double margin, DoubleConsumer wakeAt) {
        this.margin = margin;
        this.wakeAt = wakeAt;
    }

    /** Sets a new timer. */
    Timer add(double at, Runnable action) {
        Timer timer = new Timer() {
            @Override
            void due() {
                action.run();
            }
        };
        set(timer, at);
        return timer;
    }

    /** Runs what is due, in the order of its time, with what it sets for now. */
    void run(double now) {
        while (nextAt() <= now) {
            poll().due();
        }
    }

    /** Asks for a wake at the first timer or, if it comes sooner, at this opening, unless it is asked for. */
    void ask(double now, double opening) {
        double next = Math.min(opening, nextAt());
        if (asked <= now + margin || next < asked) {
            asked = next;
            if (next < Double.POSITIVE_INFINITY) {
                wakeAt.accept(next);
            }
        }
    }
}
