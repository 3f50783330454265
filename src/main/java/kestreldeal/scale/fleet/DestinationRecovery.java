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
    private final Relay.SlowStart slowStart;
    private final double startMs;
    private final SimulatedEndpoint.State outageState;
    private final Deque<Arrival> recentArrivals = new ArrayDeque<>();
    private double worstRatio;
    private LoadWindow worstWindow = LoadWindow.NONE;
    private boolean overBudgetByInformedSenders;

    private record Arrival(double timeMs, boolean informed, Relay.EndpointState assumedState) {
    }

    /**
     * The calls in one window.
     *
     * @param endMs end of the window
     * @param calls calls that arrived in the window
     * @param maxCalls maximum number of calls by the load budget
     * @param informedCalls calls from senders that had learned of the outage, by a call that failed or was refused
     * @param assumedUpCalls calls from senders that assumed that the endpoint was in service
     * @param probes calls from senders that assumed that it was in an outage, which are probe attempts
     * @param outageState kind of outage before the recovery
     */
    record LoadWindow(double endMs, int calls, double maxCalls, int informedCalls, int assumedUpCalls, int probes,
            SimulatedEndpoint.State outageState) {
        static final LoadWindow NONE = new LoadWindow(0, 0, 0, 0, 0, 0, SimulatedEndpoint.State.SERVING);

        double ratio() {
            return maxCalls == 0 ? 0 : calls / maxCalls;
        }

        /** Whether more than two thirds of the calls came from senders that had learned of the outage. */
        boolean isMostlyInformed() {
            return informedCalls * 3 > calls * 2;
        }
    }

    DestinationRecovery(double capacityPerMs, Relay.SlowStart slowStart, double startMs,
            SimulatedEndpoint.State outageState) {
        this.capacityPerMs = capacityPerMs;
        this.slowStart = slowStart;
        this.startMs = startMs;
        this.outageState = outageState;
    }

    boolean isOver(double nowMs) {
        return nowMs >= startMs + slowStart.rampUpMs();
    }

    /** The share of its capacity that the destination has at a time. */
    double capacityShare(double nowMs) {
        double rampUpProgress = Math.min(1, Math.max(0, (nowMs - startMs) / slowStart.rampUpMs()));
        return slowStart.initialCapacityShare() + (1 - slowStart.initialCapacityShare()) * rampUpProgress;
    }

    /** Records a call that has arrived; returns the window that ends with it. */
    LoadWindow callArrived(double nowMs, boolean informed, Relay.EndpointState assumedState) {
        recentArrivals.add(new Arrival(nowMs, informed, assumedState));
        while (recentArrivals.peek().timeMs <= nowMs - slowStart.overloadMs()) {
            recentArrivals.remove();
        }
        LoadWindow window = new LoadWindow(nowMs, recentArrivals.size(), maxCalls(nowMs), count(Arrival::informed),
                count(call -> call.assumedState == Relay.EndpointState.UP),
                count(call -> call.assumedState == Relay.EndpointState.DOWN), outageState);
        overBudgetByInformedSenders |= window.ratio() > 1 && window.isMostlyInformed();
        if (window.ratio() > worstRatio) {
            worstRatio = window.ratio();
            worstWindow = window;
        }
        return window;
    }

    private int count(Predicate<Arrival> condition) {
        return (int) recentArrivals.stream().filter(condition).count();
    }

    /** The load budget N + 2 sqrt(N) + 2 of the window that ends now. */
    double maxCalls(double nowMs) {
        double n = slowStart.overloadMultiple() * capacityPerMs * (capacityShareIntegral(nowMs)
                - capacityShareIntegral(nowMs - slowStart.overloadMs()));
        return n + 2 * Math.sqrt(n) + 2;
    }

    LoadWindow worstWindow() {
        return worstWindow;
    }

    /** Whether a window exceeded its budget mostly by calls of senders that had learned of the outage. */
    boolean isOverBudgetByInformedSenders() {
        return overBudgetByInformedSenders;
    }

    /**
     * The integral of {@link #capacityShare} from the start of the recovery to a time; negative for a time before it.
     */
    private double capacityShareIntegral(double timeMs) {
        double elapsedMs = timeMs - startMs;
        if (elapsedMs <= 0) {
            return slowStart.initialCapacityShare() * elapsedMs;
        }
        double rampUpElapsedMs = Math.min(elapsedMs, slowStart.rampUpMs());
        double meanShare = (slowStart.initialCapacityShare() + capacityShare(startMs + rampUpElapsedMs)) / 2;
        return meanShare * rampUpElapsedMs + elapsedMs - rampUpElapsedMs;
    }
}
