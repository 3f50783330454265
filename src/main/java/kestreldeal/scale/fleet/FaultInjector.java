package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Injects the faults of a scenario. All faults are over before clients stop submitting messages. */
final class FaultInjector {
    /** The part of the run in which faults occur, as shares of its length. */
    private static final double FIRST = 0.1;
    private static final double LAST = 0.9;
    private static final double DOWN_SHARE = 0.021;
    /** Restarts per sender and day: 340 per day in a fleet of 5800 senders. */
    private static final double RESTARTS_A_DAY = 340.0 / 5800;
    private static final double DAY_S = 86_400;
    private static final int LEAST_RESTARTS = 4;
    private static final int LEAST_REPLACED = 3;
    private static final double RACK_SHARE = 0.025;
    private static final int LEAST_RACK = 2;
    private static final double ZONE_LOST = 0.25;
    private static final double REGIONS_CUT = 0.4;
    private static final double OUT_AT_RETURN = 0.3;
    private static final double DEAD_AT_RETURN = 0.7;

    private final FleetSimulation fleet;
    private final SimulationClock world;
    private final FleetModel model;
    private final Random random;
    private final double runMs;

    FaultInjector(FleetSimulation fleet, Random random) {
        this.fleet = fleet;
        this.world = fleet.world();
        this.model = fleet.settings().model();
        this.random = random;
        this.runMs = fleet.settings().seconds() * 1000;
    }

    void start() {
        replaceSome();
        switch (fleet.settings().scenario()) {
            case STEADY -> { }
            case DOWN -> keepSomeDown();
            case RESTARTS -> restartSome();
            case ZONE -> loseZone(random.nextInt(model.zones()));
            case REGIONS -> cutRegion(random.nextInt(model.regions()));
            case RETURN -> returnAtOnce();
            default -> throw new IllegalStateException("unknown scenario: " + fleet.settings().scenario());
        }
    }

    private double share(double of) {
        return runMs * of;
    }

    private double someTime() {
        return runMs * (FIRST + (LAST - FIRST) * random.nextDouble());
    }

    /** Replaces some endpoints gracefully: a new one is listed, the old one drains, ends and is removed. */
    private void replaceSome() {
        int many = Math.max(LEAST_REPLACED, (int) Math.round(model.replacedShare() * fleet.endpoints().size()));
        List<SimulatedEndpoint> all = new ArrayList<>(fleet.endpoints());
        Collections.shuffle(all, random);
        all.subList(0, Math.min(many, all.size())).forEach(old -> world.at(someTime(), () -> replace(old)));
    }

    private void replace(SimulatedEndpoint old) {
        SimulatedEndpoint next = fleet.newEndpoint(old.partner, old.zone);
        if (old.partner.isOut()) {
            next.become(old.state(), Double.POSITIVE_INFINITY);
        }
        fleet.directory().change(next, true, false);
        fleet.directory().change(old, false, false);
        // The drain time starts when the change has certainly been published.
        world.in(model.noticeMs().most() + model.drainMs().draw(random), () -> {
            old.end();
            fleet.directory().change(old, false, true);
        });
    }

    private void keepSomeDown() {
        int many = (int) Math.max(1, Math.round(DOWN_SHARE * fleet.partners().size()));
        for (int i = 0; i < many; i++) {
            world.at(share(FIRST) * random.nextDouble(), this::nextOutage);
        }
    }

    /** Starts an outage of one destination, and the next outage when it ends, until faults must be over. */
    private void nextOutage() {
        double ms = model.outageMs().draw(random);
        if (world.now() + ms > share(LAST)) {
            return;
        }
        List<SimulatedDestination> up = fleet.partners().stream().filter(partner -> !partner.isOut()).toList();
        if (!up.isEmpty()) {
            outage(up.get(random.nextInt(up.size())), world.now() + ms);
        }
        world.in(ms, this::nextOutage);
    }

    /** Starts an outage of a random kind. */
    private void outage(SimulatedDestination partner, double until) {
        SimulatedEndpoint.State[] ways = SimulatedEndpoint.State.values();
        outage(partner, ways[1 + random.nextInt(ways.length - 1)], until);
    }

