package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import kestreldeal.Relay;

/**
 * A discrete-event simulation of a fleet of senders: many instances of the real decision module on one simulated
 * clock, with simple models of clients, network, endpoints and discovery. It is deterministic: equal settings give
 * equal counts, no real clock is read, and each part has a random number generator of its own, so that a part that
 * draws more numbers does not change the others.
 */
final class FleetSimulation {
    /** How long a run goes on after the last submission, so that all messages can complete. */
    private static final double COMPLETION_TIME_MS = 25_000;
    private static final int MAX_ENDPOINTS_PER_DESTINATION = 4;

    private final FleetSettings settings;
    private final Relay.Factory relayFactory;
    private final Relay.Settings relaySettings;
    private final int maxPending;
    private final SimulationClock clock = new SimulationClock();
    private final Counts counts = new Counts();
    private final Random seedRandom;
    private final Random endpointRandom;
    private final SimulatedNetwork network;
    private final InvariantChecker invariants;
    private final SimulatedDiscovery discovery;
    private final FaultInjector faultInjector;
    private final SimulatedClients clients;
    private final List<SimulatedDestination> destinations = new ArrayList<>();
    private final Map<Long, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<SimulatedSender> senders = new ArrayList<>();

    FleetSimulation(FleetSettings settings) {
        this(settings, Relay::create);
    }

    FleetSimulation(FleetSettings settings, Relay.Factory relayFactory) {
        this.settings = settings;
        this.relayFactory = relayFactory;
        FleetModel model = settings.model();
        this.relaySettings = model.relaySettings(settings.senderCount(), settings.totalMessagesPerSecond());
        this.maxPending = model.maxPending(settings.senderCount(), settings.totalMessagesPerSecond());
        this.seedRandom = new Random(settings.seed());
        this.endpointRandom = newRandom();
        this.network = new SimulatedNetwork(model, newRandom());
        this.invariants = new InvariantChecker(clock, relaySettings, settings.senderCount(), counts);
        IntStream.range(0, settings.senderCount())
                .forEach(i -> senders.add(new SimulatedSender(i, i % model.zoneCount(), this)));
        this.discovery = new SimulatedDiscovery(this, newRandom());
        WeightedSampler traffic = WeightedSampler.zipf(settings.destinationCount(), model.trafficZipfExponent());
        addDestinations(traffic, newRandom());
        this.clients = new SimulatedClients(this, traffic, settings.seconds() * 1000, newRandom());
        this.faultInjector = new FaultInjector(this, newRandom());
    }

    private Random newRandom() {
        return new Random(seedRandom.nextLong());
    }

    private void addDestinations(WeightedSampler traffic, Random random) {
        for (int i = 0; i < settings.destinationCount(); i++) {
            SimulatedDestination destination = new SimulatedDestination(i,
                    settings.totalMessagesPerSecond() * traffic.probability(i), settings, relaySettings.slowStart(),
                    counts, newRandom());
            destinations.add(destination);
            int endpointCount = 1;
            while (endpointCount < MAX_ENDPOINTS_PER_DESTINATION
                    && random.nextDouble() < settings.model().moreEndpointsProbability()) {
                endpointCount++;
            }
            for (int added = 0; added < endpointCount; added++) {
                discovery.addInitial(addEndpoint(destination, random.nextInt(settings.model().zoneCount()),
                        endpointCount));
            }
        }
    }

    /**
     * Runs until all messages have a final result, and returns the counts.
     *
     * @throws InvariantViolationException at the first violation of an invariant
     */
    Counts run(SimulationClock.Observer observer) {
        senders.forEach(SimulatedSender::start);
        clients.start();
        faultInjector.start();
        clock.runUntil(settings.seconds() * 1000 + COMPLETION_TIME_MS, observer);
        if (invariants.unfinishedCount() > 0) {
            throw new InvariantViolationException(clock.nowMs(), invariants.unfinishedCount()
                    + " messages have no final result at the end of the run");
        }
        destinations.forEach(SimulatedDestination::recoveryEnded);
        return counts;
    }

    /** A recovering destination got more calls than its load budget: it collapses into another outage. */
    void collapse(SimulatedDestination destination, DestinationRecovery.LoadWindow window) {
        counts.collapses++;
        counts.collapsesByInformedSenders += window.isMostlyInformed() ? 1 : 0;
        faultInjector.startOutage(destination, SimulatedEndpoint.State.REFUSING,
                clock.nowMs() + settings.model().outageMs().max());
    }

    /** Adds an endpoint with the same capacity as the others of its destination; it is not in any list yet. */
    SimulatedEndpoint addEndpoint(SimulatedDestination destination, int zone) {
        return addEndpoint(destination, zone, destination.endpoints.size());
    }

    private SimulatedEndpoint addEndpoint(SimulatedDestination destination, int zone, int endpointCount) {
        SimulatedEndpoint endpoint = new SimulatedEndpoint(endpoints.size() + 1L, destination, zone, endpointCount,
                this, endpointRandom);
        destination.endpoints.add(endpoint);
        endpoints.put(endpoint.id, endpoint);
        return endpoint;
    }

    /** Creates the decision module for one process of a sender, with a seed of its own. */
    Relay newRelay(int senderNumber, int processNumber, Relay.Actions actions) {
        long seed = new Random(settings.seed() * 31 + senderNumber).nextLong() + processNumber;
        return relayFactory.create(relaySettings, seed, actions);
    }

    FleetSettings settings() {
        return settings;
    }

    Relay.Settings relaySettings() {
        return relaySettings;
    }

    int maxPending() {
        return maxPending;
    }

    SimulationClock clock() {
        return clock;
    }

    Counts counts() {
        return counts;
    }

    SimulatedNetwork network() {
        return network;
    }

    InvariantChecker invariants() {
        return invariants;
    }

    SimulatedDiscovery discovery() {
        return discovery;
    }

    SimulatedClients clients() {
        return clients;
    }

    List<SimulatedDestination> destinations() {
        return Collections.unmodifiableList(destinations);
    }

    List<SimulatedSender> senders() {
        return Collections.unmodifiableList(senders);
    }

    List<SimulatedEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    SimulatedEndpoint endpoint(long id) {
        return endpoints.get(id);
    }
}
