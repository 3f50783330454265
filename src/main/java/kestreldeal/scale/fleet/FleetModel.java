package kestreldeal.scale.fleet;

import java.util.List;
import kestreldeal.Relay;

/**
 * All parameters of the simulated environment; {@link #STANDARD} has the values that the tool uses. They resemble a
 * deployment whose destinations belong to other parties: uneven traffic, rate limits shared by all senders, delayed
 * list updates. Times are in milliseconds, or in seconds where the name ends with {@code S}; shares are from 0 to 1.
 *
 * @param regionCount number of regions, which are of equal size
 * @param zonesPerRegion number of zones of each region
 * @param networkDelayMs one-way network delay within a zone, between zones of a region, and between regions
 * @param networkJitter maximum increase of a network delay, as a share of it
 * @param trafficZipfExponent exponent of the Zipf distribution of traffic over destinations
 * @param senderTrafficSpread standard deviation of the logarithm of a sender's share of the traffic
 * @param moreEndpointsProbability probability of each further endpoint of a destination, up to four endpoints: 0.4
 *     gives a mean of 1.6
 * @param limitHeadroom rate limit of a destination as a multiple of its mean traffic
 * @param minLimitPerSecond lower bound of the rate limit, in calls per second
 * @param capacityHeadroom capacity of a destination as a multiple of its rate limit
 * @param limitWindowMs window of a fixed-window rate limit
 * @param bucketSeconds bucket size of a token bucket, in seconds of its rate
 * @param minRetryAfterMs minimum Retry-After wait above a token bucket limit
 * @param kinds kinds of destination; destinations take them in turn, in the order of their traffic
 * @param serviceTimeMs mean service time of an endpoint
 * @param serviceTimeSpread standard deviation of the logarithm of a service time
 * @param extraMessageCost share by which each further message of a call increases its service time
 * @param queuePerCore queue length of an endpoint for each core
 * @param errorRate share of calls that fail without an injected fault
 * @param listedRateError maximum relative error of the rate in the list
 * @param reportIntervalMs how long a destination repeats a load report before it makes a new one
 * @param reportNoise maximum relative error of a load report
 * @param unsafeShare share of messages that must not run twice
 * @param burstShare share of messages that arrive in bursts
 * @param burstSeconds size of a burst, in seconds of its destination's rate limit
 * @param retryShare share of clients that retry once after a rejection
 * @param retryDelayMs minimum delay of that retry; the wait in the rejection may be longer
 * @param otherSenderDelayMs delay until a client of a sender that is down tries another one
 * @param loadBalancerDelayMs how long the load balancer still routes clients to a sender that is down
 * @param publicationDelayMs delay from a change of an endpoint to its publication by discovery
 * @param agentDelayMs delay from the publication to an agent
 * @param drainMs time that an endpoint drains before its process ends
 * @param outageMs length of an outage
 * @param failingShare share of calls that fail during an outage with errors
 * @param senderDownMs time from the kill of a sender to its restart
 * @param connectTimeoutMs connect timeout
 * @param replacedShare share of endpoints that are replaced in a run; at least three are
 */
