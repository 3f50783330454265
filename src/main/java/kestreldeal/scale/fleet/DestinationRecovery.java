package kestreldeal.scale.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import kestreldeal.Relay;

/**
 * A destination's recovery from an outage, in which its capacity ramps up, and the load budget that applies in it:
 * in any sliding window (of the length in the slow start settings), at most N + 2 sqrt(N) + 2 calls may arrive, where N
 * is a multiple (also from the settings) of the calls that the destination can serve in the window. Every call that
 * arrives counts once, whether it is refused or not and however many messages it has. For the part of a window before
 * the recovery, the capacity counts as it is at the start of the recovery.
 */
final class DestinationRecovery {
    private final double capacityPerMs;
    private final Relay.SlowStart rule;
    private final double returnedAt;
    private final SimulatedEndpoint.State after;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private double worst;
    private LoadWindow worstWindow = LoadWindow.NONE;
    private boolean broken;

    private record Arrival(double at, boolean told, Relay.EndpointState heldAs) {
    }

    /**
     * The calls in one window.
     *
     * @param endMs end of the window
     * @param calls calls that arrived in the window
     * @param most maximum number of calls by the load budget
     * @param told calls from senders that had learned of the outage, by a call that failed or was refused
     * @param heldUp calls from senders that assumed that the endpoint was in service
     * @param trials calls from senders that assumed that it was in an outage, which are probe attempts
     * @param after kind of outage before the recovery
     */
    record LoadWindow(double endMs, int calls, double most, int told, int heldUp, int trials, SimulatedEndpoint.State after) {
        static final LoadWindow NONE = new LoadWindow(0, 0, 0, 0, 0, 0, SimulatedEndpoint.State.SERVING);

        double ratio() {
            return most == 0 ? 0 : calls / most;
        }

        /** Whether more than two thirds of the calls came from senders that had learned of the outage. */
        boolean isTold() {
            return told * 3 > calls * 2;
        }
    }

    DestinationRecovery(double capacityPerMs, Relay.SlowStart rule, double returnedAt, SimulatedEndpoint.State after) {
        this.capacityPerMs = capacityPerMs;
        this.rule = rule;
        this.returnedAt = returnedAt;
        this.after = after;
    }

    boolean isOver(double now) {
        return now >= returnedAt + rule.rampUpMs();
    }

    /** The share of its capacity that the destination has at a time. */
    double share(double now) {
        double warm = Math.min(1, Math.max(0, (now - returnedAt) / rule.rampUpMs()));
        return rule.initialCapacityShare() + (1 - rule.initialCapacityShare()) * warm;
    }

    /** Records a call that has arrived; returns the window that ends with it. */
    LoadWindow arrived(double now, boolean told, Relay.EndpointState heldAs) {
        window.add(new Arrival(now, told, heldAs));
        while (window.peek().at <= now - rule.overloadMs()) {
            window.remove();
        }
        LoadWindow ended = new LoadWindow(now, window.size(), most(now), count(Arrival::told),
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

    /** The load budget N + 2 sqrt(N) + 2 of the window that ends now. */
    double most(double now) {
        double n = rule.overloadMultiple() * capacityPerMs * (capacityUntil(now)
                - capacityUntil(now - rule.overloadMs()));
        return n + 2 * Math.sqrt(n) + 2;
    }

    LoadWindow worst() {
        return worstWindow;
    }

    /** Whether a window exceeded its budget mostly by calls of senders that had learned of the outage. */
    boolean isBroken() {
        return broken;
    }

    /** The integral of {@link #share} from the start of the recovery to a time; negative for a time before it. */
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
