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
    private long nextSequence;

    /** Base class of entries: stores the time and the index, so that no separate object is needed for them. */
    abstract static class Entry {
        private double dueAt = Double.POSITIVE_INFINITY;
        private long sequence;
        private int index = -1;

        /** The time at which the entry is due; infinite if it is in no queue. */
        final double dueAt() {
            return dueAt;
        }

        private boolean isBefore(Entry other) {
            return dueAt < other.dueAt || dueAt == other.dueAt && sequence < other.sequence;
        }
    }

    /** Adds an entry, or moves it, behind all others of the same time; an infinite time removes it. */
    final void set(E entry, double dueAt) {
        remove(entry);
        if (dueAt < Double.POSITIVE_INFINITY) {
            Entry added = entry;
            added.dueAt = dueAt;
            added.sequence = nextSequence++;
            if (size == heap.length) {
                heap = Arrays.copyOf(heap, 2 * size);
            }
            siftUp(size++, added);
        }
    }

    /** Removes an entry, if it is in the queue. */
    final void remove(E entry) {
        Entry removed = entry;
        int index = removed.index;
        if (index < 0) {
            return;
        }
        removed.index = -1;
        removed.dueAt = Double.POSITIVE_INFINITY;
        Entry last = heap[--size];
        heap[size] = null;
        if (last != removed) {
            siftUp(index, last);
            siftDown(last.index, last);
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
    final double nextDueAt() {
        return size == 0 ? Double.POSITIVE_INFINITY : heap[0].dueAt;
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

    private void siftUp(int start, Entry entry) {
        int index = start;
        while (index > 0 && entry.isBefore(heap[(index - 1) / 2])) {
            store(index, heap[(index - 1) / 2]);
            index = (index - 1) / 2;
        }
        store(index, entry);
    }

    private void siftDown(int start, Entry entry) {
        int index = start;
        for (int child = 2 * index + 1; child < size; child = 2 * index + 1) {
            if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
                child++;
            }
            if (!heap[child].isBefore(entry)) {
                break;
            }
            store(index, heap[child]);
            index = child;
        }
        store(index, entry);
    }

    private void store(int index, Entry entry) {
        heap[index] = entry;
        entry.index = index;
    }
}
