package kestreldeal.scale.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import kestreldeal.Relay;

/**
 * A destination's return from an outage, and the rule on it: in each span that the settings name, no more than N + 2
 * x root of N + 2 calls, N being the settings' multiple of what the destination can do in it. Every call that reaches
 * it counts, those turned away too, one of several messages as one. Before the return it counts as cold as at it.
 */
final class ColdReturn {
    private final double capacityPerMs;
    private final Relay.SlowStart rule;
    private final double returnedAt;
    private final HollowEndpoint.State after;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private double worst;
    private Window worstWindow = Window.NONE;
    private boolean broken;

    private record Arrival(double at, boolean told, Relay.EndpointState heldAs) {
    }

    /**
     * Calls in the span that ends at a time, and what may come in it at most.
     *
     * @param told calls from senders that had been told of the outage
     * @param heldUp calls from senders that held the endpoint to be in service
     * @param trials calls from senders that held it to be down
     * @param after what the outage was like
     */
    record Window(double endMs, int calls, double most, int told, int heldUp, int trials, HollowEndpoint.State after) {
        static final Window NONE = new Window(0, 0, 0, 0, 0, 0, HollowEndpoint.State.SERVING);

        double ratio() {
            return most == 0 ? 0 : calls / most;
        }

        /** Whether over two thirds of it came from senders that had been told of the outage. */
        boolean isTold() {
            return told * 3 > calls * 2;
        }
    }

    ColdReturn(double capacityPerMs, Relay.SlowStart rule, double returnedAt, HollowEndpoint.State after) {
        this.capacityPerMs = capacityPerMs;
        this.rule = rule;
        this.returnedAt = returnedAt;
        this.after = after;
    }

    boolean isOver(double now) {
        return now >= returnedAt + rule.rampUpMs();
    }

    /** The share of its capacity that it has. */
    double share(double now) {
        double warm = Math.min(1, Math.max(0, (now - returnedAt) / rule.rampUpMs()));
        return rule.initialCapacityShare() + (1 - rule.initialCapacityShare()) * warm;
    }

    /** A call has come; the window that ends with it. */
    Window arrived(double now, boolean told, Relay.EndpointState heldAs) {
        window.add(new Arrival(now, told, heldAs));
        while (window.peek().at <= now - rule.overloadMs()) {
            window.remove();
        }
        Window ended = new Window(now, window.size(), most(now), count(Arrival::told),
                count(call -> call.heldAs == Relay.EndpointState.UP),
                count(call -> call.heldAs == Relay.EndpointState.DOWN), after);
        broken |= ended.ratio() > 1 && ended.isTold();
        if (ended.ratio() > worst) {
            worst = ended.ratio();
            worstWindow = ended;
        }
        return ended;
    }

    private int count(Predicate<Arrival> which) {
        return (int) window.stream().filter(which).count();
    }

    /** N + 2 x root of N + 2 for the span that ends now. */
    double most(double now) {
        double n = rule.overloadMultiple() * capacityPerMs * (capacityUntil(now)
                - capacityUntil(now - rule.overloadMs()));
        return n + 2 * Math.sqrt(n) + 2;
    }

    Window worst() {
        return worstWindow;
    }

    /** Whether a window was over its budget by the doing of senders that had been told of the outage. */
    boolean isBroken() {
        return broken;
    }

    /** Its share of capacity, summed over the time from the return. */
    private double capacityUntil(double time) {
        double since = time - returnedAt;
        if (since <= 0) {
            return rule.initialCapacityShare() * since;
        }
        double warming = Math.min(since, rule.rampUpMs());
        double mean = (rule.initialCapacityShare() + share(returnedAt + warming)) / 2;
        return mean * warming + since - warming;
    }
}
