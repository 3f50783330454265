package kestreldeal;

import java.util.List;
import java.util.stream.IntStream;

/** Times in the order in which they came, the oldest first: a ring buffer without boxes, made with the first time. */
final class Times {
    private static final double[] NONE = {};

    private double[] ring = NONE;
    private int head;
    private int size;

    void add(double time) {
        if (size == ring.length) {
            double[] grown = new double[Math.max(4, 2 * size)];
            for (int i = 0; i < size; i++) {
                grown[i] = get(i);
            }
            ring = grown;
            head = 0;
        }
        ring[(head + size++) % ring.length] = time;
    }

    /** Forgets the times before this one. */
    void trim(double before) {
        while (size > 0 && ring[head] < before) {
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

    /** The newest; there has to be one. */
    double last() {
        return get(size - 1);
    }

    /** How long ago each was. */
    List<Double> ago(double now) {
        return IntStream.range(0, size).mapToObj(i -> now - get(i)).toList();
    }

    private double get(int index) {
        return ring[(head + index) % ring.length];
    }
}
