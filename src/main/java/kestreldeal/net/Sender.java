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
 * One sender process. It connects the decision module ({@link Relay}) to the network, the journal and the clock:
 * it passes events to the module and carries out the actions that the module asks for, but decides nothing itself.
 * The decision module knows messages and endpoints by number; this class maps the numbers to their ids. All state
 * is confined to the thread of the event loop, so nothing here is locked.
 */
public final class Sender implements Relay.Actions {
    /** Descriptors for the JVM itself (about 30), the journal, the agent and the operators' connections. */
    private static final int OTHER_SOCKETS = 48 + OperatorServer.MOST;
    /**
     * Share of the remaining descriptors for client connections; the others are for calls to endpoints. Clients may
     * use a third of all descriptors for requests.
     */
    private static final double CLIENT_SHARE = 0.5;
    /** Time from SIGTERM during which new client connections may still arrive and are accepted. */
    static final long TAKING_MS = 450;
    /** Time limit for calls in flight, counted from SIGTERM; SIGKILL may come after 3.7 s. */
    static final long CLOSING_MS = 3300;
    private static final long DRAIN_POLL_MS = 20;
    /** How long clients may take after that to notice the end of their connections and to close them. */
    private static final long PARTING_MS = 200;
    /**
     * Interval between checks for messages past their deadline, and the grace period after the deadline before one is
     * reported.
     */
    private static final long OVERDUE_LOOK_MS = 1000;
    private static final double OVERDUE_AFTER_MS = 1000;
    /** How long an endpoint is remembered after its removal from the list; no call lasts longer. */
    private static final long GONE_MS = 60_000;

    /** Share of the heap for listed endpoints; the rest is for messages, buffers and reading the journal. */
    private static final double LIST_SHARE = 0.6;
    /**
     * Heap that one listed endpoint takes in all parts of the sender, at 1.6 endpoints per destination. Live bytes
     * per endpoint after a full garbage collection: 1,157 between 1,000 and 20,000 listed endpoints, 1,131 between
     * 1,000 and 25,000.
     */
    private static final int ENDPOINT_BYTES = 1160;
    /** Limit on the endpoints that are known at once; more could exhaust the heap. */
    private static final int MOST_ENDPOINTS =
            (int) Math.min(Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() * LIST_SHARE / ENDPOINT_BYTES);

    private final MachineClock machine;
    private final Config config;
    /** Whether another process may connect to this one to take over from it. */
    private final boolean links;
    private final long takingMs;
    private final long closingMs;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final EndpointRegistry directory = new EndpointRegistry(MOST_ENDPOINTS);
    /** Accepted messages that are not finished, by the number that the decision module uses. */
    private final Map<Long, AcceptedMessage> open = new HashMap<>();
    /** The same messages by the id that the client gave them. */
    private final Map<String, AcceptedMessage> byId = new HashMap<>();
    /** Calls of the attempts in flight. */
    private final Map<AttemptId, EndpointClient.Call> calls = new HashMap<>();
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
    /** Empty if the configuration has no address for operators. */
    private Optional<RetryingListener> operatorListener = Optional.empty();
    private boolean turnOpen;
    private double clock;
    private boolean closing;
    private int mostClients;
    /** Whether an endpoint list is known and the journal has been replayed. */
    private boolean ready;
    /** Whether an endpoint list has been read, from the configuration or from the agent. */
    private boolean listed;
    /** Whether the agent has been asked for the list and has either answered or timed out. */
    private boolean asked;
    private ProcessHandover succession;
    /** State received from the previous process; kept until the journal is replayed. */
    private Optional<ProcessHandover.HandoverState> legacy = Optional.empty();
    /** Attempts that the previous process made and still awaits. */
    private final Map<AttemptId, AcceptedMessage> elsewhere = new HashMap<>();
    /** Whether another process has taken over; from then on this one decides nothing. */
    private boolean handedOver;
    private final SubmissionService clients = new SubmissionService();

    private record AttemptId(long message, int attempt) {
    }

