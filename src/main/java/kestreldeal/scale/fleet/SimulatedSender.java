package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import kestreldeal.Relay;
import kestreldeal.Relay.Outcome;

/**
 * A simulated sender: the real decision module with a model of the process around it. It collects the events of the
 * same time into a turn, sends the calls that a turn decides, opens connections and times attempts out. What a journal
 * would store survives a restart: pending messages with their attempts, and the endpoint health saved by the module.
 */
final class SimulatedSender implements Relay.Actions {
    /** A repeated attempt of a keyed message is no longer written this short a time before its window ends. */
    private static final double WRITTEN_MARGIN_MS = 100;
    /** In a graceful restart: time until the announced end, until the kill, and from the kill to the next start. */
    private static final double CLOSING_MS = 3000;
    private static final double KILLED_AFTER_MS = 3700;
    private static final double NEXT_LIFE_MS = 600;

    final int number;
    final int zone;
    private final FleetSimulation fleet;
    private final SimulationClock world;
    private final Map<Long, SimulatedMessage> held = new LinkedHashMap<>();
    /** The pending messages, and completed ones that still have an attempt in flight. */
    private final Map<Long, SimulatedMessage> known = new HashMap<>();
    private final Map<Long, Relay.EndpointHealth> health = new LinkedHashMap<>();
    private final Map<Long, ConnectionPool> connections = new HashMap<>();
    /** The calls decided in this turn, which start at its end, by endpoint. */
    private final Map<Long, List<Call>> forming = new LinkedHashMap<>();
    private Optional<Relay> relay = Optional.empty();
    private Optional<Relay.LearnedState> memory = Optional.empty();
    private int life;
    private double readyAt;
    private double diedAt;
    private boolean takes;
    private boolean turnOpen;
    private long wakesAsked;

    /** The idle connections to one endpoint. */
    private static final class ConnectionPool {
        int idle;
        int resets;
        double usedAt;

        boolean take(double now, double keepAliveMs, int resetsNow) {
            idle = now - usedAt < keepAliveMs && resets == resetsNow ? idle : 0;
            boolean taken = idle > 0;
            idle -= taken ? 1 : 0;
            return taken;
        }

        void give(double now, int resetsNow) {
            idle = resets == resetsNow ? idle + 1 : 1;
            resets = resetsNow;
            usedAt = now;
        }
    }

    SimulatedSender(int number, int zone, FleetSimulation fleet) {
        this.number = number;
        this.zone = zone;
        this.fleet = fleet;
        this.world = fleet.world();
    }

    // ---- start and stop ----

    /** Starts a process and restores the state left by the previous one. */
    void start() {
        double now = world.now();
        readyAt = now;
        takes = true;
        relay = Optional.of(fleet.newRelay(number, life, this));
        List<Relay.Endpoint> list = fleet.directory().listAt(this);
        list.forEach(entry -> fleet.ledger().listed(this, entry));
        event(r -> {
            r.endpointsChanged(now, true, list);
            memory.ifPresent(m -> r.restoreLearnedState(now, m));
            new LinkedHashMap<>(health).forEach((endpoint, h) -> r.restoreEndpointHealth(now, endpoint, h));
            List.copyOf(held.values()).forEach(message -> resume(r, message));
        });
        memory = Optional.empty();
    }

    private void resume(Relay r, SimulatedMessage message) {
        fleet.ledger().resumed(message);
        r.messageRestored(world.now(), message(message), message.attempts.stream()
                .map(a -> new Relay.EarlierAttempt(a.endpoint.id, a.sentAt, a.mayHaveRun())).toList());
    }

