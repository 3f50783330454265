package kestreldeal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The reference implementation for {@link DeliveryScheduler}: it takes the same decisions, but without indexes. It
 * checks all waiting messages in each turn and all listed endpoints in each change of the list, as that class did
 * before it had indexes. Only three things were changed since:
 * <ul>
 * <li>After a send the check begins again at the highest priority, so that a refused message that the retry budget
 * blocked is sent before those of lower priority once a first send has made room in the budget.</li>
 * <li>A destination's share of the total demand is compared with a tolerance, as the sum is rounded differently.</li>
 * <li>Outages are detected and ended as in {@link DeliveryScheduler} now.</li>
 * </ul>
 * The nested types and constants are described there.
 */
final class ReferenceScheduler implements Relay {
    private static final double HEDGE_DELAY_SHARE = 0.5;
    private static final double HEDGES_ALWAYS_ALLOWED = 1;
    private static final double HEDGES_PER_FIRST_SEND = 0.1;
    private static final double BUDGET_PERIOD_MS = 10_000;
    private static final double RETRIES_ALWAYS_ALLOWED = 2;
    private static final double RETRIES_PER_FIRST_SEND = 0.3;
    private static final double BACKOFF_MS = 200;
    private static final double BACKOFF_FACTOR = 3;
    private static final double DEDUP_WINDOW_MARGIN_MS = 300;
    private static final double TIMEOUT_TARGET_FACTOR = 1.25;
    private static final double TIMEOUT_DEVIATIONS = 8;
    private static final double UNSAFE_TIMEOUT_SHARE = 0.33;
    private static final double LATENCY_SAMPLE_WEIGHT = 0.15;
    private static final double INITIAL_LATENCY_MS = 250;
    private static final double FAST_LATENCY_MS = 250;
    private static final double MIN_CANCEL_AGE_MS = 200;
    private static final double RATE_CUT_FACTOR = 0.7;
    private static final double MAX_RATE_OVER_SENT = 1.3;
    private static final double RATE_GROWTH_PER_DELIVERY = 0.05;
    private static final double TARGET_SHARE_LEFT = 0.5;
    private static final double SHARE_LEFT_GAIN_PER_S = 0.6;
    private static final double MAX_SHARE_LEFT_STEP_S = 3;
    private static final double MAX_SEND_INTERVAL_MS = 500;
    private static final double SEND_INTERVAL_GROWTH = 3;
    private static final int MAX_REFUSAL_LEVEL = 4;
    private static final double MIN_RATE_DEMAND_SHARE = 0.2;
    private static final double LISTED_RATE_SHARE = 0.5;
    private static final double REPORTED_RATE_SHARE = 0.9;
    private static final double REPORTED_RATE_WEIGHT = 0.2;
    private static final double REPORTED_RATE_MAX_STEP = 2;
    private static final double RATE_RESET_IDLE_MS = 60_000;
    private static final double CLOCK_MARGIN_MS = 1;
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double DELIVERY_FACTOR = 0.6;
    private static final double DOWN_SCORE = 0.6;
    private static final int DOWN_OVERDUE_CALLS = 2;
    private static final double OVERDUE_DEVIATIONS = 4;
    private static final int DOWN_FAILURES = 3;
    private static final double MIN_OUTAGE_MS = 2500;
    private static final double MIN_PROBE_INTERVAL_MS = 500;
    private static final double MAX_PROBE_INTERVAL_RAMPS = 4;
    private static final double SLOW_START_LOAD_SHARE = 0.7;
    private static final double RATE_AVERAGING_MS = 10_000;
    private static final double ASSUMED_DEMAND_SHARE = 0.7;
    private static final double RATE_AVERAGING_MIN_MS = 2000;
    private static final double REMOVED_RETENTION_MS = 30_000;
    private static final double MIN_IDLE_MS = 100;
    private static final double REUSE_IDLE_SHARE = 0.25;
    private static final double IDLE_LOSS_MEMORY_MS = 30_000;
    private static final double PRIORITY_HORIZON_MS = 1500;
    private static final double PRIORITY_VALUE_WEIGHT = 0.01;
    private static final double MS_PER_FEE_POINT = 25_000;
    private static final Comparator<Delivery> HIGHEST_PRIORITY_FIRST =
            Comparator.comparingDouble((Delivery d) -> -d.priority).thenComparingDouble(d -> d.targetAt);
    private static final double RESULT_MARGIN_MS = 5;

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    /** Whether a call of some kind of destination may carry several messages. */
    private final boolean callsCanBeJoined;
    private final Map<Long, TrackedEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<Long, Destination> destinations = new LinkedHashMap<>();
    private final Map<Long, Consumer<TrackedEndpoint>> pendingRestores = new LinkedHashMap<>();
    /** When the first of these restores was requested, and the end of the longest wait among them. */
    private final Map<Long, Double> pendingSince = new LinkedHashMap<>();
    private final Map<Long, Double> pendingWaitUntil = new LinkedHashMap<>();
    private final Map<Long, Delivery> deliveries = new LinkedHashMap<>();
    private final Set<Delivery> waiting = new LinkedHashSet<>();
    private final Set<Attempt> inFlightAttempts = new LinkedHashSet<>();
    private final Deque<Double> firstSends = new ArrayDeque<>();
    private final SendBudget hedgeBudget = new SendBudget(HEDGES_ALWAYS_ALLOWED, HEDGES_PER_FIRST_SEND);
    private final SendBudget retryBudget = new SendBudget(RETRIES_ALWAYS_ALLOWED, RETRIES_PER_FIRST_SEND);
    private final IdleConnectionReuse connectionReuse = new IdleConnectionReuse();
    private final KeyOrder keyOrder = new KeyOrder();
    private final Timers timers = new Timers();
    private int slotsUsed;
    private long turn;
    private double shutdownAt = Double.POSITIVE_INFINITY;
    private double clock = Double.NEGATIVE_INFINITY;

    ReferenceScheduler(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.callsCanBeJoined = settings.kinds().stream().anyMatch(kind -> kind.maxBatchSize() > 1);
    }


