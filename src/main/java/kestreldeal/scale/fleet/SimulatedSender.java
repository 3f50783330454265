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
    private static final double DEDUP_WINDOW_MARGIN_MS = 100;
    /** In a graceful restart: time until the announced end, until the kill, and from the kill to the next start. */
    private static final double SHUTDOWN_MS = 3000;
    private static final double KILL_DELAY_MS = 3700;
    private static final double RESTART_DELAY_MS = 600;

    final int number;
    final int zone;
    private final FleetSimulation fleet;
    private final SimulationClock clock;
    private final Map<Long, SimulatedMessage> pending = new LinkedHashMap<>();
    /** The pending messages, and completed ones that still have an attempt in flight. */
    private final Map<Long, SimulatedMessage> tracked = new HashMap<>();
    private final Map<Long, Relay.EndpointHealth> savedHealth = new LinkedHashMap<>();
    private final Map<Long, ConnectionPool> connectionPools = new HashMap<>();
    /** The calls decided in this turn, which start at its end, by endpoint. */
    private final Map<Long, List<Call>> callsOfTurn = new LinkedHashMap<>();
    private Optional<Relay> relay = Optional.empty();
    private Optional<Relay.LearnedState> learnedState = Optional.empty();
    private int processNumber;
    private double startedAtMs;
    private double stoppedAtMs;
    private boolean accepting;
    private boolean turnOpen;
    private long wakeRequests;

    /** The idle connections to one endpoint. */
    private static final class ConnectionPool {
        int idleCount;
        int endpointResetCount;
        double lastUsedMs;

        boolean acquire(double nowMs, double keepAliveMs, int resetCount) {
            idleCount = nowMs - lastUsedMs < keepAliveMs && endpointResetCount == resetCount ? idleCount : 0;
            boolean acquired = idleCount > 0;
            idleCount -= acquired ? 1 : 0;
            return acquired;
        }

        void release(double nowMs, int resetCount) {
            idleCount = endpointResetCount == resetCount ? idleCount + 1 : 1;
            endpointResetCount = resetCount;
            lastUsedMs = nowMs;
        }
    }

    SimulatedSender(int number, int zone, FleetSimulation fleet) {
        this.number = number;
        this.zone = zone;
        this.fleet = fleet;
        this.clock = fleet.clock();
    }

    // ---- start and stop ----

    /** Starts a process and restores the state left by the previous one. */
    void start() {
        double nowMs = clock.nowMs();
        startedAtMs = nowMs;
        accepting = true;
        relay = Optional.of(fleet.newRelay(number, processNumber, this));
        List<Relay.Endpoint> list = fleet.discovery().fullListOf(this);
        list.forEach(entry -> fleet.invariants().senderNotified(this, entry));
        notifyModule(r -> {
            r.endpointsChanged(nowMs, true, list);
            learnedState.ifPresent(m -> r.restoreLearnedState(nowMs, m));
            new LinkedHashMap<>(savedHealth).forEach((endpoint, saved) ->
                    r.restoreEndpointHealth(nowMs, endpoint, saved));
            List.copyOf(pending.values()).forEach(message -> restore(r, message));
        });
        learnedState = Optional.empty();
    }

    private void restore(Relay module, SimulatedMessage message) {
        fleet.invariants().restored(message);
        module.messageRestored(clock.nowMs(), toRelayMessage(message), message.attempts.stream()
                .map(a -> new Relay.EarlierAttempt(a.endpoint.id, a.sentAtMs, a.mayHaveRun())).toList());
    }

    /** Kills the process: connections are reset, and attempts in flight may have run. */
    void kill() {
        if (relay.isEmpty()) {
            return;
        }
        relay = Optional.empty();
        processNumber++;
        accepting = false;
        turnOpen = false;
        stoppedAtMs = clock.nowMs();
        connectionPools.clear();
        callsOfTurn.clear();
        pending.values().forEach(message -> message.attempts.stream().filter(a -> a.outcome.isEmpty())
                .forEach(a -> a.outcome = Optional.of(Outcome.BROKEN)));
        tracked.clear();
        tracked.putAll(pending);
        fleet.invariants().senderStopped(this);
    }

    /** Kills the process, and starts another after a time. */
    void restartAfter(double delayMs) {
        if (relay.isPresent()) {
            fleet.counts().restarts++;
            kill();
            clock.scheduleAfter(delayMs, this::start);
        }
    }

    /**
     * Restarts gracefully: accepts no more messages, lets calls complete, and hands the module's learned state to the
     * next process.
     */
    void restartGracefully() {
        int expectedProcess = processNumber;
        accepting = false;
        stoppedAtMs = clock.nowMs();
        notifyModule(r -> r.shutdownScheduled(clock.nowMs(), clock.nowMs() + SHUTDOWN_MS));
        clock.scheduleAfter(KILL_DELAY_MS, () -> {
            if (processNumber == expectedProcess) {
                learnedState = relay.map(r -> r.learnedState(clock.nowMs()));
                restartAfter(RESTART_DELAY_MS);
            }
        });
    }

    boolean isRunning() {
        return relay.isPresent();
    }

    /** Whether the process runs and was started no later than the given time. */
    boolean isReadySince(double timeMs) {
        return isRunning() && startedAtMs <= timeMs;
    }

    boolean isAccepting() {
        return accepting;
    }

    /** When the sender last stopped accepting messages. */
    double stoppedAtMs() {
        return stoppedAtMs;
    }

    int pendingCount() {
        return pending.size();
    }

    // ---- events ----

    /** Passes an event to the module in the turn of the current time; does nothing while the sender is down. */
    private void notifyModule(Consumer<Relay> event) {
        relay.ifPresent(r -> {
            event.accept(r);
            if (!turnOpen) {
                turnOpen = true;
                int expectedProcess = processNumber;
                clock.schedule(clock.nowMs(), () -> {
                    if (processNumber == expectedProcess) {
                        endTurn(r);
                    }
                });
            }
        });
    }

    private void endTurn(Relay module) {
        turnOpen = false;
        module.endTurn(clock.nowMs());
        List<Call> calls = callsOfTurn.values().stream().flatMap(List::stream).toList();
        callsOfTurn.clear();
        calls.forEach(this::dispatch);
    }

    /** Accepts a message from a client. */
    void accept(SimulatedMessage message) {
        pending.put(message.id, message);
        tracked.put(message.id, message);
        fleet.invariants().accepted(message);
        notifyModule(r -> r.messageAccepted(clock.nowMs(), toRelayMessage(message)));
    }

    private Relay.Message toRelayMessage(SimulatedMessage m) {
        return new Relay.Message(m.id, m.request.messageClass, 0, Optional.empty(), m.deadlineMs - clock.nowMs(),
                m.request.destination.id);
    }

    /** Applies a list update from the agent. */
    void listUpdated(Relay.Endpoint entry) {
        if (isRunning()) {
            fleet.invariants().senderNotified(this, entry);
            notifyModule(r -> {
                r.endpointsChanged(clock.nowMs(), false, List.of(entry));
                r.endpointListCompleted(clock.nowMs());
            });
        }
    }

    /**
     * Handles a response or a connection reset. It is ignored for a call whose attempts have all completed, because
     * the sender has closed the connection of such a call.
     */
    void responseReceived(Call call, Outcome outcome, double retryAfterMs, Relay.LoadReport report) {
        if (call.processNumber != processNumber || !isRunning() || !call.hasAttemptInFlight()) {
            return;
        }
        if (outcome != Outcome.BROKEN) {
            poolOf(call.endpoint).release(clock.nowMs(), call.endpoint.resetCount());
        }
        if (retryAfterMs > 0) {
            fleet.invariants().retryAfterReceived(this, call.endpoint.destination, retryAfterMs);
        }
        completeAll(call, outcome, retryAfterMs, report);
    }

    private void completeAll(Call call, Outcome outcome, double retryAfterMs, Relay.LoadReport report) {
        call.items.stream().filter(item -> item.attempt().outcome.isEmpty())
                .forEach(item -> completeAttempt(item, outcome, retryAfterMs, report));
    }

    private void completeAttempt(Call.Item item, Outcome outcome, double retryAfterMs, Relay.LoadReport report) {
        SimulatedMessage message = item.message();
        SimulatedMessage.Attempt attempt = item.attempt();
        attempt.outcome = Optional.of(outcome);
        boolean delivered = outcome == Outcome.DELIVERED;
        if (!delivered && outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
            attempt.endpoint.destination.senderLearnedOfOutage(this, attempt.sentAtMs);
        }
        if (delivered && message.finished) {
            fleet.counts().deliveredAfterResult++;
        } else if (delivered) {
            fleet.invariants().messageDelivered(message);
            pending.remove(message.id);
            fleet.clients().messageDelivered(message);
        }
        untrackIfFinished(message);
        notifyModule(r -> r.attemptCompleted(clock.nowMs(), new Relay.AttemptResult(message.id, item.attemptNumber(),
                outcome, clock.nowMs() - attempt.sentAtMs, message.finished, retryAfterMs, report)));
    }

    // ---- calls ----

    private ConnectionPool poolOf(SimulatedEndpoint endpoint) {
        return connectionPools.computeIfAbsent(endpoint.id, unknown -> new ConnectionPool());
    }

    private void dispatch(Call call) {
        SimulatedEndpoint endpoint = call.endpoint;
        if (poolOf(endpoint).acquire(clock.nowMs(), fleet.relaySettings().keepAliveMs(), endpoint.resetCount())) {
            write(call);
        } else {
            connect(call);
        }
    }

    private void connect(Call call) {
        SimulatedEndpoint endpoint = call.endpoint;
        SimulatedNetwork network = fleet.network();
        double delayMs = network.drawDelayMs(zone, endpoint.zone);
        fleet.counts().connects++;
        clock.scheduleAfter(delayMs, () -> {
            if (!network.isConnected(zone, endpoint.zone) || endpoint.state() == SimulatedEndpoint.State.SILENT) {
                scheduleForCall(call, fleet.settings().model().connectTimeoutMs() - delayMs, this::failUnreachable);
            } else {
                scheduleForCall(call, network.drawDelayMs(endpoint.zone, zone),
                        endpoint.acceptsConnections() ? this::write : this::failUnreachable);
            }
        });
    }

    private void scheduleForCall(Call call, double delayMs, Consumer<Call> then) {
        clock.scheduleAfter(delayMs, () -> {
            if (call.processNumber == processNumber && isRunning()) {
                then.accept(call);
            }
        });
    }

    private void failUnreachable(Call call) {
        completeAll(call, Outcome.UNREACHABLE, 0, Relay.LoadReport.NONE);
    }

    /** Writes a call, without the attempts that may no longer be sent: opening the connection took time. */
    private void write(Call call) {
        List<Call.Item> dropped = call.items.stream()
                .filter(item -> item.attempt().outcome.isPresent() || !sendStillAllowed(item)).toList();
        call.items.removeAll(dropped);
        dropped.stream().filter(item -> item.attempt().outcome.isEmpty())
                .forEach(item -> completeAttempt(item, Outcome.NOT_SENT, 0, Relay.LoadReport.NONE));
        if (call.items.isEmpty()) {
            poolOf(call.endpoint).release(clock.nowMs(), call.endpoint.resetCount());
            return;
        }
        call.items.forEach(item -> fleet.invariants().attemptWritten(item.message(), item.attemptNumber(),
                call.endpoint));
        fleet.counts().callsWritten++;
        call.writtenAtMs = clock.nowMs();
        SimulatedNetwork network = fleet.network();
        clock.scheduleAfter(network.drawDelayMs(zone, call.endpoint.zone), () -> {
            if (network.isConnected(zone, call.endpoint.zone)) {
                call.endpoint.receive(call);
            }
        });
    }

    private boolean sendStillAllowed(Call.Item item) {
        SimulatedMessage message = item.message();
        if (message.finished || !relay.get().sendAllowed(clock.nowMs(), item.attempt().endpoint.id)) {
            return false;
        }
        Relay.MessageClass messageClass = fleet.relaySettings().classes().get(message.request.messageClass);
        return messageClass.repeat() != Relay.Repeat.KEYED || message.attempts.subList(0, item.attemptNumber()).stream()
                .noneMatch(a -> a.mayHaveRun()
                        && clock.nowMs() > a.sentAtMs + messageClass.dedupWindowMs() - DEDUP_WINDOW_MARGIN_MS);
    }

    // ---- actions of the module ----

    @Override
    public void send(long id, long endpointId, double timeoutMs) {
        SimulatedMessage message = requireTracked(id, "sent");
        SimulatedEndpoint endpoint = fleet.endpoint(endpointId);
        fleet.invariants().attemptDecided(message, endpoint);
        boolean hedged = message.inFlightCount() > 0;
        int attemptNumber = message.attempts.size();
        fleet.counts().hedgedAttempts += hedged ? 1 : 0;
        fleet.counts().firstAttempts += attemptNumber == 0 ? 1 : 0;
        fleet.counts().probes += assumedState(endpointId) == Relay.EndpointState.DOWN ? 1 : 0;
        SimulatedMessage.Attempt attempt = new SimulatedMessage.Attempt(endpoint, clock.nowMs());
        message.attempts.add(attempt);
        Call.Item item = new Call.Item(message, attemptNumber, attempt);
        Call call = callWithRoom(endpoint);
        call.items.add(item);
        scheduleForCall(call, timeoutMs, ignored -> {
            if (attempt.outcome.isEmpty()) {
                boolean written = call.writtenAtMs <= clock.nowMs();
                completeAttempt(item, written ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, 0, Relay.LoadReport.NONE);
            }
        });
    }

    private Relay.EndpointState assumedState(long endpoint) {
        return Optional.ofNullable(savedHealth.get(endpoint)).map(Relay.EndpointHealth::state)
                .orElse(Relay.EndpointState.UP);
    }

    private Call callWithRoom(SimulatedEndpoint endpoint) {
        List<Call> calls = callsOfTurn.computeIfAbsent(endpoint.id, unknown -> new ArrayList<>());
        if (calls.isEmpty() || calls.get(calls.size() - 1).items.size() >= endpoint.destination.kind.maxBatchSize()) {
            calls.add(new Call(this, processNumber, endpoint, assumedState(endpoint.id)));
        }
        return calls.get(calls.size() - 1);
    }

    @Override
    public void cancel(long id, int attemptNumber) {
        SimulatedMessage message = requireTracked(id, "attempt cancelled");
        SimulatedMessage.Attempt attempt = message.attempts.get(attemptNumber);
        int expectedProcess = processNumber;
        clock.schedule(clock.nowMs(), () -> {
            if (expectedProcess == processNumber && attempt.outcome.isEmpty()) {
                completeAttempt(new Call.Item(message, attemptNumber, attempt), Outcome.CANCELLED, 0,
                        Relay.LoadReport.NONE);
            }
        });
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        connectionPools.remove(endpoint);
    }

    @Override
    public void reject(long id, double retryAfterMs) {
        SimulatedMessage message = finish(id, "refused");
        fleet.invariants().messageRejected(message);
        fleet.clients().messageRejected(message, retryAfterMs);
    }

    @Override
    public void fail(long id) {
        SimulatedMessage message = finish(id, "failed");
        fleet.invariants().messageFailed(message);
        fleet.clients().messageFailed(message);
    }

    private SimulatedMessage finish(long id, String action) {
        SimulatedMessage message = requireTracked(id, action);
        pending.remove(id);
        untrackIfFinished(message);
        return message;
    }

    private SimulatedMessage requireTracked(long id, String action) {
        SimulatedMessage message = tracked.get(id);
        if (message == null) {
            throw new InvariantViolationException(clock.nowMs(), "message " + id + ": " + action + " by sender "
                    + number + ", which does not have it");
        }
        return message;
    }

    /** Stops tracking a message that is completed and has no attempt in flight. */
    private void untrackIfFinished(SimulatedMessage message) {
        if (!pending.containsKey(message.id) && message.inFlightCount() == 0) {
            tracked.remove(message.id);
        }
    }

    /** Schedules a wake-up; it replaces an earlier request, because the module requests only the next one. */
    @Override
    public void wakeAt(double timeMs) {
        long request = ++wakeRequests;
        int expectedProcess = processNumber;
        clock.schedule(timeMs, () -> {
            if (request == wakeRequests && processNumber == expectedProcess) {
                notifyModule(r -> r.wake(clock.nowMs()));
            }
        });
    }

    @Override
    public void saveEndpointHealth(long endpoint, Relay.EndpointHealth newHealth) {
        if (newHealth.state() == Relay.EndpointState.UP) {
            savedHealth.remove(endpoint);
        } else {
            savedHealth.put(endpoint, newHealth);
        }
    }

    @Override
    public void endpointForgotten(long endpoint) {
        savedHealth.remove(endpoint);
    }

    @Override
    public void log(String text) {
        // Dropped: nobody reads the operator log of a thousand simulated senders.
    }
}
