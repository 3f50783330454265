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
    private static final double ERROR_MS = 20;

    final long id;
    final SimulatedDestination partner;
    final int zone;
    private final FleetSimulation fleet;
    private final Random random;
    private final double meanMs;
    private final double itemCost;
    private final int cores;
    private final int depth;
    private final Deque<Call> queue = new ArrayDeque<>();
    private final Set<Call> running = new LinkedHashSet<>();
    private State state = State.SERVING;
    private double failShare;
    private double shutUntil;
    private boolean gone;
    /** Counts how often all queued and running calls were lost. */
    private int epoch;
    private int resets;

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

    SimulatedEndpoint(long id, SimulatedDestination partner, int zone, int of, FleetSimulation fleet, Random random) {
        FleetModel model = fleet.settings().model();
        this.id = id;
        this.partner = partner;
        this.zone = zone;
        this.fleet = fleet;
        this.random = random;
        this.meanMs = model.workMs().draw(random);
        this.itemCost = model.itemCost().draw(random);
        this.cores = Math.max(1, (int) Math.ceil(partner.capacityPerMs / of * meanMs));
        this.depth = (int) Math.ceil(cores * model.queuePerCore().draw(random));
    }

    boolean serves() {
        return state == State.SERVING && !gone;
    }

    boolean isGone() {
        return gone;
    }

    State state() {
        return state;
    }

    /** Whether it accepts connections; otherwise they are refused, or dropped if it is {@link State#SILENT}. */
    boolean accepts() {
        return state != State.REFUSING && state != State.SILENT && !gone;
    }

    /** How often its connections were reset; a connection from before the last reset is closed. */
    int resets() {
        return resets;
    }

    /**
     * Changes the state.
     *
     * @param opensAt for {@link State#SHUT}: when the endpoint will serve again, for its Retry-After waits
     */
    void become(State next, double opensAt) {
        if (gone) {
            return;
        }
        state = next;
        shutUntil = opensAt;
        failShare = fleet.settings().model().failShare().draw(random);
        if (next == State.REFUSING) {
            reset();
        } else if (next == State.SILENT || next == State.HUNG) {
            lose();
        }
        partner.endpointChanged(fleet.world().now(), next);
    }

    /** Ends the process for good, after a drain. */
    void end() {
        gone = true;
        reset();
        partner.endpointChanged(fleet.world().now(), State.REFUSING);
    }

    /** Resets all connections, those of queued and running calls and idle ones. */
    private void reset() {
        List<Call> lost = new ArrayList<>(running);
        lost.addAll(queue);
        lose();
        resets++;
        lost.forEach(call -> answer(call, Outcome.BROKEN, 0));
    }

    private void lose() {
        epoch++;
        queue.clear();
        running.clear();
    }

    /** Handles a call that has arrived completely. */
    void receive(Call call) {
        double now = fleet.world().now();
        if (!accepts()) {
            if (state != State.SILENT) {
                answer(call, Outcome.BROKEN, 0);
            }
            return;
        }
        fleet.counts().callsReceived++;
        Optional<DestinationRecovery.LoadWindow> tooMuch = partner.arrived(now, call);
        if (tooMuch.isPresent() && fleet.settings().falls()) {
            fleet.fall(partner, tooMuch.get());
            return;
        }
        switch (state) {
            case HUNG -> { }
            case SHUT -> turnAway(call, partner.waitUntil(now, shutUntil));
            case FAILING -> {
                if (random.nextDouble() < failShare) {
                    fleet.world().in(ERROR_MS, () -> answer(call, Outcome.ERROR, 0));
                } else {
                    take(call, now);
                }
            }
            default -> take(call, now);
        }
    }

    private void take(Call call, double now) {
        if (!partner.limit.take(now)) {
            fleet.counts().refusedAboveLimit++;
            turnAway(call, partner.waitAboveLimit(now));
        } else if (running.size() < cores) {
            serve(call);
        } else if (queue.size() < depth) {
            queue.add(call);
        } else {
            turnAway(call, 0);
        }
    }

    private void turnAway(Call call, double waitMs) {
        fleet.counts().refused++;
        answer(call, Outcome.FULL, waitMs);
    }

    private void serve(Call call) {
        FleetModel model = fleet.settings().model();
        running.add(call);
        int epochThen = epoch;
        double spread = model.workSpread();
        double drawn = Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        double work = meanMs * drawn * (1 + itemCost * (call.items.size() - 1));
        Outcome outcome = random.nextDouble() < model.errorRate() ? Outcome.ERROR : Outcome.DELIVERED;
        fleet.world().in(work / partner.share(fleet.world().now()), () -> {
            if (epoch == epochThen) {
                done(call, outcome);
            }
        });
    }

    private void done(Call call, Outcome outcome) {
        running.remove(call);
        fleet.counts().itemsRun += call.items.size();
        answer(call, outcome, 0);
        if (!queue.isEmpty()) {
            serve(queue.remove());
        }
    }

    /** Sends a response, or a connection reset, to the sender of a call. */
    private void answer(Call call, Outcome outcome, double waitMs) {
        Relay.LoadReport report = outcome == Outcome.DELIVERED || outcome == Outcome.FULL
                ? partner.report(fleet.world().now()) : Relay.LoadReport.NONE;
        SimulatedNetwork network = fleet.network();
        fleet.world().in(network.delay(zone, call.sender.zone), () -> {
            if (network.passes(zone, call.sender.zone)) {
                call.sender.answered(call, outcome, waitMs, report);
            }
        });
    }
}
