package kestreldeal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import kestreldeal.GroupedQueues.Group;
import kestreldeal.Timers.Timer;

/**
 * Decides when and to which endpoint each message is sent, and when it is sent again, rejected or failed. Its
 * interface, with all types, events and actions, is {@link Relay}.
 *
 * <p>A message waits in a group with those of equal destination, class, segment and zone until {@link
 * #endTurn}. There the groups whose send conditions are met are served in the order of their first messages'
 * priority, and each message goes to the cheapest endpoint for which {@link #canSend} holds; blocked groups
 * cost no time. The send starts a round of attempts. After a delay a hedged attempt joins it if the {@link
 * SendBudget} allows it. The first delivery wins and the other attempts are cancelled; if all have ended and
 * the message may be sent again, it waits for a new round. {@link #finishUndelivered} rejects or fails it.
 *
 * <p>{@link TrackedMessage} is a message with its attempts, {@link Call} a request on the wire that may carry
 * several attempts, {@link RateLimiter} the rate limit of a destination, or of one endpoint where these are
 * separate routes, and {@link TrackedEndpoint} an endpoint with its health. Times are in milliseconds, and
 * rates are per millisecond.
 */
final class DeliveryScheduler implements Relay {
    // Rounds of attempts.
    /** Delay before a hedged attempt, as a share of the target latency. */
    private static final double HEDGE_DELAY_SHARE = 0.5;
    /** Hedged attempts allowed in any SendBudget.PERIOD_MS: this number, plus a share of its first sends. */
    private static final double HEDGES_ALWAYS_ALLOWED = 1;
    private static final double HEDGES_PER_FIRST_SEND = 0.1;
    /** The same for new rounds of messages whose last attempt was refused. */
    private static final double RETRIES_ALWAYS_ALLOWED = 2;
    private static final double RETRIES_PER_FIRST_SEND = 0.3;
    /** Backoff after the first round: without it fast errors or many senders would use up all attempts. */
    private static final double BACKOFF_MS = 200;
    private static final double BACKOFF_FACTOR = 3;
    /** A keyed message is repeated only until this long before its window ends, to allow for transit time. */
    private static final double DEDUP_WINDOW_MARGIN_MS = 300;

    // Timeouts: a multiple of the target latency, or the slowest likely latency if longer.
    private static final double TIMEOUT_TARGET_FACTOR = 1.25;
    /** Minimum timeout of an unsafe message, as a share of its deadline: it can't be sent again later. */
    private static final double UNSAFE_TIMEOUT_SHARE = 0.33;

    /** A call is not cancelled to free its slot before it has been in flight this long. */
    private static final double MIN_CANCEL_AGE_MS = 200;

    // Send rate limits.
    /** A refusal cuts the allowed rate to this share of it, or of the last second's sends if unlimited. */
    private static final double RATE_CUT_FACTOR = 0.7;
    /** A cut starts from at most this multiple of the recent send rate: an unused limit only grows. */
    private static final double MAX_RATE_OVER_SENT = 1.3;
    /** Growth of the allowed rate with each delivery, if answers don't report the share of the limit left. */
    private static final double RATE_GROWTH_PER_DELIVERY = 0.05;
    /** If they do, growth is SHARE_LEFT_GAIN * (share - target), at low rates times up to the factor. */
    private static final double TARGET_SHARE_LEFT = 0.5;
    private static final double SHARE_LEFT_GAIN = 0.6;
    private static final double MAX_SHARE_LEFT_GAIN_FACTOR = 3;
    /**
     * Longest interval between sends after a refusal, so that rare messages don't wait long, and its growth
     * with further ones. Not used if a rate is known: a hundred senders at this interval may exceed it.
     */
    private static final double MAX_SEND_INTERVAL_MS = 500;
    private static final double SEND_INTERVAL_GROWTH = 3;
    private static final int MAX_REFUSAL_LEVEL = 4;
    /** Lowest allowed rate, as a share of the rate of messages that this sender accepts for a destination. */
    private static final double MIN_RATE_DEMAND_SHARE = 0.2;
    /** Lowest rate, as a part of the sender's fair share of the listed rate, which may be 50% too high. */
    private static final double MIN_LISTED_RATE_SHARE = 0.5;
    /**
     * Lowest rate, as a part of the fair share of the reported rate, divided further with each refusal, as
     * other senders may use more. Without it a rate that a burst has cut stays low: only deliveries raise it.
     */
    private static final double MIN_REPORTED_RATE_SHARE = 0.9;
    /** Weight of a new report in the average reported rate, and the largest factor by which it may differ. */
    private static final double REPORTED_RATE_WEIGHT = 0.2;
    private static final double REPORTED_RATE_MAX_RATIO = 2;
    /** After this time without a send the allowed rate is unlimited again. */
    private static final double RATE_RESET_IDLE_MS = 60_000;

    /** Added to Retry-After waits, and tolerated in wakes, because clocks are rounded. */
    private static final double CLOCK_MARGIN_MS = 1;

    // Health.
    /** Weights of failures in the failure score, 0 to 1, and the factor on the score at a delivery. */
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double DELIVERY_FACTOR = 0.6;
    /** Score from which an endpoint counts as down: five failures in a row, or one failed connect. */
    private static final double DOWN_SCORE = 0.6;
    /** Number of overdue calls, without a delivery since they were sent, that mark an endpoint as down. */
    private static final int DOWN_OVERDUE_CALLS = 2;
    /** This many failures or refusals in a row, over at least MIN_OUTAGE_MS, mark an endpoint as down. */
    private static final int DOWN_FAILURES = 3;
    private static final double MIN_OUTAGE_MS = 2500;
    /** Shortest interval between probes of a down endpoint; the longest is this times the sender count. */
    private static final double MIN_PROBE_INTERVAL_MS = 500;
    /** Upper limit of that longest interval, in ramp-up times of the slow start. */
    private static final double MAX_PROBE_INTERVAL_RAMP_UPS = 4;
    /** Share of the load permitted to a recovering endpoint that slow start uses; the rest is for bursts. */
    private static final double SLOW_START_LOAD_SHARE = 0.7;
    /** Averaging of the rates of sends and deliveries, and of the demand. */
    private static final EventRate.Averaging RATE_AVERAGING = new EventRate.Averaging(10_000, 2000);
    /** Share of the demand for a destination that it is assumed to sustain while no higher rate is known. */
    private static final double ASSUMED_DEMAND_SHARE = 0.7;

    // Priorities.
    /** Latency in which a message loses as much value as a zone fee of one point costs. */
    private static final double LATENCY_MS_PER_FEE_POINT = 25_000;
    private static final Comparator<TrackedMessage> OLDEST_FIRST = Comparator
            .comparingDouble((TrackedMessage d) -> d.targetAt).thenComparingLong(d -> d.queuePosition);
    private static final Comparator<TrackedMessage> NEWEST_FIRST = Comparator
            .comparingDouble((TrackedMessage d) -> -d.targetAt).thenComparingLong(d -> d.queuePosition);
    private static final Comparator<TrackedMessage> HIGHEST_PRIORITY_FIRST =
            Comparator.comparingDouble((TrackedMessage d) -> -d.priority()).thenComparing(OLDEST_FIRST);
    /** Eligibility levels of a group: it may need a new call, or can join a call that this turn started. */
    private static final int ELIGIBLE = 1;
    private static final int JOINABLE = 2;
    /** The allowed zone of a message that may go to any zone, and of one that may go to none. */
    private static final long ANY_ZONE = Long.MAX_VALUE;
    private static final long NO_ZONE = Long.MIN_VALUE;
    /** Tolerance for rounding errors in comparisons with a share of the demand. */
    private static final double SHARE_TOLERANCE = 1e-6;
    /** A message without an attempt in flight gets its final result this long before its deadline. */
    private static final double RESULT_MARGIN_MS = 5;

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final Map<Long, TrackedEndpoint> endpoints = new LinkedHashMap<>();
    /** Endpoints that have left the list, and those that only {@link #pendingRestores} names. */
    private final UnlistedEndpoints unlisted;
    private final Map<Long, Destination> destinations = new HashMap<>();
    /** State of a previous process, by endpoint, to be restored when a list names the endpoint. */
    private final Map<Long, Consumer<TrackedEndpoint>> pendingRestores = new LinkedHashMap<>();
    final Map<Long, TrackedMessage> messages = new HashMap<>();
    /** Messages that may be sent once an endpoint is ready, by class and segment; refused messages last. */
    final GroupedQueues<TrackedMessage> waiting;
    private final EventRate.Total totalDemand = new EventRate.Total();
    private final Set<Attempt> inFlightAttempts = new LinkedHashSet<>();
    private final TimestampQueue firstSends = new TimestampQueue();
    private final SendBudget hedgeBudget = new SendBudget(firstSends, HEDGES_ALWAYS_ALLOWED,
            HEDGES_PER_FIRST_SEND);
    private final SendBudget refusedBudget = new SendBudget(firstSends, RETRIES_ALWAYS_ALLOWED,
            RETRIES_PER_FIRST_SEND);
    private final IdleConnectionReuse connectionReuse;
    /** Ordered messages by key: one at a time, with a cool-down after an attempt that may still run. */
    final KeyQueues<TrackedMessage> keyQueues;
    private final Timers timers;
    int slotsUsed;
    private long turn;
    private long nextQueuePosition;
    private double shutdownAt = Double.POSITIVE_INFINITY;
    private double clock = Double.NEGATIVE_INFINITY;

