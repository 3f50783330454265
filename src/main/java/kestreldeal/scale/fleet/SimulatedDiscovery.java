package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import kestreldeal.Relay;

/**
 * Discovery: an initial list that all agents have, and changes that reach the agent of each sender after a random
 * delay. A sender that runs has an update as soon as its agent has it. An agent that is partitioned from the zone of a
 * change, or whose machine is down, gets the change afterwards.
 */
final class SimulatedDiscovery {
    private final FleetSimulation fleet;
    private final SimulationClock world;
    private final Random random;
    private final Map<Long, Relay.Endpoint> first = new LinkedHashMap<>();
    private final List<Agent> agents = new ArrayList<>();

    /** The list of one agent, as the changes to the initial list that it has received. */
    private static final class Agent {
        final Map<Long, Change> heard = new LinkedHashMap<>();
        final List<Change> missed = new ArrayList<>();
        boolean lost;
        /** Since when missed changes can reach it, after a partition or a failure. */
        double reachedSince;
    }

    /** A published change of an endpoint in a zone, and how many agents have not received it yet. */
    private static final class Change {
        final Relay.Endpoint entry;
        final int zone;
        final double at;
        final long number;
        int toHear;
        double latest;

        Change(Relay.Endpoint entry, int zone, double at, long number, int toHear) {
            this.entry = entry;
            this.zone = zone;
            this.at = at;
            this.number = number;
            this.toHear = toHear;
        }
    }

    SimulatedDiscovery(FleetSimulation fleet, Random random) {
        this.fleet = fleet;
        this.world = fleet.world();
        this.random = random;
        for (int i = 0; i < fleet.settings().senders(); i++) {
            agents.add(new Agent());
        }
    }

    /** Adds an endpoint to the initial list. */
    void add(SimulatedEndpoint endpoint) {
        first.put(endpoint.id, entry(endpoint, true, false));
    }

    /** Changes the entry of an endpoint; discovery publishes the change after a delay. */
    void change(SimulatedEndpoint endpoint, boolean serving, boolean gone) {
        Relay.Endpoint entry = entry(endpoint, serving, gone);
        world.in(fleet.settings().model().noticeMs().draw(random), () -> publish(entry, endpoint.zone));
    }

    private static Relay.Endpoint entry(SimulatedEndpoint e, boolean serving, boolean gone) {
        return new Relay.Endpoint(e.id, e.partner.id, e.partner.kind, e.zone, serving, e.partner.listedPerSecond, gone);
    }

    private void publish(Relay.Endpoint entry, int zone) {
        Change change = new Change(entry, zone, world.now(), fleet.counts().changes++, agents.size());
        fleet.ledger().published(entry);
        fleet.senders().forEach(sender -> tellLater(sender, change));
    }

    private void tellLater(SimulatedSender sender, Change change) {
        world.in(fleet.settings().model().spreadMs().draw(random), () -> tell(sender, change));
    }

    private void tell(SimulatedSender sender, Change change) {
        Agent agent = agents.get(sender.number);
        if (agent.lost || !fleet.network().passes(change.zone, sender.zone)) {
            agent.missed.add(change);
            return;
        }
        Change before = agent.heard.get(change.entry.id());
        if (before == null || before.number < change.number) {
            agent.heard.put(change.entry.id(), change);
            sender.listed(change.entry);
        }
        inForce(change, world.now() - Math.max(change.at, agent.reachedSince));
    }

    /** Records the propagation time of a change to one agent, which counts from when the agent was reachable. */
    private void inForce(Change change, double ms) {
        fleet.counts().inForceMs.recordValue(Math.round(ms));
        change.latest = Math.max(change.latest, ms);
        if (--change.toHear == 0) {
            fleet.counts().inForceAtAllMs.recordValue(Math.round(change.latest));
        }
    }

    /** Notes that the machine of a sender, with its agent, has failed or is back. */
    void machine(SimulatedSender sender, boolean lost) {
        agents.get(sender.number).lost = lost;
    }

    /** Delivers, after the usual delay, what agents have missed while they were partitioned or down. */
    void reachable() {
        for (SimulatedSender sender : fleet.senders()) {
            Agent agent = agents.get(sender.number);
            agent.reachedSince = agent.missed.isEmpty() ? agent.reachedSince : world.now();
            List.copyOf(agent.missed).forEach(change -> tellLater(sender, change));
            agent.missed.clear();
        }
    }

    /** The full list of a sender's agent, without removed entries. */
    List<Relay.Endpoint> listAt(SimulatedSender sender) {
        Map<Long, Relay.Endpoint> list = new LinkedHashMap<>(first);
        agents.get(sender.number).heard.forEach((id, change) -> list.put(id, change.entry));
        return list.values().stream().filter(entry -> !entry.removed()).toList();
    }
}
