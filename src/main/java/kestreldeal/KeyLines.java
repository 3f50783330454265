package kestreldeal;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Elements in line by key, first come first served. A line exists while anything of it waits, is out or rests.
 *
 * @param <E> what waits
 */
final class KeyLines<E> {
    private final Map<String, Line> lines = new HashMap<>();
    private final Timers timers;
    private final Consumer<E> changed;

    /** None yet; it is told of the first in a line whenever it may have become free to go, or no longer be so. */
    KeyLines(Timers timers, Consumer<E> changed) {
        this.timers = timers;
        this.changed = changed;
    }

    /** The line of a key, if need be a new one. */
    Line line(String key) {
        return lines.computeIfAbsent(key, Line::new);
    }

    int size() {
        return lines.size();
    }

    /** What waits under one key, how much is out of it, and until when it rests. */
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

        /** So many more are out. */
        void out(int more) {
            out += more;
            due();
        }

        /** Nothing goes before this time. */
        void rest(double until) {
            restUntil = until;
            timers.set(this, until);
            due();
        }

        /** The first that waits, or null. */
        E first() {
            return waiting.isEmpty() ? null : waiting.iterator().next();
        }

        /** How much is out, of whatever in the line. */
        int out() {
            return out;
        }

        /** Until when nothing may go. */
        double restUntil() {
            return restUntil;
        }

        /** It has changed, or has rested. */
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