    /** Kills the process: connections are reset, and attempts in flight may have run. */
    void kill() {
        if (relay.isEmpty()) {
            return;
        }
        relay = Optional.empty();
        life++;
        takes = false;
        turnOpen = false;
        diedAt = world.now();
        connections.clear();
        forming.clear();
        held.values().forEach(message -> message.attempts.stream().filter(a -> a.outcome.isEmpty())
                .forEach(a -> a.outcome = Optional.of(Outcome.BROKEN)));
        known.clear();
        known.putAll(held);
        fleet.ledger().restarted(this);
    }

    /** Kills the process, and starts another after a time. */
    void restartAfter(double ms) {
        if (relay.isPresent()) {
            fleet.counts().restarts++;
            kill();
            world.in(ms, this::start);
        }
    }

    /**
     * Restarts gracefully: accepts no more messages, lets calls complete, and hands the module's learned state to the
     * next process.
     */
    void restartInOrder() {
        int lifeThen = life;
        takes = false;
        diedAt = world.now();
        event(r -> r.shutdownScheduled(world.now(), world.now() + CLOSING_MS));
        world.in(KILLED_AFTER_MS, () -> {
            if (life == lifeThen) {
                memory = relay.map(r -> r.learnedState(world.now()));
                restartAfter(NEXT_LIFE_MS);
            }
        });
    }

    boolean isAlive() {
        return relay.isPresent();
    }

    /** Whether the process runs and was started no later than the given time. */
    boolean isReadySince(double time) {
        return isAlive() && readyAt <= time;
    }

    boolean takes() {
        return takes;
    }

    /** When the sender last stopped accepting messages. */
    double stoppedAt() {
        return diedAt;
    }

    int holds() {
        return held.size();
    }

    // ---- events ----

    /** Passes an event to the module in the turn of the current time; does nothing while the sender is down. */
    private void event(Consumer<Relay> event) {
        relay.ifPresent(r -> {
            event.accept(r);
            if (!turnOpen) {
                turnOpen = true;
                int lifeThen = life;
                world.at(world.now(), () -> {
                    if (life == lifeThen) {
                        endTurn(r);
                    }
                });
            }
        });
    }

    private void endTurn(Relay r) {
        turnOpen = false;
        r.endTurn(world.now());
        List<Call> calls = forming.values().stream().flatMap(List::stream).toList();
        forming.clear();
        calls.forEach(this::begin);
    }

    /** Accepts a message from a client. */
    void take(SimulatedMessage message) {
        held.put(message.id, message);
        known.put(message.id, message);
        fleet.ledger().taken(message);
        event(r -> r.messageAccepted(world.now(), message(message)));
    }

    private Relay.Message message(SimulatedMessage m) {
        return new Relay.Message(m.id, m.asked.messageClass, 0, Optional.empty(), m.deadline - world.now(),
                m.asked.partner.id);
    }

    /** Applies a list update from the agent. */
    void listed(Relay.Endpoint entry) {
        if (isAlive()) {
            fleet.ledger().listed(this, entry);
            event(r -> r.endpointsChanged(world.now(), false, List.of(entry)));
        }
    }

    /**
     * Handles a response or a connection reset. It is ignored for a call whose attempts have all completed, because
     * the sender has closed the connection of such a call.
     */
    void answered(Call call, Outcome outcome, double waitMs, Relay.LoadReport report) {
        if (call.life != life || !isAlive() || !call.isAwaited()) {
            return;
        }
        if (outcome != Outcome.BROKEN) {
            connectionsTo(call.endpoint).give(world.now(), call.endpoint.resets());
        }
        if (waitMs > 0) {
            fleet.ledger().waitTold(this, call.endpoint.partner, waitMs);
        }
        endAll(call, outcome, waitMs, report);
    }

    private void endAll(Call call, Outcome outcome, double waitMs, Relay.LoadReport report) {
        call.items.stream().filter(item -> item.attempt().outcome.isEmpty())
                .forEach(item -> end(item, outcome, waitMs, report));
    }

