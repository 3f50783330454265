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
import kestreldeal.InvalidInputException;
import kestreldeal.Relay;

/**
 * One real sender: the event loop, the clock, and the names that the module knows by numbers. The loop's
 * thread alone touches the module and all that hangs on it, so nothing here is locked. It decides nothing.
 */
public final class Sender implements Relay.Actions {
    /** Descriptors that are neither clients nor calls: the machine's own (30 are seen), the journal, agents, operators. */
    private static final int OTHER_SOCKETS = 48 + OperatorServer.MOST;
    /** Share of the rest for clients, who may hold a third of all for requests; the others are for calls. */
    private static final double CLIENT_SHARE = 0.5;
    /** From SIGTERM: new connections come for so long at most. */
    static final long TAKING_MS = 450;
    /** From SIGTERM: calls out may last till here; SIGKILL may come at 3.7 s. */
    static final long CLOSING_MS = 3300;
    private static final long DRAIN_POLL_MS = 20;
    /** After that, so long for clients to see that their connections end, and to close them. */
    private static final long PARTING_MS = 200;
    /** Between looks for messages that have no end though their time is up, and so long after it they are told. */
    private static final long OVERDUE_LOOK_MS = 1000;
    private static final double OVERDUE_AFTER_MS = 1000;
    /** An endpoint that has left the list is forgotten after so long: no call lasts till then. */
    private static final long GONE_MS = 60_000;

    /** Share of the heap for endpoints that are listed; the rest is for messages, buffers and the journal's reading. */
    private static final double LIST_SHARE = 0.6;
    /**
     * What one costs in all parts, with a destination of 1.6 endpoints, in bytes: 1,157 between 1,000 and 20,000 listed,
     * 1,131 between 1,000 and 25,000, live after a full collection of the real sender.
     */
    private static final int ENDPOINT_BYTES = 1160;
    /** Endpoints that are known at once; beyond that the process would end with the heap. */
    private static final int MOST_ENDPOINTS =
            (int) Math.min(Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() * LIST_SHARE / ENDPOINT_BYTES);

    private final MachineClock machine;
    private final Config config;
    /** Whether another process may link to this one to take over from it. */
    private final boolean links;
    private final long takingMs;
    private final long closingMs;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final EndpointRegistry directory = new EndpointRegistry(MOST_ENDPOINTS);
    /** What is held and not over, by the module's number, and by the client's id. */
    private final Map<Long, AcceptedMessage> open = new HashMap<>();
    private final Map<String, AcceptedMessage> byId = new HashMap<>();
    /** Attempts that are out, by message and attempt. */
    private final Map<AttemptId, EndpointClient.OutboundAttempt> calls = new HashMap<>();
    private final Relay relay;
    private Journal journal;
    private EndpointClient endpoints;
    private NoticeClient notices;
    private Discovery discovery;
    private InetSocketAddress agentAddress;
    private ClientServer intake;
    private OperatorServer ops;
    private final Metrics figures;
    private final Invariants invariants = new Invariants();
    private final SendGuard guard;
    private Trace trace = Trace.OFF;
    private RetryingListener clientListener;
    /** Where operators connect, if anywhere. */
    private Optional<RetryingListener> operatorListener = Optional.empty();
    private boolean turnOpen;
    private double clock;
    private boolean closing;
    private int mostClients;
    /** A list is known and the journal is replayed. */
    private boolean ready;
    private boolean listed;
    /** The agent was asked for the list, and has answered, or not in time. */
    private boolean asked;
    private ProcessHandover succession;
    /** What the process before told of itself, until the journal is replayed. */
    private Optional<ProcessHandover.HandoverState> legacy = Optional.empty();
    /** Attempts that the process before made and waits for. */
    private final Map<AttemptId, AcceptedMessage> elsewhere = new HashMap<>();
    /** Another process has taken over: nothing is decided here any more. */
    private boolean handedOver;
    private final SubmissionService clients = new SubmissionService();

    private record AttemptId(long message, int attempt) {
    }

    Sender(Config config, boolean links, long takingMs, long closingMs) {
        this(config, links, takingMs, closingMs, MachineClock.system());
    }

