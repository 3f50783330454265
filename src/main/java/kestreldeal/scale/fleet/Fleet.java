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
 * A hollow fleet: many instances of the real decision module on one simulated clock, with small models of clients,
 * network, endpoints and discovery. Equal settings give equal counts; nothing is read from real clocks, and each part
 * draws from a stream of its own, so that one that draws more does not move the others.
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

    /** Makes the module's instances; tests put a doctored one here. */
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
     * Runs to the end of all messages and tells what was counted.
     *
     * @throws Broken at the first rule that does not hold
     */
    Counts run(World.Watch watch) {
        senders.forEach(HollowSender::start);
        clients.start();
        faults.start();
        world.run(settings.seconds() * 1000 + AFTERWARDS_MS, watch);
        if (ledger.open() > 0) {
            throw new Broken(world.now(), ledger.open() + " messages have no final answer at the end of the run");
        }
        partners.forEach(Partner::coldReturnOver);
        return counts;
    }

    /** A cold destination got more than it bears: it is out once more. */
    void fall(Partner partner, ColdReturn.Window window) {
        counts.falls++;
        counts.brokenReturns += window.isTold() ? 1 : 0;
        faults.outage(partner, HollowEndpoint.State.REFUSING, world.now() + settings.model().outageMs().most());
    }

    /** A further endpoint, as able as the others of its destination; no list names it yet. */
    HollowEndpoint newEndpoint(Partner partner, int zone) {
        return newEndpoint(partner, zone, partner.endpoints.size());
    }

    private HollowEndpoint newEndpoint(Partner partner, int zone, int of) {
        HollowEndpoint endpoint = new HollowEndpoint(endpoints.size() + 1L, partner, zone, of, this, endpointRandom);
        partner.endpoints.add(endpoint);
        endpoints.put(endpoint.id, endpoint);
        return endpoint;
    }

    /** The module of a sender's life, with a seed of its own. */
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
