package kestreldeal.scale.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The simulated clock of a run with its event queue; times are in milliseconds from the start of the run. Events of the
 * same time run in the order in which they were scheduled, so that equal seeds give equal runs. Not thread-safe.
 */
final class SimulationClock {
    /** The observer, which reads the real clock, is called once in this many events. */
    private static final int EVENTS_A_LOOK = 4096;

    private final PriorityQueue<ScheduledEvent> due =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::number));
    private long asked;
    private long done;
    private double now;

    private record ScheduledEvent(double at, long number, Runnable event) {
    }

    /** Called now and then during a run; may abort it by an exception. */
    interface Observer {
        void look(double now, long events);
    }

    double now() {
        return now;
    }

    /** Number of events that have run so far. */
    long events() {
        return done;
    }

    /** Schedules an event; one in the past runs at the current time, after those already scheduled for it. */
    void at(double time, Runnable event) {
        due.add(new ScheduledEvent(Math.max(time, now), asked++, event));
    }

    void in(double ms, Runnable event) {
        at(now + ms, event);
    }

    /** Runs all events up to the end time, inclusive, and advances the clock to it. */
    void run(double end, Observer watch) {
        while (!due.isEmpty() && due.peek().at <= end) {
            ScheduledEvent next = due.remove();
            now = next.at;
            next.event.run();
            if (++done % EVENTS_A_LOOK == 0) {
                watch.look(now, done);
            }
        }
        now = end;
    }
}
