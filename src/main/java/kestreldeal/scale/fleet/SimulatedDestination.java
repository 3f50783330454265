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
    final int kindIndex;
    final FleetModel.Kind kind;
    final RateLimit rateLimit;
    /** The rate limit in calls per second, and the inaccurate value of it in the list. */
    final double limitPerSecond;
    final double listedLimitPerSecond;
    /** Capacity after recovery, in calls per millisecond. */
    final double capacityPerMs;
    final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final FleetModel model;
    private final Relay.SlowStart slowStart;
    private final Counts counts;
    private final Random random;
    private final double minRetryAfterMs;
    private final double retryAfterProbability;
    private final BitSet informedSenders = new BitSet();
    private Optional<DestinationRecovery> recovery = Optional.empty();
    private boolean inOutage;
    private double outageStartMs;
    private double outageEndMs;
    private SimulatedEndpoint.State outageState = SimulatedEndpoint.State.SERVING;
    private Relay.LoadReport currentReport = Relay.LoadReport.NONE;
    private double reportValidUntilMs;

    /** Creates a destination for the given mean traffic. */
    SimulatedDestination(int id, double messagesPerSecond, FleetSettings settings, Relay.SlowStart slowStart,
            Counts counts, Random random) {
        this.id = id;
        this.model = settings.model();
        this.slowStart = slowStart;
        this.counts = counts;
        this.random = random;
        this.kindIndex = id % model.kinds().size();
        this.kind = model.kinds().get(kindIndex);
        this.limitPerSecond = Math.max(model.minLimitPerSecond().draw(random),
                model.limitHeadroom().draw(random) * messagesPerSecond);
        double listedError = 1 + model.listedRateError() * (2 * random.nextDouble() - 1);
        this.listedLimitPerSecond = limitPerSecond * listedError;
        this.capacityPerMs = limitPerSecond * model.capacityHeadroom().draw(random) / 1000;
        this.minRetryAfterMs = model.minRetryAfterMs().draw(random);
        this.retryAfterProbability = kind.retryAfterProbability().draw(random);
        double limitPerMs = limitPerSecond / 1000;
        this.rateLimit = kind.fixedWindowLimit() ? RateLimit.fixedWindow(limitPerMs, model.limitWindowMs().draw(random))
                : RateLimit.tokenBucket(limitPerMs, limitPerSecond * model.bucketSeconds().draw(random));
    }

    /** The Retry-After wait of a call refused by the rate limit, or 0 for none; it is always long enough. */
    double retryAfterAboveLimitMs(double nowMs) {
        if (random.nextDouble() >= retryAfterProbability) {
            return 0;
        }
        double waitMs = rateLimit.msUntilAvailable(nowMs);
        return Math.ceil(kind.fixedWindowLimit() ? waitMs : Math.max(minRetryAfterMs, waitMs));
    }

    /** The Retry-After wait of a call refused by an endpoint that is shut until a known time, or 0 for none. */
    double retryAfterUntilMs(double nowMs, double opensAtMs) {
        return random.nextDouble() < retryAfterProbability ? Math.ceil(Math.max(0, opensAtMs - nowMs)) : 0;
    }

    /** The load report of its responses; the same report is sent for a while. */
    Relay.LoadReport loadReport(double nowMs) {
        if (nowMs >= reportValidUntilMs) {
            double left = Math.min(1, Math.max(0, rateLimit.remainingShare(nowMs) + drawNoise()));
            currentReport = new Relay.LoadReport(limitPerSecond * (1 + drawNoise()), left);
            reportValidUntilMs = nowMs + model.reportIntervalMs().draw(random);
        }
        return currentReport;
    }

    private double drawNoise() {
        return model.reportNoise() * (2 * random.nextDouble() - 1);
    }

    /** The share of its capacity that is available now. */
    double capacityShare(double nowMs) {
        return recovery.map(r -> r.capacityShare(nowMs)).orElse(1.0);
    }

    boolean isInOutage() {
        return inOutage;
    }

    /** Updates the outage after an endpoint has started or stopped serving. */
    void endpointChanged(double nowMs, SimulatedEndpoint.State state) {
        boolean serves = endpoints.stream().anyMatch(SimulatedEndpoint::isServing);
        if (serves == !inOutage) {
            return;
        }
        inOutage = !serves;
        if (inOutage) {
            recoveryEnded();
            informedSenders.clear();
            outageStartMs = nowMs;
            outageState = state;
            outageEndMs = Double.POSITIVE_INFINITY;
            counts.outages++;
        } else {
            outageEndMs = nowMs;
            recovery = Optional.of(new DestinationRecovery(capacityPerMs, slowStart, nowMs, outageState));
        }
    }

    /** Notes that a sender has learned of the outage, by a failed or refused call that it made during it. */
    void senderLearnedOfOutage(SimulatedSender sender, double sentAtMs) {
        if (sentAtMs >= outageStartMs && sentAtMs < outageEndMs) {
            informedSenders.set(sender.number);
        }
    }

    /** Records a call that has arrived; returns the window that it takes over the load budget, if it does. */
    Optional<DestinationRecovery.LoadWindow> callArrived(double nowMs, Call call) {
        if (recovery.filter(r -> r.isOver(nowMs)).isPresent()) {
            recoveryEnded();
        }
        return recovery.map(r -> r.callArrived(nowMs, informedSenders.get(call.sender.number), call.assumedState))
                .filter(window -> window.ratio() > 1);
    }

    /** Adds a recovery that has ended, by itself or with the run, to the counts. */
    void recoveryEnded() {
        recovery.ifPresent(counts::recoveryEnded);
        recovery = Optional.empty();
    }
}
