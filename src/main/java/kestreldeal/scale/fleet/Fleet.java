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
final class Fleet {
    private static final double AFTERWARDS_MS = 25_000;
    private static final int MOST_ENDPOINTS = 4;

    private final FleetSettings settings;
    private final RelayFactory factory;
    private final Relay.Settings relaySettings;
    private final int mostOpen;
    private final World world = new World();
    private final Counts counts = new Counts();
    private final Random seeds;
    private final Random endpointRandom;
    private final Network network;
    private final Ledger ledger;
    private final Directory directory;
    private final Faults faults;
    private final Clients clients;
    private final List<Partner> partners = new ArrayList<>();
    private final Map<Long, HollowEndpoint> endpoints = new LinkedHashMap<>();
    private final List<HollowSender> senders = new ArrayList<>();

    /** Creates instances of the decision module; tests use it to make them break a rule. */
    interface RelayFactory {
        Relay create(Relay.Settings settings, long seed, Relay.Actions actions);
    }

    Fleet(FleetSettings settings) {
        this(settings, Relay::create);
    }

    Fleet(FleetSettings settings, RelayFactory factory) {
        this.settings = settings;
        this.factory = factory;
        Model model = settings.model();
        this.relaySettings = model.settings(settings.senders(), settings.messagesPerSecond());
        this.mostOpen = model.mostOpen(settings.senders(), settings.messagesPerSecond());
        this.seeds = new Random(settings.seed());
        this.endpointRandom = stream();
        this.network = new Network(model, stream());
        this.ledger = new Ledger(world, relaySettings, settings.senders(), counts);
        IntStream.range(0, settings.senders())
                .forEach(i -> senders.add(new HollowSender(i, i % model.zones(), this)));
        this.directory = new Directory(this, stream());
        Parts traffic = Parts.zipf(settings.destinations(), model.zipf());
        addPartners(traffic, stream());
        this.clients = new Clients(this, traffic, settings.seconds() * 1000, stream());
        this.faults = new Faults(this, stream());
    }

    private Random stream() {
        return new Random(seeds.nextLong());
    }

    private void addPartners(Parts traffic, Random random) {
        for (int i = 0; i < settings.destinations(); i++) {
            Partner partner = new Partner(i, settings.messagesPerSecond() * traffic.of(i), settings,
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
    Counts run(World.Watch watch) {
        senders.forEach(HollowSender::start);
        clients.start();
        faults.start();
        world.run(settings.seconds() * 1000 + AFTERWARDS_MS, watch);
        if (ledger.open() > 0) {
            throw new Broken(world.now(), ledger.open() + " messages have no final result at the end of the run");
        }
        partners.forEach(Partner::coldReturnOver);
        return counts;
    }

    /** A recovering destination got more calls than its load budget: it collapses into another outage. */
    void fall(Partner partner, ColdReturn.Window window) {
        counts.falls++;
        counts.brokenReturns += window.isTold() ? 1 : 0;
        faults.outage(partner, HollowEndpoint.State.REFUSING, world.now() + settings.model().outageMs().most());
    }

    /** Adds an endpoint with the same capacity as the others of its destination; it is not in any list yet. */
    HollowEndpoint newEndpoint(Partner partner, int zone) {
        return newEndpoint(partner, zone, partner.endpoints.size());
    }

    private HollowEndpoint newEndpoint(Partner partner, int zone, int of) {
        HollowEndpoint endpoint = new HollowEndpoint(endpoints.size() + 1L, partner, zone, of, this, endpointRandom);
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

    World world() {
        return world;
    }

    Counts counts() {
        return counts;
    }

    Network network() {
        return network;
    }

    Ledger ledger() {
        return ledger;
    }

    Directory directory() {
        return directory;
    }

    Clients clients() {
        return clients;
    }

    List<Partner> partners() {
        return Collections.unmodifiableList(partners);
    }

    List<HollowSender> senders() {
        return Collections.unmodifiableList(senders);
    }

    List<HollowEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    HollowEndpoint endpoint(long id) {
        return endpoints.get(id);
    }
}