    private void end(Call.Item item, Outcome outcome, double waitMs, Relay.LoadReport report) {
        SimulatedMessage message = item.message();
        SimulatedMessage.Attempt attempt = item.attempt();
        attempt.outcome = Optional.of(outcome);
        boolean delivered = outcome == Outcome.DELIVERED;
        if (!delivered && outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
            attempt.endpoint.partner.told(this, attempt.sentAt);
        }
        if (delivered && message.ended) {
            fleet.counts().deliveredAfterEnd++;
        } else if (delivered) {
            fleet.ledger().delivered(message);
            held.remove(message.id);
            fleet.clients().delivered(message);
        }
        forgetIfOver(message);
        event(r -> r.attemptCompleted(world.now(), new Relay.AttemptResult(message.id, item.number(), outcome,
                world.now() - attempt.sentAt, message.ended, waitMs, report)));
    }

    // ---- calls ----

    private ConnectionPool connectionsTo(SimulatedEndpoint endpoint) {
        return connections.computeIfAbsent(endpoint.id, unknown -> new ConnectionPool());
    }

    private void begin(Call call) {
        SimulatedEndpoint to = call.endpoint;
        if (connectionsTo(to).take(world.now(), fleet.relaySettings().keepAliveMs(), to.resets())) {
            write(call);
        } else {
            connect(call);
        }
    }

    private void connect(Call call) {
        SimulatedEndpoint to = call.endpoint;
        SimulatedNetwork network = fleet.network();
        double way = network.delay(zone, to.zone);
        fleet.counts().connects++;
        world.in(way, () -> {
            if (!network.passes(zone, to.zone) || to.state() == SimulatedEndpoint.State.SILENT) {
                later(call, fleet.settings().model().connectTimeoutMs() - way, this::unreachable);
            } else {
                later(call, network.delay(to.zone, zone), to.accepts() ? this::write : this::unreachable);
            }
        });
    }

    private void later(Call call, double ms, Consumer<Call> then) {
        world.in(ms, () -> {
            if (call.life == life && isAlive()) {
                then.accept(call);
            }
        });
    }

    private void unreachable(Call call) {
        endAll(call, Outcome.UNREACHABLE, 0, Relay.LoadReport.NONE);
    }

    /** Writes a call, without the attempts that may no longer be sent: opening the connection took time. */
    private void write(Call call) {
        List<Call.Item> dropped = call.items.stream()
                .filter(item -> item.attempt().outcome.isPresent() || !mayStillGo(item)).toList();
        call.items.removeAll(dropped);
        dropped.stream().filter(item -> item.attempt().outcome.isEmpty())
                .forEach(item -> end(item, Outcome.NOT_SENT, 0, Relay.LoadReport.NONE));
        if (call.items.isEmpty()) {
            connectionsTo(call.endpoint).give(world.now(), call.endpoint.resets());
            return;
        }
        call.items.forEach(item -> fleet.ledger().written(item.message(), item.number(), call.endpoint));
        fleet.counts().callsWritten++;
        call.writtenAt = world.now();
        SimulatedNetwork network = fleet.network();
        world.in(network.delay(zone, call.endpoint.zone), () -> {
            if (network.passes(zone, call.endpoint.zone)) {
                call.endpoint.receive(call);
            }
        });
    }

    private boolean mayStillGo(Call.Item item) {
        SimulatedMessage message = item.message();
        if (message.ended || !relay.get().sendAllowed(world.now(), item.attempt().endpoint.id)) {
            return false;
        }
        Relay.MessageClass type = fleet.relaySettings().classes().get(message.asked.messageClass);
        return type.effect() != Relay.Effect.KEYED || message.attempts.subList(0, item.number()).stream()
                .noneMatch(a -> a.mayHaveRun()
                        && world.now() > a.sentAt + type.dedupWindowMs() - WRITTEN_MARGIN_MS);
    }

    // ---- actions of the module ----

