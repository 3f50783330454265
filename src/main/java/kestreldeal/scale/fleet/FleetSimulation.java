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
    private static final double AFTERWARDS_MS = 25_000;
    private static final int MOST_ENDPOINTS = 4;

    private final FleetSettings settings;
    private final RelayFactory factory;
    private final Relay.Settings relaySettings;
    private final int mostOpen;
    private final SimulationClock world = new SimulationClock();
    private final Counts counts = new Counts();
    private final Random seeds;
    private final Random endpointRandom;
    private final SimulatedNetwork network;
    private final InvariantChecker ledger;
    private final SimulatedDiscovery directory;
    private final FaultInjector faults;
    private final SimulatedClients clients;
    private final List<SimulatedDestination> partners = new ArrayList<>();
    private final Map<Long, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<SimulatedSender> senders = new ArrayList<>();

    /** Creates instances of the decision module; tests use it to make them break a rule. */
    interface RelayFactory {
        Relay create(Relay.Settings settings, long seed, Relay.Actions actions);
    }

    FleetSimulation(FleetSettings settings) {
        this(settings, Relay::create);
    }

    FleetSimulation(FleetSettings settings, RelayFactory factory) {
        this.settings = settings;
        this.factory = factory;
        FleetModel model = settings.model();
        this.relaySettings = model.settings(settings.senders(), settings.messagesPerSecond());
        this.mostOpen = model.mostOpen(settings.senders(), settings.messagesPerSecond());
        this.seeds = new Random(settings.seed());
        this.endpointRandom = stream();
        this.network = new SimulatedNetwork(model, stream());
        this.ledger = new InvariantChecker(world, relaySettings, settings.senders(), counts);
        IntStream.range(0, settings.senders())
                .forEach(i -> senders.add(new SimulatedSender(i, i % model.zones(), this)));
        this.directory = new SimulatedDiscovery(this, stream());
        WeightedSampler traffic = WeightedSampler.zipf(settings.destinations(), model.zipf());
        addPartners(traffic, stream());
        this.clients = new SimulatedClients(this, traffic, settings.seconds() * 1000, stream());
        this.faults = new FaultInjector(this, stream());
    }

    private Random stream() {
        return new Random(seeds.nextLong());
    }

    private void addPartners(WeightedSampler traffic, Random random) {
        for (int i = 0; i < settings.destinations(); i++) {
            SimulatedDestination partner = new SimulatedDestination(i, settings.messagesPerSecond() * traffic.of(i), settings,
                    relaySettings.slowStart(), counts, stream());
            partners.add(partner);
            int many = 1;
            while (many < MOST_ENDPOINTS && random.nextDouble() < settings.model().moreEndpoints()) {
                many++;
            }
            for (int n = 0; n < many; n++) {
                directory.add(newEndpoint(partner, random.nextInt(settings.model().zones()), many));
            }
        }
    }

    /**
     * Runs until all messages have a final result, and returns the counts.
     *
     * @throws Broken at the first violation of an invariant
     */
    Counts run(SimulationClock.Observer watch) {
        senders.forEach(SimulatedSender::start);
        clients.start();
        faults.start();
        world.run(settings.seconds() * 1000 + AFTERWARDS_MS, watch);
        if (ledger.open() > 0) {
            throw new InvariantViolationException(world.now(), ledger.open() + " messages have no final result at the end of the run");
        }
        partners.forEach(SimulatedDestination::coldReturnOver);
        return counts;
    }

    /** A recovering destination got more calls than its load budget: it collapses into another outage. */
    void fall(SimulatedDestination partner, DestinationRecovery.LoadWindow window) {
        counts.falls++;
        counts.brokenReturns += window.isTold() ? 1 : 0;
        faults.outage(partner, SimulatedEndpoint.State.REFUSING, world.now() + settings.model().outageMs().most());
    }

    /** Adds an endpoint with the same capacity as the others of its destination; it is not in any list yet. */
    SimulatedEndpoint newEndpoint(SimulatedDestination partner, int zone) {
        return newEndpoint(partner, zone, partner.endpoints.size());
    }

    private SimulatedEndpoint newEndpoint(SimulatedDestination partner, int zone, int of) {
        SimulatedEndpoint endpoint = new SimulatedEndpoint(endpoints.size() + 1L, partner, zone, of, this, endpointRandom);
        partner.endpoints.add(endpoint);
        endpoints.put(endpoint.id, endpoint);
        return endpoint;
    }

    /** Creates the decision module for one process of a sender, with a seed of its own. */
    Relay newRelay(int sender, int life, Relay.Actions actions) {
        long seed = new Random(settings.seed() * 31 + sender).nextLong() + life;
        return factory.create(relaySettings, seed, actions);
    }

    FleetSettings settings() {
        return settings;
    }

    Relay.Settings relaySettings() {
        return relaySettings;
    }

    int mostOpen() {
        return mostOpen;
    }

    SimulationClock world() {
        return world;
    }

    Counts counts() {
        return counts;
    }

    SimulatedNetwork network() {
        return network;
    }

    InvariantChecker ledger() {
        return ledger;
    }

    SimulatedDiscovery directory() {
        return directory;
    }

    SimulatedClients clients() {
        return clients;
    }

    List<SimulatedDestination> partners() {
        return Collections.unmodifiableList(partners);
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
