package kestreldeal;

import java.util.function.DoubleConsumer;

/** Timers in the order in which they are due, and the single wake-up that is requested for the first. */
final class Timers extends DueQueue<Timers.Timer> {
    private final double marginMs;
    private final DoubleConsumer wakeAt;
    private double requestedAt = Double.POSITIVE_INFINITY;

    /** Base class of timers. */
    abstract static class Timer extends DueQueue.Entry {
        abstract void fire();
    }

    /** A wake-up may come earlier than requested by this margin, as clocks are rounded. */
    Timers(double marginMs, DoubleConsumer wakeAt) {
        this.marginMs = marginMs;
        this.wakeAt = wakeAt;
    }

    /** Adds a timer that runs this action. */
    Timer add(double dueAt, Runnable action) {
        Timer timer = new Timer() {
            @Override
            void fire() {
                action.run();
            }
        };
        set(timer, dueAt);
        return timer;
    }

    /**
     * Fires all timers that are due, in the order of their times, including those set meanwhile for now or earlier. An
     * exception of one timer is thrown when the others have been fired.
     */
    void fireDue(double nowMs) {
        FaultCollector faults = new FaultCollector();
        while (nextDueAt() <= nowMs) {
            faults.run(poll()::fire);
        }
        faults.rethrow();
    }

    /**
     * Requests a wake-up at the first timer or at {@code otherDueAt}, whichever is earlier, unless a wake-up at that
     * time or before is already requested.
     */
    void requestWake(double nowMs, double otherDueAt) {
        double next = Math.min(otherDueAt, nextDueAt());
        if (requestedAt <= nowMs + marginMs || next < requestedAt) {
            if (next < Double.POSITIVE_INFINITY) {
                wakeAt.accept(next);
            }
            requestedAt = next;
        }
    }
}
