package kestreldeal.scale.fleet;

import java.util.List;
import kestreldeal.Relay;

/**
 * All figures of the simulated world; {@link #STANDARD} is the tool's own. They are near those of a deployment for
 * partners that belong to others: uneven traffic, limits shared by all senders, lists that come late. Times in
 * milliseconds, {@code S} in seconds, shares from 0 to 1.
 *
 * @param regions regions of equal size
 * @param zonesPerRegion zones in each
 * @param oneWayMs within a zone, between zones of a region, between regions
 * @param jitter what a way takes longer, at most
 * @param zipf exponent of the traffic of destinations by rank
 * @param senderSpread standard deviation of the logarithm of a sender's part of the traffic
 * @param moreEndpoints chance of one more endpoint, up to four: 0.4 makes 1.6 in the mean
 * @param headroom limit by the destination's mean traffic
 * @param leastLimit least limit, calls a second
 * @param spare what a destination can do by its limit
 * @param windowMs span of a limit by count
 * @param depthS what a limit by rate lets through at once
 * @param waitMs least wait told above a limit by rate
 * @param kinds the kinds of destination, dealt by rank in turn
 * @param workMs mean service time of an endpoint
 * @param workSpread standard deviation of the logarithm of one service time
 * @param itemCost what each further message of a call adds to its work
 * @param queuePerCore calls that wait at an endpoint
 * @param errorRate calls that fail on a good day
 * @param listedError a listed rate is so far off, at most
 * @param reportMs how long a report stands before it is drawn anew
 * @param reportNoise error of a report
 * @param unsafeShare messages that must not run twice, by all
 * @param clumpShare messages that come in clumps
 * @param clumpS size of a clump, in seconds of its destination's limit
 * @param comesAgain clients that come once more after a refusal
 * @param backoffMs after so long, or the told wait
 * @param againMs after so long from a dead sender to another
 * @param frontNoticeMs the front deals to a dead sender for so long
 * @param noticeMs from a change to discovery's knowing it
 * @param spreadMs from there to an agent
 * @param drainMs from the word that an endpoint drains to its end
 * @param outageMs length of an outage
 * @param failShare share of calls that fail in an outage by errors
 * @param senderDownMs time from a sender's death to its start
 * @param connectTimeoutMs a connect is given up
 * @param replacedShare endpoints that are replaced in a run, three at least
 */
record Model(int regions, int zonesPerRegion, List<Double> oneWayMs, double jitter, double zipf, double senderSpread,
             double moreEndpoints, Range headroom, Range leastLimit, Range spare, Range windowMs, Range depthS,
             Range waitMs, List<Kind> kinds, Range workMs, double workSpread, Range itemCost, Range queuePerCore,
             double errorRate, double listedError, Range reportMs, double reportNoise, double unsafeShare,
             double clumpShare, Range clumpS, double comesAgain, Range backoffMs, Range againMs, Range frontNoticeMs,
             Range noticeMs, Range spreadMs, Range drainMs, Range outageMs, Range failShare, Range senderDownMs,
             double connectTimeoutMs, double replacedShare) {
    /** Index of the class whose repeats are dropped for a time, and of the one that must not run twice. */
    static final int KEYED = 0;
    static final int UNSAFE = 1;

    static final Model STANDARD = new Model(3, 2, List.of(15.0, 25.0, 68.0), 0.2, 0.8, 0.6, 0.4,
            new Range(1.1, 2.2), new Range(1.8, 4.9), new Range(1.2, 1.6), new Range(1000, 2000),
            new Range(0.3, 0.98), new Range(230, 990),
            List.of(new Kind(5, true, new Range(0.6, 0.97)), new Kind(1, false, new Range(0.07, 0.57)),
                    new Kind(1, false, new Range(0.07, 0.57)), new Kind(1, true, new Range(0.08, 0.45)),
                    new Kind(1, true, new Range(0.08, 0.45)), new Kind(1, true, new Range(0.08, 0.45))),
            new Range(170, 290), 0.7, new Range(0.06, 0.22), new Range(2, 8), 0.005, 0.5, new Range(180, 830), 0.1,
            0.35, 0.1, new Range(1, 3.5), 0.6, new Range(380, 1400), new Range(410, 1700), new Range(1800, 3600),
            new Range(1300, 3700), new Range(33, 1800), new Range(6000, 9000), new Range(6700, 18_000),
            new Range(0.6, 0.98), new Range(3100, 7800), 1500, 0.02);

    private static final int LEAST_SLOTS = 4;
    private static final double SLOTS_ROOM = 2.1;
    /** What a call takes in the mean, with its way. */
    private static final double CALL_S = 0.35;
    private static final int LEAST_OPEN = 8;
    private static final double OPEN_S = 9;
    private static final int MOST_ATTEMPTS = 12;
    private static final double KEEP_ALIVE_MS = 15_000;

    /** A kind of destination; the settings of the module name each once. */
    record Kind(int batch, boolean byCount, Range tellsWait) {
    }

    int zones() {
        return regions * zonesPerRegion;
    }

    int region(int zone) {
        return zone / zonesPerRegion;
    }

    /** The settings of each sender, for the load that the fleet has in the mean. */
    Relay.Settings settings(int senders, double messagesPerSecond) {
        double load = messagesPerSecond / senders;
        List<Relay.MessageClass> classes = List.of(
                new Relay.MessageClass(2500, 20_000, 1, 0.3, Relay.Effect.KEYED, false, 8000, false),
                new Relay.MessageClass(3000, 16_000, 2, 0.3, Relay.Effect.UNSAFE, false, 5000, false));
        List<Relay.DestinationKind> routes = kinds.stream().map(kind -> new Relay.DestinationKind(false, kind.batch))
                .toList();
        int slots = Math.max(LEAST_SLOTS, (int) Math.ceil(SLOTS_ROOM * load * CALL_S));
        return new Relay.Settings(classes, routes, true, Relay.Decay.LINEAR, List.of(), senders, slots, MOST_ATTEMPTS,
                true, true, 500, KEEP_ALIVE_MS, new Relay.SlowStart(0.2, 12_000, 2, 3000));
    }

    /** Messages that a sender may hold; further ones are turned away before it. */
    int mostOpen(int senders, double messagesPerSecond) {
        return Math.max(LEAST_OPEN, (int) Math.ceil(OPEN_S * messagesPerSecond / senders));
    }
}
