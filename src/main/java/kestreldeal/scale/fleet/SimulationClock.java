package kestreldeal.scale.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The simulated clock of a run with its event queue; times are in milliseconds from the start of the run. Events of the
 * same time run in the order in which they were scheduled, so that equal seeds give equal runs. Not thread-safe.
 */
final class SimulationClock {
    /** The observer, which reads the real clock, is called once in this many events. */
    private static final int EVENTS_PER_OBSERVATION = 4096;

    private final PriorityQueue<ScheduledEvent> queue =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::timeMs)
                    .thenComparingLong(ScheduledEvent::sequence));
    private long scheduledCount;
    private long eventCount;
    private double nowMs;

    private record ScheduledEvent(double timeMs, long sequence, Runnable action) {
    }

    /** Called now and then during a run; may abort it by an exception. */
    interface Observer {
        void observe(double nowMs, long eventCount);
    }

    double nowMs() {
        return nowMs;
    }

    /** Number of events that have run so far. */
    long eventCount() {
        return eventCount;
    }

    /** Schedules an event; one in the past runs at the current time, after those already scheduled for it. */
    void schedule(double timeMs, Runnable action) {
        queue.add(new ScheduledEvent(Math.max(timeMs, nowMs), scheduledCount++, action));
    }

    void scheduleAfter(double delayMs, Runnable action) {
        schedule(nowMs + delayMs, action);
    }

    /** Runs all events up to the end time, inclusive, and advances the clock to it. */
    void runUntil(double endMs, Observer observer) {
        while (!queue.isEmpty() && queue.peek().timeMs <= endMs) {
            ScheduledEvent next = queue.remove();
            nowMs = next.timeMs;
            next.action.run();
            if (++eventCount % EVENTS_PER_OBSERVATION == 0) {
                observer.observe(nowMs, eventCount);
            }
        }
        nowMs = endMs;
    }
}
