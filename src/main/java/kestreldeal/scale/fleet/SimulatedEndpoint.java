package kestreldeal.scale.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import kestreldeal.Relay;
import kestreldeal.Relay.Outcome;

/**
 * A simulated endpoint: a number of cores with a bounded queue, behind the rate limit of its destination, with
 * injected faults. Its service times are longer while its destination recovers from an outage.
 */
final class SimulatedEndpoint {
    /** Service time of a call that fails with an injected error. */
    private static final double ERROR_SERVICE_MS = 20;

    final long id;
    final SimulatedDestination destination;
    final int zone;
    private final FleetSimulation fleet;
    private final Random random;
    private final double meanServiceMs;
    private final double extraMessageCost;
    private final int cores;
    private final int maxQueueLength;
    private final Deque<Call> queuedCalls = new ArrayDeque<>();
    private final Set<Call> runningCalls = new LinkedHashSet<>();
    private State state = State.SERVING;
    private double failingShare;
    private double shutUntilMs;
    private boolean removed;
    /** Counts how often all queued and running calls were lost. */
    private int epoch;
    private int resetCount;

    /** The state of an endpoint; each except the first is a kind of outage. */
    enum State {
        /** Serves calls. */
        SERVING,
        /** The process is down but the machine is up, so connections are refused. */
        REFUSING,
        /** The machine can't be reached, so packets to it are dropped. */
        SILENT,
        /** Accepts connections but never responds. */
        HUNG,
        /** Fails most calls with an error. */
        FAILING,
        /** Refuses all calls, sometimes with a Retry-After wait. */
        SHUT
    }

    SimulatedEndpoint(long id, SimulatedDestination destination, int zone, int endpointCount, FleetSimulation fleet,
            Random random) {
        FleetModel model = fleet.settings().model();
        this.id = id;
        this.destination = destination;
        this.zone = zone;
        this.fleet = fleet;
        this.random = random;
        this.meanServiceMs = model.serviceTimeMs().draw(random);
        this.extraMessageCost = model.extraMessageCost().draw(random);
        this.cores = Math.max(1, (int) Math.ceil(destination.capacityPerMs / endpointCount * meanServiceMs));
        this.maxQueueLength = (int) Math.ceil(cores * model.queuePerCore().draw(random));
    }

    boolean isServing() {
        return state == State.SERVING && !removed;
    }

    boolean isRemoved() {
        return removed;
    }

    State state() {
        return state;
    }

    /** Whether it accepts connections; otherwise they are refused, or dropped if it is {@link State#SILENT}. */
    boolean acceptsConnections() {
        return state != State.REFUSING && state != State.SILENT && !removed;
    }

    /** How often its connections were reset; a connection from before the last reset is closed. */
    int resetCount() {
        return resetCount;
    }

    /**
     * Changes the state.
     *
     * @param opensAtMs for {@link State#SHUT}: when the endpoint will serve again, for its Retry-After waits
     */
    void changeState(State newState, double opensAtMs) {
        if (removed) {
            return;
        }
        state = newState;
        shutUntilMs = opensAtMs;
        failingShare = fleet.settings().model().failingShare().draw(random);
        if (newState == State.REFUSING) {
            resetConnections();
        } else if (newState == State.SILENT || newState == State.HUNG) {
            loseCalls();
        }
        destination.endpointChanged(fleet.clock().nowMs(), newState);
    }

    /** Ends the process for good, after a drain. */
    void shutDown() {
        removed = true;
        resetConnections();
        destination.endpointChanged(fleet.clock().nowMs(), State.REFUSING);
    }

    /** Resets all connections, those of queued and running calls and idle ones. */
    private void resetConnections() {
        List<Call> lost = new ArrayList<>(runningCalls);
        lost.addAll(queuedCalls);
        loseCalls();
        resetCount++;
        lost.forEach(call -> respond(call, Outcome.BROKEN, 0));
    }

    private void loseCalls() {
        epoch++;
        queuedCalls.clear();
        runningCalls.clear();
    }

    /** Handles a call that has arrived completely. */
    void receive(Call call) {
        double nowMs = fleet.clock().nowMs();
        if (!acceptsConnections()) {
            if (state != State.SILENT) {
                respond(call, Outcome.BROKEN, 0);
            }
            return;
        }
        fleet.counts().callsReceived++;
        Optional<DestinationRecovery.LoadWindow> overBudget = destination.callArrived(nowMs, call);
        if (overBudget.isPresent() && fleet.settings().collapseOnOverload()) {
            fleet.collapse(destination, overBudget.get());
            return;
        }
        switch (state) {
            case HUNG -> { }
            case SHUT -> refuse(call, destination.retryAfterUntilMs(nowMs, shutUntilMs));
            case FAILING -> {
                if (random.nextDouble() < failingShare) {
                    fleet.clock().scheduleAfter(ERROR_SERVICE_MS, () -> respond(call, Outcome.ERROR, 0));
                } else {
                    admit(call, nowMs);
                }
            }
            default -> admit(call, nowMs);
        }
    }

    private void admit(Call call, double nowMs) {
        if (!destination.rateLimit.tryAcquire(nowMs)) {
            fleet.counts().callsRefusedByLimit++;
            refuse(call, destination.retryAfterAboveLimitMs(nowMs));
        } else if (runningCalls.size() < cores) {
            serve(call);
        } else if (queuedCalls.size() < maxQueueLength) {
            queuedCalls.add(call);
        } else {
            refuse(call, 0);
        }
    }

    private void refuse(Call call, double retryAfterMs) {
        fleet.counts().callsRefused++;
        respond(call, Outcome.FULL, retryAfterMs);
    }

    private void serve(Call call) {
        FleetModel model = fleet.settings().model();
        runningCalls.add(call);
        int expectedEpoch = epoch;
        double spread = model.serviceTimeSpread();
        double factor = Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        double serviceMs = meanServiceMs * factor * (1 + extraMessageCost * (call.items.size() - 1));
        Outcome outcome = random.nextDouble() < model.errorRate() ? Outcome.ERROR : Outcome.DELIVERED;
        fleet.clock().scheduleAfter(serviceMs / destination.capacityShare(fleet.clock().nowMs()), () -> {
            if (epoch == expectedEpoch) {
                finish(call, outcome);
            }
        });
    }

    private void finish(Call call, Outcome outcome) {
        runningCalls.remove(call);
        fleet.counts().messagesProcessed += call.items.size();
        respond(call, outcome, 0);
        if (!queuedCalls.isEmpty()) {
            serve(queuedCalls.remove());
        }
    }

    /** Sends a response, or a connection reset, to the sender of a call. */
    private void respond(Call call, Outcome outcome, double retryAfterMs) {
        Relay.LoadReport report = outcome == Outcome.DELIVERED || outcome == Outcome.FULL
                ? destination.loadReport(fleet.clock().nowMs()) : Relay.LoadReport.NONE;
        SimulatedNetwork network = fleet.network();
        fleet.clock().scheduleAfter(network.drawDelayMs(zone, call.sender.zone), () -> {
            if (network.isConnected(zone, call.sender.zone)) {
                call.sender.responseReceived(call, outcome, retryAfterMs, report);
            }
        });
    }
}
