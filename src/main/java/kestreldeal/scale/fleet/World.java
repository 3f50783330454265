package kestreldeal.scale.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The one clock of a run and all that is due on it, in milliseconds from the run's start. Events of one moment come
 * in the order in which they were asked for, so that equal seeds give equal runs. One thread.
 */
final class World {
    /** The real clock is read once in so many events. */
    private static final int EVENTS_A_LOOK = 4096;

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
    private long asked;
    private long done;
    private double now;

    private record Due(double at, long number, Runnable event) {
    }

    /** Looked at now and then while time passes; may end the run by an exception. */
    interface Watch {
        void look(double now, long events);
    }

    double now() {
        return now;
    }

    /** How many events have come so far. */
    long events() {
        return done;
    }

    /** Asks for an event; one of the past comes at this moment, after those already due now. */
    void at(double time, Runnable event) {
        due.add(new Due(Math.max(time, now), asked++, event));
    }

    void in(double ms, Runnable event) {
        at(now + ms, event);
    }

    /** Lets time pass up to this moment, that included. */
    void run(double end, Watch watch) {
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.remove();
            now = next.at;
            next.event.run();
            if (++done % EVENTS_A_LOOK == 0) {
                watch.look(now, done);
            }
        }
        now = end;
    }
}
