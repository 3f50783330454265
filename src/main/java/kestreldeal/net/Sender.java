package kestreldeal.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import kestreldeal.FaultCollector;
import kestreldeal.InvalidInputException;
import kestreldeal.Relay;

/**
 * One sender process. It connects the decision module ({@link Relay}) to the network, the journal and the clock:
 * it passes events to the module and carries out the actions that the module asks for, but decides nothing itself.
 * The decision module identifies messages and endpoints by number, and this class maps these numbers to ids. All state
 * is confined to the thread of the event loop, so nothing here is locked.
 */
public final class Sender implements Relay.Actions {
    /**
     * Descriptors that are not available for clients and endpoints: about 30 of the JVM itself, and those of the
     * journal, the leader lock, the handover, the agent and the operators' connections.
     */
    private static final int RESERVED_DESCRIPTORS = 48 + OperatorServer.MAX_CONNECTIONS;
    /**
     * Share of the remaining descriptors for client connections; the others are for calls to endpoints. Clients may
     * need up to a third of all descriptors for their requests.
     */
    private static final double CLIENT_DESCRIPTOR_SHARE = 0.5;
    /** Time from SIGTERM during which new client connections may still arrive and are accepted. */
    static final long DRAIN_ACCEPT_MS = 450;
    /**
     * Time after SIGTERM at which calls in flight are abandoned. With {@link #CLIENT_CLOSE_TIMEOUT_MS} added it must be
     * less than 3.7 s, when SIGKILL may come.
     */
    static final long DRAIN_TIMEOUT_MS = 3300;
    private static final long DRAIN_POLL_INTERVAL_MS = 20;
    /** Time that clients have after the drain to notice the end of their connections and to close them. */
    private static final long CLIENT_CLOSE_TIMEOUT_MS = 200;
    /** Time after an exception of the decision module until a turn in which it may do what it has missed. */
    private static final long WAKE_AFTER_FAULT_MS = 100;
    /** Time in which the end of a message that was read is processed; longer than any turn. */
    private static final double END_PROCESSING_MS = 2000;

    /** Share of the heap for listed endpoints; the rest is for messages, buffers and reading the journal. */
    private static final double ENDPOINT_HEAP_SHARE = 0.6;
    /** Share of the heap for clients' requests that have not been handled yet. */
    private static final double REQUEST_HEAP_SHARE = 0.1;
    /**
     * Heap that one listed endpoint takes in all parts of the sender, at 1.6 endpoints per destination: up to 1,157
     * bytes, rounded up.
     */
    private static final int BYTES_PER_ENDPOINT = 1160;
    /** Limit on the endpoints that are known at once; more could exhaust the heap. */
    private static final int MAX_ENDPOINTS =
            (int) Math.min(Integer.MAX_VALUE,
                    Runtime.getRuntime().maxMemory() * ENDPOINT_HEAP_SHARE / BYTES_PER_ENDPOINT);

    private final MachineClock machineClock;
    private final Config config;
    /** Whether another process may connect to this one to take over from it. */
    private final boolean handoverAllowed;
    private final long drainAcceptMs;
    private final long drainTimeoutMs;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos;
    private final EndpointRegistry registry = new EndpointRegistry(MAX_ENDPOINTS);
    /** Accepted messages without a final result, by the number that the decision module uses. */
    private final Map<Long, AcceptedMessage> pendingMessages = new HashMap<>();
    /** The same messages by the id that the client gave them. */
    private final Map<String, AcceptedMessage> pendingMessagesById = new HashMap<>();
    /** Attempts whose results this process awaits. Several of them may share a call. */
    private final Map<AttemptId, EndpointClient.OutboundAttempt> attemptsInFlight = new HashMap<>();
    private final Relay relay;
    /** Opened when this process becomes the leader; null before that. */
    private Journal journal;
    private EndpointClient endpointClient;
    private NoticeClient noticeClient;
    private Discovery discovery;
    private InetSocketAddress agentAddress;
    private ClientServer clientServer;
    private OperatorServer operatorServer;
    private DeadlineWatchdog deadlineWatchdog;
    private final Metrics metrics;
    private final Invariants invariants = new Invariants();
    private final SendGuard sendGuard;
    private Trace trace = Trace.OFF;
    private RetryingListener clientListener;
    /** Empty if the configuration has no address for operators. */
    private Optional<RetryingListener> operatorListener = Optional.empty();
    /** Whether a turn of the decision module has begun and not ended; see {@link Relay}. */
    private boolean turnOpen;
    /** Time of the current turn, in milliseconds since the start of this process. */
    private double turnTimeMs;
    private boolean shuttingDown;
    private int maxClientConnections;
    /**
     * Whether this process leads, has an endpoint list, and has begun to restore the journal. Without that, no message
     * is accepted.
     */
    private boolean ready;
    /** Whether an endpoint list has been read, from the configuration or from the agent. */
    private boolean listKnown;
    /** Whether the first request to the agent for the list has been answered or has failed. */
    private boolean firstListRequestEnded;
    private ProcessHandover handover;
    /** State received from the predecessor; kept until the messages of the journal are restored. */
    private Optional<ProcessHandover.HandoverState> receivedState = Optional.empty();
    /** Attempts that the predecessor started and whose results it still awaits. */
    private final Map<AttemptId, AcceptedMessage> predecessorAttempts = new HashMap<>();
    /**
     * Whether this process has handed over to a successor; from then on it starts no attempts and accepts no messages
     * itself.
     */
    private boolean handedOver;
    private final SubmissionService submissionService = new SubmissionService();

    private record AttemptId(long messageNumber, int attempt) {
    }

    Sender(Config config, boolean handoverAllowed, long drainAcceptMs, long drainTimeoutMs) {
        this(config, handoverAllowed, drainAcceptMs, drainTimeoutMs, MachineClock.system());
    }