    @Override
    public void endpointsChanged(double nowMs, boolean fullList, List<Endpoint> entries) {
        advanceClock(nowMs);
        if (fullList) {
            endpoints.values().forEach(TrackedEndpoint::markRemoved);
        }
        for (Endpoint entry : entries) {
            TrackedEndpoint endpoint = endpoints.computeIfAbsent(entry.id(), unknown -> new TrackedEndpoint(entry));
            Optional.ofNullable(pendingRestores.remove(entry.id())).ifPresent(restore -> restore.accept(endpoint));
            pendingSince.remove(entry.id());
            pendingWaitUntil.remove(entry.id());
            endpoint.limiter.listedRate = settings.ratesListed() ? entry.listedRatePerSecond() / 1000 : 0;
            if (entry.removed()) {
                endpoint.markRemoved();
            } else {
                endpoint.serving = entry.serving();
                endpoint.removedAt = Double.POSITIVE_INFINITY;
            }
        }
    }

    @Override
    public void endpointListCompleted(double nowMs) {
        advanceClock(nowMs);
        for (TrackedEndpoint endpoint : List.copyOf(endpoints.values())) {
            if (endpoint.isRetentionOver()) {
                endpoints.remove(endpoint.entry.id());
                endpoint.destination.endpoints.remove(endpoint);
                actions.endpointForgotten(endpoint.entry.id());
            }
        }
        for (long id : List.copyOf(pendingRestores.keySet())) {
            if (clock > pendingSince.get(id) + REMOVED_RETENTION_MS && pendingWaitUntil.get(id) <= clock) {
                pendingRestores.remove(id);
                pendingSince.remove(id);
                pendingWaitUntil.remove(id);
                actions.endpointForgotten(id);
            }
        }
    }

    @Override
    public void messageAccepted(double nowMs, Message message) {
        advanceClock(nowMs);
        accept(message).destination.demand.addEvent();
    }

    @Override
    public void messageRestored(double nowMs, Message message, List<EarlierAttempt> attempts) {
        advanceClock(nowMs);
        Delivery d = accept(message);
        d.destination.endpoints.forEach(e -> e.limiter.messageRestored());
        for (EarlierAttempt earlier : attempts) {
            Optional<TrackedEndpoint> endpoint = Optional.ofNullable(endpoints.get(earlier.endpoint()));
            Attempt attempt = new Attempt(d, endpoint, earlier.sentAtMs());
            attempt.mayHaveRun = earlier.mayHaveRun();
            if (earlier.inFlightCallId().isPresent()) {
                attemptStarted(attempt, endpoint.map(e -> e.adoptCall(earlier)), d.inFlight > 0);
            }
        }
        keyOrder.messageRestored(d);
        if (!attempts.isEmpty() && d.inFlight == 0) {
            finishWithoutFurtherAttempt(d);
        }
    }

    @Override
    public void restoreEndpointHealth(double nowMs, long endpointId, EndpointHealth health) {
        advanceClock(nowMs);
        restoreWhenListed(endpointId, clock, endpoint -> endpoint.restore(health));
    }

    @Override
    public void restoreLearnedState(double nowMs, LearnedState state) {
        advanceClock(nowMs);
        state.firstSendsAgo().forEach(ago -> firstSends.add(clock - ago));
        state.copiesAgo().forEach(ago -> hedgeBudget.recordSend(clock - ago));
        state.retriesAgo().forEach(ago -> retryBudget.recordSend(clock - ago));
        state.endpoints().forEach(learned ->
                restoreWhenListed(learned.endpoint(), clock + learned.waitLeftMs(),
                        endpoint -> endpoint.restore(learned)));
    }