record FleetModel(int regionCount, int zonesPerRegion, List<Double> networkDelayMs, double networkJitter,
        double trafficZipfExponent, double senderTrafficSpread, double moreEndpointsProbability,
        UniformRange limitHeadroom, UniformRange minLimitPerSecond, UniformRange capacityHeadroom,
        UniformRange limitWindowMs, UniformRange bucketSeconds, UniformRange minRetryAfterMs, List<Kind> kinds,
        UniformRange serviceTimeMs, double serviceTimeSpread, UniformRange extraMessageCost,
        UniformRange queuePerCore, double errorRate, double listedRateError, UniformRange reportIntervalMs,
        double reportNoise, double unsafeShare, double burstShare, UniformRange burstSeconds, double retryShare,
        UniformRange retryDelayMs, UniformRange otherSenderDelayMs, UniformRange loadBalancerDelayMs,
        UniformRange publicationDelayMs, UniformRange agentDelayMs, UniformRange drainMs, UniformRange outageMs,
        UniformRange failingShare, UniformRange senderDownMs, double connectTimeoutMs, double replacedShare) {
    /** Indexes in the settings of the message class with an idempotency key, and of the one that must not run twice. */
    static final int KEYED_CLASS = 0;
    static final int UNSAFE_CLASS = 1;

    static final FleetModel STANDARD = new FleetModel(3, 2, List.of(15.0, 25.0, 68.0), 0.2, 0.8, 0.6, 0.4,
            new UniformRange(1.1, 2.2), new UniformRange(1.8, 4.9), new UniformRange(1.2, 1.6),
            new UniformRange(1000, 2000), new UniformRange(0.3, 0.98), new UniformRange(230, 990),
            List.of(new Kind(5, true, new UniformRange(0.6, 0.97)), new Kind(1, false, new UniformRange(0.07, 0.57)),
                    new Kind(1, false, new UniformRange(0.07, 0.57)), new Kind(1, true, new UniformRange(0.08, 0.45)),
                    new Kind(1, true, new UniformRange(0.08, 0.45)), new Kind(1, true, new UniformRange(0.08, 0.45))),
            new UniformRange(170, 290), 0.7, new UniformRange(0.06, 0.22), new UniformRange(2, 8), 0.005, 0.5,
            new UniformRange(180, 830), 0.1, 0.35, 0.1, new UniformRange(1, 3.5), 0.6, new UniformRange(380, 1400),
            new UniformRange(410, 1700), new UniformRange(1800, 3600), new UniformRange(1300, 3700),
            new UniformRange(33, 1800), new UniformRange(6000, 9000), new UniformRange(6700, 18_000),
            new UniformRange(0.6, 0.98), new UniformRange(3100, 7800), 1500, 0.02);

    /** Lower bound of the slots of a sender, and its slots as a multiple of the mean number of calls in flight. */
    private static final int MIN_SLOTS = 4;
    private static final double SLOTS_HEADROOM = 2.1;
    /** Mean duration of a call, network delay included. */
    private static final double MEAN_CALL_SECONDS = 0.35;
    /** Lower bound of the maximum number of pending messages, and that maximum in seconds of a sender's traffic. */
    private static final int MIN_PENDING = 8;
    private static final double PENDING_SECONDS = 9;
    private static final int MAX_ATTEMPTS = 12;
    private static final double KEEP_ALIVE_MS = 15_000;

    /**
     * A kind of destination; each is one kind in the settings of the decision module.
     *
     * @param maxBatchSize maximum number of messages of a call
     * @param fixedWindowLimit whether the rate limit is a fixed-window counter and not a token bucket
     * @param retryAfterProbability probability that a refusal has a Retry-After wait, drawn for each destination
     */
    record Kind(int maxBatchSize, boolean fixedWindowLimit, UniformRange retryAfterProbability) {
    }

    int zoneCount() {
        return regionCount * zonesPerRegion;
    }

    int regionOf(int zone) {
        return zone / zonesPerRegion;
    }

    /** The settings of each sender's decision module, for the mean load of the fleet. */
    Relay.Settings relaySettings(int senderCount, double messagesPerSecond) {
        double messagesPerSecondOfSender = messagesPerSecond / senderCount;
        List<Relay.MessageClass> classes = List.of(
                new Relay.MessageClass(2500, 20_000, 1, 0.3, Relay.Repeat.KEYED, false, 8000, false),
                new Relay.MessageClass(3000, 16_000, 2, 0.3, Relay.Repeat.UNSAFE, false, 5000, false));
        List<Relay.DestinationKind> destinationKinds = kinds.stream()
                .map(kind -> new Relay.DestinationKind(false, kind.maxBatchSize))
                .toList();
        int slots = Math.max(MIN_SLOTS,
                (int) Math.ceil(SLOTS_HEADROOM * messagesPerSecondOfSender * MEAN_CALL_SECONDS));
        return new Relay.Settings(classes, destinationKinds, true, Relay.Decay.LINEAR, List.of(), senderCount, slots,
                MAX_ATTEMPTS, true, true, 500, KEEP_ALIVE_MS, new Relay.SlowStart(0.2, 12_000, 2, 3000));
    }

    /** Maximum number of pending messages of a sender; clients get further ones rejected. */
    int maxPending(int senderCount, double messagesPerSecond) {
        return Math.max(MIN_PENDING, (int) Math.ceil(PENDING_SECONDS * messagesPerSecond / senderCount));
    }
}
