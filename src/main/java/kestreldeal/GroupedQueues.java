package kestreldeal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Priority queues in which whole groups of elements can be made eligible or ineligible at once. Elements of the same
 * owner, queue and tag (a number that the caller chooses) form a group, which exists while it has elements. A group
 * keeps its elements in the order of its queue, and a queue keeps its eligible groups in the order of their first
 * elements. Adding or removing an element and changing the eligibility of a group take O(log n).
 *
 * @param <E> the elements; a queue's order must tell any two apart and must not change while they are in the queue
 */
final class GroupedQueues<E extends GroupedQueues.Element<E>> {
    private final List<Queue<E>> queues = new ArrayList<>();
    private final ToDoubleFunction<E> expiryOf;
    private final DueQueue<Group<E>> groupExpiries = new DueQueue<>();
    private final DueQueue<Owner<E>> scheduledUpdates = new DueQueue<>();
    private final List<Owner<E>> changedOwners = new ArrayList<>();
    private long operations;

    /** Base class of elements: stores the group of an element, so that no separate entry object is needed. */
    abstract static class Element<E extends Element<E>> extends Timers.Timer {
        private Group<E> group;
    }

    /** Base class of the owners of groups, which decide on the eligibility of their groups. */
    abstract static class Owner<E extends Element<E>> extends DueQueue.Entry {
        private final GroupedQueues<E> queues;
        private List<Group<E>> groups = List.of();
        private boolean changed;

        Owner(GroupedQueues<E> queues) {
            this.queues = queues;
        }

        final List<Group<E>> groups() {
            return groups;
        }

        /** Sets the levels of its groups, and returns when to do so again if nothing changes before. */
        abstract double updateGroups();

        /**
         * Schedules an update, as the eligibility of its groups may have changed; does nothing if it has neither
         * groups nor a scheduled update.
         */
        final void markChanged() {
            if (!changed && (!groups.isEmpty() || dueAt() < Double.POSITIVE_INFINITY)) {
                changed = true;
                queues.changedOwners.add(this);
            }
        }

        private void update() {
            queues.operations++;
            changed = false;
            queues.scheduledUpdates.set(this, groups.isEmpty() ? Double.POSITIVE_INFINITY : updateGroups());
        }

        private Group<E> findOrAddGroup(Queue<E> queue, long tag) {
            for (Group<E> group : groups) {
                if (group.queue == queue && group.tag == tag) {
                    return group;
                }
            }
            Group<E> added = new Group<>(this, queue, tag);
            groups = groups.isEmpty() ? new ArrayList<>(1) : groups;
            groups.add(added);
            markChanged();
            return added;
        }

        private void removeGroup(Group<E> group) {
            groups.remove(group);
            if (groups.isEmpty()) {
                groups = List.of();
                markChanged();
            }
        }
    }

    /**
     * Creates a queue for each order. A group has an eligibility level from 0 (ineligible) to {@code maxLevel}, and is
     * included in all levels up to its own. An element expires from its queue at the time that {@code expiryOf}
     * returns, which must rise or fall monotonically along the order of the queue.
     */
    GroupedQueues(List<Comparator<E>> orders, int maxLevel, ToDoubleFunction<E> expiryOf) {
        this.expiryOf = expiryOf;
        orders.forEach(order -> queues.add(new Queue<>(order, maxLevel)));
    }

    /**
     * Updates the eligibility of the groups of all owners that were marked as changed or whose update is due. An
     * exception of one owner is thrown when the others have been updated.
     */
    void updateEligibility(double nowMs) {
        while (scheduledUpdates.nextDueAt() <= nowMs) {
            scheduledUpdates.poll().markChanged();
        }
        FaultCollector faults = new FaultCollector();
        changedOwners.forEach(owner -> faults.run(owner::update));
        changedOwners.clear();
        faults.rethrow();
    }

    /** Time of the next update that an owner has scheduled. */
    double nextUpdateAt() {
        return scheduledUpdates.nextDueAt();
    }

    /** Counts an operation that an owner did outside of the queues. */
    void countOperation() {
        operations++;
    }

    /** Number of elements put or removed, groups visited and owners updated so far, as a measure of cost. */
    long operations() {
        return operations;
    }

