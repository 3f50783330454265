package kestreldeal;

import java.util.Arrays;

/**
 * A priority queue by time whose entries know their place, so that one can be moved or taken out in O(log n): a
 * binary heap in an array. Entries of one time come in the order in which they were set. An entry is in one queue
 * at most.
 *
 * @param <E> what is due
 */
class DueQueue<E extends DueQueue.Entry> {
    private Entry[] heap = new Entry[16];
    private int size;
    private long count;

    /** What can stand in a queue: to be extended, so that it costs no object of its own. */
    abstract static class Entry {
        private double at = Double.POSITIVE_INFINITY;
        private long number;
        private int place = -1;

        /** The time that it was last set to; infinite if it never was, or was taken out. */
        final double at() {
            return at;
        }

        private boolean isBefore(Entry other) {
            return at < other.at || at == other.at && number < other.number;
        }
    }

    /** Puts an entry in, or moves it, behind all others of that time; at an infinite time it is taken out. */
    final void set(E entry, double at) {
        remove(entry);
        if (at < Double.POSITIVE_INFINITY) {
            Entry added = entry;
            added.at = at;
            added.number = count++;
            if (size == heap.length) {
                heap = Arrays.copyOf(heap, 2 * size);
            }
            up(size++, added);
        }
    }

    /** Takes an entry out; one that is not in stays out. */
    final void remove(E entry) {
        Entry removed = entry;
        int hole = removed.place;
        if (hole < 0) {
            return;
        }
        removed.place = -1;
        removed.at = Double.POSITIVE_INFINITY;
        Entry last = heap[--size];
        heap[size] = null;
        if (last != removed) {
            up(hole, last);
            down(last.place, last);
        }
    }

    /** Takes these entries out; null is one that was never made. */
    @SafeVarargs
    final void removeAll(E... entries) {
        for (E entry : entries) {
            if (entry != null) {
                remove(entry);
            }
        }
    }

    /** The time of the first entry; infinite if there is none. */
    final double nextAt() {
        return size == 0 ? Double.POSITIVE_INFINITY : heap[0].at;
    }

    /** The first entry, or null. */
    @SuppressWarnings("unchecked")
    final E first() {
        return (E) heap[0];
    }

    /** Takes the first entry out; null if there is none. */
    final E poll() {
        E first = first();
        if (first != null) {
            remove(first);
        }
        return first;
    }

    final int size() {
        return size;
    }

    private void up(int from, Entry entry) {
        int place = from;
        while (place > 0 && entry.isBefore(heap[(place - 1) / 2])) {
            put(place, heap[(place - 1) / 2]);
            place = (place - 1) / 2;
        }
        put(place, entry);
    }

    private void down(int from, Entry entry) {
        int place = from;
        for (int child = 2 * place + 1; child < size; child = 2 * place + 1) {
            if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
                child++;
            }
            if (!heap[child].isBefore(entry)) {
                break;
            }
            put(place, heap[child]);
            place = child;
        }
        put(place, entry);
    }

    private void put(int place, Entry entry) {
        heap[place] = entry;
        entry.place = place;
    }
}
