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
 * An endpoint: some cores with a queue before them, behind its destination's limit, and what may be wrong with it.
 * While its destination is cold its work takes longer.
 */
final class HollowEndpoint {
    /** A quick error takes so long. */
    private static final double ERROR_MS = 20;

    final long id;
    final Partner partner;
    final int zone;
    private final Fleet fleet;
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
    /** Counts the times at which all its work was lost. */
    private int epoch;
    private int resets;

    /** What an endpoint is like. */
    enum State {
        /** It takes calls. */
        SERVING,
        /** Its process is not there, but its machine is. */
        REFUSING,
        /** Its machine can't be reached. */
        SILENT,
        /** It takes connections and never answers. */
        HUNG,
        /** Most calls fail. */
        FAILING,
        /** It turns all calls away. */
        SHUT
    }

    HollowEndpoint(long id, Partner partner, int zone, int of, Fleet fleet, Random random) {
        Model model = fleet.settings().model();
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

    /** Takes connections; else they are refused, or nothing is said if it is silent. */
    boolean accepts() {
        return state != State.REFUSING && state != State.SILENT && !gone;
    }

    /** How often its connections were reset; those of before are no more. */
    int resets() {
        return resets;
    }

    /** Something begins, or is over; while it is shut it opens again at that time. */
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

    /** Its process ends, after a drain. */
    void end() {
        gone = true;
        reset();
        partner.endpointChanged(fleet.world().now(), State.REFUSING);
    }

    /** What it has is reset, and so are connections that rest. */
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

    /** A call's last byte has come. */
    void receive(Call call) {
        double now = fleet.world().now();
        if (!accepts()) {
            if (state != State.SILENT) {
                answer(call, Outcome.BROKEN, 0);
            }
            return;
        }
        fleet.counts().callsReceived++;
        Optional<ColdReturn.Window> tooMuch = partner.arrived(now, call);
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
        Model model = fleet.settings().model();
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

    /** Sends an answer, or a reset, on its way. */
    private void answer(Call call, Outcome outcome, double waitMs) {
        Relay.LoadReport report = outcome == Outcome.DELIVERED || outcome == Outcome.FULL
                ? partner.report(fleet.world().now()) : Relay.LoadReport.NONE;
        Network network = fleet.network();
        fleet.world().in(network.delay(zone, call.sender.zone), () -> {
            if (network.passes(zone, call.sender.zone)) {
                call.sender.answered(call, outcome, waitMs, report);
            }
        });
    }
}
