package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import kestreldeal.Relay;

/**
 * A destination: its endpoints, the rate limit that they share, and its outages. It is in an outage while none of its
 * endpoints serves, and recovers from it when one serves again.
 */
final class SimulatedDestination {
    final int id;
    final int kind;
    final FleetModel.Kind type;
    final RateLimit limit;
    /** The rate limit in calls per second, and the inaccurate value of it in the list. */
    final double limitPerSecond;
    final double listedPerSecond;
    /** Capacity after recovery, in calls per millisecond. */
    final double capacityPerMs;
    final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final FleetModel model;
    private final Relay.SlowStart rule;
    private final Counts counts;
    private final Random random;
    private final double waitMs;
    private final double tellsWait;
    private final BitSet toldSenders = new BitSet();
    private Optional<DestinationRecovery> cold = Optional.empty();
    private boolean out;
    private double outAt;
    private double backAt;
    private SimulatedEndpoint.State outBy = SimulatedEndpoint.State.SERVING;
    private Relay.LoadReport report = Relay.LoadReport.NONE;
    private double reportUntil;

    /** Creates a destination for the given mean traffic. */
    SimulatedDestination(int id, double messagesPerSecond, FleetSettings settings, Relay.SlowStart rule, Counts counts,
            Random random) {
        this.id = id;
        this.model = settings.model();
        this.rule = rule;
        this.counts = counts;
        this.random = random;
        this.kind = id % model.kinds().size();
        this.type = model.kinds().get(kind);
        this.limitPerSecond = Math.max(model.leastLimit().draw(random),
                model.headroom().draw(random) * messagesPerSecond);
        double error = 1 + model.listedError() * (2 * random.nextDouble() - 1);
        this.listedPerSecond = limitPerSecond * error;
        this.capacityPerMs = limitPerSecond * model.spare().draw(random) / 1000;
        this.waitMs = model.waitMs().draw(random);
        this.tellsWait = type.tellsWait().draw(random);
        double perMs = limitPerSecond / 1000;
        this.limit = type.byCount() ? RateLimit.byCount(perMs, model.windowMs().draw(random))
                : RateLimit.byRate(perMs, limitPerSecond * model.depthS().draw(random));
    }

    /** The Retry-After wait of a call refused by the rate limit, or 0 for none; it is always long enough. */
    double waitAboveLimit(double now) {
        if (random.nextDouble() >= tellsWait) {
            return 0;
        }
        double room = limit.roomIn(now);
        return Math.ceil(type.byCount() ? room : Math.max(waitMs, room));
    }

    /** The Retry-After wait of a call refused by an endpoint that is shut until a known time, or 0 for none. */
    double waitUntil(double now, double opening) {
        return random.nextDouble() < tellsWait ? Math.ceil(Math.max(0, opening - now)) : 0;
    }

    /** The load report of its responses; the same report is sent for a while. */
    Relay.LoadReport report(double now) {
        if (now >= reportUntil) {
            double left = Math.min(1, Math.max(0, limit.left(now) + noise()));
            report = new Relay.LoadReport(limitPerSecond * (1 + noise()), left);
            reportUntil = now + model.reportMs().draw(random);
        }
        return report;
    }

    private double noise() {
        return model.reportNoise() * (2 * random.nextDouble() - 1);
    }

    /** The share of its capacity that is available now. */
    double share(double now) {
        return cold.map(c -> c.share(now)).orElse(1.0);
    }

    boolean isOut() {
        return out;
    }

    /** Updates the outage after an endpoint has started or stopped serving. */
    void endpointChanged(double now, SimulatedEndpoint.State state) {
        boolean serves = endpoints.stream().anyMatch(SimulatedEndpoint::serves);
        if (serves == !out) {
            return;
        }
        out = !serves;
        if (out) {
            coldReturnOver();
            toldSenders.clear();
            outAt = now;
            outBy = state;
            backAt = Double.POSITIVE_INFINITY;
            counts.outages++;
        } else {
            backAt = now;
            cold = Optional.of(new DestinationRecovery(capacityPerMs, rule, now, outBy));
        }
    }

    /** Notes that a sender has learned of the outage, by a failed or refused call that it made during it. */
    void told(SimulatedSender sender, double calledAt) {
        if (calledAt >= outAt && calledAt < backAt) {
            toldSenders.set(sender.number);
        }
    }

    /** Records a call that has arrived; returns the window that it takes over the load budget, if it does. */
    Optional<DestinationRecovery.LoadWindow> arrived(double now, Call call) {
        if (cold.filter(c -> c.isOver(now)).isPresent()) {
            coldReturnOver();
        }
        return cold.map(c -> c.arrived(now, toldSenders.get(call.sender.number), call.heldAs))
                .filter(window -> window.ratio() > 1);
    }

    /** Adds a recovery that has ended, by itself or with the run, to the counts. */
    void coldReturnOver() {
        cold.ifPresent(counts::coldReturnOver);
        cold = Optional.empty();
    }
}
