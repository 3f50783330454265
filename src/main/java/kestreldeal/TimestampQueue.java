package kestreldeal;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A FIFO queue of timestamps, which must be added in ascending order: a ring buffer of primitive values, allocated when
 * the first timestamp is added.
 */
final class TimestampQueue {
    private static final double[] EMPTY = {};

    private double[] ring = EMPTY;
    private int head;
    private int size;

    void add(double timeMs) {
        if (size == ring.length) {
            double[] grown = new double[Math.max(4, 2 * size)];
            for (int i = 0; i < size; i++) {
                grown[i] = get(i);
            }
            ring = grown;
            head = 0;
        }
        ring[(head + size++) % ring.length] = timeMs;
    }

    /** Removes the timestamps before {@code cutoffMs}. */
    void removeBefore(double cutoffMs) {
        while (size > 0 && ring[head] < cutoffMs) {
            head = (head + 1) % ring.length;
            size--;
        }
    }

    boolean isEmpty() {
        return size == 0;
    }

    int size() {
        return size;
    }

    /** The newest timestamp; the queue must not be empty. */
    double newest() {
        return get(size - 1);
    }

    /** The age of each timestamp, oldest first. */
    List<Double> ages(double nowMs) {
        return IntStream.range(0, size).mapToObj(i -> nowMs - get(i)).toList();
    }

    private double get(int index) {
        return ring[(head + index) % ring.length];
    }
}