    /** Starts an outage of all endpoints of a destination, which ends for all of them at the same time. */
    void outage(SimulatedDestination partner, SimulatedEndpoint.State way, double until) {
        List.copyOf(partner.endpoints).forEach(endpoint -> endpoint.become(way, until));
        world.at(until, () -> serveAgain(partner.endpoints));
    }

    private static void serveAgain(List<SimulatedEndpoint> endpoints) {
        List.copyOf(endpoints).forEach(endpoint -> endpoint.become(SimulatedEndpoint.State.SERVING, 0));
    }

    private void restartSome() {
        double expected = RESTARTS_A_DAY * fleet.settings().senders() * fleet.settings().seconds() / DAY_S;
        int many = Math.max(LEAST_RESTARTS, (int) Math.round(expected));
        List<SimulatedSender> drawn = drawn(fleet.senders().size());
        int rack = Math.max(LEAST_RACK, (int) Math.round(RACK_SHARE * drawn.size()));
        for (int i = 0; i < many; i++) {
            SimulatedSender sender = drawn.get(i % drawn.size());
            boolean inOrder = i % 2 == 0;
            world.at(someTime(), () -> {
                if (!sender.takes()) {
                    return;
                }
                if (inOrder) {
                    sender.restartInOrder();
                } else {
                    sender.restartAfter(model.senderDownMs().draw(random));
                }
            });
        }
        double downMs = model.senderDownMs().draw(random);
        Collections.reverse(drawn);
        world.at(someTime(), () -> drawn.subList(0, Math.min(rack, drawn.size()))
                .forEach(sender -> sender.restartAfter(downMs)));
    }

    private List<SimulatedSender> drawn(int many) {
        List<SimulatedSender> all = new ArrayList<>(fleet.senders());
        Collections.shuffle(all, random);
        return new ArrayList<>(all.subList(0, many));
    }

    private void loseZone(int zone) {
        double lostMs = Math.max(model.outageMs().most(), share(ZONE_LOST));
        world.at(share(FIRST), () -> {
            senders(zone).forEach(sender -> {
                fleet.directory().machine(sender, true);
                sender.restartAfter(lostMs);
            });
            endpoints(zone).forEach(endpoint -> endpoint.become(SimulatedEndpoint.State.SILENT, 0));
        });
        // Machines and their agents are back 1 ms before the senders' processes start.
        world.at(share(FIRST) + lostMs - 1, () -> {
            senders(zone).forEach(sender -> fleet.directory().machine(sender, false));
            fleet.directory().reachable();
            serveAgain(endpoints(zone));
        });
    }

    private List<SimulatedSender> senders(int zone) {
        return fleet.senders().stream().filter(sender -> sender.zone == zone).toList();
    }

    private List<SimulatedEndpoint> endpoints(int zone) {
        return fleet.endpoints().stream().filter(endpoint -> endpoint.zone == zone).toList();
    }

    private void cutRegion(int region) {
        world.at(share(FIRST), () -> fleet.network().isolate(region));
        world.at(share(FIRST + REGIONS_CUT), () -> {
            fleet.network().heal();
            fleet.directory().reachable();
        });
    }

    private void returnAtOnce() {
        double outMs = Math.min(model.outageMs().most(), share(LAST - FIRST) / 2);
        world.at(share(FIRST), () -> {
            List<SimulatedDestination> all = new ArrayList<>(fleet.partners());
            Collections.shuffle(all, random);
            int out = (int) Math.ceil(OUT_AT_RETURN * all.size());
            all.subList(0, out).forEach(partner -> outage(partner, world.now() + outMs));
        });
        double downMs = Math.min(model.senderDownMs().most(), outMs / 2);
        world.at(share(FIRST) + outMs - downMs, () ->
                drawn((int) Math.ceil(DEAD_AT_RETURN * fleet.senders().size()))
                        .forEach(sender -> sender.restartAfter(downMs)));
    }
}
