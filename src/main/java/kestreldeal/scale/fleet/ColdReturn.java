package kestreldeal.scale.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import kestreldeal.Relay;

/**
 * A destination's return from an outage, and the rule on it: in each span that the settings name, no more than N + 2
 * x root of N + 2 calls, N being the settings' multiple of what the destination can do in it. Every call that reaches
 * it counts, those turned away too, one of several messages as one. Before the return it counts as cold as at it.
 */
final class ColdReturn {
    private final double capacityPerMs;
    private final Relay.ColdStart rule;
    private final double returnedAt;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private double worst;
    private Window worstWindow = new Window(0, 0, 0, 0);

    private record Arrival(double at, boolean told) {
    }

    /** Calls in the span that ends at a time, what may come in it at most, and those from senders that were told. */
    record Window(double endMs, int calls, double most, int told) {
        double ratio() {
            return most == 0 ? 0 : calls / most;
        }

        /** Whether over two thirds of it came from senders that had been told of the outage. */
        boolean isTold() {
            return told * 3 > calls * 2;
        }
    }

    ColdReturn(double capacityPerMs, Relay.ColdStart rule, double returnedAt) {
        this.capacityPerMs = capacityPerMs;
        this.rule = rule;
        this.returnedAt = returnedAt;
    }

    boolean isOver(double now) {
        return now >= returnedAt + rule.warmMs();
    }

    /** The share of its capacity that it has. */
    double share(double now) {
        double warm = Math.min(1, Math.max(0, (now - returnedAt) / rule.warmMs()));
        return rule.startCapacity() + (1 - rule.startCapacity()) * warm;
    }

    /** A call has come; the window that ends with it. */
    Window arrived(double now, boolean told) {
        window.add(new Arrival(now, told));
        while (window.peek().at <= now - rule.overloadMs()) {
            window.remove();
        }
        Window ended = new Window(now, window.size(), most(now), (int) window.stream().filter(Arrival::told).count());
        if (ended.ratio() > worst) {
            worst = ended.ratio();
            worstWindow = ended;
        }
        return ended;
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

    /** Its share of capacity, summed over the time from the return. */
    private double capacityUntil(double time) {
        double since = time - returnedAt;
        if (since <= 0) {
            return rule.startCapacity() * since;
        }
        double warming = Math.min(since, rule.warmMs());
        double mean = (rule.startCapacity() + share(returnedAt + warming)) / 2;
        return mean * warming + since - warming;
    }
}