    DeliveryScheduler(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.timers = new Timers(CLOCK_MARGIN_MS, actions::wakeAt);
        this.keyQueues = new KeyQueues<>(timers, this::updateGroup);
        this.connectionReuse = new IdleConnectionReuse(settings.keepAliveMs(), actions::closeIdleConnections);
        int queueCount = 2 * settings.classes().size() * PriorityCurve.SEGMENTS;
        this.waiting = new GroupedQueues<>(
                IntStream.range(0, queueCount).mapToObj(DeliveryScheduler::queueOrder).toList(), JOINABLE,
                TrackedMessage::segmentEnd);
        this.unlisted = new UnlistedEndpoints(waiting::countOperation);
    }

    private static Comparator<TrackedMessage> queueOrder(int queue) {
        return PriorityCurve.isNewestFirst(queue % PriorityCurve.SEGMENTS) ? NEWEST_FIRST : OLDEST_FIRST;
    }

    // ---- events ----

    @Override
    public void endpointsChanged(double nowMs, boolean fullList, List<Endpoint> entries) {
        advanceClock(nowMs);
        if (fullList) {
            endpoints.values().forEach(TrackedEndpoint::markRemoved);
        }
        FaultCollector faults = new FaultCollector();
        entries.forEach(entry -> faults.run(() -> applyEntry(entry)));
        faults.rethrow();
    }

    private void applyEntry(Endpoint entry) {
        TrackedEndpoint endpoint = endpoints.computeIfAbsent(entry.id(), k -> new TrackedEndpoint(entry));
        Optional<Consumer<TrackedEndpoint>> restore = Optional.ofNullable(pendingRestores.remove(entry.id()));
        FaultCollector.runAll(() -> restore.ifPresent(r -> r.accept(endpoint)), () -> {
            endpoint.limiter.listedRate = settings.ratesListed() ? entry.listedRatePerSecond() / 1000 : 0;
            if (entry.removed()) {
                endpoint.markRemoved();
            } else {
                endpoint.markListed(entry.serving());
            }
        });
    }

    @Override
    public void endpointListCompleted(double nowMs) {
        advanceClock(nowMs);
        unlisted.removeExpired(clock, id -> endpoints.containsKey(id) && endpoints.get(id).isInUse())
                .forEach(this::forgetEndpoint);
    }

    private void forgetEndpoint(long id) {
        pendingRestores.remove(id);
        Optional.ofNullable(endpoints.remove(id)).ifPresent(e -> e.destination.endpoints.remove(e));
        actions.endpointForgotten(id);
    }

    @Override
    public void messageAccepted(double nowMs, Message message) {
        advanceClock(nowMs);
        accept(message).destination.demand.addEvent(clock);
    }

    /** Demand is not counted: restored messages arrive at once, but were submitted over an unknown period. */
    @Override
    public void messageRestored(double nowMs, Message message, List<EarlierAttempt> attempts) {
        advanceClock(nowMs);
        TrackedMessage d = accept(message);
        d.destination.endpoints.forEach(e -> e.limiter.messageRestored());
        d.destination.markChanged();
        for (EarlierAttempt earlier : attempts) {
            Optional<TrackedEndpoint> endpoint = Optional.ofNullable(endpoints.get(earlier.endpoint()));
            Attempt attempt = new Attempt(d, endpoint, earlier.sentAtMs());
            attempt.mayHaveRun = earlier.mayHaveRun();
            if (earlier.inFlightCallId().isPresent()) {
                attemptStarted(attempt, endpoint.map(e -> e.adoptCall(earlier)), d.inFlight > 0);
            }
        }
        if (d.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
            // An attempt of the previous process may still be running.
            d.keyQueue.ifPresent(queue -> queue.coolDown(clock + settings.keyCoolDownMs()));
        }
        if (!attempts.isEmpty() && d.inFlight == 0) {
            finishIfNoFurtherAttempt(d);
        }
        updateGroup(d);
    }

    @Override
    public void restoreEndpointHealth(double nowMs, long endpointId, EndpointHealth health) {
        advanceClock(nowMs);
        restoreWhenListed(endpointId, clock, e -> e.restore(health));
    }

    @Override
    public void restoreLearnedState(double nowMs, LearnedState state) {
        advanceClock(nowMs);
        state.firstSendsAgo().forEach(ago -> firstSends.add(clock - ago));
        state.copiesAgo().forEach(ago -> recordExtraSend(hedgeBudget, clock - ago));
        state.retriesAgo().forEach(ago -> recordExtraSend(refusedBudget, clock - ago));
        state.endpoints().forEach(learned -> restoreWhenListed(learned.endpoint(),
                clock + learned.waitLeftMs(), e -> e.restore(learned)));
    }