    private void restoreWhenListed(long endpointId, double waitUntil, Consumer<TrackedEndpoint> restore) {
        TrackedEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint == null) {
            pendingRestores.merge(endpointId, restore, Consumer::andThen);
            pendingSince.putIfAbsent(endpointId, clock);
            pendingWaitUntil.merge(endpointId, waitUntil, Math::max);
        } else {
            restore.accept(endpoint);
        }
    }

    @Override
    public LearnedState learnedState(double nowMs) {
        advanceClock(nowMs);
        return new LearnedState(endpoints.values().stream().map(TrackedEndpoint::learnedState).toList(),
                ages(firstSends), ages(hedgeBudget.extraSends), ages(retryBudget.extraSends));
    }

    private List<Double> ages(Deque<Double> times) {
        return times.stream().map(time -> clock - time).toList();
    }

    @Override
    public void shutdownScheduled(double nowMs, double endMs) {
        advanceClock(nowMs);
        shutdownAt = endMs;
    }

    @Override
    public EndpointCounts endpointCounts() {
        List<TrackedEndpoint> listed = endpoints.values().stream().filter(e -> e.removedAt > clock).toList();
        long available = listed.stream().filter(e -> e.serving && e.state != EndpointState.DOWN).count();
        return new EndpointCounts(listed.size(), (int) (listed.size() - available));
    }

    private Delivery accept(Message message) {
        if (message.messageClass() < 0 || message.messageClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("unknown message class " + message.messageClass());
        }
        if (deliveries.containsKey(message.id())) {
            throw new IllegalArgumentException("message " + message.id() + " was already accepted");
        }
        Delivery d = new Delivery(message);
        deliveries.put(message.id(), d);
        keyOrder.messageAccepted(d);
        waiting.add(d);
        timers.add(d.deadline - RESULT_MARGIN_MS, () -> finishUndelivered(d));
        return d;
    }

    @Override
    public void attemptCompleted(double nowMs, AttemptResult result) {
        advanceClock(nowMs);
        Delivery d = deliveries.get(result.message());
        if (d == null || result.attempt() < 0 || result.attempt() >= d.attempts.size()) {
            throw new IllegalArgumentException("unknown attempt " + result.attempt() + " of message "
                    + result.message());
        }
        Attempt attempt = d.attempts.get(result.attempt());
        if (!attempt.inFlight) {
            attempt.mayHaveRun = attempt.mayHaveRun && result.outcome().mayHaveRun();
            if (result.messageFinished()) {
                complete(d);
            }
            return;
        }
        attempt.inFlight = false;
        inFlightAttempts.remove(attempt);
        attempt.mayHaveRun = result.outcome().mayHaveRun();
        d.refused = result.outcome() == Outcome.FULL;
        d.inFlight--;
        attempt.call.ifPresent(call -> call.attemptCompleted(result));
        keyOrder.attemptCompleted(d, result.outcome());
        if (result.messageFinished()) {
            complete(d);
        }
        if (d.completed) {
            removeUnlessInFlight(d);
        } else if (d.inFlight == 0) {
            scheduleNextRound(d);
        }
    }

    @Override
    public void retryAfterReceived(double nowMs, long endpointId, double retryAfterMs) {
        advanceClock(nowMs);
        Optional.ofNullable(endpoints.get(endpointId))
                .ifPresent(endpoint -> endpoint.limiter.recordRetryAfter(retryAfterMs));
    }

    @Override
    public boolean sendAllowed(double nowMs, long endpointId) {
        return Optional.ofNullable(endpoints.get(endpointId))
                .filter(endpoint -> endpoint.serving && endpoint.limiter.retryAfterUntil <= nowMs).isPresent();
    }

    @Override
    public void messageCancelled(double nowMs, long message) {
        advanceClock(nowMs);
        Optional.ofNullable(deliveries.get(message)).ifPresent(this::complete);
    }

    @Override
    public void wake(double nowMs) {
        advanceClock(nowMs);
    }

    @Override
    public void endTurn(double nowMs) {
        advanceClock(nowMs);
        timers.fireDue(nowMs);
        dispatch();
        timers.requestWake(nowMs, nextReadyAt());
        turn++;
    }

    private double minProbeRate() {
        return 1 / Math.min(MIN_PROBE_INTERVAL_MS * settings.senderCount(),
                MAX_PROBE_INTERVAL_RAMPS * settings.slowStart().rampUpMs());
    }

    private Destination destination(long id) {
        return destinations.computeIfAbsent(id, unknown -> new Destination());
    }

    private void removeOlderThan(Deque<Double> times, double periodMs) {
        while (!times.isEmpty() && times.peek() < clock - periodMs) {
            times.remove();
        }
    }

    private void advanceClock(double nowMs) {
        if (nowMs < clock) {
            throw new IllegalArgumentException("the event time went backwards");
        }
        clock = nowMs;
    }


    private void dispatch() {
        List<Delivery> candidates = new ArrayList<>();
        List<Delivery> lackingSlot = new ArrayList<>();
        for (Delivery d : waiting) {
            Destination destination = d.destination;
            if (destination.checkedInTurn != turn) {
                destination.checkedInTurn = turn;
                destination.readyInTurn = destination.isReady();
                destination.slotAvailableInTurn = callsCanBeJoined || destination.slotAvailable();
            }
            if (destination.readyInTurn && d.notBefore <= clock) {
                (destination.slotAvailableInTurn ? candidates : lackingSlot).add(d);
            }
        }
        candidates.forEach(d -> d.priority = d.priority());
        candidates.sort(HIGHEST_PRIORITY_FIRST);
        List<Delivery> remaining = new ArrayList<>(candidates);
        boolean anyDeferred = false;
        for (int i = 0; i < remaining.size();) {
            Delivery d = remaining.get(i);
            boolean canSend = (callsCanBeJoined || slotsUsed < settings.slotCount()) && d.destination.isReady();
            Optional<TrackedEndpoint> endpoint = canSend ? chooseEndpoint(d, false) : Optional.empty();
            boolean isDeferred = canSend && endpoint.isEmpty() && needsCallOfItsOwn(d);
            anyDeferred |= isDeferred;
            if (endpoint.isPresent() || !d.refused || isDeferred) {
                remaining.remove(i);
            } else {
                i++;
            }
            if (endpoint.isPresent()) {
                send(d, endpoint.get(), false);
                i = 0;
            }
        }
        if (anyDeferred) {
            timers.add(clock, () -> { });
        }
        lackingSlot.addAll(candidates);
        if (slotsUsed >= settings.slotCount() - 1 && lackingSlot.stream().anyMatch(this::lacksOnlySlot)) {
            cancelSlowestCall();
        }
    }

    private boolean needsCallOfItsOwn(Delivery d) {
        return d.destination.endpoints.stream()
                .anyMatch(e -> e.canJoinCall() && !e.latestCall.canCarry(d) && sendConditionsMet(d, e));
    }

    private boolean lacksOnlySlot(Delivery d) {
        return d.inFlight == 0 && d.destination.endpoints.stream()
                .anyMatch(e -> e.isReady() && !e.slotAvailable() && sendConditionsMet(d, e));
    }

    private void cancelSlowestCall() {
        if (!settings.cancellation()) {
            return;
        }
        inFlightAttempts.stream().filter(a -> !a.cancelledForSlot && a.overdueRatio() > 1)
                .filter(a -> inFlightAttempts.stream().noneMatch(other -> other.call.equals(a.call)
                        && other.delivery.messageClass.repeat() == Repeat.UNSAFE))
                .max(Comparator.comparingDouble(Attempt::overdueRatio)).ifPresent(slowest -> {
                    slowest.endpoint.get().cancelledForSlots++;
                    slowest.call.ifPresent(Call::overdue);
                    for (Attempt attempt : List.copyOf(inFlightAttempts)) {
                        if (attempt.call.equals(slowest.call)) {
                            attempt.cancelledForSlot = true;
                            actions.cancel(attempt.delivery.message.id(), attempt.delivery.attempts.indexOf(attempt));
                        }
                    }
                });
    }

    private Optional<TrackedEndpoint> chooseEndpoint(Delivery d, boolean hedged) {
        List<TrackedEndpoint> candidates = d.destination.endpoints;
        boolean elsewhere = hedged && candidates.stream().anyMatch(e -> e.serving && !d.isInFlightAt(e));
        return candidates.stream()
                .filter(e -> !(elsewhere && d.isInFlightAt(e) || hedged && e.state == EndpointState.DOWN)
                && canSend(d, e))
                .min(Comparator.comparingDouble(e -> e.cost(d)));
    }

    private boolean canSend(Delivery d, TrackedEndpoint endpoint) {
        return sendConditionsMet(d, endpoint) && (endpoint.canJoinCall() ? endpoint.latestCall.canCarry(d)
                : endpoint.slotAvailable() && endpoint.isReady());
    }

    private boolean sendConditionsMet(Delivery d, TrackedEndpoint endpoint) {
        return !d.completed && endpoint.serving
                && clock < d.deadline - RESULT_MARGIN_MS
                && d.attempts.size() < settings.maxAttempts()
                && mayRepeat(d, endpoint)
                && keyOrder.allows(d)
                && (!d.refused || d.inFlight > 0 || retryBudget.allowsSend())
                && endpoint.limiter.retryAfterUntil <= clock
                && clock + endpoint.expectedDuration(d.messageClass) <= shutdownAt;
    }

    private boolean mayRepeat(Delivery d, TrackedEndpoint endpoint) {
        return mayRepeat(d) && !(d.messageClass.repeat() == Repeat.KEYED && d.messageClass.dedupWithinZone()
                && d.attempts.stream().anyMatch(a -> (a.inFlight || a.mayHaveRun) && !a.isInSameZone(endpoint)));
    }

    private boolean mayRepeat(Delivery d) {
        for (Attempt earlier : d.attempts) {
            if (!earlier.inFlight && !earlier.mayHaveRun) {
                continue;
            }
            if (earlier.inFlight && !settings.hedging() || d.messageClass.repeat() == Repeat.UNSAFE) {
                return false;
            }
            if (d.messageClass.repeat() == Repeat.KEYED
                    && clock > earlier.sentAt + d.messageClass.dedupWindowMs() - DEDUP_WINDOW_MARGIN_MS) {
                return false;
            }
        }
        return true;
    }

    private void send(Delivery d, TrackedEndpoint endpoint, boolean hedged) {
        Call call = endpoint.joinOrStartCall(d);
        Attempt attempt = new Attempt(d, Optional.of(endpoint), clock);
        if (hedged) {
            hedgeBudget.recordSend(clock);
        } else if (d.attempts.size() == 1) {
            firstSends.add(clock);
            removeOlderThan(firstSends, BUDGET_PERIOD_MS);
        } else if (d.refused) {
            retryBudget.recordSend(clock);
        }
        double timeout = Math.min(endpoint.timeout(d.messageClass), d.deadline - clock);
        actions.send(d.message.id(), endpoint.entry.id(), timeout);
        attemptStarted(attempt, Optional.of(call), hedged);
    }

    private void attemptStarted(Attempt attempt, Optional<Call> call, boolean hedged) {
        Delivery d = attempt.delivery;
        attempt.call = call;
        attempt.inFlight = true;
        inFlightAttempts.add(attempt);
        d.inFlight++;
        waiting.remove(d);
        keyOrder.attemptSent(d);
        double hedgeDelay = d.messageClass.targetLatencyMs() * HEDGE_DELAY_SHARE;
        if (!hedged && clock <= attempt.sentAt + hedgeDelay) {
            timers.add(attempt.sentAt + hedgeDelay, () -> hedgeDelayPassed(d, attempt));
        }
        call.ifPresent(c -> timers.add(attempt.sentAt + Math.max(hedgeDelay, c.endpoint.overdueAfter()), c::overdue));
    }

    private void hedgeDelayPassed(Delivery d, Attempt attempt) {
        boolean hedge = attempt.inFlight && d.messageClass.repeat() != Repeat.UNSAFE && settings.hedging();
        if (hedge && !d.completed && slotsUsed < settings.slotCount() && hedgeBudget.allowsSend()) {
            chooseEndpoint(d, true).ifPresent(endpoint -> send(d, endpoint, true));
        }
    }

    private void scheduleNextRound(Delivery d) {
        finishWithoutFurtherAttempt(d);
        if (d.completed) {
            return;
        }
        double backoff = BACKOFF_MS * Math.pow(BACKOFF_FACTOR, d.rounds) * (0.75 + 0.5 * random.nextDouble());
        d.notBefore = clock + Math.min(backoff, (d.deadline - clock) / 2);
        d.rounds++;
        waiting.add(d);
        timers.add(d.notBefore, () -> { });
    }

    private void finishWithoutFurtherAttempt(Delivery d) {
        if (!furtherAttemptPossible(d)) {
            finishUndelivered(d);
        } else if (d.messageClass.repeat() == Repeat.KEYED) {
            d.attempts.stream().filter(a -> a.mayHaveRun).mapToDouble(a -> a.sentAt).min().ifPresent(first ->
                    timers.add(first + d.messageClass.dedupWindowMs() - DEDUP_WINDOW_MARGIN_MS
                            + CLOCK_MARGIN_MS, () -> {
                        if (!furtherAttemptPossible(d)) {
                            finishUndelivered(d);
                        }
                    }));
        }
    }

    private boolean furtherAttemptPossible(Delivery d) {
        return d.attempts.size() < settings.maxAttempts() && clock < d.deadline - RESULT_MARGIN_MS
                && (d.destination.endpoints.isEmpty() ? mayRepeat(d)
                        : d.destination.endpoints.stream().anyMatch(e -> mayRepeat(d, e)));
    }

    private void finishUndelivered(Delivery d) {
        if (d.completed || d.inFlight > 0) {
            return;
        }
        boolean repeatable = d.messageClass.repeat() == Repeat.SAFE
                || d.messageClass.repeat() == Repeat.KEYED && !d.messageClass.dedupWithinZone();
        if (repeatable || d.attempts.stream().noneMatch(a -> a.inFlight || a.mayHaveRun)) {
            actions.reject(d.message.id(), Math.max(0, d.destination.nextReadyAt() - clock));
        } else {
            actions.fail(d.message.id());
        }
        complete(d);
    }

    private void complete(Delivery d) {
        if (d.completed) {
            return;
        }
        d.completed = true;
        waiting.remove(d);
        keyOrder.messageCompleted(d);
        for (int i = 0; i < d.attempts.size(); i++) {
            if (d.attempts.get(i).inFlight && settings.cancellation()) {
                actions.cancel(d.message.id(), i);
            }
        }
        removeUnlessInFlight(d);
    }

    private void removeUnlessInFlight(Delivery d) {
        if (d.inFlight == 0) {
            deliveries.remove(d.message.id());
        }
    }

    private double nextReadyAt() {
        return destinations.values().stream().filter(destination -> destination.checkedInTurn == turn)
                .flatMap(destination -> destination.endpoints.stream()).filter(e -> e.serving)
                .mapToDouble(TrackedEndpoint::readyAt)
                .filter(at -> at > clock).min().orElse(Double.POSITIVE_INFINITY);
    }


    private final class Delivery {
        final Message message;
        final MessageClass messageClass;
        final Destination destination;
        final double targetAt;
        final double deadline;
        final double sharedUntil;
        final List<Attempt> attempts = new ArrayList<>();
        double notBefore = Double.NEGATIVE_INFINITY;
        double priority;
        int rounds;
        boolean refused;
        int inFlight;
        boolean completed;

        Delivery(Message message) {
            this.message = message;
            this.messageClass = settings.classes().get(message.messageClass());
            this.destination = destination(message.destination());
            this.deadline = clock + message.timeLeftMs();
            this.sharedUntil = clock + Math.min(message.timeLeftMs(), message.budgetLeftMs());
            this.targetAt = deadline - messageClass.deadlineMs() + messageClass.targetLatencyMs();
        }
        boolean isInFlightAt(TrackedEndpoint endpoint) {
            return attempts.stream().anyMatch(a -> a.inFlight && a.endpoint.filter(e -> e == endpoint).isPresent());
        }
        double valueAt(double timeMs) {
            if (timeMs > deadline) {
                return 0;
            }
            double late = Math.max(0, timeMs - targetAt);
            double share = settings.valueDecay() == Decay.HALVING
                    ? Math.max(messageClass.minValueShare(), Math.pow(0.5, late / messageClass.targetLatencyMs()))
                    : 1 - (1 - messageClass.minValueShare()) * late / Math.max(1,
                    messageClass.deadlineMs() - messageClass.targetLatencyMs());
            return messageClass.value() * share;
        }
        double priority() {
            double value = valueAt(clock);
            return value - valueAt(clock + PRIORITY_HORIZON_MS) + PRIORITY_VALUE_WEIGHT * value;
        }
    }

    private final class Attempt {
        final Delivery delivery;
        final Optional<TrackedEndpoint> endpoint;
        final double sentAt;
        Optional<Call> call = Optional.empty();
        boolean inFlight;
        boolean mayHaveRun;
        boolean cancelledForSlot;

        Attempt(Delivery delivery, Optional<TrackedEndpoint> endpoint, double sentAt) {
            this.delivery = delivery;
            this.endpoint = endpoint;
            this.sentAt = sentAt;
            delivery.attempts.add(this);
        }
        double overdueRatio() {
            return endpoint.map(e -> (clock - sentAt)
                    / (Math.max(e.overdueAfter(), MIN_CANCEL_AGE_MS) * (1 + e.cancelledForSlots))).orElse(0.0);
        }
        boolean isInSameZone(TrackedEndpoint other) {
            return endpoint.filter(e -> e.entry.zone() == other.entry.zone()).isPresent();
        }
    }

    private final class Call {
        final TrackedEndpoint endpoint;
        final double sentAt;
        final long sentTurn = turn;
        final OptionalLong previousId;
        final double connIdleMs;
        int attempts;
        int attemptsInFlight;
        double sharedUntil = Double.POSITIVE_INFINITY;
        double lastTimeoutAt = Double.NEGATIVE_INFINITY;
        boolean resultRecorded;
        boolean overdue;

        Call(TrackedEndpoint endpoint, double sentAt, OptionalLong previousId) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
            this.previousId = previousId;
            this.connIdleMs = connectionReuse.takeConnection(endpoint);
            endpoint.lastUsedAt = clock;
            slotsUsed++;
            endpoint.calls.add(this);
            endpoint.destination.callsInFlight++;
        }

        boolean canCarry(Delivery d) {
            double endAt = Math.min(sharedUntil, d.sharedUntil);
            return Math.max(lastTimeoutAt, endpoint.timeoutAt(d)) <= endAt
                    || clock + endpoint.meanLatency <= endAt;
        }

        void add(Delivery d) {
            attempts++;
            attemptsInFlight++;
            sharedUntil = Math.min(sharedUntil, d.sharedUntil);
            lastTimeoutAt = Math.max(lastTimeoutAt, endpoint.timeoutAt(d));
        }

        void attemptCompleted(AttemptResult result) {
            attemptsInFlight--;
            endpoint.limiter.recordRetryAfter(result.retryAfterMs());
            endpoint.limiter.recordReportedRate(result.report().rate());
            boolean early = result.outcome() == Outcome.TIMED_OUT && clock - sentAt < endpoint.overdueAfter();
            if (!early && !resultRecorded && result.outcome() != Outcome.CANCELLED
                    && result.outcome() != Outcome.NOT_SENT) {
                resultRecorded = true;
                endpoint.recordResult(this, result);
            }
            endpoint.lastUsedAt = clock;
            if (attemptsInFlight == 0) {
                slotsUsed--;
                endpoint.calls.remove(this);
                endpoint.destination.callsInFlight--;
            }
        }

        void overdue() {
            if (!overdue && !resultRecorded && attemptsInFlight > 0) {
                overdue = true;
                endpoint.onOverdue(this);
            }
        }
    }

    private final class Destination {
        final List<TrackedEndpoint> endpoints = new ArrayList<>();
        final RateLimiter sharedLimiter = new RateLimiter(this);
        final EventRate demand = new EventRate();
        int callsInFlight;
        /** The turn in which the two fields below were set. */
        long checkedInTurn = -1;
        boolean readyInTurn;
        boolean slotAvailableInTurn;

        long servingCount() {
            return Math.max(1, endpoints.stream().filter(e -> e.serving).count());
        }
        boolean isReady() {
            return endpoints.stream()
                    .anyMatch(e -> e.serving && (e.canJoinCall() || e.limiter.retryAfterUntil <= clock && e.isReady()));
        }
        boolean slotAvailable() {
            return endpoints.stream().anyMatch(e -> e.serving && e.slotAvailable());
        }
        double shareOfTotalDemand() {
            return demand.weightedEvents
                    / destinations.values().stream().mapToDouble(d -> d.demand.weightedEvents).sum();
        }
        double nextReadyAt() {
            return endpoints.stream().filter(e -> e.serving).mapToDouble(TrackedEndpoint::readyAt).min()
                    .orElse(clock);
        }
    }

    private final class RateLimiter {
        final EventRate sendRate = new EventRate();
        final Deque<Double> lastSecondSends = new ArrayDeque<>();
        final Destination destination;
        int refusalLevel;
        double listedRate;
        double reportedRate;
        double allowedRate = Double.POSITIVE_INFINITY;
        double nextSendAt = Double.NEGATIVE_INFINITY;
        double retryAfterUntil = Double.NEGATIVE_INFINITY;
        double rateCutAt = Double.NEGATIVE_INFINITY;
        final OutageEvidence evidence = new OutageEvidence(clock, MIN_OUTAGE_MS);
        double recoveredAt = Double.NEGATIVE_INFINITY;
        double nextRecoverySendAt = Double.NEGATIVE_INFINITY;

        RateLimiter(Destination destination) {
            this.destination = destination;
        }

        void recordSend() {
            if (!lastSecondSends.isEmpty() && lastSecondSends.peekLast() < clock - RATE_RESET_IDLE_MS) {
                allowedRate = Double.POSITIVE_INFINITY;
            }
            sendRate.addEvent();
            lastSecondSends.add(clock);
            removeOlderThan(lastSecondSends, 1000);
            if (allowedRate < Double.POSITIVE_INFINITY) {
                nextSendAt = Math.max(nextSendAt + 1 / allowedRate, clock);
            }
        }

        void messageRestored() {
            evidence.messageRestored();
            if (allowedRate == Double.POSITIVE_INFINITY && fairShare(0) > 0) {
                allowedRate = fairShare(0);
                nextSendAt = clock + random.nextDouble() / allowedRate;
            }
        }

        void recordRetryAfter(double retryAfterMs) {
            retryAfterUntil = retryAfterMs > 0
                    ? Math.max(retryAfterUntil, clock + retryAfterMs + CLOCK_MARGIN_MS) : retryAfterUntil;
        }

        void recordReportedRate(double perSecond) {
            if (perSecond > 0 && perSecond < Double.POSITIVE_INFINITY) {
                double perMs = perSecond / 1000;
                reportedRate = reportedRate == 0 ? perMs : reportedRate + REPORTED_RATE_WEIGHT
                        * (Math.max(reportedRate / REPORTED_RATE_MAX_STEP,
                        Math.min(perMs, reportedRate * REPORTED_RATE_MAX_STEP)) - reportedRate);
            }
        }

        void cutRate(Call call) {
            if (call.sentAt < rateCutAt) {
                return;
            }
            boolean limited = allowedRate < Double.POSITIVE_INFINITY;
            double currentRate = limited ? allowedRate : lastSecondSends.size() / 1000.0;
            currentRate = limited || fairShare(0) > 0
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
            double seconds = Math.min(MAX_SHARE_LEFT_STEP_S, Math.max(1, 1 / (1000 * allowedRate)));
            boolean reported = shareLeft >= 0 && shareLeft <= 1;
            allowedRate *= 1 + (reported
                    ? SHARE_LEFT_GAIN_PER_S * seconds * (shareLeft - TARGET_SHARE_LEFT)
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
        void endpointFailed(String reason) {
            evidence.recordFailure(clock);
            if (evidence.isOutage(clock)) {
                endpoints().forEach(e -> e.markDown(reason));
            }
        }
        void endpointRefused(double retryAfterMs) {
            if (retryAfterMs >= MIN_OUTAGE_MS) {
                endpoints().forEach(TrackedEndpoint::markRefusing);
            }
        }
        void endpointDelivered(boolean mayEndOutage) {
            evidence.recordDelivery(clock);
            if (mayEndOutage) {
                recoveredAt = clock;
                endpoints().stream().filter(e -> e.state == EndpointState.UP).forEach(TrackedEndpoint::startSlowStart);
            }
        }
        boolean isRecovering() {
            return clock - recoveredAt < settings.slowStart().rampUpMs();
        }
        double recoveryRate(TrackedEndpoint next) {
            double endpointShare = this == destination.sharedLimiter ? 1 : 1.0 / destination.servingCount();
            double assumed = destination.demand.perMs() * endpointShare * ASSUMED_DEMAND_SHARE;
            double sustainedRate = endpoints().stream().mapToDouble(e -> e.sustainedRate.perMs()).sum();
            return Math.max(minProbeRate(),
                    next.slowStartRate(Math.max(sustainedRate, Math.max(assumed, fairShare(0)))));
        }
        double fairShare(int level) {
            double reportedShare = REPORTED_RATE_SHARE * reportedRate / (1 + level);
            return Math.max(LISTED_RATE_SHARE * listedRate, reportedShare) / settings.senderCount();
        }
        private double minRate() {
            double fairShare = fairShare(refusalLevel);
            return Math.max(MIN_RATE_DEMAND_SHARE * destination.demand.perMs(),
                    fairShare > 0 ? fairShare
                    : 1 / (MAX_SEND_INTERVAL_MS * Math.pow(SEND_INTERVAL_GROWTH, refusalLevel)));
        }
    }

    private final class EventRate {
        double weightedEvents;
        double weightedMs;
        double updatedAtMs = clock;

        void addEvent() {
            double decay = Math.exp((updatedAtMs - clock) / RATE_AVERAGING_MS);
            weightedEvents = weightedEvents * decay + 1;
            weightedMs = weightedMs * decay + RATE_AVERAGING_MS * (1 - decay);
            updatedAtMs = clock;
        }

        void restore(double perMs) {
            weightedEvents = perMs * RATE_AVERAGING_MS;
            weightedMs = RATE_AVERAGING_MS;
        }
        double perMs() {
            return weightedEvents / Math.max(weightedMs, RATE_AVERAGING_MIN_MS);
        }
    }

    private final class TrackedEndpoint {
        final Endpoint entry;
        final Destination destination;
        final RateLimiter limiter;
        final int maxBatchSize;
        final double zoneFee;
        boolean serving;
        EndpointState state = EndpointState.UP;
        Call latestCall;
        final Deque<Call> calls = new ArrayDeque<>();
        double meanLatency = INITIAL_LATENCY_MS;
        double latencyDeviation = INITIAL_LATENCY_MS / 2;
        double failureScore;
        int overdueCalls;
        int cancelledForSlots;
        int consecutiveFailures;
        double firstFailureAt;
        double lastDeliveryAt = Double.NEGATIVE_INFINITY;
        final EventRate sustainedRate = new EventRate();
        double slowStartAt;
        double downAt;
        boolean downOnlyOverdue;
        boolean failedWhileDown;
        double nextSendAt = Double.NEGATIVE_INFINITY;
        double lastUsedAt = Double.NEGATIVE_INFINITY;
        double removedAt = Double.POSITIVE_INFINITY;

        TrackedEndpoint(Endpoint entry) {
            DestinationKind kind = settings.kinds().get(Math.min(entry.kind(), settings.kinds().size() - 1));
            this.entry = entry;
            this.destination = ReferenceScheduler.this.destination(entry.destination());
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
                    sustainedRate.perMs(), meanLatency, latencyDeviation, clock - lastDeliveryAt);
        }

        void restore(LearnedEndpointState learned) {
            limiter.restore(learned);
            sustainedRate.restore(learned.carried());
            meanLatency = learned.latencyMs();
            latencyDeviation = learned.deviationMs();
            lastDeliveryAt = clock - learned.goodAgoMs();
        }

        void markRemoved() {
            serving = false;
            removedAt = Math.min(removedAt, clock);
        }
        boolean isRetentionOver() {
            return clock > Math.max(removedAt, lastUsedAt) + REMOVED_RETENTION_MS && calls.isEmpty()
                    && limiter.retryAfterUntil <= clock;
        }
        double cost(Delivery d) {
            if (state == EndpointState.DOWN) {
                return (d.messageClass.repeat() == Repeat.UNSAFE ? 1 : -1) * Double.POSITIVE_INFINITY;
            }
            double freeShare = 1 - (double) slotsUsed / settings.slotCount();
            return meanLatency * (1 + calls.size()) + consecutiveFailures * MIN_OUTAGE_MS
                    + zoneFee * MS_PER_FEE_POINT * freeShare;
        }
        boolean canJoinCall() {
            return latestCall != null && latestCall.sentTurn == turn && latestCall.attempts < maxBatchSize
                    && state != EndpointState.DOWN;
        }

        Call joinOrStartCall(Delivery d) {
            if (!canJoinCall()) {
                latestCall = new Call(this, clock, OptionalLong.empty());
                limiter.recordSend();
                nextSendAt = state == EndpointState.UP ? nextSendAt : clock + 1 / recoveryRate();
            }
            if (!isInFullService()) {
                limiter.nextRecoverySendAt = clock + 1 / limiter.recoveryRate(this);
            }
            latestCall.add(d);
            return latestCall;
        }

        Call adoptCall(EarlierAttempt attempt) {
            Call call = calls.stream().filter(c -> c.previousId.equals(attempt.inFlightCallId())).findFirst()
                    .orElseGet(() -> new Call(this, attempt.sentAtMs(), attempt.inFlightCallId()));
            call.attemptsInFlight++;
            return call;
        }
        boolean slotAvailable() {
            int freeSlots = settings.slotCount() - slotsUsed;
            boolean fast = meanLatency <= FAST_LATENCY_MS && lastDeliveryAt > Double.NEGATIVE_INFINITY
                    && calls.stream().skip(DOWN_OVERDUE_CALLS - 1).limit(1)
                    .allMatch(c -> clock - c.sentAt <= overdueAfter());
            boolean belowShare =
                    destination.callsInFlight + 1 + 1e-6 < settings.slotCount() * destination.shareOfTotalDemand();
            return fast && freeSlots > (belowShare ? 0 : 1)
                    || freeSlots > 0 && destination.callsInFlight < Math.max(1, freeSlots - 1);
        }
        boolean isReady() {
            return limiter.nextSendAt <= clock && ownReadyAt() <= clock
                    && (isInFullService() || limiter.nextRecoverySendAt <= clock);
        }
        double readyAt() {
            double earliest = Math.max(Math.max(limiter.retryAfterUntil, limiter.nextSendAt), nextSendAt);
            return isInFullService() ? earliest : Math.max(earliest, limiter.nextRecoverySendAt);
        }
        /** When the endpoint itself is ready, without regard to its rate limit; never while a probe is in flight. */
        double ownReadyAt() {
            return state == EndpointState.DOWN && !calls.isEmpty() ? Double.POSITIVE_INFINITY : nextSendAt;
        }
        double overdueAfter() {
            return meanLatency + OVERDUE_DEVIATIONS * latencyDeviation;
        }
        double expectedDuration(MessageClass messageClass) {
            return messageClass.repeat() == Repeat.UNSAFE ? slowestLatency() : overdueAfter();
        }
        private double slowestLatency() {
            return meanLatency + TIMEOUT_DEVIATIONS * latencyDeviation;
        }
        double timeout(MessageClass messageClass) {
            double usual = Math.max(messageClass.targetLatencyMs() * TIMEOUT_TARGET_FACTOR, slowestLatency());
            double unsafeMin = messageClass.repeat() == Repeat.UNSAFE
                    ? messageClass.deadlineMs() * UNSAFE_TIMEOUT_SHARE : 0;
            return Math.max(usual, unsafeMin);
        }
        double timeoutAt(Delivery d) {
            return Math.min(clock + timeout(d.messageClass), d.deadline);
        }
        double recoveryRate() {
            double assumed = destination.demand.perMs() / destination.servingCount() * ASSUMED_DEMAND_SHARE;
            double fairShare = limiter.fairShare(0)
                    / (limiter == destination.sharedLimiter ? destination.servingCount() : 1);
            double rate = slowStartRate(Math.max(sustainedRate.perMs(), Math.max(assumed, fairShare)));
            if (rate == 0) {
                return minProbeRate();
            }
            return state == EndpointState.DOWN
                    ? Math.max(minProbeRate(), Math.min(1 / MIN_PROBE_INTERVAL_MS, rate)) : rate;
        }
        double slowStartRate(double sustained) {
            SlowStart slowStart = settings.slowStart();
            double done = state == EndpointState.WARMING ? (clock - slowStartAt) / slowStart.rampUpMs() : 0;
            double share = slowStart.initialCapacityShare() + (1 - slowStart.initialCapacityShare()) * done;
            return SLOW_START_LOAD_SHARE * slowStart.overloadMultiple() * share * sustained;
        }
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
                    failedWhileDown |= state == EndpointState.DOWN;
                }
                default -> {
                    connectionReuse.connectionLost(call);
                    onFailure(FAILURE_WEIGHT, "times out or drops connections");
                }
            }
            if (state == EndpointState.WARMING && clock - slowStartAt >= settings.slowStart().rampUpMs()) {
                markUp("completed its slow start");
            }
        }
        private void onDelivered(Call call, AttemptResult result) {
            boolean briefFailure = !failedWhileDown && clock - lastDeliveryAt < MIN_OUTAGE_MS;
            boolean mayEndOutage = limiter.evidence.isSuspected(clock);
            limiter.endpointDelivered(mayEndOutage);
            connectionReuse.connectionWorked(call);
            failureScore *= DELIVERY_FACTOR;
            overdueCalls = 0;
            cancelledForSlots = 0;
            consecutiveFailures = 0;
            lastDeliveryAt = clock;
            latencyDeviation += LATENCY_SAMPLE_WEIGHT
                    * (Math.abs(result.durationMs() - meanLatency) - latencyDeviation);
            meanLatency += LATENCY_SAMPLE_WEIGHT * (result.durationMs() - meanLatency);
            if (state == EndpointState.UP) {
                sustainedRate.addEvent();
            } else if (state == EndpointState.DOWN && limiter.isRecovering()) {
                meanLatency = result.durationMs();
                startSlowStart();
            } else if (state == EndpointState.DOWN && downOnlyOverdue && call.sentAt < downAt
                    && result.durationMs() < MIN_OUTAGE_MS) {
                markUp("was slow but did answer, is up again");
            } else if (state == EndpointState.DOWN && briefFailure) {
                markUp("failed only briefly, is up again");
            } else if (state == EndpointState.DOWN) {
                meanLatency = result.durationMs();
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
            failedWhileDown = true;
        }
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
            connectionReuse.connectionLost(call);
            limiter.evidence.recordOverdue(call.sentAt);
            if (lastDeliveryAt < call.sentAt && ++overdueCalls >= DOWN_OVERDUE_CALLS) {
                boolean wasDown = state == EndpointState.DOWN;
                markDown("does not answer");
                downOnlyOverdue = !wasDown;
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
            sustainedRate.updatedAtMs = clock;
            actions.log("endpoint " + entry.id() + " " + reason);
            saveHealth();
        }
        private void markDown(String reason) {
            downOnlyOverdue = false;
            if (state != EndpointState.DOWN) {
                state = EndpointState.DOWN;
                failedWhileDown = false;
                downAt = clock;
                nextSendAt = Math.max(clock, limiter.retryAfterUntil) + random.nextDouble() / recoveryRate();
                actions.log("endpoint " + entry.id() + " " + reason + ", only probes are sent");
                saveHealth();
            }
        }
        private void saveHealth() {
            actions.saveEndpointHealth(entry.id(), new EndpointHealth(state, clock, sustainedRate.perMs()));
        }

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

    private final class IdleConnectionReuse {
        private Optional<Call> loss = Optional.empty();
        private double lastLossAt = Double.NEGATIVE_INFINITY;
        private boolean confirmed;
        double takeConnection(TrackedEndpoint endpoint) {
            double idleMs = !endpoint.calls.isEmpty() ? 0 : clock - endpoint.lastUsedAt;
            if (clock > lastLossAt + IDLE_LOSS_MEMORY_MS) {
                loss = Optional.empty();
                confirmed = false;
            }
            if (idleMs < MIN_IDLE_MS || idleMs >= settings.keepAliveMs()) {
                return 0;
            }
            if (confirmed && loss.filter(l -> idleMs > l.connIdleMs * REUSE_IDLE_SHARE).isPresent()) {
                actions.closeIdleConnections(endpoint.entry.id());
                return 0;
            }
            return idleMs;
        }

        void connectionLost(Call call) {
            if (call.connIdleMs > 0) {
                confirmed |= loss.filter(l -> l.endpoint.destination != call.endpoint.destination).isPresent();
                loss = loss.filter(l -> l.connIdleMs < call.connIdleMs).or(() -> Optional.of(call));
                lastLossAt = clock;
            }
        }

        void connectionWorked(Call call) {
            loss = loss.filter(l -> l != call && (call.overdue || call.connIdleMs < l.connIdleMs));
            confirmed &= loss.isPresent();
        }
    }

    private final class SendBudget {
        private final double alwaysAllowed;
        private final double perFirstSend;
        private final Deque<Double> extraSends = new ArrayDeque<>();

        SendBudget(double alwaysAllowed, double perFirstSend) {
            this.alwaysAllowed = alwaysAllowed;
            this.perFirstSend = perFirstSend;
        }

        void recordSend(double at) {
            extraSends.add(at);
            timers.add(at + BUDGET_PERIOD_MS + CLOCK_MARGIN_MS, () -> { });
        }
        boolean allowsSend() {
            removeOlderThan(extraSends, BUDGET_PERIOD_MS);
            removeOlderThan(firstSends, BUDGET_PERIOD_MS);
            return extraSends.size() + 1 <= alwaysAllowed + perFirstSend * firstSends.size();
        }
    }

    /** Keeps the order of messages with the same key, like the key queues of {@link DeliveryScheduler}. */
    private final class KeyOrder {
        private final Map<String, KeyQueue> queues = new LinkedHashMap<>();
        private static final class KeyQueue {
            final Deque<Delivery> deliveries = new ArrayDeque<>();
            double coolDownUntil = Double.NEGATIVE_INFINITY;
            int inFlight;
        }
        private Optional<KeyQueue> queue(Delivery d) {
            return d.messageClass.ordered() ? d.message.key().map(queues::get) : Optional.empty();
        }

        void messageAccepted(Delivery d) {
            if (d.messageClass.ordered()) {
                d.message.key().ifPresent(key -> queues.computeIfAbsent(key, k -> new KeyQueue()).deliveries.add(d));
            }
        }

        void messageRestored(Delivery d) {
            if (d.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
                queue(d).ifPresent(q -> q.coolDownUntil = clock + settings.keyCoolDownMs());
                timers.add(clock + settings.keyCoolDownMs(), () -> removeIfUnused(d));
            }
        }
        boolean allows(Delivery d) {
            return queue(d).map(q -> q.deliveries.peek() == d && q.inFlight == d.inFlight && q.coolDownUntil <= clock)
                    .orElse(true);
        }

        void attemptSent(Delivery d) {
            queue(d).ifPresent(q -> q.inFlight++);
        }

        void attemptCompleted(Delivery d, Outcome outcome) {
            queue(d).ifPresent(q -> {
                q.inFlight--;
                if (outcome.mayHaveRun() && outcome != Outcome.ERROR) {
                    q.coolDownUntil = clock + settings.keyCoolDownMs();
                    timers.add(q.coolDownUntil, () -> removeIfUnused(d));
                }
                removeIfUnused(d);
            });
        }

        void messageCompleted(Delivery d) {
            queue(d).ifPresent(q -> q.deliveries.remove(d));
            removeIfUnused(d);
        }
        private void removeIfUnused(Delivery d) {
            queue(d).filter(q -> q.deliveries.isEmpty() && q.inFlight == 0 && q.coolDownUntil <= clock)
                    .ifPresent(q -> queues.remove(d.message.key().get()));
        }
    }

    private final class Timers {
        private final PriorityQueue<Timer> queue =
                new PriorityQueue<>(Comparator.comparingDouble(Timer::dueAt).thenComparingLong(Timer::sequence));
        private long nextSequence;
        private double requestedAt = Double.POSITIVE_INFINITY;
        private record Timer(double dueAt, long sequence, Runnable action) {
        }

        void add(double dueAt, Runnable action) {
            queue.add(new Timer(dueAt, nextSequence++, action));
        }

        void fireDue(double nowMs) {
            while (!queue.isEmpty() && queue.peek().dueAt() <= nowMs) {
                queue.remove().action().run();
            }
        }

        void requestWake(double nowMs, double otherwiseAt) {
            double next = Math.min(otherwiseAt, queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().dueAt());
            if (requestedAt <= nowMs + CLOCK_MARGIN_MS || next < requestedAt) {
                requestedAt = next;
                if (next < Double.POSITIVE_INFINITY) {
                    actions.wakeAt(next);
                }
            }
        }
    }
}
