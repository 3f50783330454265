package kestreldeal;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A FIFO queue of elements for each key. A queue exists while it has elements or attempts in flight, or until its
 * cool-down has ended, which is a pause after an attempt that may still be running.
 *
 * @param <E> the elements
 */
final class KeyQueues<E> {
    private final Map<String, KeyQueue> queues = new HashMap<>();
    private final Timers timers;
    private final Consumer<E> recheckFirst;

    /** {@code recheckFirst} gets the first element of a queue whenever it may have become eligible or ineligible. */
    KeyQueues(Timers timers, Consumer<E> recheckFirst) {
        this.timers = timers;
        this.recheckFirst = recheckFirst;
    }

    /** The queue of a key, which is created if there is none. */
    KeyQueue queue(String key) {
        return queues.computeIfAbsent(key, KeyQueue::new);
    }

    int size() {
        return queues.size();
    }

    /** The elements of a key until they are removed, the number of attempts in flight, and the end of the cool-down. */
    final class KeyQueue extends Timers.Timer {
        private final String key;
        private final Set<E> elements = new LinkedHashSet<>(1);
        private double coolDownUntil = Double.NEGATIVE_INFINITY;
        private int inFlight;

        private KeyQueue(String key) {
            this.key = key;
        }

        void add(E element) {
            elements.add(element);
        }

        void remove(E element) {
            elements.remove(element);
            fire();
        }

        /** Adds this number, which may be negative, to the attempts in flight. */
        void addInFlight(int count) {
            inFlight += count;
            fire();
        }

        /** Starts a cool-down: nothing may be sent before this time. */
        void coolDown(double untilMs) {
            coolDownUntil = untilMs;
            timers.set(this, untilMs);
            fire();
        }

        /** The first element, which is the only one that may be sent, or null. */
        E first() {
            return elements.isEmpty() ? null : elements.iterator().next();
        }

        /** Number of attempts in flight, of all elements of the key. */
        int inFlight() {
            return inFlight;
        }

        double coolDownUntil() {
            return coolDownUntil;
        }

        /** Called after each change and at the end of the cool-down: reports the first element, or drops the queue. */
        @Override
        void fire() {
            if (!elements.isEmpty()) {
                recheckFirst.accept(first());
            } else if (inFlight == 0 && dueAt() == Double.POSITIVE_INFINITY) {
                queues.remove(key);
            }
        }
    }
}