    private void restoreWhenListed(long endpointId, double waitUntil, Consumer<TrackedEndpoint> restore) {
        TrackedEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint == null) {
            pendingRestores.merge(endpointId, restore, Consumer::andThen);
            unlisted.add(endpointId, clock);
            unlisted.keepUntil(endpointId, waitUntil);
        } else {
            restore.accept(endpoint);
            endpoint.destination.markChanged();
        }
    }

    @Override
    public LearnedState learnedState(double nowMs) {
        advanceClock(nowMs);
        return new LearnedState(endpoints.values().stream().map(TrackedEndpoint::learnedState).toList(),
                firstSends.ages(clock), hedgeBudget.extraSendAges(clock),
                refusedBudget.extraSendAges(clock));
    }

    @Override
    public void shutdownScheduled(double nowMs, double endMs) {
        advanceClock(nowMs);
        shutdownAt = endMs;
    }

    @Override
    public EndpointCounts endpointCounts() {
        List<TrackedEndpoint> listed =
                endpoints.values().stream().filter(e -> !unlisted.contains(e.entry.id())).toList();
        long available = listed.stream().filter(e -> e.serving && e.state != EndpointState.DOWN).count();
        return new EndpointCounts(listed.size(), (int) (listed.size() - available));
    }

    private TrackedMessage accept(Message message) {
        if (message.messageClass() < 0 || message.messageClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("unknown message class " + message.messageClass());
        }
        if (messages.containsKey(message.id())) {
            throw new IllegalArgumentException("message " + message.id() + " was already accepted");
        }
        TrackedMessage d = new TrackedMessage(message);
        messages.put(message.id(), d);
        d.keyQueue.ifPresent(queue -> queue.add(d));
        timers.set(d, d.deadlineAt - RESULT_MARGIN_MS);
        updateGroup(d);
        return d;
    }

    @Override
    public void attemptCompleted(double nowMs, AttemptResult result) {
        advanceClock(nowMs);
        TrackedMessage d = messages.get(result.message());
        if (d == null || result.attempt() < 0 || result.attempt() >= d.attempts.size()) {
            throw new IllegalArgumentException("unknown attempt " + result.attempt() + " of message "
                    + result.message());
        }
        Attempt attempt = d.attempts.get(result.attempt());
        if (!attempt.inFlight) {
            lateResult(attempt, result);
            return;
        }
        attempt.inFlight = false;
        inFlightAttempts.remove(attempt);
        timers.remove(attempt);
        attempt.mayHaveRun = result.outcome().mayHaveRun();
        d.wasRefused = result.outcome() == Outcome.FULL;
        FaultCollector.runAll(() -> attempt.call.ifPresent(call -> call.attemptCompleted(result)),
                () -> d.keyQueue.filter(queue -> attempt.mayHaveRun && result.outcome() != Outcome.ERROR)
                        .ifPresent(queue -> queue.coolDown(clock + settings.keyCoolDownMs())),
                () -> d.keyQueue.ifPresent(queue -> queue.addInFlight(-1)),
                () -> attemptEnded(d, result.messageFinished()));
    }

    private void attemptEnded(TrackedMessage d, boolean messageFinished) {
        d.inFlight--;
        if (messageFinished) {
            complete(d);
        }
        if (d.completed) {
            removeUnlessInFlight(d);
        } else if (d.inFlight == 0) {
            scheduleNextRound(d);
        }
    }

    /** A result that was read after its attempt had timed out, been cancelled or lost its connection. */
    private void lateResult(Attempt attempt, AttemptResult result) {
        attempt.mayHaveRun &= result.outcome().mayHaveRun();
        if (result.messageFinished()) {
            complete(attempt.tracked);
        }
        updateGroup(attempt.tracked);
    }

    @Override
    public void retryAfterReceived(double nowMs, long endpointId, double retryAfterMs) {
        advanceClock(nowMs);
        Optional.ofNullable(endpoints.get(endpointId))
                .ifPresent(e -> e.limiter.recordRetryAfter(retryAfterMs));
    }

    @Override
    public boolean sendAllowed(double nowMs, long endpointId) {
        return Optional.ofNullable(endpoints.get(endpointId))
                .filter(e -> e.serving && e.limiter.retryAfterUntil <= nowMs).isPresent();
    }

    @Override
    public void messageCancelled(double nowMs, long message) {
        advanceClock(nowMs);
        Optional.ofNullable(messages.get(message)).ifPresent(this::complete);
    }

    @Override
    public void wake(double nowMs) {
        advanceClock(nowMs);
    }

    @Override
    public void endTurn(double nowMs) {
        advanceClock(nowMs);
        FaultCollector.runAll(() -> timers.fireDue(nowMs), this::dispatch, () -> turn++,
                () -> timers.requestWake(nowMs, waiting.nextUpdateAt()));
    }

    /** Lowest rate of probes by one sender: all senders together still notice a recovery in time. */
    private double minProbeRate() {
        return 1 / Math.min(MIN_PROBE_INTERVAL_MS * settings.senderCount(),
                MAX_PROBE_INTERVAL_RAMP_UPS * settings.slowStart().rampUpMs());
    }

    private Destination destination(long id) {
        return destinations.computeIfAbsent(id, k -> new Destination());
    }

    private void advanceClock(double nowMs) {
        if (nowMs < clock) {
            throw new IllegalArgumentException("the event time went backwards");
        }
        clock = nowMs;
    }

    // ---- decisions ----

    /**
     * Sends waiting messages by priority. A group whose first message can't be sent is set aside for this
     * turn, as the reason holds for all its messages: their destination may take no further slot, or the call
     * would not end before the shutdown.
     */
    private void dispatch() {
        FaultCollector faults = new FaultCollector();
        waiting.requeueExpired(clock, d -> {
            if (!faults.run(() -> updateGroup(d))) {
                waiting.remove(d);
            }
        });
        faults.run(() -> waiting.updateEligibility(clock));
        List<Group<TrackedMessage>> setAside = new ArrayList<>();
        List<TrackedMessage> deferred = new ArrayList<>();
        for (Group<TrackedMessage> group = nextGroup(); group != null; group = nextGroup()) {
            Group<TrackedMessage> next = group;
            TrackedMessage d = next.first();
            if (!faults.run(() -> dispatchFirst(next, d, setAside, deferred))) {
                // A message that can't be handled must not keep the others waiting.
                waiting.remove(d);
                if (d.inFlight == 0) {
                    faults.run(() -> scheduleNextRound(d));
                }
            }
        }
        if (!deferred.isEmpty()) {
            deferred.forEach(d -> faults.run(() -> updateGroup(d)));
            faults.run(() -> waiting.updateEligibility(clock));
            timers.add(clock, () -> { /* only wakes for a turn */ });
        }
        boolean slotsScarce = settings.cancellation() && slotsUsed >= settings.slotCount() - 1;
        if (slotsScarce && (setAside.stream().anyMatch(this::lacksOnlySlot)
                || waiting.groups(servedQueues(), ELIGIBLE).anyMatch(this::lacksOnlySlot))) {
            faults.run(this::cancelSlowestCall);
        }
        setAside.forEach(group -> group.owner.markChanged());
        // The calls of this turn can't be joined in the next turn.
        waiting.groups(Integer.MAX_VALUE, JOINABLE).forEach(group -> group.owner.markChanged());
        faults.rethrow();
    }

    private void dispatchFirst(Group<TrackedMessage> group, TrackedMessage d,
            List<Group<TrackedMessage>> setAside, List<TrackedMessage> deferred) {
        Optional<TrackedEndpoint> endpoint = chooseEndpoint(d, false);
        if (endpoint.isPresent()) {
            send(d, endpoint.get(), false);
            waiting.updateEligibility(clock);
        } else if (needsCallOfItsOwn(d)) {
            waiting.remove(d);
            deferred.add(d);
        } else if (!safeToSend(d)) {
            updateGroup(d);
        } else {
            group.setLevel(0);
            setAside.add(group);
        }
    }

    /** Whether it needs a call of its own, in a later turn, as attempts of one turn share a call. */
    private boolean needsCallOfItsOwn(TrackedMessage d) {
        return d.destination.endpoints.stream()
                .anyMatch(e -> e.canJoinCall() && !e.latestCall.canCarry(d) && sendConditionsMet(d, e));
    }

    /** The next group to serve, or null. Without a free slot messages can only join calls of this turn. */
    private Group<TrackedMessage> nextGroup() {
        return waiting.first(servedQueues(), slotsUsed < settings.slotCount() ? ELIGIBLE : JOINABLE,
                HIGHEST_PRIORITY_FIRST);
    }

    /** The number of queues to serve: those of refused messages, which are last, only within the budget. */
    private int servedQueues() {
        return settings.classes().size() * PriorityCurve.SEGMENTS * (refusedBudget.allowsSend(clock) ? 2 : 1);
    }

    /** Whether only the lack of a free slot keeps messages of this group from being sent. */
    private boolean lacksOnlySlot(Group<TrackedMessage> group) {
        return group.stream().filter(this::safeToSend).limit(1).anyMatch(d -> d.destination.endpoints.stream()
                .anyMatch(e -> e.isReady() && !e.slotAvailable() && sendConditionsMet(d, e)));
    }

    /** Puts a message into the group in which it has to wait now, or removes it if it may not be sent. */
    private void updateGroup(TrackedMessage d) {
        if (!d.completed && d.inFlight == 0 && d.notBefore <= clock && keyOrderAllows(d) && safeToSend(d)) {
            int classIndex = d.message.messageClass() + (d.wasRefused ? settings.classes().size() : 0);
            d.segment = d.priorityCurve.segmentAt(clock);
            waiting.put(d, d.destination, classIndex * PriorityCurve.SEGMENTS + d.segment, d.allowedZone());
        } else {
            waiting.remove(d);
        }
    }

    private boolean keyOrderAllows(TrackedMessage d) {
        return d.keyQueue.map(q -> q.first() == d && q.inFlight() == d.inFlight && q.coolDownUntil() <= clock)
                .orElse(true);
    }

    /**
     * Of the calls whose messages may be repeated, cancels the one that most exceeds its limit, see {@link
     * Attempt#cancelLimitRatio}: a few unanswered calls could hold all slots until their timeouts. Each
     * cancellation raises the limit for the endpoint, as it may only be slow. The call counts as overdue, so
     * that a silent endpoint is marked as down and does not take the slots again.
     */
    private void cancelSlowestCall() {
        Set<Optional<Call>> unsafeCalls = inFlightAttempts.stream()
                .filter(a -> a.tracked.messageClass.repeat() == Repeat.UNSAFE).map(a -> a.call)
                .collect(Collectors.toSet());
        inFlightAttempts.stream()
                .filter(a -> !a.cancelledForSlot && !unsafeCalls.contains(a.call) && a.cancelLimitRatio() > 1)
                .max(Comparator.comparingDouble(Attempt::cancelLimitRatio)).flatMap(a -> a.call)
                .ifPresent(slowest -> {
                    slowest.endpoint.slotCancellations++;
                    slowest.fire();
                    inFlightAttempts.stream().filter(a -> a.call.equals(Optional.of(slowest))).forEach(a -> {
                        a.cancelledForSlot = true;
                        actions.cancel(a.tracked.message.id(), a.tracked.attempts.indexOf(a));
                    });
                });
    }

    /** The cheapest endpoint that may get the message; a hedge goes elsewhere if another endpoint serves. */
    private Optional<TrackedEndpoint> chooseEndpoint(TrackedMessage d, boolean hedged) {
        List<TrackedEndpoint> candidates = d.destination.endpoints;
        boolean otherServing = hedged && candidates.stream().anyMatch(e -> e.serving && !d.isInFlightAt(e));
        return candidates.stream()
                .filter(e -> !(otherServing && d.isInFlightAt(e) || hedged && e.state == EndpointState.DOWN)
                && canSend(d, e))
                .min(Comparator.comparingDouble(e -> e.cost(d)));
    }

    /** The condition of every send: of first sends, hedged attempts and new rounds. */
    private boolean canSend(TrackedMessage d, TrackedEndpoint endpoint) {
        return sendConditionsMet(d, endpoint) && (endpoint.canJoinCall() ? endpoint.latestCall.canCarry(d)
                : endpoint.slotAvailable() && endpoint.isReady());
    }

    /** The conditions of every send, whether it needs a slot of its own or joins a call. */
    private boolean sendConditionsMet(TrackedMessage d, TrackedEndpoint endpoint) {
        waiting.countOperation();
        return !d.completed && endpoint.serving
                && clock < d.deadlineAt - RESULT_MARGIN_MS
                && d.attempts.size() < settings.maxAttempts()
                && safeToSend(d, endpoint)
                && keyOrderAllows(d)
                && (!d.wasRefused || d.inFlight > 0 || refusedBudget.allowsSend(clock))
                && endpoint.limiter.retryAfterUntil <= clock
                && clock + endpoint.requiredTimeLeft(d.messageClass) <= shutdownAt;
    }

    /** Whether an attempt at this endpoint is safe: it can't make the message take effect twice. */
    private boolean safeToSend(TrackedMessage d, TrackedEndpoint endpoint) {
        long zone = d.allowedZone();
        return safeToSend(d) && (zone == ANY_ZONE || zone == endpoint.entry.zone());
    }

    /** The same without regard to the zone: checks the class, the deduplication window and hedging. */
    private boolean safeToSend(TrackedMessage d) {
        double windowMs = d.messageClass.repeat() == Repeat.SAFE ? Double.POSITIVE_INFINITY
                : d.messageClass.dedupWindowMs();
        return d.attempts.stream().filter(Attempt::mayTakeEffect)
                .allMatch(a -> (!a.inFlight || settings.hedging()) && d.messageClass.repeat() != Repeat.UNSAFE
                && clock <= a.sentAt + windowMs - DEDUP_WINDOW_MARGIN_MS);
    }

    private void send(TrackedMessage d, TrackedEndpoint endpoint, boolean hedged) {
        FaultCollector faults = new FaultCollector();
        if (faults.run(() -> endpoint.joinOrStartCall(d))) {
            Call call = endpoint.latestCall;
            Attempt attempt = new Attempt(d, Optional.of(endpoint), clock);
            faults.run(() -> recordSend(d, hedged));
            double timeout = Math.min(endpoint.timeout(d.messageClass), d.deadlineAt - clock);
            if (faults.run(() -> actions.send(d.message.id(), endpoint.entry.id(), timeout))) {
                faults.run(() -> attemptStarted(attempt, Optional.of(call), hedged));
            } else {
                // It is unknown how far the sender came, and no result will be reported.
                attempt.mayHaveRun = true;
                call.attemptsInFlight--;
            }
        }
        endpoint.calls.stream().filter(c -> c.attemptsInFlight == 0).toList().forEach(Call::releaseIfUnused);
        faults.rethrow();
    }

    private void recordSend(TrackedMessage d, boolean hedged) {
        if (hedged) {
            recordExtraSend(hedgeBudget, clock);
        } else if (d.attempts.size() == 1) {
            firstSends.add(clock);
            firstSends.removeBefore(clock - SendBudget.PERIOD_MS);
        } else if (d.wasRefused) {
            recordExtraSend(refusedBudget, clock);
        }
    }

    private void recordExtraSend(SendBudget budget, double at) {
        budget.recordSend(at);
        timers.add(at + SendBudget.PERIOD_MS + CLOCK_MARGIN_MS, () -> { /* only wakes for a turn */ });
    }

    /** Records an attempt as in flight, and sets the timers for its hedge and for its call to be overdue. */
    private void attemptStarted(Attempt attempt, Optional<Call> call, boolean hedged) {
        TrackedMessage d = attempt.tracked;
        attempt.call = call;
        attempt.inFlight = true;
        inFlightAttempts.add(attempt);
        d.inFlight++;
        FaultCollector faults = new FaultCollector();
        faults.run(() -> updateGroup(d));
        faults.run(() -> d.keyQueue.ifPresent(queue -> queue.addInFlight(1)));
        double hedgeDelay = d.messageClass.targetLatencyMs() * HEDGE_DELAY_SHARE;
        if (!hedged && clock <= attempt.sentAt + hedgeDelay) {
            timers.set(attempt, attempt.sentAt + hedgeDelay);
        }
        call.ifPresent(c -> c.setOverdueAt(
                attempt.sentAt + Math.max(hedgeDelay, c.endpoint.latency.overdueAfter())));
        faults.rethrow();
    }

    /** All attempts have ended undelivered: waits, with jitter, for a new round, or finishes the message. */
    private void scheduleNextRound(TrackedMessage d) {
        finishIfNoFurtherAttempt(d);
        if (d.completed) {
            return;
        }
        double backoff = BACKOFF_MS * Math.pow(BACKOFF_FACTOR, d.rounds) * (0.75 + 0.5 * random.nextDouble());
        d.notBefore = clock + Math.min(backoff, (d.deadlineAt - clock) / 2);
        d.rounds++;
        d.queuePosition = nextQueuePosition++;
        d.backoffTimer = timers.add(d.notBefore, () -> updateGroup(d));
    }

    /** Finishes a message if no further attempt is possible: at its deadline the result would be useless. */
    private void finishIfNoFurtherAttempt(TrackedMessage d) {
        if (!furtherAttemptPossible(d)) {
            finishUndelivered(d);
        } else if (d.messageClass.repeat() == Repeat.KEYED && d.dedupTimer == null) {
            d.attempts.stream().filter(a -> a.mayHaveRun).mapToDouble(a -> a.sentAt).min().ifPresent(first ->
                    d.dedupTimer = timers.add(
                            first + d.messageClass.dedupWindowMs() - DEDUP_WINDOW_MARGIN_MS + CLOCK_MARGIN_MS,
                            () -> finishIfNoFurtherAttempt(d)));
        }
    }

    /** Whether a further attempt may become possible, at a known endpoint or, if none is, at a new one. */
    private boolean furtherAttemptPossible(TrackedMessage d) {
        return d.attempts.size() < settings.maxAttempts() && clock < d.deadlineAt - RESULT_MARGIN_MS
                && (d.destination.endpoints.isEmpty() ? safeToSend(d)
                        : d.destination.endpoints.stream().anyMatch(e -> safeToSend(d, e)));
    }

    /** Gives an undelivered message its final result: rejected if repeating it is harmless, else failed. */
    private void finishUndelivered(TrackedMessage d) {
        if (d.completed || d.inFlight > 0) {
            return;
        }
        boolean repeatable = d.messageClass.repeat() != Repeat.UNSAFE && !d.isDedupWithinZone();
        boolean neverRan = d.attempts.stream().noneMatch(Attempt::mayTakeEffect);
        FaultCollector.runAll(() -> {
            if (repeatable || neverRan) {
                actions.reject(d.message.id(), Math.max(0, d.destination.nextReadyAt() - clock));
            } else {
                actions.fail(d.message.id());
            }
        }, () -> complete(d));
    }

    /** Marks a message as completed and cancels its redundant attempts. */
    private void complete(TrackedMessage d) {
        if (d.completed) {
            return;
        }
        d.completed = true;
        removeUnlessInFlight(d);
        waiting.remove(d);
        timers.removeAll(d, d.dedupTimer, d.backoffTimer);
        FaultCollector faults = new FaultCollector();
        faults.run(() -> d.keyQueue.ifPresent(queue -> queue.remove(d)));
        for (int i = 0; i < d.attempts.size(); i++) {
            if (d.attempts.get(i).inFlight && settings.cancellation()) {
                int attempt = i;
                faults.run(() -> actions.cancel(d.message.id(), attempt));
            }
        }
        faults.rethrow();
    }

    private void removeUnlessInFlight(TrackedMessage d) {
        if (d.inFlight == 0) {
            messages.remove(d.message.id());
        }
    }

    // ---- nested types ----

    private final class TrackedMessage extends GroupedQueues.Element<TrackedMessage> {
        final Message message;
        final MessageClass messageClass;
        final Destination destination;
        final double targetAt;
        final double deadlineAt;
        /** Until then it may share a call. */
        final double sharedUntil;
        final PriorityCurve priorityCurve;
        List<Attempt> attempts = List.of();
        double notBefore = Double.NEGATIVE_INFINITY;
        /** Position in the order in which messages began to wait, or to wait again. */
        long queuePosition = nextQueuePosition++;
        final Optional<KeyQueues<TrackedMessage>.KeyQueue> keyQueue;
        /** Timers of deduplication window and backoff, null until set; this object is the deadline's. */
        Timer dedupTimer;
        Timer backoffTimer;
        int segment;
        int rounds;
        boolean wasRefused;
        int inFlight;
        boolean completed;

        TrackedMessage(Message message) {
            this.message = message;
            this.messageClass = settings.classes().get(message.messageClass());
            this.destination = destination(message.destination());
            this.deadlineAt = clock + message.timeLeftMs();
            this.sharedUntil = clock + Math.min(message.timeLeftMs(), message.budgetLeftMs());
            this.targetAt = deadlineAt - messageClass.deadlineMs() + messageClass.targetLatencyMs();
            this.priorityCurve = new PriorityCurve(messageClass, settings.valueDecay(), targetAt, deadlineAt);
            this.keyQueue = message.key().filter(key -> messageClass.ordered()).map(keyQueues::queue);
        }

        @Override
        void fire() {
            finishUndelivered(this);
        }

        boolean isDedupWithinZone() {
            return messageClass.repeat() == Repeat.KEYED && messageClass.dedupWithinZone();
        }

        /** The only zone that may get it again, as only that one drops repeats; else ANY_ZONE or NO_ZONE. */
        long allowedZone() {
            long[] zones = attempts.stream().filter(a -> a.mayTakeEffect() && isDedupWithinZone())
                    .mapToLong(a -> a.endpoint.map(e -> (long) e.entry.zone()).orElse(NO_ZONE))
                    .distinct().toArray();
            return zones.length == 0 ? ANY_ZONE : zones.length == 1 ? zones[0] : NO_ZONE;
        }

        boolean isInFlightAt(TrackedEndpoint endpoint) {
            return attempts.stream()
                    .anyMatch(a -> a.inFlight && a.endpoint.filter(e -> e == endpoint).isPresent());
        }

        double priority() {
            return priorityCurve.priorityAt(clock);
        }

        double segmentEnd() {
            return priorityCurve.segmentEnd(segment);
        }
    }

    /** An attempt; one of a previous process has a call only if in flight, an endpoint only if listed. */
    private final class Attempt extends Timer {
        final TrackedMessage tracked;
        final Optional<TrackedEndpoint> endpoint;
        final double sentAt;
        Optional<Call> call = Optional.empty();
        boolean inFlight;
        boolean mayHaveRun;
        boolean cancelledForSlot;

        Attempt(TrackedMessage tracked, Optional<TrackedEndpoint> endpoint, double sentAt) {
            this.tracked = tracked;
            this.endpoint = endpoint;
            this.sentAt = sentAt;
            if (tracked.attempts.isEmpty()) {
                tracked.attempts = new ArrayList<>(2);
            }
            tracked.attempts.add(this);
        }

        /** The hedging delay has passed: a hedged attempt may join the round. */
        @Override
        void fire() {
            boolean hedge = inFlight && tracked.messageClass.repeat() != Repeat.UNSAFE && settings.hedging();
            boolean slotFree = slotsUsed < settings.slotCount();
            if (hedge && !tracked.completed && slotFree && hedgeBudget.allowsSend(clock)) {
                chooseEndpoint(tracked, true).ifPresent(endpoint -> send(tracked, endpoint, true));
            }
        }

        boolean mayTakeEffect() {
            return inFlight || mayHaveRun;
        }

        /** Its time in flight, relative to a limit that grows with each cancellation at its endpoint. */
        double cancelLimitRatio() {
            return endpoint.map(e -> (clock - sentAt) / (Math.max(e.latency.overdueAfter(), MIN_CANCEL_AGE_MS)
                    * (1 + e.slotCancellations))).orElse(0.0);
        }
    }

    /**
     * A request on the wire. If it carries several messages, it ends while none of them can be over: a
     * response that came later would be ambiguous. It takes one slot, counts once for health, and is overdue
     * when its timer fires.
     */
    private final class Call extends Timer {
        final TrackedEndpoint endpoint;
        final double sentAt;
        final long sentTurn = turn;
        /** Its id in the previous process, if that one sent it. */
        final OptionalLong previousId;
        final IdleConnectionReuse.Use connection;
        int attemptCount;
        int attemptsInFlight;
        double sharedUntil = Double.POSITIVE_INFINITY;
        double lastTimeoutAt = Double.NEGATIVE_INFINITY;
        boolean resultRecorded;
        boolean overdue;

        Call(TrackedEndpoint endpoint, double sentAt, OptionalLong previousId) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
            this.previousId = previousId;
            double unusedMs = endpoint.calls.isEmpty() ? clock - endpoint.lastUsedAt : 0;
            this.connection = connectionReuse.begin(endpoint.entry.id(), endpoint.entry.destination(),
                    unusedMs, clock);
            endpoint.lastUsedAt = clock;
            slotsUsed++;
            endpoint.calls.add(this);
            endpoint.destination.callsInFlight++;
            endpoint.destination.markChanged();
        }

        /** Whether a response is expected before its end if it carries this message as well. */
        boolean canCarry(TrackedMessage d) {
            double endAt = Math.min(sharedUntil, d.sharedUntil);
            return Math.max(lastTimeoutAt, endpoint.timeoutAt(d)) <= endAt
                    || clock + endpoint.latency.mean() <= endAt;
        }

        void add(TrackedMessage d) {
            sharedUntil = Math.min(sharedUntil, d.sharedUntil);
            lastTimeoutAt = Math.max(lastTimeoutAt, endpoint.timeoutAt(d));
            attemptCount++;
            attemptsInFlight++;
        }

        void attemptCompleted(AttemptResult result) {
            attemptsInFlight--;
            FaultCollector.runAll(() -> recordResult(result), this::releaseIfUnused);
        }

        private void recordResult(AttemptResult result) {
            endpoint.limiter.recordRetryAfter(result.retryAfterMs());
            endpoint.limiter.recordReportedRate(result.report().rate());
            // A budget may end a call before it is overdue, which says nothing about its endpoint.
            boolean early = result.outcome() == Outcome.TIMED_OUT
                    && clock - sentAt < endpoint.latency.overdueAfter();
            if (!early && !resultRecorded && result.outcome() != Outcome.CANCELLED
                    && result.outcome() != Outcome.NOT_SENT) {
                resultRecorded = true;
                endpoint.recordResult(this, result);
            }
        }

        /** Releases its slot when no attempt of it is in flight any more. */
        void releaseIfUnused() {
            endpoint.lastUsedAt = clock;
            if (attemptsInFlight == 0 && endpoint.calls.remove(this)) {
                slotsUsed--;
                endpoint.destination.callsInFlight--;
                endpoint.latestCall = endpoint.latestCall == this ? null : endpoint.latestCall;
                timers.remove(this);
            }
            endpoint.destination.markChanged();
        }

        /** Sets the time from which the call is overdue; the earliest of its attempts counts. */
        void setOverdueAt(double overdueAt) {
            if (overdueAt < dueAt()) {
                timers.set(this, overdueAt);
            }
        }

        @Override
        void fire() {
            if (!overdue && !resultRecorded && attemptsInFlight > 0) {
                overdue = true;
                endpoint.onOverdue(this);
                endpoint.destination.markChanged();
            }
        }
    }

    /** A destination with its endpoints and their shared rate limiter, not used for separate routes. */
    private final class Destination extends GroupedQueues.Owner<TrackedMessage> {
        final List<TrackedEndpoint> endpoints = new ArrayList<>(2);
        final RateLimiter sharedLimiter = new RateLimiter(this);
        final EventRate demand = new EventRate(clock, RATE_AVERAGING, totalDemand);
        int callsInFlight;

        Destination() {
            super(waiting);
        }

        /** Sets the eligibility of each group, and returns the time at which the next endpoint is ready. */
        @Override
        double updateGroups() {
            for (Group<TrackedMessage> group : groups()) {
                group.setLevel(endpoints.stream().filter(e -> e.readyForZone(group.tag))
                        .mapToInt(e -> e.canJoinCall() ? JOINABLE : ELIGIBLE).max().orElse(0));
            }
            return readyTimes().filter(at -> at > clock).min().orElse(Double.POSITIVE_INFINITY);
        }

        long servingOrOne() {
            return Math.max(1, endpoints.stream().filter(e -> e.serving).count());
        }

        /** When a client should submit again: when the first endpoint is ready, or now if that is unknown. */
        double nextReadyAt() {
            return readyTimes().min().orElse(clock);
        }

        private DoubleStream readyTimes() {
            return endpoints.stream().filter(e -> e.serving).mapToDouble(TrackedEndpoint::readyAt);
        }
    }

    /** Rate limit, Retry-After wait and outage evidence of endpoints that share a limit. */
    private final class RateLimiter {
        final EventRate sendRate = new EventRate(clock, RATE_AVERAGING);
        final TimestampQueue lastSecondSends = new TimestampQueue();
        final Destination destination;
        /** Rate cuts less deliveries since, from 0 to MAX_REFUSAL_LEVEL; lowers the lowest rate. */
        int refusalLevel;
        double listedRate;
        double reportedRate;
        double allowedRate = Double.POSITIVE_INFINITY;
        double nextSendAt = Double.NEGATIVE_INFINITY;
        double retryAfterUntil = Double.NEGATIVE_INFINITY;
        double rateCutAt = Double.NEGATIVE_INFINITY;
        final OutageEvidence evidence = new OutageEvidence(clock, MIN_OUTAGE_MS);
        double recoveredAt = Double.NEGATIVE_INFINITY;
        /** When the next call may go to one of its endpoints that are not in full service. */
        double nextRecoverySendAt = Double.NEGATIVE_INFINITY;

        RateLimiter(Destination destination) {
            this.destination = destination;
        }

        void recordSend() {
            if (!lastSecondSends.isEmpty() && lastSecondSends.newest() < clock - RATE_RESET_IDLE_MS) {
                allowedRate = Double.POSITIVE_INFINITY;
            }
            sendRate.addEvent(clock);
            lastSecondSends.add(clock);
            lastSecondSends.removeBefore(clock - 1000);
            if (allowedRate < Double.POSITIVE_INFINITY) {
                nextSendAt = Math.max(nextSendAt + 1 / allowedRate, clock);
            }
        }

        /** Many senders may restart at once: spreads the sends of their restored messages. */
        void messageRestored() {
            evidence.messageRestored();
            if (allowedRate == Double.POSITIVE_INFINITY && cautiousShare(0) > 0) {
                allowedRate = cautiousShare(0);
                nextSendAt = clock + random.nextDouble() / allowedRate;
            }
        }

        /** Records a Retry-After wait. Attempts of one call may report different ones: the longest counts. */
        void recordRetryAfter(double retryAfterMs) {
            destination.markChanged();
            retryAfterUntil = retryAfterMs > 0
                    ? Math.max(retryAfterUntil, clock + retryAfterMs + CLOCK_MARGIN_MS) : retryAfterUntil;
        }

        /** Averages the rates that answers report, as a single value may be wrong. */
        void recordReportedRate(double perSecond) {
            if (perSecond > 0 && perSecond < Double.POSITIVE_INFINITY) {
                double perMs = perSecond / 1000;
                reportedRate = reportedRate == 0 ? perMs : reportedRate + REPORTED_RATE_WEIGHT
                        * (Math.max(reportedRate / REPORTED_RATE_MAX_RATIO,
                        Math.min(perMs, reportedRate * REPORTED_RATE_MAX_RATIO)) - reportedRate);
            }
        }

        /**
         * Lowers the allowed rate after the refusal of a call, unless that was sent before the last cut. The
         * Retry-After waits of all senders end at the same time: if the next send would come after the wait,
         * a random delay is added to the wait, so that the senders don't all send at once.
         */
        void cutRate(Call call) {
            if (call.sentAt < rateCutAt) {
                return;
            }
            boolean limited = allowedRate < Double.POSITIVE_INFINITY;
            double currentRate = limited ? allowedRate : lastSecondSends.size() / 1000.0;
            // One second's count is too coarse at low traffic, so the average caps it if a limit is known.
            currentRate = limited || cautiousShare(0) > 0
                    ? Math.min(currentRate, MAX_RATE_OVER_SENT * sendRate.perMs()) : currentRate;
            allowedRate = Math.max(minRate(), currentRate * RATE_CUT_FACTOR);
            refusalLevel = Math.min(refusalLevel + 1, MAX_REFUSAL_LEVEL);
            rateCutAt = clock;
            nextSendAt = clock + 1 / allowedRate;
            if (nextSendAt > retryAfterUntil) {
                nextSendAt = Math.max(clock, retryAfterUntil) + (0.5 + random.nextDouble()) / allowedRate;
            }
        }

        void adjustRate(double shareLeft) {
            refusalLevel = Math.max(refusalLevel - 1, 0);
            double gainFactor = Math.min(MAX_SHARE_LEFT_GAIN_FACTOR, Math.max(1, 1 / (1000 * allowedRate)));
            boolean reported = shareLeft >= 0 && shareLeft <= 1;
            allowedRate *= 1 + (reported ? SHARE_LEFT_GAIN * gainFactor * (shareLeft - TARGET_SHARE_LEFT)
                    : RATE_GROWTH_PER_DELIVERY);
            allowedRate = Math.max(minRate(), allowedRate);
        }

        void restore(LearnedEndpointState learned) {
            recordRetryAfter(learned.waitLeftMs());
            allowedRate = learned.pace();
            nextSendAt = clock + 1 / allowedRate;
            rateCutAt = clock - learned.paceCutAgoMs();
            refusalLevel = learned.pressed();
            reportedRate = learned.told();
            sendRate.restore(learned.sent());
            destination.demand.restore(learned.demand());
        }

        private List<TrackedEndpoint> endpoints() {
            return destination.endpoints.stream().filter(e -> e.limiter == this).toList();
        }

        /** One of its endpoints has failed a call: all are marked as down if the evidence is of an outage. */
        void endpointFailed(String reason) {
            evidence.recordFailure(clock);
            if (evidence.isOutage(clock)) {
                endpoints().forEach(e -> e.markDown(reason));
            }
        }

        /** One of its endpoints has refused a call: all are marked as down if it asked for a long wait. */
        void endpointRefused(double retryAfterMs) {
            if (retryAfterMs >= MIN_OUTAGE_MS) {
                endpoints().forEach(TrackedEndpoint::markRefusing);
            }
        }

        /** An endpoint has delivered: if that may end an outage, those in state UP begin slow start. */
        void endpointDelivered(boolean mayEndOutage) {
            evidence.recordDelivery(clock);
            if (mayEndOutage) {
                recoveredAt = clock;
                endpoints().stream().filter(e -> e.state == EndpointState.UP)
                        .forEach(TrackedEndpoint::startSlowStart);
            }
        }

        /** Whether a possible outage ended less than a ramp-up time ago. */
        boolean isRecovering() {
            return clock - recoveredAt < settings.slowStart().rampUpMs();
        }

        /** Allowed rate of calls to all endpoints not in full service; the next call goes to this one. */
        double totalRecoveryRate(TrackedEndpoint endpoint) {
            double endpointShare = this == destination.sharedLimiter ? 1 : 1.0 / destination.servingOrOne();
            double assumed = destination.demand.perMs() * endpointShare * ASSUMED_DEMAND_SHARE;
            double sustainedRate = endpoints().stream().mapToDouble(e -> e.sustainedRate.perMs()).sum();
            return Math.max(minProbeRate(),
                    endpoint.slowStartRate(Math.max(sustainedRate, Math.max(assumed, cautiousShare(0)))));
        }

        /** Part of this sender's fair share of the listed or reported rate; 0 if neither is known. */
        double cautiousShare(int level) {
            double reportedShare = MIN_REPORTED_RATE_SHARE * reportedRate / (1 + level);
            return Math.max(MIN_LISTED_RATE_SHARE * listedRate, reportedShare) / settings.senderCount();
        }

        private double minRate() {
            double cautiousShare = cautiousShare(refusalLevel);
            return Math.max(MIN_RATE_DEMAND_SHARE * destination.demand.perMs(),
                    cautiousShare > 0 ? cautiousShare
                    : 1 / (MAX_SEND_INTERVAL_MS * Math.pow(SEND_INTERVAL_GROWTH, refusalLevel)));
        }
    }

    /**
     * An endpoint and its health. One that is unreachable, silent, failing or refusing everything is marked
     * as down and gets single probes instead of the backlog; when it answers again, slow start keeps the load
     * within what it can take after an outage. Drawback: one that is only slow may be marked as down.
     */
    private final class TrackedEndpoint {
        final Endpoint entry;
        final Destination destination;
        final RateLimiter limiter;
        final int maxBatchSize;
        final double zoneFee;
        boolean serving;
        EndpointState state = EndpointState.UP;
        Call latestCall;
        /** Its calls in flight, in the order in which they were sent. */
        final List<Call> calls = new ArrayList<>(0);
        LatencyEstimate latency = LatencyEstimate.INITIAL;
        double failureScore;
        int overdueCalls;
        int slotCancellations;
        int consecutiveFailures;
        double firstFailureAt;
        double lastDeliveryAt = Double.NEGATIVE_INFINITY;
        final EventRate sustainedRate = new EventRate(clock, RATE_AVERAGING);
        double slowStartAt;
        double downAt;
        boolean downByOverdueCalls;
        /** It answered with errors or refusals while down; lost connections don't count, see onDelivered. */
        boolean errorOrRefusalWhileDown;
        double nextSendAt = Double.NEGATIVE_INFINITY;
        double lastUsedAt = Double.NEGATIVE_INFINITY;

        TrackedEndpoint(Endpoint entry) {
            DestinationKind kind = settings.kinds().get(Math.min(entry.kind(), settings.kinds().size() - 1));
            this.entry = entry;
            this.destination = DeliveryScheduler.this.destination(entry.destination());
            this.limiter = kind.separateRoutes() ? new RateLimiter(destination) : destination.sharedLimiter;
            this.maxBatchSize = kind.maxBatchSize();
            boolean hasFee = kind.separateRoutes() && entry.zone() < settings.zoneFees().size();
            this.zoneFee = hasFee ? settings.zoneFees().get(entry.zone()) : 0;
            destination.endpoints.add(this);
        }

        LearnedEndpointState learnedState() {
            return new LearnedEndpointState(entry.id(), Math.max(0, limiter.retryAfterUntil - clock),
                    limiter.allowedRate, clock - limiter.rateCutAt, limiter.refusalLevel,
                    limiter.sendRate.perMs(), limiter.reportedRate, destination.demand.perMs(),
                    sustainedRate.perMs(), latency.mean(), latency.deviation(), clock - lastDeliveryAt);
        }

        void restore(LearnedEndpointState learned) {
            limiter.restore(learned);
            sustainedRate.restore(learned.carried());
            latency = new LatencyEstimate(learned.latencyMs(), learned.deviationMs());
            lastDeliveryAt = clock - learned.goodAgoMs();
        }

        void markListed(boolean isServing) {
            serving = isServing;
            unlisted.remove(entry.id());
            destination.markChanged();
        }

        void markRemoved() {
            serving = false;
            unlisted.add(entry.id(), clock);
            destination.markChanged();
        }

        /** Whether a call is in flight, or ended so recently that its answer may come yet, or a wait runs. */
        boolean isInUse() {
            return !calls.isEmpty() || !UnlistedEndpoints.isRetentionOver(lastUsedAt, clock)
                    || limiter.retryAfterUntil > clock;
        }

        /** Whether a message with this allowed zone may be sent there now, if a slot is free. */
        boolean readyForZone(long zone) {
            return serving && (zone == ANY_ZONE || zone == entry.zone())
                    && (canJoinCall() || limiter.retryAfterUntil <= clock && isReady());
        }

        /**
         * The cost of a send there, in milliseconds: the latency, multiplied by the calls with this one, plus
         * penalties for failures in a row and the zone fee (less with few free slots). A down endpoint, whose
         * probe is due, is the cheapest, as only probes end that, but the costliest for unsafe messages.
         */
        double cost(TrackedMessage d) {
            if (state == EndpointState.DOWN) {
                return (d.messageClass.repeat() == Repeat.UNSAFE ? 1 : -1) * Double.POSITIVE_INFINITY;
            }
            double freeShare = 1 - (double) slotsUsed / settings.slotCount();
            return latency.mean() * (1 + calls.size()) + consecutiveFailures * MIN_OUTAGE_MS
                    + zoneFee * LATENCY_MS_PER_FEE_POINT * freeShare;
        }

        boolean canJoinCall() {
            return latestCall != null && latestCall.sentTurn == turn && latestCall.attemptCount < maxBatchSize
                    && state != EndpointState.DOWN;
        }

        void joinOrStartCall(TrackedMessage d) {
            if (!canJoinCall()) {
                latestCall = new Call(this, clock, OptionalLong.empty());
                limiter.recordSend();
                nextSendAt = state == EndpointState.UP ? nextSendAt : clock + 1 / recoveryRate();
            }
            destination.markChanged();
            if (!isInFullService()) {
                limiter.nextRecoverySendAt = clock + 1 / limiter.totalRecoveryRate(this);
            }
            latestCall.add(d);
        }

        /** The call of the previous process that still carries the attempt: it holds a slot until it ends. */
        Call adoptCall(EarlierAttempt attempt) {
            Call call = calls.stream().filter(c -> c.previousId.equals(attempt.inFlightCallId())).findFirst()
                    .orElseGet(() -> new Call(this, attempt.sentAtMs(), attempt.inFlightCallId()));
            call.attemptsInFlight++;
            return call;
        }

        /**
         * Whether its destination may take a free slot. It may if it has none or fewer than would stay free,
         * so a slow or silent one can't hold them all. With a fast endpoint it may take all but one, and the
         * last too if below its share by demand: else destinations without calls, which may always take it,
         * would starve the busiest. Drawback: a silent endpoint counts as fast until 2 calls are overdue.
         */
        boolean slotAvailable() {
            int freeSlots = settings.slotCount() - slotsUsed;
            boolean fast = latency.isFast() && lastDeliveryAt > Double.NEGATIVE_INFINITY
                    && calls.stream().skip(DOWN_OVERDUE_CALLS - 1).limit(1)
                    .allMatch(c -> clock - c.sentAt <= latency.overdueAfter());
            double slotShare = settings.slotCount() * destination.demand.shareOfTotal();
            boolean belowShare = destination.callsInFlight + 1 + SHARE_TOLERANCE < slotShare;
            return fast && freeSlots > (belowShare ? 0 : 1)
                    || freeSlots > 0 && destination.callsInFlight < Math.max(1, freeSlots - 1);
        }

        /** Whether the rate limit and the endpoint's health allow a call now. */
        boolean isReady() {
            return limiter.nextSendAt <= clock && nextSendAt <= clock
                    && (state != EndpointState.DOWN || calls.isEmpty())
                    && (isInFullService() || limiter.nextRecoverySendAt <= clock);
        }

        /** When it is ready for a call, as far as that depends on time alone. */
        double readyAt() {
            double earliest = Math.max(Math.max(limiter.retryAfterUntil, limiter.nextSendAt), nextSendAt);
            return isInFullService() ? earliest : Math.max(earliest, limiter.nextRecoverySendAt);
        }

        /**
         * The time that must be left before the shutdown to start a call. An unsafe message must not be cut
         * off: it needs the slowest likely latency (its timeout would be longer than any shutdown takes).
         */
        double requiredTimeLeft(MessageClass messageClass) {
            return messageClass.repeat() == Repeat.UNSAFE ? latency.slowest() : latency.overdueAfter();
        }

        double timeout(MessageClass messageClass) {
            double usual =
                    Math.max(messageClass.targetLatencyMs() * TIMEOUT_TARGET_FACTOR, latency.slowest());
            double unsafeMin = messageClass.repeat() == Repeat.UNSAFE
                    ? messageClass.deadlineMs() * UNSAFE_TIMEOUT_SHARE : 0;
            return Math.max(usual, unsafeMin);
        }

        /** When an attempt that starts now times out. */
        double timeoutAt(TrackedMessage d) {
            return Math.min(clock + timeout(d.messageClass), d.deadlineAt);
        }

        /** Allowed rate while down or in slow start, from the rate it sustained before or may sustain. */
        double recoveryRate() {
            double assumed = destination.demand.perMs() / destination.servingOrOne() * ASSUMED_DEMAND_SHARE;
            double cautiousShare = limiter.cautiousShare(0)
                    / (limiter == destination.sharedLimiter ? destination.servingOrOne() : 1);
            double rate = slowStartRate(Math.max(sustainedRate.perMs(), Math.max(assumed, cautiousShare)));
            if (rate == 0) {
                // There was no demand yet, only restored messages: the rate of probes, until there is some.
                return minProbeRate();
            }
            return state != EndpointState.DOWN ? rate
                    : Math.max(minProbeRate(), Math.min(1 / MIN_PROBE_INTERVAL_MS, rate));
        }

        /** The rate that slow start allows now, given the sustained rate before the outage. */
        double slowStartRate(double sustained) {
            SlowStart slowStart = settings.slowStart();
            double done = state == EndpointState.WARMING ? (clock - slowStartAt) / slowStart.rampUpMs() : 0;
            double share = slowStart.initialCapacityShare() + (1 - slowStart.initialCapacityShare()) * done;
            return SLOW_START_LOAD_SHARE * slowStart.overloadMultiple() * share * sustained;
        }

        /** Whether it is up, and no outage is suspected of the endpoints that share its limit. */
        boolean isInFullService() {
            return state == EndpointState.UP && !limiter.evidence.isSuspected(clock);
        }

        void recordResult(Call call, AttemptResult result) {
            switch (result.outcome()) {
                case DELIVERED -> onDelivered(call, result);
                case FULL -> onRefused(call, result.retryAfterMs());
                case UNREACHABLE -> onFailure(UNREACHABLE_WEIGHT, "refuses connections");
                case ERROR -> {
                    onFailure(FAILURE_WEIGHT, "answers with errors");
                    errorOrRefusalWhileDown |= state == EndpointState.DOWN;
                }
                default -> {
                    connectionReuse.connectionLost(call.connection, clock);
                    onFailure(FAILURE_WEIGHT, "times out or drops connections");
                }
            }
            if (state == EndpointState.WARMING && clock - slowStartAt >= settings.slowStart().rampUpMs()) {
                markUp("completed its slow start");
            }
        }

        private void onDelivered(Call call, AttemptResult result) {
            // If the last delivery is this recent, no outage was long enough to require a slow start.
            boolean briefFailure = !errorOrRefusalWhileDown && clock - lastDeliveryAt < MIN_OUTAGE_MS;
            boolean mayEndOutage = limiter.evidence.isSuspected(clock);
            limiter.endpointDelivered(mayEndOutage);
            connectionReuse.connectionWorked(call.connection, call.overdue);
            failureScore *= DELIVERY_FACTOR;
            overdueCalls = 0;
            slotCancellations = 0;
            consecutiveFailures = 0;
            lastDeliveryAt = clock;
            latency = latency.withSample(result.durationMs());
            if (state == EndpointState.UP) {
                sustainedRate.addEvent(clock);
            } else if (state == EndpointState.DOWN && limiter.isRecovering()) {
                latency = latency.withMean(result.durationMs());
                startSlowStart();
            } else if (state == EndpointState.DOWN && downByOverdueCalls && call.sentAt < downAt
                    && result.durationMs() < MIN_OUTAGE_MS) {
                markUp("was slow but did answer, is up again");
            } else if (state == EndpointState.DOWN && briefFailure) {
                markUp("failed only briefly, is up again");
            } else if (state == EndpointState.DOWN) {
                latency = latency.withMean(result.durationMs());
                startSlowStart();
            }
            limiter.adjustRate(result.report().left());
        }

        private void onRefused(Call call, double retryAfterMs) {
            limiter.cutRate(call);
            if (countFailure()) {
                markRefusing();
            }
            limiter.endpointRefused(retryAfterMs);
        }

        private void markRefusing() {
            markDown("refuses messages or shares a rate limit with one that does");
            errorOrRefusalWhileDown = true;
        }

        /** Counts a failure or refusal; returns whether this many in a row, over this time, are an outage. */
        private boolean countFailure() {
            if (consecutiveFailures++ == 0) {
                firstFailureAt = clock;
            }
            return consecutiveFailures >= DOWN_FAILURES && clock - firstFailureAt >= MIN_OUTAGE_MS;
        }

        private void onFailure(double weight, String reason) {
            failureScore += (1 - failureScore) * weight;
            if (countFailure() || failureScore >= DOWN_SCORE) {
                markDown(reason);
            }
            limiter.endpointFailed(reason);
        }

        void onOverdue(Call call) {
            connectionReuse.connectionLost(call.connection, clock);
            limiter.evidence.recordOverdue(call.sentAt);
            if (lastDeliveryAt < call.sentAt && ++overdueCalls >= DOWN_OVERDUE_CALLS) {
                boolean wasDown = state == EndpointState.DOWN;
                markDown("does not answer");
                downByOverdueCalls = !wasDown;
            }
        }

        private void startSlowStart() {
            state = EndpointState.WARMING;
            slowStartAt = clock;
            nextSendAt = clock + 1 / recoveryRate();
            actions.log("endpoint " + entry.id() + " begins slow start after an outage or a suspected one");
            saveHealth();
        }

        private void markUp(String reason) {
            state = EndpointState.UP;
            nextSendAt = clock;
            // The time of the outage must not lower the sustained rate.
            sustainedRate.skipTo(clock);
            actions.log("endpoint " + entry.id() + " " + reason);
            saveHealth();
        }

        private void markDown(String reason) {
            downByOverdueCalls = false;
            if (state != EndpointState.DOWN) {
                state = EndpointState.DOWN;
                errorOrRefusalWhileDown = false;
                downAt = clock;
                nextSendAt = Math.max(clock, limiter.retryAfterUntil) + random.nextDouble() / recoveryRate();
                actions.log("endpoint " + entry.id() + " " + reason + ", only probes are sent");
                saveHealth();
            }
        }

        private void saveHealth() {
            actions.saveEndpointHealth(entry.id(), new EndpointHealth(state, clock, sustainedRate.perMs()));
        }

        /** Continues in the state before the restart: a backlog could overload a recovering endpoint. */
        void restore(EndpointHealth health) {
            state = health.state();
            sustainedRate.restore(health.sustainedPerMs());
            if (state == EndpointState.WARMING) {
                slowStartAt = health.sinceMs();
            }
            if (state != EndpointState.UP) {
                nextSendAt = clock + random.nextDouble() / recoveryRate();
                actions.log("endpoint " + entry.id() + " was " + state + " before the restart");
            }
        }
    }
}
