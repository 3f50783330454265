package kestreldeal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Elements in several orders, the lanes, and within them in groups, of which some stand in their lane and some don't:
 * a group's elements are in order, and the groups that stand in a lane are in order by their first elements. To add or
 * remove an element, or to let a whole group stand or not, costs O(log n). Elements of one owner, lane and tag are in
 * one group, which exists while it has any.
 *
 * @param <E> the elements; a lane's order tells any two apart and does not change while they are in it
 */
final class Lanes<E extends Lanes.Element<E>> {
    private final List<Lane<E>> lanes = new ArrayList<>();
    private final ToDoubleFunction<E> endsAt;
    private final DueQueue<Group<E>> ending = new DueQueue<>();
    private final DueQueue<Owner<E>> owners = new DueQueue<>();
    private final List<Owner<E>> touched = new ArrayList<>();
    private long looks;

    /** What is in a group or in none: to be extended, so that its place costs no object of its own. */
    abstract static class Element<E extends Element<E>> extends Timers.Timer {
        private Group<E> group;
    }

    /** What groups belong to, which decides whether they stand: to be extended likewise. */
    abstract static class Owner<E extends Element<E>> extends DueQueue.Entry {
        private final Lanes<E> lanes;
        private List<Group<E>> groups = List.of();
        private boolean isTouched;

        Owner(Lanes<E> lanes) {
            this.lanes = lanes;
        }

        final List<Group<E>> groups() {
            return groups;
        }

        /** Lets its groups stand or not, and returns when to look again by time alone, if nothing touches it before. */
        abstract double look();

        /** Something that it decides by may have changed; without a group that is of no account. */
        final void touch() {
            if (!isTouched && (!groups.isEmpty() || at() < Double.POSITIVE_INFINITY)) {
                isTouched = true;
                lanes.touched.add(this);
            }
        }

        private void lookIfNeeded() {
            lanes.looks++;
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
            touch();
            return added;
        }

        private void drop(Group<E> group) {
            groups.remove(group);
            if (groups.isEmpty()) {
                groups = List.of();
                touch();
            }
        }
    }

    /**
     * Lanes with these orders, and these levels from 1 on, of which a group stands at one and thereby at all below it.
     * An element belongs into its lane up to the given time, which rises or falls along a lane's order.
     */
    Lanes(List<Comparator<E>> orders, int levels, ToDoubleFunction<E> endsAt) {
        this.endsAt = endsAt;
        orders.forEach(order -> lanes.add(new Lane<>(order, levels)));
    }

    /** Has those owners look at their groups that were touched or wanted to look by now. */
    void look(double now) {
        while (owners.nextAt() <= now) {
            owners.poll().touch();
        }
        touched.forEach(Owner::lookIfNeeded);
        touched.clear();
    }

    /** When an owner wants to look again. */
    double nextLook() {
        return owners.nextAt();
    }

    /** For the owners' own looks at what is in no lane. */
    void countLook() {
        looks++;
    }

    /** Elements put or removed, groups looked at and owners that looked so far: what the work was done on. */
    long looks() {
        return looks;
    }

    /** Puts an element into its group, if it is not there, and so out of another; a new group does not stand yet. */
    void put(E element, Owner<E> owner, int lane, long tag) {
        looks++;
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

    /** Takes an element out of its group, if it is in one. */
    void remove(E element) {
        Group<E> group = ((Element<E>) element).group;
        if (group == null) {
            return;
        }
        looks++;
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

    /** Has each element put elsewhere whose time in its lane has ended before now. */
    void end(double now, Consumer<E> putElsewhere) {
        while (ending.nextAt() < now) {
            Group<E> group = ending.first();
            E first = group.first();
            putElsewhere.accept(endsAt.applyAsDouble(first) < now ? first : group.elements.last());
        }
    }

    /** The group whose first element comes first of those that stand at a level in one of the first lanes; or null. */
    Group<E> first(int ofLanes, int level, Comparator<E> order) {
        return lanes.stream().limit(ofLanes).map(lane -> lane.levels.get(level - 1)).filter(l -> !l.isEmpty())
                .map(TreeSet::first).peek(group -> looks++).min(Comparator.comparing(Group::first, order)).orElse(null);
    }

    /** The groups that stand at a level in one of the first lanes. */
    Stream<Group<E>> stream(int ofLanes, int level) {
        return lanes.stream().limit(ofLanes).flatMap(lane -> lane.levels.get(level - 1).stream()).peek(g -> looks++);
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

    /** Elements that stand or don't stand together. */
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

        /** Lets it stand at this level and all below; at 0 it does not stand. */
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

        /** Its place goes by its first element, which must not change while it stands there. */
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