    /** The same with clocks of its own; their monotonic one is that of {@link System#nanoTime}. */
    Sender(Config config, boolean links, long takingMs, long closingMs, MachineClock machine) {
        this.machine = machine;
        this.config = config;
        this.links = links;
        this.takingMs = takingMs;
        this.closingMs = closingMs;
        this.relay = Relay.create(config.settings(), config.seed(), this);
        this.figures = new Metrics(config.classNames());
        this.guard = new SendGuard(config.settings(), config.classNames());
    }

    /**
     * Runs a sender until it is told to end; returns the exit code. Without links no other process can take over
     * while this one runs.
     */
    public static int serve(Map<String, String> env, boolean links) {
        try {
            Sender sender = new Sender(Config.read(env), links, TAKING_MS, CLOSING_MS);
            sender.trace = Trace.of(env);
            SighupHandler.install(() -> sender.reload(env));
            Runtime.getRuntime().addShutdownHook(new Thread(sender::drain, "drain"));
            sender.launch();
            sender.stopped.await();
            return 0;
        } catch (InvalidInputException | IOException e) {
            Log.write("can't start: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Begins to serve, or to follow the process that does; what can't be had at once is waited for by itself. */
    private void launch() {
        loop.submit(this::open).syncUninterruptibly();
    }

    /**
     * The same, and waits until clients can connect if this process leads; returns the address, as configured where
     * they can't yet.
     */
    InetSocketAddress start() {
        launch();
        return journal == null ? config.clientAddress() : clientListener.bound().join();
    }

    /** Where operators connect, once they can. */
    InetSocketAddress operators() {
        return operatorListener.orElseThrow().bound().join();
    }

    private void open() {
        if (closing) {
            // It was told to end before it had begun.
            return;
        }
        int sockets = Math.max(config.maxSockets() - OTHER_SOCKETS, 64);
        mostClients = (int) (sockets * CLIENT_SHARE);
        // Twice the slots: the connection of a call that was given up lingers while its slot is in use again.
        int mostIdle = Math.max(1, sockets - mostClients - 2 * config.settings().slots());
        endpoints = new EndpointClient(loop, config.connectTimeoutMs(), config.settings().keepAliveMs(), mostIdle,
                new CallResults(), NioSocketChannel::new, machine);
        agentAddress = config.discoveryAddress();
        notices = new NoticeClient(loop, new AgentClient(loop, agentAddress), this::heard);
        intake = new ClientServer(loop, mostClients, clients);
        ops = new OperatorServer(loop, new OperatorCommands());
        discovery = new Discovery(loop, new AgentClient(loop, agentAddress), new EndpointListUpdates());
        succession = new ProcessHandover(loop, config.stateFolder(), links, new HandoverEvents());
        clientListener = new RetryingListener(loop, "clients", () -> intake.listen(config.clientAddress()));
        clientListener.bound().thenAccept(address -> {
            Log.write(config.name() + " listens at " + EndpointClient.hostPort(address));
            succession.notifyListening();
        });
        operatorListener = config.operatorAddress()
                .map(address -> new RetryingListener(loop, "operators", () -> ops.listen(address)));
        succession.start();
        discovery.start(config.file());
        operatorListener.ifPresent(RetryingListener::start);
        loop.scheduleWithFixedDelay(this::lookForOverdue, OVERDUE_LOOK_MS, OVERDUE_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** What was taken on ends before its time is up; one that has not by now would never be answered in time. */
    private void lookForOverdue() {
        for (AcceptedMessage held : open.values()) {
            if (held.acknowledged && !held.reportedOverdue && held.timeLeftMs(machine) < -OVERDUE_AFTER_MS) {
                held.reportedOverdue = true;
                invariants.breached(Invariants.Rule.END_IN_TIME, held.id, held.attempts.size() + " attempts, "
                        + (long) -held.timeLeftMs(machine) + " ms late");
            }
        }
    }

    /**
     * Takes up what is held, once this process leads and has a list: the agent's if it answers, as what that has
     * counts as told from the first moment of a process, and the configuration's may be old.
     */
    private void begin() {
        if (ready || journal == null || !listed || !asked) {
            return;
        }
        ready = true;
        event(this::replay);
    }

    /**
     * Reads the configuration again, on the caller's thread, since a file may be slow. Only discovery's
     * address is taken over: all else holds for the life of a process. A file that can't be read, or names no
     * address, leaves the old one standing.
     */
    void reload(Map<String, String> env) {
        try {
            InetSocketAddress address = Config.read(env).discoveryAddress();
            loop.execute(() -> moveTo(address));
        } catch (InvalidInputException | IOException e) {
            Log.write("the configuration can't be read again, the old one stands: " + e.getMessage());
        }
    }

    private void moveTo(InetSocketAddress address) {
        Log.write("configuration read again; discovery is at " + EndpointClient.hostPort(address));
        if (!address.equals(agentAddress)) {
            agentAddress = address;
            discovery.switchAgent(new AgentClient(loop, address));
            notices.switchAgent(new AgentClient(loop, address));
        }
    }

    /**
     * What an earlier life held goes back to the module, with what it did; notices owed go out again. Not
     * before a list is known: without one the module could only give all of it up.
     */
    private void replay() {
        int resumed = 0;
        Collection<AcceptedMessage> all = journal.liveMessages();
        legacy.ifPresent(this::recall);
        Map<AttemptId, Long> outBefore = new HashMap<>();
        legacy.filter(l -> succession.hasPredecessor()).ifPresent(l ->
                l.out().forEach(o -> outBefore.put(new AttemptId(o.message(), o.attempt()), o.call())));
        legacy = Optional.empty();
        journal.endpointHealth().forEach((id, health) -> {
            double now = openTurn();
            double since = now - health.ageMs(machine);
            relay.restoreEndpointHealth(now, endpointNumber(id),
                    new Relay.EndpointHealth(health.state(), since, health.sustainedPerMs()));
        });
        for (AcceptedMessage held : all) {
            int messageClass = config.classNames().indexOf(held.messageClass);
            if (held.finished) {
                trace.step("owed", held.id);
                notices.enqueue(held);
                continue;
            }
            if (messageClass < 0) {
                Log.write("class " + held.messageClass + " is gone; its message is given up");
                end(held, new AcceptedMessage.Notice(false, 0));
                continue;
            }
            double now = openTurn();
            List<Relay.EarlierAttempt> earlier = new ArrayList<>();
            for (AcceptedMessage.Attempt a : held.attempts) {
                double sentAt = Math.min(now, (a.sentNanos - startNanos) / 1e6);
                AttemptId out = new AttemptId(held.number, earlier.size());
                OptionalLong call = outBefore.containsKey(out) ? OptionalLong.of(outBefore.get(out))
                        : OptionalLong.empty();
                call.ifPresent(c -> elsewhere.put(out, held));
                earlier.add(new Relay.EarlierAttempt(endpointNumber(a.endpoint), sentAt, !a.neverRan, call));
            }
            open.put(held.number, held);
            byId.put(held.id, held);
            held.acknowledged = true;
            resumed++;
            trace.step("resumed", held.id, (long) held.timeLeftMs(machine), held.attempts.size());
            relay.messageRestored(now, message(held, messageClass, held.timeLeftMs(machine)), earlier);
        }
        all.stream().filter(held -> !held.finished && !open.containsKey(held.number)).forEach(held ->
                invariants.breached(Invariants.Rule.HELD_TAKEN_UP, held.id, "it is not tried again"));
        Log.write(config.name() + " is ready, with " + resumed + " messages from its journal");
    }

    private void recall(ProcessHandover.HandoverState told) {
        told.ended().forEach(journal::rememberCompleted);
        List<Relay.LearnedEndpointState> known = new ArrayList<>();
        for (Relay.LearnedEndpointState k : told.memory().endpoints()) {
            known.add(k.withEndpointId(endpointNumber(told.endpoints().get(known.size()))));
        }
        relay.restoreLearnedState(openTurn(), new Relay.LearnedState(known, told.memory().firstSendsAgo(),
                told.memory().copiesAgo(), told.memory().retriesAgo()));
    }

    private Relay.Message message(AcceptedMessage held, int messageClass, double leftMs) {
        double left = Math.min(leftMs, config.settings().classes().get(messageClass).deadlineMs());
        return new Relay.Message(held.number, messageClass, Math.max(0, config.tenantNames().indexOf(held.tenant)),
                held.key, left, held.destination);
    }

    // ---- the clock and turns ----

    /** The module's time: one for all events of a turn, which ends when the loop has nothing more at hand. */
    private double openTurn() {
        if (!turnOpen) {
            turnOpen = true;
            clock = now();
            loop.execute(this::endTurn);
        }
        return clock;
    }

    /** Milliseconds since the start. */
    private double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private void endTurn() {
        event(() -> relay.endTurn(clock));
        turnOpen = false;
    }

    /** A fault in one message's handling must not take the others down with the process. */
    private static void fault(RuntimeException e) {
        Log.write("fault in the module: " + e + " at " + List.of(e.getStackTrace()).stream().limit(5).toList());
    }

    private void event(Runnable told) {
        if (handedOver) {
            return;
        }
        try {
            told.run();
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    // ---- what the module asks ----

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        AcceptedMessage held = open.get(message);
        int number = held.attempts.size();
        Optional<Invariants.Rule> breach = guard.violatedRule(held, directory.findDestination(endpoint).orElse(-1));
        if (breach.isPresent()) {
            invariants.breached(breach.get(), held.id, "an attempt at " + directory.id(endpoint) + " is not made");
            held.attempts.add(AcceptedMessage.Attempt.neverSent(directory.id(endpoint), machine));
            loop.execute(() -> attemptEnded(held, number, Relay.Outcome.NOT_SENT, false, 0, Relay.LoadReport.NONE, 0));
            return;
        }
        AcceptedMessage.Attempt attempt = AcceptedMessage.Attempt.sentAgo(directory.id(endpoint), 0, machine);
        try {
            journal.recordAttempt(held, attempt);
        } catch (IOException e) {
            // Unrecorded it could run twice: it is not made.
            loop.execute(() -> attemptEnded(held, number, Relay.Outcome.NOT_SENT, false, 0, Relay.LoadReport.NONE, 0));
            return;
        }
        trace.step("attempt", held.id, number, attempt.endpoint);
        calls.put(new AttemptId(message, number),
                endpoints.startAttempt(held, number, endpoint, timeoutMs, startNanos + (long) (clock * 1e6)));
    }

    @Override
    public void cancel(long message, int attempt) {
        EndpointClient.OutboundAttempt call = calls.get(new AttemptId(message, attempt));
        if (call != null) {
            endpoints.cancel(call);
        } else if (elsewhere.containsKey(new AttemptId(message, attempt))) {
            succession.cancelAttempt(message, attempt);
        }
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        endpoints.closeIdleConnections(endpoint);
    }

    @Override
    public void reject(long message, double waitMs) {
        figures.ended(open.get(message).messageClass, Metrics.Completion.REJECTED);
        end(open.get(message), new AcceptedMessage.Notice(true, waitMs));
    }

    @Override
    public void fail(long message) {
        figures.ended(open.get(message).messageClass, Metrics.Completion.FAILED);
        end(open.get(message), new AcceptedMessage.Notice(false, 0));
    }

    @Override
    public void wakeAt(double time) {
        long nanos = (long) (time * 1e6) - (System.nanoTime() - startNanos);
        loop.schedule(() -> event(() -> relay.wake(openTurn())), Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void log(String text) {
        Log.write(text);
    }

    @Override
    public void saveEndpointHealth(long endpoint, Relay.EndpointHealth health) {
        remember(directory.id(endpoint), Journal.RecordedHealth.ofAge(clock - health.sinceMs(), health.state(),
                health.sustainedPerMs(), machine));
    }

    private void remember(String endpoint, Journal.RecordedHealth health) {
        if (journal != null) {
            journal.recordEndpointHealth(endpoint, health);
        }
    }

    private void end(AcceptedMessage held, AcceptedMessage.Notice notice) {
        if (held.finished) {
            invariants.breached(Invariants.Rule.ONE_END, held.id, "it ends once more, by " + notice);
            return;
        }
        trace.step(notice.bounced() ? "refused" : "failed", held.id, held.attempts.size());
        over(held);
        journal.recordNotice(held, notice);
        notices.enqueue(held);
    }

    // ---- what the module is told ----

    /** The endpoints' side. */
    private final class CallResults implements EndpointClient.CallListener {
        @Override
        public void completed(EndpointClient.OutboundAttempt call, Relay.Outcome outcome, boolean gone, double waitMs,
                Relay.LoadReport report) {
            calls.remove(new AttemptId(call.message.number, call.attemptNumber));
            double took = (System.nanoTime() - call.startedNanos) / 1e6;
            if (handedOver) {
                succession.sendResult(new ProcessHandover.InFlightResult(call.message.number, call.attemptNumber, outcome,
                        gone, waitMs, report, took));
                return;
            }
            attemptEnded(call.message, call.attemptNumber, outcome, gone, waitMs, report, took);
        }

        @Override
        public void retryAfterReceived(long endpoint, double waitMs) {
            if (handedOver) {
                succession.sendRetryAfter(directory.id(endpoint), waitMs);
            } else {
                Sender.this.waitTold(endpoint, waitMs);
            }
        }

        @Override
        public void callWritten(int messages) {
            figures.written(messages);
        }

        /**
         * The module keeps told waits, drains and the windows of keyed messages by the time at which it decides.
         * Where the CPU is scarce, as after a start, or a connect takes long, that may have changed at the write.
         * After a handover what is not written is the other process's to send. Where calls can't be called off, that
         * of a message that is over comes here too.
         */
        @Override
        public boolean sendAllowed(EndpointClient.OutboundAttempt call) {
            Optional<SendGuard.SuppressionReason> reason = handedOver
                    ? Optional.of(SendGuard.SuppressionReason.HANDED_OVER)
                    : guard.suppressionReason(call.message, call.attemptNumber,
                            relay.sendAllowed(now(), call.endpoint()), machine.nanos());
            reason.ifPresent(figures::heldBack);
            trace.step(reason.map(r -> "heldback:" + r).orElse("write"), call.message.id, call.attemptNumber);
            return reason.isEmpty();
        }
    }

    /** A wait runs from when it is told; the turn may have been open for long. */
    private void waitTold(long endpoint, double waitMs) {
        event(() -> relay.retryAfterReceived(openTurn(), endpoint, waitMs + now() - clock));
    }

    private void attemptEnded(AcceptedMessage held, int attempt, Relay.Outcome outcome, boolean gone, double waitMs,
            Relay.LoadReport report, double took) {
        trace.step("ended", held.id, attempt, outcome, (long) took, (long) waitMs);
        if (!held.finished && (gone || outcome == Relay.Outcome.DELIVERED)) {
            over(held);
            if (outcome == Relay.Outcome.DELIVERED) {
                figures.ended(held.messageClass, Metrics.Completion.COMPLETED);
            }
            journal.recordCompleted(held);
        } else if (!held.finished && !outcome.mayHaveRun()) {
            journal.recordNeverRan(held, attempt);
        }
        boolean finished = held.finished;
        event(() -> relay.attemptCompleted(openTurn(), new Relay.AttemptResult(held.number, attempt, outcome, took,
                finished, waitMs, report)));
    }

    private void over(AcceptedMessage held) {
        held.finished = true;
        open.remove(held.number);
        byId.remove(held.id);
    }

    private void heard(AcceptedMessage held) {
        trace.step("heard", held.id);
        journal.recordCompleted(held);
    }

    private void catchUpJournal() {
        if (!handedOver) {
            journal.catchUp();
        }
    }

    /** Discovery's side. */
    private final class EndpointListUpdates implements Discovery.UpdateListener {
        @Override
        public void updateStarted() {
            directory.beginUpdate();
        }

        @Override
        public void entriesRead(List<Discovery.Entry> entries) {
            Sender.this.named(entries);
        }

        @Override
        public void updateCompleted(boolean whole) {
            if (whole) {
                leave();
            }
            forgetGone();
            if (directory.skippedCount() > 0) {
                Log.write("the list names " + directory.skippedCount() + " endpoints beyond the " + MOST_ENDPOINTS
                        + " that the heap has room for; they get nothing");
            }
            listed = true;
            begin();
        }

        @Override
        public void firstRequestEnded() {
            asked = true;
            begin();
        }
    }

    /** Entries bind as they are read; the module is told of them as of changes, since a list may come in portions. */
    private void named(List<Discovery.Entry> entries) {
        List<Relay.Endpoint> list = new ArrayList<>(entries.size());
        long now = System.nanoTime();
        for (Discovery.Entry e : entries) {
            if (e.address().isEmpty() && directory.findNumber(e.id()).isEmpty()) {
                continue;
            }
            directory.findDisplaced(e, now).ifPresent(other -> {
                endpoints.closeIdleConnections(other.number());
                list.add(goneEndpoint(other));
            });
            OptionalLong room = directory.register(e, now);
            if (room.isEmpty()) {
                continue;
            }
            long number = room.getAsLong();
            int kind = Math.max(0, config.kindNames().indexOf(e.kind()));
            e.address().ifPresent(address -> endpoints.updateEndpoint(number, address, e.serving(),
                    config.settings().kinds().get(kind).maxBatchSize()));
            list.add(new Relay.Endpoint(number, e.destination(), kind,
                    Math.max(0, config.zoneNames().indexOf(e.zone())), e.serving(), e.weight(), e.removed()));
        }
        event(() -> relay.endpointsChanged(openTurn(), false, list));
    }

    /** A whole list has ended. Those that it did not name get the rate that they or their destination had. */
    private void leave() {
        List<Relay.Endpoint> left = directory.markUnnamedRemoved(System.nanoTime()).stream()
                .map(Sender::goneEndpoint).toList();
        event(() -> relay.endpointsChanged(openTurn(), false, left));
    }

    private static Relay.Endpoint goneEndpoint(EndpointRegistry.RegisteredEndpoint gone) {
        return new Relay.Endpoint(gone.number(), gone.destination(), 0, 0, false, gone.listedRate(), true);
    }

    /** Later than the module does, lest it name one that is no longer known here. */
    private void forgetGone() {
        for (EndpointRegistry.RegisteredEndpoint gone
                : directory.evictRemoved(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(GONE_MS))) {
            endpoints.removeEndpoint(gone.number());
            if (directory.findNumber(gone.id()).isEmpty()) {
                remember(gone.id(), new Journal.RecordedHealth(Relay.EndpointState.UP, 0, 0));
            }
        }
    }

    private long endpointNumber(String id) {
        return directory.getOrAssignNumber(id, System.nanoTime());
    }

    /** The clients' side. */
    private final class SubmissionService implements ClientServer.SubmissionHandler {
        @Override
        public boolean ready() {
            return ready && !closing || handedOver;
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
            return config.settings().classes().get(config.classNames().indexOf(messageClass)).effect()
                    == Relay.Effect.KEYED;
        }

        @Override
        public boolean knowsDestination(long destination) {
            boolean known = directory.knowsDestination(destination);
            if (!known) {
                figures.refused(Metrics.RejectionReason.UNKNOWN_DESTINATION);
            }
            return known;
        }

        @Override
        public boolean handsOn() {
            return handedOver;
        }

        @Override
        public void handOn(ClientServer.Submission submission, Consumer<HttpResponseStatus> answer) {
            succession.forward(submission, answer);
        }

        @Override
        public void closes(ClientServer.CloseReason reason) {
            figures.closed(reason);
        }

        @Override
        public void leavesUnanswered(ClientServer.CloseReason reason) {
            invariants.breached(Invariants.Rule.REQUEST_ANSWERED, "-", "a request is left by " + reason);
        }

        @Override
        public void turnedAway(String messageClass) {
            figures.ended(messageClass, Metrics.Completion.REJECTED);
        }

        /** What was ended by a notice is not taken on again under its id, nor is it owed anything more. */
        @Override
        public Optional<HttpResponseStatus> answeredBefore(String id) {
            if (byId.containsKey(id)) {
                return Optional.of(HttpResponseStatus.ACCEPTED);
            }
            return journal.deliveredBefore(id).map(delivered ->
                    delivered ? HttpResponseStatus.ACCEPTED : HttpResponseStatus.CONFLICT);
        }

        @Override
        public Optional<AcceptedMessage> take(ClientServer.Submission s) {
            if (!ready || open.size() >= config.maxPendingMessages()) {
                return refuse(s, ready ? Metrics.RejectionReason.NO_ROOM : Metrics.RejectionReason.NOT_READY);
            }
            double mostMs = config.settings().classes().get(config.classNames().indexOf(s.messageClass()))
                    .deadlineMs();
            if (s.budgetMs() < AcceptedMessage.maxUnreadMs(mostMs)) {
                // Its time may be up already: then no end could come in time, where a refusal does no harm.
                return refuse(s, Metrics.RejectionReason.TOO_LITTLE_TIME);
            }
            AcceptedMessage held = AcceptedMessage.fromSubmission(journal.nextNumber(), s, mostMs, machine);
            try {
                journal.recordAccepted(held);
            } catch (Journal.JournalFullException e) {
                return refuse(s, Metrics.RejectionReason.NO_ROOM);
            } catch (IOException e) {
                return refuse(s, Metrics.RejectionReason.JOURNAL);
            }
            open.put(held.number, held);
            byId.put(held.id, held);
            trace.step("taken", held.id, held.messageClass, held.destination, s.budgetMs());
            return Optional.of(held);
        }

        private Optional<AcceptedMessage> refuse(ClientServer.Submission s, Metrics.RejectionReason reason) {
            figures.refused(reason);
            trace.step("turnedaway", s.id(), reason);
            return Optional.empty();
        }

        @Override
        public void answered(AcceptedMessage held, boolean heard) {
            if (held.acknowledged || held.finished || handedOver) {
                return;
            }
            held.acknowledged = heard;
            trace.step(heard ? "answered" : "unheard", held.id);
            if (!heard) {
                // A client that never heard of its being taken is owed nothing, and will come again.
                over(held);
                Sender.this.heard(held);
                return;
            }
            int messageClass = config.classNames().indexOf(held.messageClass);
            event(() -> relay.messageAccepted(openTurn(), message(held, messageClass, held.timeLeftMs(machine))));
        }
    }

    /** The operators' side. */
    private final class OperatorCommands implements OperatorServer.CommandHandler {
        @Override
        public boolean serves() {
            return !closing && (ready || listed && succession.isRegisteredFollower());
        }

        @Override
        public String figures() {
            Relay.EndpointCounts standing = relay.endpointCounts();
            return figures.text(open.size(), standing.listed(), standing.unavailable(),
                    Optional.ofNullable(journal).map(Journal::writeFailures).orElse(0L),
                    Optional.ofNullable(journal).filter(Journal::isBehind).isPresent(), invariants);
        }

        @Override
        public void evacuate(boolean away) {
            Log.write(away ? "operators send the clients away" : "operators take the clients back");
            intake.evacuate(away);
        }
    }

    /** The side of the processes before and after this one. */
    private final class HandoverEvents implements ProcessHandover.Callbacks {
        @Override
        public void becomeLeader(Optional<ProcessHandover.HandoverState> told) throws IOException {
            journal = new Journal(config.stateFolder(), config.diskBytes(), config.settings().maxAttempts(), machine,
                    FileChannel::open);
            journal.onFailure(afterMs -> loop.schedule(Sender.this::catchUpJournal, afterMs, TimeUnit.MILLISECONDS));
            legacy = told;
            if (succession.hasPredecessor()) {
                intake.bound(mostClients / 2);
            }
            begin();
            clientListener.start();
        }

        @Override
        public ProcessHandover.HandoverState handoverState() {
            Relay.LearnedState memory = relay.learnedState(openTurn());
            List<ProcessHandover.InFlightAttempt> out = new ArrayList<>();
            calls.forEach((o, call) ->
                    out.add(new ProcessHandover.InFlightAttempt(o.message(), o.attempt(), call.callId())));
            return new ProcessHandover.HandoverState(journal.completedIds(), out,
                    memory.endpoints().stream().map(known -> directory.id(known.endpoint())).toList(), memory);
        }

        @Override
        public void successorListening() {
            // Not at once: the connections that have come are taken first.
            loop.execute(clientListener::close);
        }

        /** Its client hears the answer from the other process, but it is taken on here. */
        @Override
        public HttpResponseStatus messageForwarded(ClientServer.Submission s) {
            Optional<HttpResponseStatus> before = clients.answeredBefore(s.id());
            if (before.isPresent()) {
                return before.get();
            }
            Optional<AcceptedMessage> taken = clients.knowsDestination(s.destination()) ? clients.take(s)
                    : Optional.empty();
            taken.ifPresentOrElse(held -> clients.answered(held, true), () -> clients.turnedAway(s.messageClass()));
            return taken.isPresent() ? HttpResponseStatus.ACCEPTED : HttpResponseStatus.SERVICE_UNAVAILABLE;
        }

        @Override
        public void predecessorAttemptCompleted(ProcessHandover.InFlightResult end) {
            AcceptedMessage held = elsewhere.remove(new AttemptId(end.message(), end.attempt()));
            if (held != null) {
                attemptEnded(held, end.attempt(), end.outcome(), end.gone(), end.waitMs(), end.report(),
                        end.tookMs());
            }
        }

        @Override
        public void retryAfterForwarded(String endpoint, double waitMs) {
            directory.findNumber(endpoint).ifPresent(n -> Sender.this.waitTold(n, waitMs));
        }

        @Override
        public void attemptCancelled(long message, int attempt) {
            cancel(message, attempt);
        }

        /** What it had out may have run; its journal has been this process's for long. */
        @Override
        public void predecessorGone() {
            Log.write("the process before has left, with " + elsewhere.size() + " attempts out");
            Map<AttemptId, AcceptedMessage> lost = new HashMap<>(elsewhere);
            elsewhere.clear();
            lost.forEach((out, held) -> attemptEnded(held, out.attempt(), Relay.Outcome.BROKEN, false, 0,
                    Relay.LoadReport.NONE, 0));
            intake.bound(mostClients);
        }
    }

    /**
     * Hands all that is held to the process that follows. It decides from here on; this one still waits for the
     * calls that are out, and for requests on the connections that clients have here.
     */
    private void handOver() {
        ProcessHandover.HandoverState told = new HandoverEvents().handoverState();
        handedOver = true;
        closing = true;
        notices.stop();
        journal.handOver();
        succession.handOver(told);
        intake.handOver();
        endpoints.closeAllIdleConnections();
        Log.write(config.name() + " has handed over " + open.size() + " messages, " + told.out().size()
                + " attempts out");
        open.clear();
        byId.clear();
    }

    // ---- the end ----

    /**
     * Ends in order, within the time before SIGKILL: takes messages while new connections still come, starts
     * no call that can't end in time, and lets calls and notices out finish. The journal holds the rest.
     */
    void drain() {
        long begun = System.nanoTime();
        loop.execute(() -> {
            if (succession != null && succession.hasFollower()) {
                handOver();
                awaitIdle(begun);
                return;
            }
            closing = true;
            if (journal == null) {
                // It only followed: nothing is held here.
                stopped.countDown();
                return;
            }
            event(() -> relay.shutdownScheduled(openTurn(), clock + closingMs));
            loop.schedule(() -> {
                clientListener.close();
                intake.close();
                awaitIdle(begun);
            }, takingMs, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle(long begun) {
        boolean idle = open.isEmpty() && notices.pendingCount() == 0 && intake.clients() == 0
                && (!handedOver || calls.isEmpty());
        if (idle || System.nanoTime() - begun >= TimeUnit.MILLISECONDS.toNanos(closingMs)) {
            Log.write(config.name() + " ends; " + (handedOver ? calls.size() + " attempts are out"
                    : "its journal holds " + open.size() + " messages and " + notices.pendingCount() + " notices"));
            intake.shut();
            awaitClientsGone(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PARTING_MS));
            return;
        }
        loop.schedule(() -> awaitIdle(begun), DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
    }

    private void awaitClientsGone(long untilNanos) {
        if (intake.clients() == 0 || System.nanoTime() >= untilNanos) {
            stopped.countDown();
        } else {
            loop.schedule(() -> awaitClientsGone(untilNanos), DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Lets go of everything at once, as the end of the process would: the journal first. */
    void kill() {
        loop.submit(() -> {
            succession.close();
            operatorListener.ifPresent(RetryingListener::close);
            clientListener.close();
            if (journal != null) {
                journal.close();
            }
        }).syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
