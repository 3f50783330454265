package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Injects the faults of a scenario. All faults are over before clients stop submitting messages. */
final class FaultInjector {
    /** The part of the run in which faults occur, as shares of its length. */
    private static final double FAULTS_START_SHARE = 0.1;
    private static final double FAULTS_END_SHARE = 0.9;
    /** Share of the destinations in an outage in {@link Scenario#DOWN}. */
    private static final double DOWN_DESTINATION_SHARE = 0.021;
    /** Restarts per sender and day: 340 per day in a fleet of 5800 senders. */
    private static final double RESTARTS_PER_SENDER_DAY = 340.0 / 5800;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int MIN_RESTARTS = 4;
    private static final int MIN_REPLACED_ENDPOINTS = 3;
    private static final double RACK_SHARE = 0.025;
    private static final int MIN_RACK_SENDERS = 2;
    /** Minimum length of the outage of a zone, and length of a network partition, as shares of the run. */
    private static final double ZONE_OUTAGE_SHARE = 0.25;
    private static final double PARTITION_SHARE = 0.4;
    /** Shares of the destinations and senders that return at the same time in {@link Scenario#RETURN}. */
    private static final double RETURNING_DESTINATION_SHARE = 0.3;
    private static final double RETURNING_SENDER_SHARE = 0.7;

    private final FleetSimulation fleet;
    private final SimulationClock clock;
    private final FleetModel model;
    private final Random random;
    private final double runMs;

    FaultInjector(FleetSimulation fleet, Random random) {
        this.fleet = fleet;
        this.clock = fleet.clock();
        this.model = fleet.settings().model();
        this.random = random;
        this.runMs = fleet.settings().seconds() * 1000;
    }

    void start() {
        scheduleReplacements();
        switch (fleet.settings().scenario()) {
            case STEADY -> { }
            case DOWN -> scheduleOutages();
            case RESTARTS -> scheduleRestarts();
            case ZONE -> scheduleZoneOutage(random.nextInt(model.zoneCount()));
            case REGIONS -> schedulePartition(random.nextInt(model.regionCount()));
            case RETURN -> scheduleSimultaneousReturn();
            default -> throw new IllegalStateException("unknown scenario: " + fleet.settings().scenario());
        }
    }

    private double shareOfRunMs(double share) {
        return runMs * share;
    }

    private double drawTimeMs() {
        return runMs * (FAULTS_START_SHARE + (FAULTS_END_SHARE - FAULTS_START_SHARE) * random.nextDouble());
    }

    /** Replaces some endpoints gracefully: a new one is listed, the old one drains, ends and is removed. */
    private void scheduleReplacements() {
        int count = Math.max(MIN_REPLACED_ENDPOINTS,
                (int) Math.round(model.replacedShare() * fleet.endpoints().size()));
        List<SimulatedEndpoint> shuffled = new ArrayList<>(fleet.endpoints());
        Collections.shuffle(shuffled, random);
        shuffled.subList(0, Math.min(count, shuffled.size()))
                .forEach(endpoint -> clock.schedule(drawTimeMs(), () -> replace(endpoint)));
    }

    private void replace(SimulatedEndpoint oldEndpoint) {
        SimulatedEndpoint newEndpoint = fleet.addEndpoint(oldEndpoint.destination, oldEndpoint.zone);
        if (oldEndpoint.destination.isInOutage()) {
            newEndpoint.changeState(oldEndpoint.state(), Double.POSITIVE_INFINITY);
        }
        fleet.discovery().changeEntry(newEndpoint, true, false);
        fleet.discovery().changeEntry(oldEndpoint, false, false);
        // The drain time starts when the change has certainly been published.
        clock.scheduleAfter(model.publicationDelayMs().max() + model.drainMs().draw(random), () -> {
            oldEndpoint.shutDown();
            fleet.discovery().changeEntry(oldEndpoint, false, true);
        });
    }

    private void scheduleOutages() {
        int count = (int) Math.max(1, Math.round(DOWN_DESTINATION_SHARE * fleet.destinations().size()));
        for (int i = 0; i < count; i++) {
            clock.schedule(shareOfRunMs(FAULTS_START_SHARE) * random.nextDouble(), this::startNextOutage);
        }
    }

    /** Starts an outage of one destination, and the next outage when it ends, until faults must be over. */
    private void startNextOutage() {
        double outageMs = model.outageMs().draw(random);
        if (clock.nowMs() + outageMs > shareOfRunMs(FAULTS_END_SHARE)) {
            return;
        }
        List<SimulatedDestination> up = fleet.destinations().stream().filter(destination -> !destination.isInOutage())
                .toList();
        if (!up.isEmpty()) {
            startOutage(up.get(random.nextInt(up.size())), clock.nowMs() + outageMs);
        }
        clock.scheduleAfter(outageMs, this::startNextOutage);
    }

