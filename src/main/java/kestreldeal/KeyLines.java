package kestreldeal;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A FIFO queue of elements for each key. A queue exists while it has elements waiting or in flight, or a cool-down.
 *
 * @param <E> the elements
 */
final class KeyLines<E> {
    private final Map<String, Line> lines = new HashMap<>();
    private final Timers timers;
    private final Consumer<E> changed;

    /** The listener gets the first element of a queue whenever it may have become eligible or ineligible. */
    KeyLines(Timers timers, Consumer<E> changed) {
        this.timers = timers;
        this.changed = changed;
    }

    /** The queue of a key, which is created if there is none. */
    Line line(String key) {
        return lines.computeIfAbsent(key, Line::new);
    }

    int size() {
        return lines.size();
    }

    /** The waiting elements of a key, the number of attempts in flight, and the end of the cool-down. */
    final class Line extends Timers.Timer {
        private final String key;
        private final Set<E> waiting = new LinkedHashSet<>(1);
        private double restUntil = Double.NEGATIVE_INFINITY;
        private int out;

        private Line(String key) {
            this.key = key;
        }

        void add(E element) {
            waiting.add(element);
        }

        void remove(E element) {
            waiting.remove(element);
            due();
        }

        /** Adds this number, which may be negative, to the attempts in flight. */
        void out(int more) {
            out += more;
            due();
        }

        /** Starts a cool-down: nothing may be sent before this time. */
        void rest(double until) {
            restUntil = until;
            timers.set(this, until);
            due();
        }

        /** The first waiting element, or null. */
        E first() {
            return waiting.isEmpty() ? null : waiting.iterator().next();
        }

        /** Number of attempts in flight, of all elements of the key. */
        int out() {
            return out;
        }

        double restUntil() {
            return restUntil;
        }

        /** Called after each change and at the end of the cool-down: reports the first element, or drops the queue. */
        @Override
        void due() {
            if (!waiting.isEmpty()) {
                changed.accept(first());
            } else if (out == 0 && at() == Double.POSITIVE_INFINITY) {
                lines.remove(key);
            }
        }
    }
}
