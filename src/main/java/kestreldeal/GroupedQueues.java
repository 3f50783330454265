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
 * owner, queue and tag form a group, which exists while it has elements. A group keeps its elements in the order of
 * its queue, and a queue keeps its eligible groups in the order of their first elements. Adding or removing an element
 * and changing the eligibility of a group take O(log n).
 *
 * @param <E> the elements; a queue's order must tell any two apart and must not change while they are in the queue
 */
final class GroupedQueues<E extends GroupedQueues.Element<E>> {
    private final List<Lane<E>> lanes = new ArrayList<>();
    private final ToDoubleFunction<E> endsAt;
    private final DueQueue<Group<E>> ending = new DueQueue<>();
    private final DueQueue<Owner<E>> owners = new DueQueue<>();
    private final List<Owner<E>> touched = new ArrayList<>();
    private long operations;

    /** Base class of the elements, which keeps the group of an element without an object for it. */
    abstract static class Element<E extends Element<E>> extends Timers.Timer {
        private Group<E> group;
    }

    /** Base class of the owners of groups, which decide on the eligibility of their groups. */
    abstract static class Owner<E extends Element<E>> extends DueQueue.Entry {
        private final GroupedQueues<E> lanes;
        private List<Group<E>> groups = List.of();
        private boolean isTouched;

        Owner(GroupedQueues<E> lanes) {
            this.lanes = lanes;
        }

        final List<Group<E>> groups() {
            return groups;
        }

        /** Sets the levels of its groups, and returns when to do so again if nothing changes before. */
        abstract double look();

        /** Schedules an update, as the eligibility of its groups may have changed; nothing to do without groups. */
        final void markChanged() {
            if (!isTouched && (!groups.isEmpty() || at() < Double.POSITIVE_INFINITY)) {
                isTouched = true;
                lanes.touched.add(this);
            }
        }

        private void lookIfNeeded() {
            lanes.operations++;
            isTouched = false;
            lanes.owners.set(this, groups.isEmpty() ? Double.POSITIVE_INFINITY : look());
        }

        private Group<E> group(Lane<E> lane, long tag) {
            for (Group<E> group : groups) {
                if (group.lane == lane && group.tag == tag) {
                    return group;
                }
            }
            Group<E> added = new Group<>(this, lane, tag);
            groups = groups.isEmpty() ? new ArrayList<>(1) : groups;
            groups.add(added);
            markChanged();
            return added;
        }

        private void drop(Group<E> group) {
            groups.remove(group);
            if (groups.isEmpty()) {
                groups = List.of();
                markChanged();
            }
        }
    }

    /**
     * Creates a queue for each order. A group has an eligibility level from 0 (ineligible) to the given number, and is
     * included in all levels up to its own. An element expires from its queue at the given time, which must rise or
     * fall monotonically along the order of the queue.
     */
    GroupedQueues(List<Comparator<E>> orders, int levels, ToDoubleFunction<E> endsAt) {
        this.endsAt = endsAt;
        orders.forEach(order -> lanes.add(new Lane<>(order, levels)));
    }

    /** Updates the eligibility of the groups of all owners that were marked as changed or whose update is due. */
    void updateEligibility(double now) {
        while (owners.nextAt() <= now) {
            owners.poll().markChanged();
        }
        touched.forEach(Owner::lookIfNeeded);
        touched.clear();
    }

    /** Time of the next update that an owner has scheduled. */
    double nextUpdateAt() {
        return owners.nextAt();
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
    void put(E element, Owner<E> owner, int lane, long tag) {
        operations++;
        Group<E> to = owner.group(lanes.get(lane), tag);
        Group<E> from = ((Element<E>) element).group;
        if (from != to) {
            remove(element);
            to.leave();
            to.elements.add(element);
            to.enter();
            ((Element<E>) element).group = to;
            ending.set(to, endOf(to));
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
        group.leave();
        group.elements.remove(element);
        if (group.isEmpty()) {
            ending.remove(group);
            group.owner.drop(group);
        } else {
            group.enter();
            ending.set(group, endOf(group));
        }
    }

    /** Passes each element that has expired from its queue to the given function, which must put it into another. */
    void end(double now, Consumer<E> putElsewhere) {
        while (ending.nextAt() < now) {
            Group<E> group = ending.first();
            E first = group.first();
            putElsewhere.accept(endsAt.applyAsDouble(first) < now ? first : group.elements.last());
        }
    }

    /** Of the groups with at least this level in the first queues, the one with the first element in order, or null. */
    Group<E> first(int ofLanes, int level, Comparator<E> order) {
        return lanes.stream().limit(ofLanes).map(lane -> lane.levels.get(level - 1)).filter(l -> !l.isEmpty())
                .map(TreeSet::first).peek(group -> operations++)
                .min(Comparator.comparing(Group::first, order)).orElse(null);
    }

    /** The groups with at least this level in the first queues. */
    Stream<Group<E>> stream(int ofLanes, int level) {
        return lanes.stream().limit(ofLanes).flatMap(lane -> lane.levels.get(level - 1).stream())
                .peek(g -> operations++);
    }

    private double endOf(Group<E> group) {
        return Math.min(endsAt.applyAsDouble(group.first()), endsAt.applyAsDouble(group.elements.last()));
    }

    private static final class Lane<E extends Element<E>> {
        final Comparator<E> order;
        final List<TreeSet<Group<E>>> levels = new ArrayList<>();

        Lane(Comparator<E> order, int levels) {
            this.order = order;
            for (int i = 0; i < levels; i++) {
                this.levels.add(new TreeSet<>(Comparator.comparing(Group::first, order)));
            }
        }
    }

    /** Elements that are eligible or ineligible together. */
    static final class Group<E extends Element<E>> extends DueQueue.Entry {
        final Owner<E> owner;
        final long tag;
        private final Lane<E> lane;
        private final TreeSet<E> elements;
        private int level;

        private Group(Owner<E> owner, Lane<E> lane, long tag) {
            this.owner = owner;
            this.lane = lane;
            this.tag = tag;
            this.elements = new TreeSet<>(lane.order);
        }

        /** Sets the eligibility level; at 0 the group is ineligible. */
        void stand(int atLevel) {
            if (level != atLevel) {
                leave();
                level = atLevel;
                enter();
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
        private void leave() {
            for (int i = 0; i < level && !isEmpty(); i++) {
                lane.levels.get(i).remove(this);
            }
        }

        private void enter() {
            for (int i = 0; i < level && !isEmpty(); i++) {
                lane.levels.get(i).add(this);
            }
        }
    }
}