    /** Starts an outage of a random kind. */
    private void startOutage(SimulatedDestination destination, double endMs) {
        SimulatedEndpoint.State[] states = SimulatedEndpoint.State.values();
        startOutage(destination, states[1 + random.nextInt(states.length - 1)], endMs);
    }

    /** Starts an outage of all endpoints of a destination, which ends for all of them at the same time. */
    void startOutage(SimulatedDestination destination, SimulatedEndpoint.State state, double endMs) {
        List.copyOf(destination.endpoints).forEach(endpoint -> endpoint.changeState(state, endMs));
        clock.schedule(endMs, () -> endOutage(destination.endpoints));
    }

    private static void endOutage(List<SimulatedEndpoint> endpoints) {
        List.copyOf(endpoints).forEach(endpoint -> endpoint.changeState(SimulatedEndpoint.State.SERVING, 0));
    }

    private void scheduleRestarts() {
        double expected = RESTARTS_PER_SENDER_DAY * fleet.settings().senderCount() * fleet.settings().seconds()
                / SECONDS_PER_DAY;
        int count = Math.max(MIN_RESTARTS, (int) Math.round(expected));
        List<SimulatedSender> shuffled = drawSenders(fleet.senders().size());
        int rackSize = Math.max(MIN_RACK_SENDERS, (int) Math.round(RACK_SHARE * shuffled.size()));
        for (int i = 0; i < count; i++) {
            SimulatedSender sender = shuffled.get(i % shuffled.size());
            boolean graceful = i % 2 == 0;
            clock.schedule(drawTimeMs(), () -> {
                if (!sender.isAccepting()) {
                    return;
                }
                if (graceful) {
                    sender.restartGracefully();
                } else {
                    sender.restartAfter(model.senderDownMs().draw(random));
                }
            });
        }
        double downMs = model.senderDownMs().draw(random);
        Collections.reverse(shuffled);
        clock.schedule(drawTimeMs(), () -> shuffled.subList(0, Math.min(rackSize, shuffled.size()))
                .forEach(sender -> sender.restartAfter(downMs)));
    }

    private List<SimulatedSender> drawSenders(int count) {
        List<SimulatedSender> shuffled = new ArrayList<>(fleet.senders());
        Collections.shuffle(shuffled, random);
        return new ArrayList<>(shuffled.subList(0, count));
    }

    private void scheduleZoneOutage(int zone) {
        double outageMs = Math.max(model.outageMs().max(), shareOfRunMs(ZONE_OUTAGE_SHARE));
        clock.schedule(shareOfRunMs(FAULTS_START_SHARE), () -> {
            sendersIn(zone).forEach(sender -> {
                fleet.discovery().setMachineDown(sender, true);
                sender.restartAfter(outageMs);
            });
            endpointsIn(zone).forEach(endpoint -> endpoint.changeState(SimulatedEndpoint.State.SILENT, 0));
        });
        // Machines and their agents are back 1 ms before the senders' processes start.
        clock.schedule(shareOfRunMs(FAULTS_START_SHARE) + outageMs - 1, () -> {
            sendersIn(zone).forEach(sender -> fleet.discovery().setMachineDown(sender, false));
            fleet.discovery().deliverMissed();
            endOutage(endpointsIn(zone));
        });
    }

    private List<SimulatedSender> sendersIn(int zone) {
        return fleet.senders().stream().filter(sender -> sender.zone == zone).toList();
    }

    private List<SimulatedEndpoint> endpointsIn(int zone) {
        return fleet.endpoints().stream().filter(endpoint -> endpoint.zone == zone).toList();
    }

    private void schedulePartition(int region) {
        clock.schedule(shareOfRunMs(FAULTS_START_SHARE), () -> fleet.network().isolate(region));
        clock.schedule(shareOfRunMs(FAULTS_START_SHARE + PARTITION_SHARE), () -> {
            fleet.network().heal();
            fleet.discovery().deliverMissed();
        });
    }

    private void scheduleSimultaneousReturn() {
        double outageMs = Math.min(model.outageMs().max(), shareOfRunMs(FAULTS_END_SHARE - FAULTS_START_SHARE) / 2);
        clock.schedule(shareOfRunMs(FAULTS_START_SHARE), () -> {
            List<SimulatedDestination> shuffled = new ArrayList<>(fleet.destinations());
            Collections.shuffle(shuffled, random);
            int outageCount = (int) Math.ceil(RETURNING_DESTINATION_SHARE * shuffled.size());
            shuffled.subList(0, outageCount).forEach(destination -> startOutage(destination, clock.nowMs() + outageMs));
        });
        double downMs = Math.min(model.senderDownMs().max(), outageMs / 2);
        clock.schedule(shareOfRunMs(FAULTS_START_SHARE) + outageMs - downMs, () ->
                drawSenders((int) Math.ceil(RETURNING_SENDER_SHARE * fleet.senders().size()))
                        .forEach(sender -> sender.restartAfter(downMs)));
    }
}