    /** Puts an element into its group, removing it from another one. A new group is not eligible yet. */
    void put(E element, Owner<E> owner, int queueIndex, long tag) {
        operations++;
        Group<E> to = owner.findOrAddGroup(queues.get(queueIndex), tag);
        Group<E> from = ((Element<E>) element).group;
        if (from != to) {
            remove(element);
            to.removeFromLevels();
            to.elements.add(element);
            to.addToLevels();
            ((Element<E>) element).group = to;
            groupExpiries.set(to, groupExpiry(to));
        }
    }

    /** Removes an element from its group, if it is in one. */
    void remove(E element) {
        Group<E> group = ((Element<E>) element).group;
        if (group == null) {
            return;
        }
        operations++;
        ((Element<E>) element).group = null;
        group.removeFromLevels();
        group.elements.remove(element);
        if (group.isEmpty()) {
            groupExpiries.remove(group);
            group.owner.removeGroup(group);
        } else {
            group.addToLevels();
            groupExpiries.set(group, groupExpiry(group));
        }
    }

    /**
     * Passes each element that has expired from its queue to the given function, which must put it into another queue
     * or remove it.
     */
    void requeueExpired(double nowMs, Consumer<E> requeue) {
        while (groupExpiries.nextDueAt() < nowMs) {
            Group<E> group = groupExpiries.first();
            E first = group.first();
            requeue.accept(expiryOf.applyAsDouble(first) < nowMs ? first : group.elements.last());
        }
    }

    /**
     * Of the groups with at least this level in the first {@code queueCount} queues, returns the one whose first
     * element comes first in {@code order}, or null if there is none.
     */
    Group<E> first(int queueCount, int level, Comparator<E> order) {
        return queues.stream().limit(queueCount).map(queue -> queue.groupsByLevel.get(level - 1))
                .filter(eligible -> !eligible.isEmpty())
                .map(TreeSet::first).peek(group -> operations++)
                .min(Comparator.comparing(Group::first, order)).orElse(null);
    }

    /** The groups with at least this level in the first {@code queueCount} queues. */
    Stream<Group<E>> groups(int queueCount, int level) {
        return queues.stream().limit(queueCount).flatMap(queue -> queue.groupsByLevel.get(level - 1).stream())
                .peek(group -> operations++);
    }

    private double groupExpiry(Group<E> group) {
        return Math.min(expiryOf.applyAsDouble(group.first()), expiryOf.applyAsDouble(group.elements.last()));
    }

    private static final class Queue<E extends Element<E>> {
        final Comparator<E> order;
        final List<TreeSet<Group<E>>> groupsByLevel = new ArrayList<>();

        Queue(Comparator<E> order, int maxLevel) {
            this.order = order;
            for (int i = 0; i < maxLevel; i++) {
                this.groupsByLevel.add(new TreeSet<>(Comparator.comparing(Group::first, order)));
            }
        }
    }

    /** Elements that are eligible or ineligible together. */
    static final class Group<E extends Element<E>> extends DueQueue.Entry {
        final Owner<E> owner;
        final long tag;
        private final Queue<E> queue;
        private final TreeSet<E> elements;
        private int level;

        private Group(Owner<E> owner, Queue<E> queue, long tag) {
            this.owner = owner;
            this.queue = queue;
            this.tag = tag;
            this.elements = new TreeSet<>(queue.order);
        }

        /** Sets the eligibility level; at 0 the group is ineligible. */
        void setLevel(int newLevel) {
            if (level != newLevel) {
                removeFromLevels();
                level = newLevel;
                addToLevels();
            }
        }

        E first() {
            return elements.first();
        }

        /** Its elements in order. */
        Stream<E> stream() {
            return elements.stream();
        }

        private boolean isEmpty() {
            return elements.isEmpty();
        }

        /** Must be called before a change of the first element, as the sets are ordered by it. */
        private void removeFromLevels() {
            for (int i = 0; i < level && !isEmpty(); i++) {
                queue.groupsByLevel.get(i).remove(this);
            }
        }

        private void addToLevels() {
            for (int i = 0; i < level && !isEmpty(); i++) {
                queue.groupsByLevel.get(i).add(this);
            }
        }
    }
}