    @Override
    public void send(long id, long endpointId, double timeoutMs) {
        SimulatedMessage message = known(id, "sent");
        SimulatedEndpoint endpoint = fleet.endpoint(endpointId);
        fleet.ledger().sent(message, endpoint);
        boolean copy = message.out() > 0;
        int count = message.attempts.size();
        fleet.counts().copies += copy ? 1 : 0;
        fleet.counts().firstSends += count == 0 ? 1 : 0;
        fleet.counts().trials += heldAs(endpointId) == Relay.EndpointState.DOWN ? 1 : 0;
        SimulatedMessage.Attempt attempt = new SimulatedMessage.Attempt(endpoint, world.now());
        message.attempts.add(attempt);
        Call.Item item = new Call.Item(message, count, attempt);
        Call call = callTo(endpoint);
        call.items.add(item);
        later(call, timeoutMs, c -> {
            if (attempt.outcome.isEmpty()) {
                boolean written = call.writtenAt <= world.now();
                end(item, written ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, 0, Relay.LoadReport.NONE);
            }
        });
    }

    private Relay.EndpointState heldAs(long endpoint) {
        return Optional.ofNullable(health.get(endpoint)).map(Relay.EndpointHealth::state)
                .orElse(Relay.EndpointState.UP);
    }

    private Call callTo(SimulatedEndpoint endpoint) {
        List<Call> calls = forming.computeIfAbsent(endpoint.id, unknown -> new ArrayList<>());
        if (calls.isEmpty() || calls.get(calls.size() - 1).items.size() >= endpoint.partner.type.batch()) {
            calls.add(new Call(this, life, endpoint, heldAs(endpoint.id)));
        }
        return calls.get(calls.size() - 1);
    }

    @Override
    public void cancel(long id, int number) {
        SimulatedMessage message = known(id, "cancelled");
        SimulatedMessage.Attempt attempt = message.attempts.get(number);
        int lifeThen = life;
        world.at(world.now(), () -> {
            if (lifeThen == life && attempt.outcome.isEmpty()) {
                end(new Call.Item(message, number, attempt), Outcome.CANCELLED, 0, Relay.LoadReport.NONE);
            }
        });
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        connections.remove(endpoint);
    }

    @Override
    public void reject(long id, double waitMs) {
        SimulatedMessage message = end(id, "refused");
        fleet.ledger().refused(message);
        fleet.clients().refused(message, waitMs);
    }

    @Override
    public void fail(long id) {
        SimulatedMessage message = end(id, "failed");
        fleet.ledger().failed(message);
        fleet.clients().failed(message);
    }

    private SimulatedMessage end(long id, String how) {
        SimulatedMessage message = known(id, how);
        held.remove(id);
        forgetIfOver(message);
        return message;
    }

    private SimulatedMessage known(long id, String how) {
        SimulatedMessage message = known.get(id);
        if (message == null) {
            throw new InvariantViolationException(world.now(), "message " + id + ": " + how + " by sender " + number
                    + ", which does not have it");
        }
        return message;
    }

    /** Stops tracking a message that is completed and has no attempt in flight. */
    private void forgetIfOver(SimulatedMessage message) {
        if (!held.containsKey(message.id) && message.out() == 0) {
            known.remove(message.id);
        }
    }

    /** Schedules a wake-up; it replaces an earlier request, because the module requests only the next one. */
    @Override
    public void wakeAt(double time) {
        long asked = ++wakesAsked;
        int lifeThen = life;
        world.at(time, () -> {
            if (asked == wakesAsked && life == lifeThen) {
                event(r -> r.wake(world.now()));
            }
        });
    }

    @Override
    public void saveEndpointHealth(long endpoint, Relay.EndpointHealth now) {
        if (now.state() == Relay.EndpointState.UP) {
            health.remove(endpoint);
        } else {
            health.put(endpoint, now);
        }
    }

    @Override
    public void log(String text) {
        // Dropped: nobody reads the operator log of a thousand simulated senders.
    }
}