    /**
     * Creates a sender with the given clocks. Their monotonic time must pass as that of {@link System#nanoTime} does, or
     * jump ahead.
     */
    Sender(Config config, boolean handoverAllowed, long drainAcceptMs, long drainTimeoutMs, MachineClock machineClock) {
        this(config, handoverAllowed, drainAcceptMs, drainTimeoutMs, machineClock, Relay::create);
    }

    /** For tests: creates a sender with its own decision module. */
    Sender(Config config, boolean handoverAllowed, long drainAcceptMs, long drainTimeoutMs, MachineClock machineClock,
            Relay.Factory relayFactory) {
        this.machineClock = machineClock;
        this.startNanos = machineClock.nanos();
        this.config = config;
        this.handoverAllowed = handoverAllowed;
        this.drainAcceptMs = drainAcceptMs;
        this.drainTimeoutMs = drainTimeoutMs;
        this.relay = relayFactory.create(config.settings(), config.seed(), this);
        this.metrics = new Metrics(config.classNames());
        this.sendGuard = new SendGuard(config.settings(), config.classNames());
    }

    /**
     * Runs a sender until a signal stops it; returns the exit code of the process. With {@code handoverAllowed} false
     * no other process can take over while this one runs.
     */
    public static int serve(Map<String, String> environment, boolean handoverAllowed) {
        try {
            Sender sender = new Sender(Config.read(environment), handoverAllowed, DRAIN_ACCEPT_MS, DRAIN_TIMEOUT_MS);
            sender.trace = Trace.fromEnvironment(environment);
            SighupHandler.install(() -> sender.reload(environment));
            Runtime.getRuntime().addShutdownHook(new Thread(sender::drain, "drain"));
            sender.launch();
            sender.stopped.await();
            return 0;
        } catch (InvalidInputException | IOException e) {
            Log.write("the sender can't start: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /**
     * Starts this process as the leader or, if another process of this sender leads, as its follower (see {@link
     * ProcessHandover}). Does not wait for anything that fails at first, such as a bind: it is retried in the
     * background.
     */
    private void launch() {
        loop.submit(this::startOnEventLoop).syncUninterruptibly();
    }

    /**
     * For tests: starts as {@link #launch} does. If this process leads, waits until clients can connect and returns the
     * address bound; otherwise returns the configured address.
     */
    InetSocketAddress startAndAwaitListening() {
        launch();
        return journal == null ? config.clientAddress() : clientListener.boundAddress().join();
    }

    /** For tests: waits until operators can connect, and returns the address. */
    InetSocketAddress operatorAddress() {
        return operatorListener.orElseThrow().boundAddress().join();
    }

    private void startOnEventLoop() {
        if (shuttingDown) {
            // SIGTERM came before the start.
            return;
        }
        int descriptors = Math.max(config.maxSockets() - RESERVED_DESCRIPTORS, 64);
        maxClientConnections = (int) (descriptors * CLIENT_DESCRIPTOR_SHARE);
        // Twice the slots (the limit on calls in flight): the connection of an abandoned call may still be open when
        // its slot is in use again.
        int maxIdleConnections = Math.max(1, descriptors - maxClientConnections - 2 * config.settings().slotCount());
        endpointClient = new EndpointClient(loop, config.connectTimeoutMs(), config.settings().keepAliveMs(),
                maxIdleConnections, new AttemptResults(), NioSocketChannel::new, machineClock);
        agentAddress = config.agentAddress();
        noticeClient = new NoticeClient(loop, new AgentClient(loop, agentAddress), this::recordCompleted);
        clientServer = new ClientServer(loop, maxClientConnections,
                (long) (Runtime.getRuntime().maxMemory() * REQUEST_HEAP_SHARE), submissionService);
        operatorServer = new OperatorServer(loop, new OperatorCommands());
        deadlineWatchdog = new DeadlineWatchdog(loop, machineClock, pendingMessages::values, this::endOverdue);
        discovery = new Discovery(loop, new AgentClient(loop, agentAddress), new EndpointListUpdates());
        handover = new ProcessHandover(loop, config.stateFolder(), handoverAllowed, new HandoverEvents());
        clientListener = new RetryingListener(loop, "clients", () -> clientServer.listen(config.clientAddress()));
        clientListener.boundAddress().thenAccept(address -> {
            Log.write(config.name() + " listens at " + EndpointClient.hostPort(address));
            handover.notifyListening();
        });
        operatorListener = config.operatorAddress()
                .map(address -> new RetryingListener(loop, "operators", () -> operatorServer.listen(address)));
        handover.start();
        discovery.start(config.file());
        operatorListener.ifPresent(RetryingListener::start);
    }

    /**
     * Gives a message its final result that has none after its deadline, because the decision module has lost it by a
     * bug: it is rejected if it never ran.
     */
    private void endOverdue(AcceptedMessage message) {
        if (!message.acknowledged) {
            return;
        }
        invariants.reportBreach(Invariants.Rule.END_IN_TIME, message.id, message.attempts.size()
                + " attempts, no final result " + (long) -message.timeLeftMs(machineClock) + " ms after the deadline");
        callDecisionModule(() -> relay.messageCancelled(currentTurnTimeMs(), message.number));
        boolean neverRan = !message.mayHaveRun();
        completeWithNotice(message, neverRan ? Metrics.Completion.REJECTED : Metrics.Completion.FAILED,
                new AcceptedMessage.Notice(neverRan, 0));
    }

    /**
     * Restores the messages of the journal once this process leads, has an endpoint list, and its first request to the
     * agent has been answered or has failed. It waits for the agent because the list in the configuration may be
     * outdated, and a process must respect the agent's current list from its start.
     */
    private void restoreIfReady() {
        if (ready || journal == null || !listKnown || !firstListRequestEnded) {
            return;
        }
        ready = true;
        restoreFromJournal();
    }

    /**
     * Reads the configuration again, on the caller's thread because reading a file may block. Only the agent's address
     * changes; all other settings stay as they were when the process started. If the file can't be read or has no
     * address, the current address stays in use.
     */
    void reload(Map<String, String> environment) {
        try {
            InetSocketAddress address = Config.read(environment).agentAddress();
            loop.execute(() -> setAgentAddress(address));
        } catch (InvalidInputException | IOException e) {
            Log.write("can't reload the configuration; keeping the current one: " + e.getMessage());
        }
    }

    private void setAgentAddress(InetSocketAddress address) {
        Log.write("configuration reloaded; the agent's address is " + EndpointClient.hostPort(address));
        if (!address.equals(agentAddress)) {
            agentAddress = address;
            discovery.switchAgent(new AgentClient(loop, address));
            noticeClient.switchAgent(new AgentClient(loop, address));
        }
    }

    /**
     * Restores the state of the previous process: passes its pending messages with their attempts to the decision
     * module, and sends its unconfirmed notices again. An endpoint list must be known before: without one the decision
     * module would fail all of these messages.
     */
    private void restoreFromJournal() {
        int restored = 0;
        Collection<AcceptedMessage> messages = journal.liveMessages();
        receivedState.ifPresent(state -> callDecisionModule(() -> restoreHandoverState(state)));
        Map<AttemptId, Long> predecessorCallIds = new HashMap<>();
        receivedState.filter(state -> handover.hasPredecessor()).ifPresent(state ->
                state.out().forEach(attempt ->
                        predecessorCallIds.put(new AttemptId(attempt.message(), attempt.attempt()), attempt.call())));
        receivedState = Optional.empty();
        journal.endpointHealth().forEach((id, health) -> {
            double nowMs = currentTurnTimeMs();
            double sinceMs = nowMs - health.ageMs(machineClock);
            callDecisionModule(() -> relay.restoreEndpointHealth(nowMs, registry.getOrAssignNumber(id),
                    new Relay.EndpointHealth(health.state(), sinceMs, health.sustainedPerMs())));
        });
        for (AcceptedMessage message : messages) {
            int messageClass = config.classNames().indexOf(message.messageClass);
            if (message.finished) {
                trace.step("owed", message.id);
                noticeClient.enqueue(message);
                continue;
            }
            if (messageClass < 0) {
                Log.write("message class " + message.messageClass
                        + " is no longer configured; a restored message fails");
                completeWithNotice(message, Metrics.Completion.FAILED, new AcceptedMessage.Notice(false, 0));
                continue;
            }
            double nowMs = currentTurnTimeMs();
            List<Relay.EarlierAttempt> earlierAttempts = new ArrayList<>();
            for (AcceptedMessage.Attempt attempt : message.attempts) {
                double startedAtMs = Math.min(nowMs, (attempt.startedNanos - startNanos) / 1e6);
                AttemptId attemptId = new AttemptId(message.number, earlierAttempts.size());
                OptionalLong callId = predecessorCallIds.containsKey(attemptId)
                        ? OptionalLong.of(predecessorCallIds.get(attemptId)) : OptionalLong.empty();
                callId.ifPresent(id -> predecessorAttempts.put(attemptId, message));
                earlierAttempts.add(new Relay.EarlierAttempt(
                        registry.findNumber(attempt.endpoint).orElse(Relay.EarlierAttempt.UNKNOWN_ENDPOINT),
                        startedAtMs, !attempt.neverRan, callId));
            }
            pendingMessages.put(message.number, message);
            pendingMessagesById.put(message.id, message);
            message.acknowledged = true;
            deadlineWatchdog.messageAdded(message);
            restored++;
            trace.step("resumed", message.id, (long) message.timeLeftMs(machineClock), message.attempts.size());
            callDecisionModule(() -> relay.messageRestored(nowMs,
                    toRelayMessage(message, messageClass, message.timeLeftMs(machineClock)), earlierAttempts));
        }
        messages.stream().filter(message -> !message.finished && !pendingMessages.containsKey(message.number))
                .forEach(message -> invariants.reportBreach(Invariants.Rule.HELD_TAKEN_UP, message.id,
                        "not restored from the journal"));
        Log.write(config.name() + " is ready; restored " + restored + " messages from its journal");
    }

    private void restoreHandoverState(ProcessHandover.HandoverState state) {
        state.ended().forEach(journal::rememberCompleted);
        List<Relay.LearnedEndpointState> learned = new ArrayList<>();
        // The ids in state.endpoints() have the same order, so the size of the new list is the index of the next id.
        for (Relay.LearnedEndpointState endpoint : state.memory().endpoints()) {
            learned.add(endpoint.withEndpointId(registry.getOrAssignNumber(state.endpoints().get(learned.size()))));
        }
        relay.restoreLearnedState(currentTurnTimeMs(), new Relay.LearnedState(learned, state.memory().firstSendsAgo(),
                state.memory().copiesAgo(), state.memory().retriesAgo()));
    }

    private Relay.Message toRelayMessage(AcceptedMessage message, int messageClass, double timeLeftMs) {
        // A message restored after a reboot has more time left than its class allows.
        double cappedTimeLeftMs = Math.min(timeLeftMs, config.settings().classes().get(messageClass).deadlineMs());
        // A tenant that is no longer configured counts as the first one.
        return new Relay.Message(message.number, messageClass,
                Math.max(0, config.tenantNames().indexOf(message.tenant)), message.key, cappedTimeLeftMs,
                message.destination, message.budgetLeftMs(machineClock));
    }

    // ---- the clock and turns ----

    /**
     * Returns the time of the current turn for the decision module, and begins a turn if there is none. All events of a
     * turn share one time; the turn ends when the event loop has run the tasks that were queued before its first event.
     */
    private double currentTurnTimeMs() {
        if (!turnOpen) {
            turnOpen = true;
            turnTimeMs = nowMs();
            loop.execute(this::endTurn);
        }
        return turnTimeMs;
    }

    /** Milliseconds since the start of this process. */
    private double nowMs() {
        return (machineClock.nanos() - startNanos) / 1e6;
    }

    private void endTurn() {
        callDecisionModule(() -> relay.endTurn(turnTimeMs));
        turnOpen = false;
    }

    /** Counts and logs an exception of the decision module, which is a bug. */
    private void reportModuleFault(RuntimeException fault) {
        invariants.reportBreach(Invariants.Rule.NO_MODULE_FAULT, "-",
                "fault in the module: " + fault + " at " + List.of(fault.getStackTrace()).stream().limit(5).toList());
    }

    /**
     * Calls the decision module, unless this process has handed over. An exception is reported and not rethrown, so that
     * a bug in handling one message does not affect the others; {@link DeadlineWatchdog} sees to a message that the
     * module has lost by it. Another turn follows soon, as the module may have missed to request a wake-up.
     */
    private void callDecisionModule(Runnable call) {
        if (handedOver) {
            return;
        }
        try {
            call.run();
        } catch (RuntimeException fault) {
            reportModuleFault(fault);
            loop.schedule(this::wake, WAKE_AFTER_FAULT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void wake() {
        callDecisionModule(() -> relay.wake(currentTurnTimeMs()));
    }

    // ---- actions that the decision module asks for ----

    /**
     * Starts an attempt, which gets a result in any case: if an exception leaves open how far it came, it counts as one
     * that may have run.
     */
    @Override
    public void send(long messageNumber, long endpoint, double timeoutMs) {
        AcceptedMessage message = pendingMessages.get(messageNumber);
        int attemptNumber = message.attempts.size();
        try {
            startAttempt(message, attemptNumber, endpoint, timeoutMs);
        } catch (RuntimeException fault) {
            reportModuleFault(fault);
            boolean recorded = message.attempts.size() > attemptNumber;
            if (!recorded) {
                message.attempts.add(AcceptedMessage.Attempt.neverSent("", machineClock));
            }
            completeLater(message, attemptNumber, recorded ? Relay.Outcome.BROKEN : Relay.Outcome.NOT_SENT);
        }
    }

    private void startAttempt(AcceptedMessage message, int attemptNumber, long endpoint, double timeoutMs) {
        if (isOver(message, Invariants.Rule.NOT_SENT_AFTER_END)) {
            metrics.attemptSuppressed(SendGuard.SuppressionReason.MESSAGE_OVER);
            endUnsent(message, attemptNumber, registry.id(endpoint));
            return;
        }
        Optional<Invariants.Rule> breach =
                sendGuard.violatedRule(message, registry.findDestination(endpoint).orElse(-1));
        if (breach.isPresent()) {
            invariants.reportBreach(breach.get(), message.id,
                    "an attempt at " + registry.id(endpoint) + " was prevented");
            endUnsent(message, attemptNumber, registry.id(endpoint));
            return;
        }
        AcceptedMessage.Attempt attempt = AcceptedMessage.Attempt.startedAgo(registry.id(endpoint), 0, machineClock);
        try {
            journal.recordAttempt(message, attempt);
        } catch (IOException e) {
            // Without a record in the journal the message could run twice after a restart, so the attempt is not made.
            completeLater(message, attemptNumber, Relay.Outcome.NOT_SENT);
            return;
        }
        trace.step("attempt", message.id, attemptNumber, attempt.endpoint);
        attemptsInFlight.put(new AttemptId(message.number, attemptNumber),
                endpointClient.startAttempt(message, attemptNumber, endpoint, timeoutMs,
                        startNanos + (long) (turnTimeMs * 1e6)));
    }

    private void endUnsent(AcceptedMessage message, int attemptNumber, String endpoint) {
        message.attempts.add(AcceptedMessage.Attempt.neverSent(endpoint, machineClock));
        completeLater(message, attemptNumber, Relay.Outcome.NOT_SENT);
    }

    /** Completes an attempt without a call; deferred, since the decision module must not be called from an action. */
    private void completeLater(AcceptedMessage message, int attemptNumber, Relay.Outcome outcome) {
        loop.execute(() -> processAttemptResult(message, attemptNumber, outcome, false, 0, Relay.LoadReport.NONE, 0));
    }

    @Override
    public void cancel(long messageNumber, int attempt) {
        EndpointClient.OutboundAttempt outboundAttempt = attemptsInFlight.get(new AttemptId(messageNumber, attempt));
        if (outboundAttempt != null) {
            endpointClient.cancel(outboundAttempt);
        } else if (predecessorAttempts.containsKey(new AttemptId(messageNumber, attempt))) {
            handover.cancelAttempt(messageNumber, attempt);
        }
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        endpointClient.closeIdleConnections(endpoint);
    }

    @Override
    public void reject(long messageNumber, double retryAfterMs) {
        completeWithNotice(pendingMessages.get(messageNumber), Metrics.Completion.REJECTED,
                new AcceptedMessage.Notice(true, retryAfterMs));
    }

    @Override
    public void fail(long messageNumber) {
        completeWithNotice(pendingMessages.get(messageNumber), Metrics.Completion.FAILED,
                new AcceptedMessage.Notice(false, 0));
    }

    @Override
    public void wakeAt(double timeMs) {
        long delayNanos = (long) (timeMs * 1e6) - (machineClock.nanos() - startNanos);
        loop.schedule(this::wake, Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void log(String text) {
        Log.write(text);
    }

    /** The journal records health by id, so an endpoint whose id is now that of another one has no record. */
    @Override
    public void saveEndpointHealth(long endpoint, Relay.EndpointHealth health) {
        if (registry.ownsId(endpoint)) {
            recordEndpointHealth(registry.id(endpoint), Journal.RecordedHealth.ofAge(turnTimeMs - health.sinceMs(),
                    health.state(), health.sustainedPerMs(), machineClock));
        }
    }

    @Override
    public void endpointForgotten(long endpoint) {
        endpointClient.removeEndpoint(endpoint);
        registry.forget(endpoint).ifPresent(this::deleteEndpointHealth);
    }

    /** An endpoint in service needs no record, so this deletes the one that there may be. */
    private void deleteEndpointHealth(String endpoint) {
        recordEndpointHealth(endpoint, new Journal.RecordedHealth(Relay.EndpointState.UP, 0, 0));
    }

    private void recordEndpointHealth(String endpoint, Journal.RecordedHealth health) {
        if (journal != null) {
            journal.recordEndpointHealth(endpoint, health);
        }
    }

    /**
     * Whether the end of a message was read. It is processed in the same turn, in which the decision module may already
     * have decided on an attempt or a notice; if that happens later, it is a breach of the rule.
     */
    private boolean isOver(AcceptedMessage message, Invariants.Rule rule) {
        if (message.isEndRead() && message.endReadAgoMs() > END_PROCESSING_MS) {
            invariants.reportBreach(rule, message.id, (long) message.endReadAgoMs() + " ms after its end was read");
        }
        return message.isEndRead();
    }

    private void completeWithNotice(AcceptedMessage message, Metrics.Completion completion,
            AcceptedMessage.Notice notice) {
        if (message.finished) {
            invariants.reportBreach(Invariants.Rule.ONE_END, message.id, "a second final result: " + notice);
            return;
        }
        if (isOver(message, Invariants.Rule.NOT_REPORTED_AFTER_END)) {
            finishMessage(message);
            metrics.messageCompleted(message.messageClass, Metrics.Completion.COMPLETED);
            journal.recordCompleted(message);
            return;
        }
        trace.step(notice.rejected() ? "refused" : "failed", message.id, message.attempts.size());
        finishMessage(message);
        FaultCollector.runAll(() -> journal.recordNotice(message, notice), () -> noticeClient.enqueue(message),
                () -> metrics.messageCompleted(message.messageClass, completion));
    }

    // ---- events for the decision module ----

    /** Passes the results of attempts to the decision module, or to the successor after a handover. */
    private final class AttemptResults implements EndpointClient.AttemptListener {
        @Override
        public void attemptCompleted(EndpointClient.OutboundAttempt attempt, Relay.Outcome outcome,
                boolean messageExpired, double retryAfterMs, Relay.LoadReport report) {
            attemptsInFlight.remove(new AttemptId(attempt.message.number, attempt.attemptNumber));
            double durationMs = (machineClock.nanos() - attempt.startedNanos) / 1e6;
            if (handedOver) {
                handover.sendResult(new ProcessHandover.InFlightResult(attempt.message.number, attempt.attemptNumber,
                        outcome, messageExpired, retryAfterMs, report, durationMs));
                return;
            }
            processAttemptResult(attempt.message, attempt.attemptNumber, outcome, messageExpired, retryAfterMs, report,
                    durationMs);
        }

        @Override
        public void lateResultRead(EndpointClient.OutboundAttempt attempt, EndpointResult result) {
            AcceptedMessage message = attempt.message;
            if (!handedOver && message.finished) {
                if (result.endsMessage() && noticeClient.withdraw(message)) {
                    recordCompleted(message);
                }
            } else {
                attemptCompleted(attempt, result.outcome(), result.messageExpired(), 0, Relay.LoadReport.NONE);
            }
        }

        @Override
        public void retryAfterReceived(long endpoint, double retryAfterMs) {
            if (handedOver) {
                registry.findId(endpoint).ifPresent(id -> handover.sendRetryAfter(id, retryAfterMs));
            } else {
                Sender.this.retryAfterReceived(endpoint, retryAfterMs);
            }
        }

        @Override
        public void resultRead(EndpointClient.OutboundAttempt attempt, EndpointResult result,
                Optional<EndpointClient.DiscardReason> discarded) {
            trace.step("read", attempt.message.id, attempt.attemptNumber,
                    result.messageExpired() ? "EXPIRED" : result.outcome(), discarded.map(Object::toString).orElse(""));
            discarded.ifPresent(metrics::resultDiscarded);
        }

        @Override
        public void callWritten(int messages) {
            metrics.messagesWritten(messages);
        }

        /**
         * Checks an attempt again just before its call is written. Time has passed since the decision module started
         * the attempt, above all if CPU time is scarce or connecting took long: meanwhile the endpoint may have asked
         * to back off or begun to drain, the deduplication window may have ended, the message may be finished (its
         * calls stay in flight if cancellation is disabled), or a successor may have taken over, which then makes the
         * attempt itself.
         */
        @Override
        public boolean sendAllowed(EndpointClient.OutboundAttempt attempt) {
            Optional<SendGuard.SuppressionReason> reason = handedOver
                    ? Optional.of(SendGuard.SuppressionReason.HANDED_OVER)
                    : sendGuard.suppressionReason(attempt.message, attempt.attemptNumber,
                            moduleAllowsSend(attempt.endpoint()), machineClock.nanos());
            reason.ifPresent(metrics::attemptSuppressed);
            trace.step(reason.map(r -> "heldback:" + r).orElse("write"), attempt.message.id, attempt.attemptNumber);
            return reason.isEmpty();
        }
    }

    private boolean moduleAllowsSend(long endpoint) {
        try {
            return relay.sendAllowed(nowMs(), endpoint);
        } catch (RuntimeException fault) {
            reportModuleFault(fault);
            return false;
        }
    }

    /**
     * Reports a Retry-After wait. It starts now, possibly later than the turn's time, so the difference is added to it.
     */
    private void retryAfterReceived(long endpoint, double retryAfterMs) {
        callDecisionModule(() ->
                relay.retryAfterReceived(currentTurnTimeMs(), endpoint, retryAfterMs + nowMs() - turnTimeMs));
    }

    private void processAttemptResult(AcceptedMessage message, int attempt, Relay.Outcome outcome,
            boolean messageExpired, double retryAfterMs, Relay.LoadReport report, double durationMs) {
        trace.step("ended", message.id, attempt, outcome, (long) durationMs, (long) retryAfterMs);
        if (!message.finished && (messageExpired || outcome == Relay.Outcome.DELIVERED)) {
            finishMessage(message);
            if (outcome == Relay.Outcome.DELIVERED) {
                metrics.messageCompleted(message.messageClass, Metrics.Completion.COMPLETED);
            }
            journal.recordCompleted(message);
        } else if (!message.finished && !outcome.mayHaveRun()) {
            journal.recordNeverRan(message, attempt);
        }
        boolean finished = message.finished;
        callDecisionModule(() -> relay.attemptCompleted(currentTurnTimeMs(), new Relay.AttemptResult(message.number,
                attempt, outcome, durationMs, finished, retryAfterMs, report)));
    }

    private void finishMessage(AcceptedMessage message) {
        message.finished = true;
        pendingMessages.remove(message.number);
        pendingMessagesById.remove(message.id);
    }

    /**
     * Records that nothing is left to do for a message: its notice is confirmed or dropped, or its 202 response could
     * not be written.
     */
    private void recordCompleted(AcceptedMessage message) {
        trace.step("heard", message.id);
        journal.recordCompleted(message);
    }

    private void retryJournalWrites() {
        if (!handedOver) {
            journal.retryFailedWrites();
        }
    }

    /** Applies the endpoint lists that discovery reads. */
    private final class EndpointListUpdates implements Discovery.UpdateListener {
        @Override
        public void updateStarted() {
            registry.beginUpdate();
        }

        @Override
        public void entriesRead(List<Discovery.Entry> entries) {
            Sender.this.applyListEntries(entries);
        }

        @Override
        public void updateCompleted(boolean fullList) {
            if (fullList) {
                removeUnlisted();
            }
            callDecisionModule(() -> relay.endpointListCompleted(currentTurnTimeMs()));
            if (registry.skippedCount() > 0) {
                Log.write("the endpoint list is too long: ignoring " + registry.skippedCount()
                        + " endpoints beyond the " + MAX_ENDPOINTS + " that fit into the heap");
            }
            listKnown = true;
            restoreIfReady();
        }

        @Override
        public void firstRequestEnded() {
            firstListRequestEnded = true;
            restoreIfReady();
        }
    }

    /**
     * Applies entries as soon as they are read. They are passed to the decision module as changes rather than as a full
     * list, since a list may arrive in portions.
     */
    private void applyListEntries(List<Discovery.Entry> entries) {
        List<Relay.Endpoint> changes = new ArrayList<>(entries.size());
        for (Discovery.Entry entry : entries) {
            if (entry.address().isEmpty() && registry.findNumber(entry.id()).isEmpty()) {
                continue;
            }
            registry.findDisplaced(entry).ifPresent(displaced -> {
                endpointClient.closeIdleConnections(displaced.number());
                deleteEndpointHealth(displaced.id());
                changes.add(removedEndpoint(displaced));
            });
            OptionalLong assigned = registry.register(entry);
            if (assigned.isEmpty()) {
                continue;
            }
            long endpointNumber = assigned.getAsLong();
            // An unknown kind or zone counts as the first one configured.
            int kindIndex = Math.max(0, config.kindNames().indexOf(entry.kind()));
            entry.address().ifPresent(address -> endpointClient.updateEndpoint(endpointNumber, address, entry.serving(),
                    config.settings().kinds().get(kindIndex).maxBatchSize()));
            changes.add(new Relay.Endpoint(endpointNumber, entry.destination(), kindIndex,
                    Math.max(0, config.zoneNames().indexOf(entry.zone())), entry.serving(), entry.listedRate(),
                    entry.removed()));
        }
        callDecisionModule(() -> relay.endpointsChanged(currentTurnTimeMs(), false, changes));
    }

    /**
     * Reports the endpoints that the full list just read did not name as removed. The rate limit belongs to the
     * destination, so each is reported with the rate that was listed last for any endpoint of its destination.
     */
    private void removeUnlisted() {
        List<Relay.Endpoint> removed = registry.markUnnamedRemoved().stream().map(Sender::removedEndpoint)
                .toList();
        callDecisionModule(() -> relay.endpointsChanged(currentTurnTimeMs(), false, removed));
    }

    private static Relay.Endpoint removedEndpoint(EndpointRegistry.RegisteredEndpoint endpoint) {
        return new Relay.Endpoint(endpoint.number(), endpoint.destination(), 0, 0, false, endpoint.listedRate(), true);
    }

    /** Accepts or rejects what clients submit. */
    private final class SubmissionService implements ClientServer.SubmissionHandler {
        @Override
        public boolean isHealthy() {
            // After a handover submissions are still answered, by forwarding them.
            return ready && !shuttingDown || handedOver;
        }

        @Override
        public boolean knowsClass(String name) {
            return config.classNames().contains(name);
        }

        @Override
        public boolean knowsTenant(String name) {
            return config.tenantNames().isEmpty() || config.tenantNames().contains(name);
        }

        @Override
        public boolean needsKey(String messageClass) {
            return config.settings().classes().get(config.classNames().indexOf(messageClass)).repeat()
                    == Relay.Repeat.KEYED;
        }

        @Override
        public boolean checkDestination(long destination) {
            boolean known = registry.knowsDestination(destination);
            if (!known) {
                metrics.messageRejected(Metrics.RejectionReason.UNKNOWN_DESTINATION);
            }
            return known;
        }

        @Override
        public boolean forwardsSubmissions() {
            return handedOver;
        }

        @Override
        public void forward(ClientServer.Submission submission, Consumer<HttpResponseStatus> answer) {
            handover.forward(submission, answer);
        }

        @Override
        public void connectionClosing(ClientServer.CloseReason reason) {
            metrics.clientClosed(reason);
        }

        @Override
        public void requestLeftUnanswered(ClientServer.CloseReason reason) {
            invariants.reportBreach(Invariants.Rule.REQUEST_ANSWERED, "-",
                    "a request got no answer; closed by " + reason);
        }

        @Override
        public void submissionRejected(String messageClass) {
            metrics.messageCompleted(messageClass, Metrics.Completion.REJECTED);
        }

        /**
         * Returns 202 for a message that is pending, was delivered or has expired at its destination; 409 for one that
         * was rejected or failed by a notice, which is not accepted again under its id.
         */
        @Override
        public Optional<HttpResponseStatus> previousAnswer(String id) {
            if (pendingMessagesById.containsKey(id)) {
                return Optional.of(HttpResponseStatus.ACCEPTED);
            }
            return journal.wasDelivered(id).map(delivered ->
                    delivered ? HttpResponseStatus.ACCEPTED : HttpResponseStatus.CONFLICT);
        }

        @Override
        public Optional<AcceptedMessage> accept(ClientServer.Submission submission) {
            if (!ready || pendingMessages.size() >= config.maxPendingMessages()) {
                return reject(submission, ready ? Metrics.RejectionReason.NO_ROOM : Metrics.RejectionReason.NOT_READY);
            }
            double classDeadlineMs = config.settings().classes()
                    .get(config.classNames().indexOf(submission.messageClass())).deadlineMs();
            if (submission.budgetMs() < AcceptedMessage.maxUnreadMs(classDeadlineMs)) {
                // The client's budget may already be used up, since the request may have waited unread for that long; a
                // result would be too late, while a rejection does no harm.
                return reject(submission, Metrics.RejectionReason.TOO_LITTLE_TIME);
            }
            AcceptedMessage message = AcceptedMessage.fromSubmission(journal.assignNumber(), submission,
                    classDeadlineMs, machineClock);
            try {
                journal.recordAccepted(message);
            } catch (Journal.JournalFullException e) {
                return reject(submission, Metrics.RejectionReason.NO_ROOM);
            } catch (IOException e) {
                return reject(submission, Metrics.RejectionReason.JOURNAL);
            }
            pendingMessages.put(message.number, message);
            pendingMessagesById.put(message.id, message);
            trace.step("taken", message.id, message.messageClass, message.destination, submission.budgetMs());
            return Optional.of(message);
        }

        private Optional<AcceptedMessage> reject(ClientServer.Submission submission, Metrics.RejectionReason reason) {
            metrics.messageRejected(reason);
            trace.step("turnedaway", submission.id(), reason);
            return Optional.empty();
        }

        @Override
        public void responseWritten(AcceptedMessage message, boolean success) {
            if (message.acknowledged || message.finished || handedOver) {
                return;
            }
            message.acknowledged = success;
            deadlineWatchdog.messageAdded(message);
            trace.step(success ? "answered" : "unheard", message.id);
            if (!success) {
                // Without a 202 the client does not count the message as accepted: it submits it again, and this
                // submission needs no final result.
                finishMessage(message);
                Sender.this.recordCompleted(message);
                return;
            }
            int messageClass = config.classNames().indexOf(message.messageClass);
            callDecisionModule(() -> relay.messageAccepted(currentTurnTimeMs(),
                    toRelayMessage(message, messageClass, message.timeLeftMs(machineClock))));
        }
    }

    /** Carries out the operators' commands. */
    private final class OperatorCommands implements OperatorServer.CommandHandler {
        @Override
        public boolean isReady() {
            return !shuttingDown && (ready || listKnown && handover.isRegisteredFollower());
        }

        @Override
        public String metrics() {
            Relay.EndpointCounts counts = relay.endpointCounts();
            return metrics.toPrometheusText(pendingMessages.size(), counts.listed(), counts.unavailable(),
                    Optional.ofNullable(journal).map(Journal::writeFailures).orElse(0L),
                    Optional.ofNullable(journal).filter(Journal::hasUnwrittenState).isPresent(), invariants);
        }

        @Override
        public void setEvacuating(boolean active) {
            Log.write(active ? "operator command: evacuating clients" : "operator command: accepting clients again");
            clientServer.setEvacuating(active);
        }
    }

    /** Handles the events of a handover from the predecessor or to the successor. */
    private final class HandoverEvents implements ProcessHandover.Callbacks {
        @Override
        public void becomeLeader(Optional<ProcessHandover.HandoverState> state) throws IOException {
            journal = new Journal(config.stateFolder(), config.diskBytes(), config.settings().maxAttempts(),
                    machineClock, FileChannel::open);
            journal.onFailure(afterMs ->
                    loop.schedule(Sender.this::retryJournalWrites, afterMs, TimeUnit.MILLISECONDS));
            receivedState = state;
            if (handover.hasPredecessor()) {
                clientServer.setConnectionLimit(maxClientConnections / 2);
            }
            restoreIfReady();
            clientListener.start();
        }

        @Override
        public ProcessHandover.HandoverState handoverState() {
            Relay.LearnedState learnedState = learnedState();
            List<ProcessHandover.InFlightAttempt> inFlight = new ArrayList<>();
            attemptsInFlight.forEach((id, attempt) -> inFlight.add(
                    new ProcessHandover.InFlightAttempt(id.messageNumber(), id.attempt(), attempt.callId())));
            return new ProcessHandover.HandoverState(journal.deliveredByCompletedId(), inFlight,
                    learnedState.endpoints().stream().map(endpoint -> registry.id(endpoint.endpoint())).toList(),
                    learnedState);
        }

        /** What the decision module has learned; nothing if it throws, as the successor needs the messages most. */
        private Relay.LearnedState learnedState() {
            try {
                return relay.learnedState(currentTurnTimeMs());
            } catch (RuntimeException fault) {
                reportModuleFault(fault);
                return new Relay.LearnedState(List.of(), List.of(), List.of(), List.of());
            }
        }

        @Override
        public void successorListening() {
            // Deferred until the event loop has handled the I/O events at hand, so that connections already waiting are
            // accepted first.
            loop.execute(clientListener::close);
        }

        /** Accepts or rejects a message that a client submitted to the predecessor, which passes on the answer. */
        @Override
        public HttpResponseStatus acceptForwarded(ClientServer.Submission submission) {
            Optional<HttpResponseStatus> previousAnswer = submissionService.previousAnswer(submission.id());
            if (previousAnswer.isPresent()) {
                return previousAnswer.get();
            }
            Optional<AcceptedMessage> accepted = submissionService.checkDestination(submission.destination())
                    ? submissionService.accept(submission) : Optional.empty();
            accepted.ifPresentOrElse(message -> submissionService.responseWritten(message, true),
                    () -> submissionService.submissionRejected(submission.messageClass()));
            return accepted.isPresent() ? HttpResponseStatus.ACCEPTED : HttpResponseStatus.SERVICE_UNAVAILABLE;
        }

        @Override
        public void predecessorAttemptCompleted(ProcessHandover.InFlightResult result) {
            AcceptedMessage awaited = predecessorAttempts.remove(new AttemptId(result.message(), result.attempt()));
            // A late result follows the one that was awaited.
            AcceptedMessage message = awaited != null ? awaited : pendingMessages.get(result.message());
            if (message != null) {
                processAttemptResult(message, result.attempt(), result.outcome(), result.gone(), result.waitMs(),
                        result.report(), result.tookMs());
            }
        }

        @Override
        public void retryAfterForwarded(String endpoint, double retryAfterMs) {
            registry.findNumber(endpoint).ifPresent(number -> Sender.this.retryAfterReceived(number, retryAfterMs));
        }

        @Override
        public void attemptCancelled(long messageNumber, int attempt) {
            cancel(messageNumber, attempt);
        }

        /**
         * Completes the predecessor's attempts in flight as broken, since they may have run. Its journal needs no
         * handling: this process took it over when it became the leader.
         */
        @Override
        public void predecessorGone() {
            Log.write("the predecessor has exited; " + predecessorAttempts.size()
                    + " of its attempts were still in flight and count as broken");
            Map<AttemptId, AcceptedMessage> lost = new HashMap<>(predecessorAttempts);
            predecessorAttempts.clear();
            lost.forEach((id, message) -> processAttemptResult(message, id.attempt(), Relay.Outcome.BROKEN, false, 0,
                    Relay.LoadReport.NONE, 0));
            clientServer.setConnectionLimit(maxClientConnections);
        }
    }

    /**
     * Hands all messages over to the follower, which becomes the leader. This process still awaits the results of its
     * attempts in flight, and forwards the requests on its remaining client connections.
     */
    private void handOver() {
        ProcessHandover.HandoverState state = new HandoverEvents().handoverState();
        handedOver = true;
        shuttingDown = true;
        noticeClient.stop();
        journal.handOver();
        handover.handOver(state);
        clientServer.handOver();
        endpointClient.closeAllIdleConnections();
        Log.write(config.name() + " has handed over " + pendingMessages.size() + " messages to its successor, with "
                + state.out().size() + " attempts in flight");
        pendingMessages.clear();
        pendingMessagesById.clear();
    }

    // ---- shutdown ----

    /**
     * Shuts down gracefully within the time before SIGKILL: accepts messages while new connections may still arrive,
     * starts no call that can't finish in time, and waits for calls and notices in flight. The journal keeps the rest.
     * If a follower is connected, everything is handed over to it instead.
     */
    void drain() {
        long drainStartNanos = System.nanoTime();
        loop.execute(() -> {
            if (handover != null && handover.hasFollower()) {
                handOver();
                awaitDrained(drainStartNanos);
                return;
            }
            shuttingDown = true;
            if (journal == null) {
                // This process never led, so it has no messages.
                stopped.countDown();
                return;
            }
            callDecisionModule(() -> relay.shutdownScheduled(currentTurnTimeMs(), turnTimeMs + drainTimeoutMs));
            loop.schedule(() -> {
                clientListener.close();
                clientServer.closeAfterNextResponse();
                awaitDrained(drainStartNanos);
            }, drainAcceptMs, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitDrained(long drainStartNanos) {
        boolean drained = pendingMessages.isEmpty() && noticeClient.pendingCount() == 0
                && clientServer.connectionCount() == 0 && (!handedOver || attemptsInFlight.isEmpty());
        if (drained || System.nanoTime() - drainStartNanos >= TimeUnit.MILLISECONDS.toNanos(drainTimeoutMs)) {
            Log.write(config.name() + " is stopping; "
                    + (handedOver ? attemptsInFlight.size() + " attempts are still in flight"
                    : "its journal holds " + pendingMessages.size() + " pending messages and "
                            + noticeClient.pendingCount() + " unconfirmed notices"));
            clientServer.shutDown();
            awaitClientsClosed(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLIENT_CLOSE_TIMEOUT_MS));
            return;
        }
        loop.schedule(() -> awaitDrained(drainStartNanos), DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void awaitClientsClosed(long untilNanos) {
        if (clientServer.connectionCount() == 0 || System.nanoTime() >= untilNanos) {
            stopped.countDown();
        } else {
            loop.schedule(() -> awaitClientsClosed(untilNanos), DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Releases everything at once, as if the process were killed, the journal before the event loop; for tests. */
    void kill() {
        loop.submit(() -> {
            handover.close();
            operatorListener.ifPresent(RetryingListener::close);
            clientListener.close();
            if (journal != null) {
                journal.close();
            }
        }).syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
