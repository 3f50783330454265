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
    private final SimulationClock clock;
    private final Random random;
    private final Map<Long, Relay.Endpoint> initialList = new LinkedHashMap<>();
    private final List<Agent> agents = new ArrayList<>();

    /** The list of one agent, as the changes to the initial list that it has received. */
    private static final class Agent {
        final Map<Long, Change> received = new LinkedHashMap<>();
        final List<Change> missed = new ArrayList<>();
        boolean machineDown;
        /** Since when missed changes can reach it, after a partition or a failure. */
        double reachableSinceMs;
    }

    /** A published change of an endpoint in a zone, and how many agents have not received it yet. */
    private static final class Change {
        final Relay.Endpoint entry;
        final int zone;
        final double publishedAtMs;
        final long sequence;
        int agentsPending;
        double maxPropagationMs;

        Change(Relay.Endpoint entry, int zone, double publishedAtMs, long sequence, int agentsPending) {
            this.entry = entry;
            this.zone = zone;
            this.publishedAtMs = publishedAtMs;
            this.sequence = sequence;
            this.agentsPending = agentsPending;
        }
    }

    SimulatedDiscovery(FleetSimulation fleet, Random random) {
        this.fleet = fleet;
        this.clock = fleet.clock();
        this.random = random;
        for (int i = 0; i < fleet.settings().senderCount(); i++) {
            agents.add(new Agent());
        }
    }

    /** Adds an endpoint to the initial list. */
    void addInitial(SimulatedEndpoint endpoint) {
        initialList.put(endpoint.id, toListEntry(endpoint, true, false));
    }

    /** Changes the entry of an endpoint; discovery publishes the change after a delay. */
    void changeEntry(SimulatedEndpoint endpoint, boolean serving, boolean removed) {
        Relay.Endpoint entry = toListEntry(endpoint, serving, removed);
        clock.scheduleAfter(fleet.settings().model().publicationDelayMs().draw(random),
                () -> publish(entry, endpoint.zone));
    }

    private static Relay.Endpoint toListEntry(SimulatedEndpoint endpoint, boolean serving, boolean removed) {
        return new Relay.Endpoint(endpoint.id, endpoint.destination.id, endpoint.destination.kindIndex, endpoint.zone,
                serving, endpoint.destination.listedLimitPerSecond, removed);
    }

    private void publish(Relay.Endpoint entry, int zone) {
        Change change = new Change(entry, zone, clock.nowMs(), fleet.counts().listChanges++, agents.size());
        fleet.invariants().changePublished(entry);
        fleet.senders().forEach(sender -> deliverLater(sender, change));
    }

    private void deliverLater(SimulatedSender sender, Change change) {
        clock.scheduleAfter(fleet.settings().model().agentDelayMs().draw(random), () -> deliver(sender, change));
    }

    private void deliver(SimulatedSender sender, Change change) {
        Agent agent = agents.get(sender.number);
        if (agent.machineDown || !fleet.network().isConnected(change.zone, sender.zone)) {
            agent.missed.add(change);
            return;
        }
        Change previous = agent.received.get(change.entry.id());
        if (previous == null || previous.sequence < change.sequence) {
            agent.received.put(change.entry.id(), change);
            sender.listUpdated(change.entry);
        }
        recordPropagation(change, clock.nowMs() - Math.max(change.publishedAtMs, agent.reachableSinceMs));
    }

    /** Records the propagation time of a change to one agent, which counts from when the agent was reachable. */
    private void recordPropagation(Change change, double delayMs) {
        fleet.counts().propagationMs.recordValue(Math.round(delayMs));
        change.maxPropagationMs = Math.max(change.maxPropagationMs, delayMs);
        if (--change.agentsPending == 0) {
            fleet.counts().fullPropagationMs.recordValue(Math.round(change.maxPropagationMs));
        }
    }

    /** Notes that the machine of a sender, with its agent, has failed or is back. */
    void setMachineDown(SimulatedSender sender, boolean down) {
        agents.get(sender.number).machineDown = down;
    }

    /** Delivers, after the usual delay, what agents have missed while they were partitioned or down. */
    void deliverMissed() {
        for (SimulatedSender sender : fleet.senders()) {
            Agent agent = agents.get(sender.number);
            agent.reachableSinceMs = agent.missed.isEmpty() ? agent.reachableSinceMs : clock.nowMs();
            List.copyOf(agent.missed).forEach(change -> deliverLater(sender, change));
            agent.missed.clear();
        }
    }

    /** The full list of a sender's agent, without removed entries. */
    List<Relay.Endpoint> fullListOf(SimulatedSender sender) {
        Map<Long, Relay.Endpoint> list = new LinkedHashMap<>(initialList);
        agents.get(sender.number).received.forEach((id, change) -> list.put(id, change.entry));
        return list.values().stream().filter(entry -> !entry.removed()).toList();
    }
}
