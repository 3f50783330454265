package kestreldeal;

import java.util.function.DoubleConsumer;

/** Timers in the order in which they are due, and the single wake-up that is requested for the first. */
final class Timers extends DueQueue<Timers.Timer> {
    private final double margin;
    private final DoubleConsumer wakeAt;
    private double asked = Double.POSITIVE_INFINITY;

    /** Base class of timers. */
    abstract static class Timer extends DueQueue.Entry {
        abstract void due();
    }

    /** A wake-up may come earlier than requested by this margin, as clocks are rounded. */
    Timers(double margin, DoubleConsumer wakeAt) {
        this.margin = margin;
        this.wakeAt = wakeAt;
    }

    /** Adds a timer that runs this action. */
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

    /** Fires all timers that are due, in the order of their times, including those that they set for now. */
    void run(double now) {
        while (nextAt() <= now) {
            poll().due();
        }
    }

    /** Requests a wake-up at the first timer or at this time, whichever is earlier, unless that was done before. */
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