    Sender(Config config, boolean links, long takingMs, long closingMs) {
        this(config, links, takingMs, closingMs, MachineClock.system());
    }

    /** Creates a sender with other clocks; the monotonic one must agree with {@link System#nanoTime}. */
    Sender(Config config, boolean links, long takingMs, long closingMs, MachineClock machine) {
        this.machine = machine;
        this.config = config;
        this.links = links;
        this.takingMs = takingMs;
        this.closingMs = closingMs;
        this.relay = Relay.create(config.settings(), config.seed(), this);
        this.figures = new Metrics(config.classes());
        this.guard = new SendGuard(config.settings(), config.classes());
    }

    /**
     * Runs a sender until a signal stops it; returns the exit code of the process. With {@code links} false no other
     * process can take over while this one runs.
     */
    public static int serve(Map<String, String> env, boolean links) {
        try {
            Sender sender = new Sender(Config.read(env), links, TAKING_MS, CLOSING_MS);
            sender.trace = Trace.of(env);
            SighupHandler.handle(() -> sender.reload(env));
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
     * Starts to lead, or to follow the process that leads. Does not wait for resources that are not available yet: each
     * is retried in the background.
     */
    private void launch() {
        loop.submit(this::open).syncUninterruptibly();
    }

    /**
     * Starts as {@link #launch} does. If this process leads, waits until clients can connect and returns the address
     * bound; otherwise returns the configured address.
     */
    InetSocketAddress start() {
        launch();
        return journal == null ? config.listen() : clientListener.bound().join();
    }

    /** Waits until operators can connect, and returns the address. */
    InetSocketAddress operators() {
        return operatorListener.orElseThrow().bound().join();
    }

    private void open() {
        if (closing) {
            // SIGTERM came before the start.
            return;
        }
        int sockets = Math.max(config.sockets() - OTHER_SOCKETS, 64);
        mostClients = (int) (sockets * CLIENT_SHARE);
        // Twice the slots: the connection of an abandoned call lingers while its slot is already in use again.
        int mostIdle = Math.max(1, sockets - mostClients - 2 * config.settings().slots());
        endpoints = new EndpointClient(loop, config.dialMs(), config.settings().keepAliveMs(), mostIdle,
                new CallResults(), NioSocketChannel::new, machine);
        agentAddress = config.discovery();
        notices = new NoticeClient(loop, new AgentClient(loop, agentAddress), this::heard);
        intake = new ClientServer(loop, mostClients, clients);
        ops = new OperatorServer(loop, new OperatorCommands());
        discovery = new Discovery(loop, new AgentClient(loop, agentAddress), new EndpointListUpdates());
        succession = new ProcessHandover(loop, config.state(), links, new HandoverEvents());
        clientListener = new RetryingListener(loop, "clients", () -> intake.listen(config.listen()));
        clientListener.bound().thenAccept(address -> {
            Log.write(config.name() + " listens at " + EndpointClient.hostPort(address));
            succession.listens();
        });
        operatorListener = config.ops()
                .map(address -> new RetryingListener(loop, "operators", () -> ops.listen(address)));
        succession.start();
        discovery.start(config.file());
        operatorListener.ifPresent(RetryingListener::start);
        loop.scheduleWithFixedDelay(this::lookForOverdue, OVERDUE_LOOK_MS, OVERDUE_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Reports each message without a final result past its deadline: every accepted message must finish in time. */
    private void lookForOverdue() {
        for (AcceptedMessage held : open.values()) {
            if (held.told && !held.overdue && held.leftMs(machine) < -OVERDUE_AFTER_MS) {
                held.overdue = true;
                invariants.breached(Invariants.Rule.END_IN_TIME, held.id, held.attempts.size()
                        + " attempts, no final result " + (long) -held.leftMs(machine) + " ms after the deadline");
            }
        }
    }

    /**
     * Restores the messages of the journal as soon as this process leads and has an endpoint list. The agent's list is
     * preferred if the agent answers: a process must respect the agent's current list from its start, and the list in
     * the configuration may be outdated.
     */
    private void begin() {
        if (ready || journal == null || !listed || !asked) {
            return;
        }
        ready = true;
        event(this::replay);
    }

    /**
     * Reads the configuration again, on the caller's thread because reading a file may block. Only the address of
     * discovery changes; all other settings stay as they were when the process started. If the file can't be read or
     * has no address, the current address stays in use.
     */
    void reload(Map<String, String> env) {
        try {
            InetSocketAddress address = Config.read(env).discovery();
            loop.execute(() -> moveTo(address));
        } catch (InvalidInputException | IOException e) {
            Log.write("can't reload the configuration; keeping the current one: " + e.getMessage());
        }
    }

    private void moveTo(InetSocketAddress address) {
        Log.write("configuration reloaded; the discovery address is " + EndpointClient.hostPort(address));
        if (!address.equals(agentAddress)) {
            agentAddress = address;
            discovery.moveTo(new AgentClient(loop, address));
            notices.moveTo(new AgentClient(loop, address));
        }
    }

    /**
     * Restores the state of the previous process: passes its unfinished messages with their attempts to the decision
     * module, and sends its pending notices again. This must wait for an endpoint list, without which the module could
     * only fail all of these messages.
     */
    private void replay() {
        int resumed = 0;
        Collection<AcceptedMessage> all = journal.held();
        legacy.ifPresent(this::recall);
        Map<AttemptId, Long> outBefore = new HashMap<>();
        legacy.filter(l -> succession.hasPredecessor()).ifPresent(l ->
                l.out().forEach(o -> outBefore.put(new AttemptId(o.message(), o.attempt()), o.call())));
        legacy = Optional.empty();
        journal.health().forEach((id, health) -> {
            double now = openTurn();
            double since = now - health.ageMs(machine);
            relay.restoreEndpointHealth(now, endpointNumber(id),
                    new Relay.EndpointHealth(health.state(), since, health.carriedPerMs()));
        });
        for (AcceptedMessage held : all) {
            int messageClass = config.classes().indexOf(held.messageClass);
            if (held.over) {
                trace.step("owed", held.id);
                notices.owe(held);
                continue;
            }
            if (messageClass < 0) {
                Log.write("message class " + held.messageClass + " is no longer configured; a restored message fails");
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
            held.told = true;
            resumed++;
            trace.step("resumed", held.id, (long) held.leftMs(machine), held.attempts.size());
            relay.messageRestored(now, message(held, messageClass, held.leftMs(machine)), earlier);
        }
        all.stream().filter(held -> !held.over && !open.containsKey(held.number)).forEach(held ->
                invariants.breached(Invariants.Rule.HELD_TAKEN_UP, held.id, "not restored from the journal"));
        Log.write(config.name() + " is ready; restored " + resumed + " messages from its journal");
    }

    private void recall(ProcessHandover.HandoverState told) {
        told.ended().forEach(journal::markEnded);
        List<Relay.LearnedEndpointState> known = new ArrayList<>();
        for (Relay.LearnedEndpointState k : told.memory().endpoints()) {
            known.add(k.withEndpointId(endpointNumber(told.endpoints().get(known.size()))));
        }
        relay.restoreLearnedState(openTurn(), new Relay.LearnedState(known, told.memory().firstSendsAgo(),
                told.memory().copiesAgo(), told.memory().retriesAgo()));
    }

    private Relay.Message message(AcceptedMessage held, int messageClass, double leftMs) {
        double left = Math.min(leftMs, config.settings().classes().get(messageClass).deadlineMs());
        return new Relay.Message(held.number, messageClass, Math.max(0, config.tenants().indexOf(held.tenant)),
                held.key, left, held.destination);
    }

    // ---- the clock and turns ----

    /**
     * The time to pass to the decision module. All events of a turn share one time; the turn opens with its first event
     * and ends when the event loop has run the tasks that were queued before.
     */
    private double openTurn() {
        if (!turnOpen) {
            turnOpen = true;
            clock = now();
            loop.execute(this::endTurn);
        }
        return clock;
    }

    /** Milliseconds since the start of this process. */
    private double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private void endTurn() {
        event(() -> relay.endTurn(clock));
        turnOpen = false;
    }

    /** Logs an internal error. An error in handling one message must not end the process and with it all others. */
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

    // ---- actions that the decision module asks for ----

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        AcceptedMessage held = open.get(message);
        int number = held.attempts.size();
        Optional<Invariants.Rule> breach = guard.breach(held, directory.destination(endpoint).orElse(-1));
        if (breach.isPresent()) {
            invariants.breached(breach.get(), held.id, "an attempt at " + directory.id(endpoint) + " was prevented");
            held.attempts.add(AcceptedMessage.Attempt.neverMade(directory.id(endpoint), machine));
            loop.execute(() -> attemptEnded(held, number, Relay.Outcome.NOT_SENT, false, 0, Relay.LoadReport.NONE, 0));
            return;
        }
        AcceptedMessage.Attempt attempt = AcceptedMessage.Attempt.sentAgo(directory.id(endpoint), 0, machine);
        try {
            journal.attempt(held, attempt);
        } catch (IOException e) {
            // Without a record in the journal the message could run twice after a restart, so the attempt is not made.
            loop.execute(() -> attemptEnded(held, number, Relay.Outcome.NOT_SENT, false, 0, Relay.LoadReport.NONE, 0));
            return;
        }
        trace.step("attempt", held.id, number, attempt.endpoint);
        calls.put(new AttemptId(message, number),
                endpoints.call(held, number, endpoint, timeoutMs, startNanos + (long) (clock * 1e6)));
    }

    @Override
    public void cancel(long message, int attempt) {
        EndpointClient.Call call = calls.get(new AttemptId(message, attempt));
        if (call != null) {
            endpoints.cancel(call);
        } else if (elsewhere.containsKey(new AttemptId(message, attempt))) {
            succession.callOff(message, attempt);
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
        remember(directory.id(endpoint), Journal.Health.since(clock - health.sinceMs(), health.state(),
                health.sustainedPerMs(), machine));
    }

    private void remember(String endpoint, Journal.Health health) {
        if (journal != null) {
            journal.health(endpoint, health);
        }
    }

    private void end(AcceptedMessage held, AcceptedMessage.Notice notice) {
        if (held.over) {
            invariants.breached(Invariants.Rule.ONE_END, held.id, "a second final result: " + notice);
            return;
        }
        trace.step(notice.bounced() ? "refused" : "failed", held.id, held.attempts.size());
        over(held);
        journal.owed(held, notice);
        notices.owe(held);
    }

    // ---- events for the decision module ----

    /** Passes results of calls to the decision module, or to the next process after a handover. */
    private final class CallResults implements EndpointClient.CallListener {
        @Override
        public void ended(EndpointClient.Call call, Relay.Outcome outcome, boolean gone, double waitMs,
                Relay.LoadReport report) {
            calls.remove(new AttemptId(call.held.number, call.attempt));
            double took = (System.nanoTime() - call.startedNanos) / 1e6;
            if (handedOver) {
                succession.tellEnd(new ProcessHandover.InFlightResult(call.held.number, call.attempt, outcome, gone,
                        waitMs, report, took));
                return;
            }
            attemptEnded(call.held, call.attempt, outcome, gone, waitMs, report, took);
        }

        @Override
        public void waitTold(long endpoint, double waitMs) {
            if (handedOver) {
                succession.tellWait(directory.id(endpoint), waitMs);
            } else {
                Sender.this.waitTold(endpoint, waitMs);
            }
        }

        @Override
        public void written(int messages) {
            figures.written(messages);
        }

        /**
         * The decision module respects Retry-After waits, draining endpoints and the deduplication windows of keyed
         * messages as of the time of its decision. They may change before the call is written if CPU time is scarce, as
         * after a start, or if connecting takes long. After a handover, calls that are not yet written are for the next
         * process to make. If calls can't be cancelled, the call of a finished message gets here as well.
         */
        @Override
        public boolean mayStillGo(EndpointClient.Call call) {
            Optional<SendGuard.SuppressionReason> reason = handedOver
                    ? Optional.of(SendGuard.SuppressionReason.HANDED_OVER)
                    : guard.heldBack(call.held, call.attempt, relay.sendAllowed(now(), call.endpoint()),
                            machine.nanos());
            reason.ifPresent(figures::heldBack);
            trace.step(reason.map(r -> "heldback:" + r).orElse("write"), call.held.id, call.attempt);
            return reason.isEmpty();
        }
    }

    /** The wait counts from now, but the turn's time may be older, so the difference is added. */
    private void waitTold(long endpoint, double waitMs) {
        event(() -> relay.retryAfterReceived(openTurn(), endpoint, waitMs + now() - clock));
    }

    private void attemptEnded(AcceptedMessage held, int attempt, Relay.Outcome outcome, boolean gone, double waitMs,
            Relay.LoadReport report, double took) {
        trace.step("ended", held.id, attempt, outcome, (long) took, (long) waitMs);
        if (!held.over && (gone || outcome == Relay.Outcome.DELIVERED)) {
            over(held);
            if (outcome == Relay.Outcome.DELIVERED) {
                figures.ended(held.messageClass, Metrics.Completion.COMPLETED);
            }
            journal.ended(held);
        } else if (!held.over && !outcome.mayHaveRun()) {
            journal.neverRan(held, attempt);
        }
        boolean finished = held.over;
        event(() -> relay.attemptCompleted(openTurn(), new Relay.AttemptResult(held.number, attempt, outcome, took,
                finished, waitMs, report)));
    }

    private void over(AcceptedMessage held) {
        held.over = true;
        open.remove(held.number);
        byId.remove(held.id);
    }

    private void heard(AcceptedMessage held) {
        trace.step("heard", held.id);
        journal.ended(held);
    }

    private void catchUpJournal() {
        if (!handedOver) {
            journal.catchUp();
        }
    }

    /** Applies the endpoint lists that discovery reads. */
    private final class EndpointListUpdates implements Discovery.UpdateListener {
        @Override
        public void begins() {
            directory.begin();
        }

        @Override
        public void named(List<Discovery.Entry> entries) {
            Sender.this.named(entries);
        }

        @Override
        public void ends(boolean whole) {
            if (whole) {
                leave();
            }
            forgetGone();
            if (directory.passedOver() > 0) {
                Log.write("the endpoint list is too long: ignoring " + directory.passedOver()
                        + " endpoints beyond the " + MOST_ENDPOINTS + " that fit into the heap");
            }
            listed = true;
            begin();
        }

        @Override
        public void asked() {
            asked = true;
            begin();
        }
    }

    /**
     * Applies entries as soon as they are read. They are passed to the decision module as changes rather than as a full
     * list, since a list may arrive in portions.
     */
    private void named(List<Discovery.Entry> entries) {
        List<Relay.Endpoint> list = new ArrayList<>(entries.size());
        long now = System.nanoTime();
        for (Discovery.Entry e : entries) {
            if (e.address().isEmpty() && directory.known(e.id()).isEmpty()) {
                continue;
            }
            directory.displaced(e, now).ifPresent(other -> {
                endpoints.closeIdleConnections(other.number());
                list.add(goneEndpoint(other));
            });
            OptionalLong room = directory.name(e, now);
            if (room.isEmpty()) {
                continue;
            }
            long number = room.getAsLong();
            int kind = Math.max(0, config.kinds().indexOf(e.kind()));
            e.address().ifPresent(address -> endpoints.at(number, address, e.serving(),
                    config.settings().kinds().get(kind).maxBatchSize()));
            list.add(new Relay.Endpoint(number, e.destination(), kind,
                    Math.max(0, config.zones().indexOf(e.zone())), e.serving(), e.weight(), e.gone()));
        }
        event(() -> relay.endpointsChanged(openTurn(), false, list));
    }

    /**
     * Removes the endpoints that a full list did not name, once it has been read. Each is reported with the rate that
     * the list gave last for an endpoint of its destination.
     */
    private void leave() {
        List<Relay.Endpoint> left = directory.leave(System.nanoTime()).stream().map(Sender::goneEndpoint).toList();
        event(() -> relay.endpointsChanged(openTurn(), false, left));
    }

    private static Relay.Endpoint goneEndpoint(EndpointRegistry.RegisteredEndpoint gone) {
        return new Relay.Endpoint(gone.number(), gone.destination(), 0, 0, false, gone.rate(), true);
    }

    /** Forgets removed endpoints, later than the decision module does, which must not name one unknown here. */
    private void forgetGone() {
        for (EndpointRegistry.RegisteredEndpoint gone
                : directory.forget(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(GONE_MS))) {
            endpoints.forget(gone.number());
            if (directory.known(gone.id()).isEmpty()) {
                remember(gone.id(), new Journal.Health(Relay.EndpointState.UP, 0, 0));
            }
        }
    }

    private long endpointNumber(String id) {
        return directory.number(id, System.nanoTime());
    }

    /** Accepts or rejects what clients submit. */
    private final class SubmissionService implements ClientServer.SubmissionHandler {
        @Override
        public boolean ready() {
            return ready && !closing || handedOver;
        }

        @Override
        public boolean knowsClass(String name) {
            return config.classes().contains(name);
        }

        @Override
        public boolean knowsTenant(String name) {
            return config.tenants().isEmpty() || config.tenants().contains(name);
        }

        @Override
        public boolean needsKey(String messageClass) {
            return config.settings().classes().get(config.classes().indexOf(messageClass)).effect()
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
            succession.handOn(submission, answer);
        }

        @Override
        public void closes(ClientServer.CloseReason reason) {
            figures.closed(reason);
        }

        @Override
        public void leavesUnanswered(ClientServer.CloseReason reason) {
            invariants.breached(Invariants.Rule.REQUEST_ANSWERED, "-", "a request got no answer; closed by " + reason);
        }

        @Override
        public void turnedAway(String messageClass) {
            figures.ended(messageClass, Metrics.Completion.REJECTED);
        }

        /** A message that ended with a notice is not accepted again under its id, and needs no further notice. */
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
            if (!ready || open.size() >= config.maxOpen()) {
                return refuse(s, ready ? Metrics.RejectionReason.NO_ROOM : Metrics.RejectionReason.NOT_READY);
            }
            double mostMs = config.settings().classes().get(config.classes().indexOf(s.messageClass()))
                    .deadlineMs();
            if (s.budgetMs() < AcceptedMessage.unreadMs(mostMs)) {
                // The deadline may have passed already, and a result would be too late; a rejection does no harm.
                return refuse(s, Metrics.RejectionReason.TOO_LITTLE_TIME);
            }
            AcceptedMessage held = AcceptedMessage.taken(journal.nextNumber(), s, mostMs, machine);
            try {
                journal.taken(held);
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
            if (held.told || held.over || handedOver) {
                return;
            }
            held.told = heard;
            trace.step(heard ? "answered" : "unheard", held.id);
            if (!heard) {
                // The client did not get the answer: it submits the message again, and this one needs no result.
                over(held);
                Sender.this.heard(held);
                return;
            }
            int messageClass = config.classes().indexOf(held.messageClass);
            event(() -> relay.messageAccepted(openTurn(), message(held, messageClass, held.leftMs(machine))));
        }
    }

    /** Carries out the operators' commands. */
    private final class OperatorCommands implements OperatorServer.CommandHandler {
        @Override
        public boolean serves() {
            return !closing && (ready || listed && succession.follows());
        }

        @Override
        public String figures() {
            Relay.EndpointCounts standing = relay.endpointCounts();
            return figures.text(open.size(), standing.listed(), standing.unavailable(),
                    Optional.ofNullable(journal).map(Journal::failures).orElse(0L),
                    Optional.ofNullable(journal).filter(Journal::isBehind).isPresent(), invariants);
        }

        @Override
        public void evacuate(boolean away) {
            Log.write(away ? "operator command: evacuating clients" : "operator command: accepting clients again");
            intake.evacuate(away);
        }
    }

    /** Reacts to the process before and the process after this one. */
    private final class HandoverEvents implements ProcessHandover.Callbacks {
        @Override
        public void lead(Optional<ProcessHandover.HandoverState> told) throws IOException {
            journal = new Journal(config.state(), config.diskBytes(), config.settings().maxAttempts(), machine,
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
        public ProcessHandover.HandoverState legacy() {
            Relay.LearnedState memory = relay.learnedState(openTurn());
            List<ProcessHandover.InFlightAttempt> out = new ArrayList<>();
            calls.forEach((o, call) ->
                    out.add(new ProcessHandover.InFlightAttempt(o.message(), o.attempt(), call.post())));
            return new ProcessHandover.HandoverState(journal.over(), out,
                    memory.endpoints().stream().map(known -> directory.id(known.endpoint())).toList(), memory);
        }

        @Override
        public void relieved() {
            // Deferred, so that connections already waiting are accepted first.
            loop.execute(clientListener::close);
        }

        /** Accepts a message that a client submitted to the previous process, which passes on the answer. */
        @Override
        public HttpResponseStatus handedIn(ClientServer.Submission s) {
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
        public void ended(ProcessHandover.InFlightResult end) {
            AcceptedMessage held = elsewhere.remove(new AttemptId(end.message(), end.attempt()));
            if (held != null) {
                attemptEnded(held, end.attempt(), end.outcome(), end.gone(), end.waitMs(), end.report(),
                        end.tookMs());
            }
        }

        @Override
        public void waitTold(String endpoint, double waitMs) {
            directory.known(endpoint).ifPresent(n -> Sender.this.waitTold(n, waitMs));
        }

        @Override
        public void calledOff(long message, int attempt) {
            cancel(message, attempt);
        }

        /** The attempts that the previous process had in flight may have run; its journal was taken over before. */
        @Override
        public void left() {
            Log.write("the previous process has exited; " + elsewhere.size() + " attempts were in flight");
            Map<AttemptId, AcceptedMessage> lost = new HashMap<>(elsewhere);
            elsewhere.clear();
            lost.forEach((out, held) -> attemptEnded(held, out.attempt(), Relay.Outcome.BROKEN, false, 0,
                    Relay.LoadReport.NONE, 0));
            intake.bound(mostClients);
        }
    }

    /**
     * Hands all messages over to the process that follows, which makes the decisions from here on. This process still
     * awaits the results of its calls in flight, and forwards the requests on its remaining client connections.
     */
    private void handOver() {
        ProcessHandover.HandoverState told = new HandoverEvents().legacy();
        handedOver = true;
        closing = true;
        notices.stop();
        journal.handOver();
        succession.handOver(told);
        intake.handOver();
        endpoints.closeIdle();
        Log.write(config.name() + " has handed over " + open.size() + " messages to the next process, with "
                + told.out().size() + " attempts in flight");
        open.clear();
        byId.clear();
    }

    // ---- shutdown ----

    /**
     * Shuts down gracefully within the time before SIGKILL: accepts messages while new connections may still arrive,
     * starts no call that can't finish in time, and waits for calls and notices in flight. The journal keeps the rest.
     * If another process follows, everything is handed over to it instead.
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
                // This process never led, so it has no messages.
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
        boolean idle = open.isEmpty() && notices.owed() == 0 && intake.clients() == 0
                && (!handedOver || calls.isEmpty());
        if (idle || System.nanoTime() - begun >= TimeUnit.MILLISECONDS.toNanos(closingMs)) {
            Log.write(config.name() + " is stopping; " + (handedOver ? calls.size() + " attempts are in flight"
                    : "its journal keeps " + open.size() + " messages and " + notices.owed() + " notices"));
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

    /** Releases everything at once, as if the process were killed; for tests. */
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
