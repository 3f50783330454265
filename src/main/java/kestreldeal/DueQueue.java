package kestreldeal;

import java.util.Arrays;

/**
 * A priority queue by time: a binary heap in an array whose entries know their index, so that one can be moved or
 * removed in O(log n). Entries with equal times keep the order in which they were set. An entry can be in one queue
 * at a time.
 *
 * @param <E> the entries
 */
class DueQueue<E extends DueQueue.Entry> {
    private Entry[] heap = new Entry[16];
    private int size;
    private long count;

    /** Base class of the entries, which keeps the time and the index of an entry without an object for them. */
    abstract static class Entry {
        private double at = Double.POSITIVE_INFINITY;
        private long number;
        private int place = -1;

        /** The time at which the entry is due; infinite if it is in no queue. */
        final double at() {
            return at;
        }

        private boolean isBefore(Entry other) {
            return at < other.at || at == other.at && number < other.number;
        }
    }

    /** Adds an entry, or moves it, behind all others of the same time; an infinite time removes it. */
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

    /** Removes an entry, if it is in the queue. */
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

    /** Removes these entries; null ones are ignored. */
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

    /** Removes and returns the first entry; null if there is none. */
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
