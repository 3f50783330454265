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
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import kestreldeal.GroupedQueues.Group;
import kestreldeal.Timers.Timer;

/**
 * The decision module: decides when and to which endpoint each message is sent, when it is sent again, and
 * when it is rejected or failed. Its interface, with all types, events and actions, is {@link Relay}.
 *
 * <p>A message waits in a group of similar messages until {@link #endTurn}. There the groups whose send
 * conditions are met are served in the order of their first messages' priority, and each message goes to the
 * cheapest endpoint for which {@link #canSend} holds; blocked groups cost no time. The send starts a round of
 * attempts. After a fixed delay a hedged attempt joins the round if the {@link SendBudget} allows it. The
 * first delivery wins and the other attempts are cancelled; when all attempts of a round have ended and the
 * message may still be sent, it waits for a new round. {@link #finishUndelivered} rejects or fails a message.
 *
 * <p>{@link Delivery} is a message with its attempts, {@link Call} a request on the wire that may carry
 * several attempts, {@link RateLimiter} the rate limit of a destination, or of one endpoint where these are
 * separate routes, and {@link TrackedEndpoint} an endpoint with its health. Times are in milliseconds, rates
 * in calls per millisecond.
 */
final class DeliveryScheduler implements Relay {
    // Rounds of attempts.
    /** Delay before a hedged attempt, as a share of the target latency. */
    private static final double COPY_OFFSET = 0.5;
    /** Hedged attempts that are allowed in each budget period: this number, plus a share of first sends. */
    private static final double COPY_BASE = 1;
    private static final double COPY_SHARE = 0.1;
    private static final double THROTTLE_PERIOD_MS = 10_000;
    /** The same for new rounds of messages whose last attempt was refused. */
    private static final double RETRY_BASE = 2;
    private static final double RETRY_SHARE = 0.3;
    /** Backoff between rounds: fast errors or many senders at once would use up all attempts without it. */
    private static final double BACKOFF_MS = 200;
    private static final double BACKOFF_GROWTH = 3;
    /** A keyed repeat is sent this long before its deduplication window ends, to allow for transit time. */
    private static final double WINDOW_MARGIN_MS = 300;

    // Timeouts: 1.25 times the target latency at least, longer where an endpoint's answers take longer.
    private static final double TIMEOUT_AIMS = 1.25;
    private static final double TIMEOUT_DEVIATIONS = 8;
    /** Minimum timeout of an unsafe message, as a share of its deadline: it can't be repeated after one. */
    private static final double UNSAFE_PATIENCE = 0.33;
    /** Weight of a new latency sample in the moving averages of latency and its deviation. */
    private static final double LATENCY_WEIGHT = 0.15;
    /** Latency assumed of an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MS = 250;

    /** An endpoint with a mean latency up to this counts as fast: it frees its slots soon. */
    private static final double QUICK_MS = 250;

    /** A call is not cancelled to free its slot before it has been in flight this long. */
    private static final double CALL_OFF_LEAST_MS = 200;

    // Send rate limits.
    /** A refusal cuts the allowed rate to this share of it, or of the last second's sends if none was set. */
    private static final double PACE_CUT = 0.7;
    /** In a cut the old rate counts as at most this multiple of recent sends: an unused limit only grows. */
    private static final double PACE_OVER_SENT = 1.3;
    /** Growth of the allowed rate with each delivery, if answers don't report the share of the limit left. */
    private static final double PACE_GROWTH = 0.05;
    /** If they do, the rate is steered to keep this share left: the gain per second, and the longest step. */
    private static final double LEFT_AIM = 0.5;
    private static final double LEFT_GAIN = 0.6;
    private static final double LEFT_SECONDS = 3;
    /**
     * Longest interval between sends after a refusal if the destination's rate is unknown, so that rare
     * messages don't wait long, and its growth with further refusals. It is not used at a known rate: for a
     * hundred senders together it would be too short.
     */
    private static final double PACE_PAUSE_MS = 500;
    private static final double PACE_PAUSE_GROWTH = 3;
    private static final int PACE_PAUSES = 4;
    /** Lowest allowed rate, as a share of the rate of messages that this sender accepts for a destination. */
    private static final double PACE_LEAST_SHARE = 0.2;
    /** Lowest rate as a share of the sender's fair share of the listed rate, which may be 50% too high. */
    private static final double LISTED_SHARE = 0.5;
    /**
     * Lowest rate as a share of the sender's fair share of the reported rate, divided further with each
     * refusal, as other senders may use more. Without it a rate cut by a burst stays low at few deliveries.
     */
    private static final double TOLD_SHARE = 0.9;
    /** Weight of a new report in the average reported rate, and the most by which it may differ. */
    private static final double TOLD_WEIGHT = 0.2;
    private static final double TOLD_STEP = 2;
    /** After this time without a send a destination's rate limit is dropped. */
    private static final double IDLE_MS = 60_000;

    /** Added to Retry-After waits, and tolerated in wakes, because clocks are rounded. */
    private static final double CLOCK_MARGIN_MS = 1;

    // Health.
    /** The failure score, 0 to 1: a failure closes this share of the gap to 1, a delivery multiplies it. */
    private static final double BAD_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double GOOD_FACTOR = 0.6;
    /** Score from which an endpoint counts as down: five failures in a row, or one failed connect. */
    private static final double DOWN_AT = 0.6;
    /** Number of overdue calls, without any answer since they were sent, that mark an endpoint as down. */
    private static final int SILENT_CALLS = 2;
    private static final double SILENT_DEVIATIONS = 4;
    /** This many failures or refusals in a row, over at least this time, mark an endpoint as down. */
    private static final int SHUT_ENDS = 3;
    private static final double SHUT_MS = 2500;
    /** Shortest interval between probes of a down endpoint; times the number of senders, also the longest. */
    private static final double TRIAL_LEAST_MS = 500;
    /** Upper bound of the longest interval between probes, in ramp-up times. */
    private static final double TRIAL_MOST = 4;
    /** Share of the load permitted to a recovering endpoint that slow start uses; the rest is for bursts. */
    private static final double RAMP_SAFETY = 0.7;
    /** Averaging of the rates of sends and deliveries, and of the demand. */
    private static final Rate.Span CARRIED = new Rate.Span(10_000, 2000);
    /** Share of the demand for a destination that it is assumed to sustain while no higher rate is known. */
    private static final double DEMAND_SHARE = 0.7;

    /** Time after which an endpoint that has left the list is forgotten. */
    private static final double GONE_MS = 30_000;

    // Idle connections.
    /** A connection that was not used for this long counts as idle. */
    private static final double IDLE_LEAST_MS = 100;
    /** After a loss: share of its idle time up to which connections are reused, and how long that holds. */
    private static final double TRUST_CUT = 0.25;
    private static final double TRUST_MEMORY_MS = 30_000;

    // Priorities.
    /** Priority is the value lost by waiting this much longer, about the delay of a queue under load. */
    private static final double RANK_HORIZON_MS = 1500;
    /** Weight of the value itself in the priority, to break ties of messages that lose no value yet. */
    private static final double RANK_WORTH = 0.01;
    /** Latency that costs as much as a zone fee of one point, by the value that a message loses in it. */
    private static final double FEE_MS = 25_000;
    private static final Comparator<Delivery> OLDEST_FIRST =
            Comparator.comparingDouble((Delivery d) -> d.aimAt).thenComparingLong(d -> d.queued);
    private static final Comparator<Delivery> NEWEST_FIRST =
            Comparator.comparingDouble((Delivery d) -> -d.aimAt).thenComparingLong(d -> d.queued);
    private static final Comparator<Delivery> PRESSING_FIRST =
            Comparator.comparingDouble((Delivery d) -> -d.rank()).thenComparing(OLDEST_FIRST);
    /** Segments of the priority curve, see {@link Delivery#currentSegment}: sums of the bits that follow. */
    private static final int PIECES = 8;
    private static final int AIM_PASSED = 1;
    private static final int JUMP_PASSED = 2;
    private static final int LEAST_REACHED = 4;
    /** Eligibility of a group: it may be sent in a new call, or even join a call that this turn started. */
    private static final int OPEN = 1;
    private static final int JOINABLE = 2;
    /** The allowed zone of a message that may go to any zone, and of one that may go to none. */
    private static final long ANY_ZONE = Long.MAX_VALUE;
    private static final long NO_ZONE = Long.MIN_VALUE;
    /** Tolerance for rounding errors in comparisons with a share of the demand. */
    private static final double SHARE_MARGIN = 1e-6;
    /** A message without an attempt in flight gets its final result this long before its deadline. */
    private static final double ANSWER_MARGIN_MS = 5;

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final Map<Long, Target> targets = new LinkedHashMap<>();
    /** Endpoints that have left the list, in the order in which they left. */
    private final Set<Target> leaving = new LinkedHashSet<>();
    private final Map<Long, Destination> destinations = new HashMap<>();
    /** Learned state of a previous process, by endpoint, to be restored when a list names the endpoint. */
    private final Map<Long, Consumer<Target>> recalled = new LinkedHashMap<>();
    private final Map<Long, Delivery> deliveries = new HashMap<>();
    /** Messages that may be sent once an endpoint is ready, by class and segment; refused messages last. */
    final GroupedQueues<Delivery> waiting;
    private final Rate.Total asked = new Rate.Total();
    private final Set<Attempt> out = new LinkedHashSet<>();
    private final Times firstSends = new Times();
    private final Throttle copies = new Throttle(COPY_BASE, COPY_SHARE);
    private final Throttle retries = new Throttle(RETRY_BASE, RETRY_SHARE);
    private final Connections connections = new Connections();
    /** Ordered messages by key: one at a time, with a cool-down after an attempt that may still run. */
    final KeyLines<Delivery> keyQueues;
    private final Timers timers;
    private int slotsUsed;
    private long turn;
    private long queuings;
    private double closesAt = Double.POSITIVE_INFINITY;
    private double clock = Double.NEGATIVE_INFINITY;

    DeliveryScheduler(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.timers = new Timers(CLOCK_MARGIN_MS, actions::wakeAt);
        this.keyQueues = new KeyLines<>(timers, this::place);
        int count = 2 * settings.classes().size() * PIECES;
        this.waiting = new GroupedQueues<>(
                IntStream.range(0, count).mapToObj(DeliveryScheduler::order).toList(), JOINABLE, Delivery::pieceEnd);
    }

    private static Comparator<Delivery> order(int lane) {
        return (lane & (AIM_PASSED | LEAST_REACHED)) == AIM_PASSED ? NEWEST_FIRST : OLDEST_FIRST;
    }

    // ---- events ----

    @Override
    public void endpointsChanged(double now, boolean whole, List<Endpoint> entries) {
        tick(now);
        if (whole) {
            targets.values().forEach(Target::leave);
        }
        for (Endpoint entry : entries) {
            Target target = targets.computeIfAbsent(entry.id(), unknown -> new Target(entry));
            Optional.ofNullable(recalled.remove(entry.id())).ifPresent(known -> known.accept(target));
            target.limit.listedRate = settings.ratesListed() ? entry.listedRate() / 1000 : 0;
            if (entry.removed()) {
                target.leave();
            } else {
                target.listed(entry.serving());
            }
        }
        // A list may omit an endpoint by mistake, so its learned state is kept for a while.
        leaving.stream().peek(t -> waiting.countOperation()).takeWhile(t -> clock > t.goneAt + GONE_MS)
                .filter(t -> t.calls.isEmpty() && t.limit.waitUntil <= clock).toList().forEach(target -> {
                    leaving.remove(target);
                    targets.remove(target.entry.id());
                    target.destination.targets.remove(target);
                });
    }

    @Override
    public void messageAccepted(double now, Message message) {
        tick(now);
        take(message).destination.demand.count(clock);
    }

    /** Demand is not counted: restored messages arrive at once, but were submitted over an unknown time. */
    @Override
    public void messageRestored(double now, Message message, List<EarlierAttempt> attempts) {
        tick(now);
        Delivery d = take(message);
        d.destination.targets.forEach(t -> t.limit.resumed());
        d.destination.markChanged();
        for (EarlierAttempt earlier : attempts) {
            Optional<Target> target = Optional.ofNullable(targets.get(earlier.endpoint()));
            Attempt attempt = new Attempt(d, target, earlier.sentAtMs());
            attempt.mayHaveRun = earlier.mayHaveRun();
            if (earlier.inFlightCallId().isPresent()) {
                started(attempt, target.map(t -> t.adopt(earlier)), d.out > 0);
            }
        }
        if (d.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
            // An attempt of the previous process may still be running.
            d.line.ifPresent(line -> line.rest(clock + settings.keyCoolDownMs()));
        }
        if (!attempts.isEmpty() && d.out == 0) {
            giveUpInTime(d);
        }
        place(d);
    }

    @Override
    public void restoreEndpointHealth(double now, long endpoint, EndpointHealth health) {
        tick(now);
        whenListed(endpoint, target -> target.recall(health));
    }

    @Override
    public void restoreLearnedState(double now, LearnedState memory) {
        tick(now);
        memory.firstSendsAgo().forEach(ago -> firstSends.add(clock - ago));
        memory.copiesAgo().forEach(ago -> copies.sent(clock - ago));
        memory.retriesAgo().forEach(ago -> retries.sent(clock - ago));
        memory.endpoints().forEach(known -> whenListed(known.endpoint(), target -> target.recall(known)));
    }

    private void whenListed(long endpoint, Consumer<Target> recall) {
        Target target = targets.get(endpoint);
        if (target == null) {
            recalled.merge(endpoint, recall, Consumer::andThen);
        } else {
            recall.accept(target);
            target.destination.markChanged();
        }
    }

    @Override
    public LearnedState learnedState(double now) {
        tick(now);
        return new LearnedState(targets.values().stream().map(Target::known).toList(), firstSends.ago(clock),
                copies.extra.ago(clock), retries.extra.ago(clock));
    }

    @Override
    public void shutdownScheduled(double now, double end) {
        tick(now);
        closesAt = end;
    }

    @Override
    public EndpointCounts endpointCounts() {
        List<Target> listed = targets.values().stream().filter(t -> t.goneAt > clock).toList();
        long used = listed.stream().filter(t -> t.serving && t.state != EndpointState.DOWN).count();
        return new EndpointCounts(listed.size(), (int) (listed.size() - used));
    }

    private Delivery take(Message message) {
        if (message.messageClass() < 0 || message.messageClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("unknown message class " + message.messageClass());
        }
        if (deliveries.containsKey(message.id())) {
            throw new IllegalArgumentException("message " + message.id() + " was already accepted");
        }
        Delivery d = new Delivery(message);
        deliveries.put(message.id(), d);
        d.line.ifPresent(line -> line.add(d));
        timers.set(d, d.deadline - ANSWER_MARGIN_MS);
        place(d);
        return d;
    }

    @Override
    public void attemptCompleted(double now, AttemptResult end) {
        tick(now);
        Delivery d = deliveries.get(end.message());
        if (d == null || end.attempt() < 0 || end.attempt() >= d.attempts.size()) {
            throw new IllegalArgumentException("unknown attempt " + end.attempt() + " of message "
                    + end.message());
        }
        Attempt attempt = d.attempts.get(end.attempt());
        if (!attempt.out) {
            return;
        }
        attempt.out = false;
        out.remove(attempt);
        timers.remove(attempt);
        attempt.mayHaveRun = end.outcome().mayHaveRun();
        d.refused = end.outcome() == Outcome.FULL;
        attempt.call.ifPresent(call -> call.itemEnded(end));
        if (attempt.mayHaveRun && end.outcome() != Outcome.ERROR) {
            d.line.ifPresent(line -> line.rest(clock + settings.keyCoolDownMs()));
        }
        d.line.ifPresent(line -> line.out(-1));
        d.out--;
        if (end.messageFinished()) {
            close(d);
        }
        if (d.ended) {
            forget(d);
        } else if (d.out == 0) {
            nextWave(d);
        }
    }

    @Override
    public void retryAfterReceived(double now, long endpoint, double waitMs) {
        tick(now);
        Optional.ofNullable(targets.get(endpoint)).ifPresent(target -> target.limit.told(waitMs));
    }

    @Override
    public boolean sendAllowed(double now, long endpoint) {
        return Optional.ofNullable(targets.get(endpoint))
                .filter(target -> target.serving && target.limit.waitUntil <= now).isPresent();
    }

    @Override
    public void messageCancelled(double now, long message) {
        tick(now);
        Optional.ofNullable(deliveries.get(message)).ifPresent(this::close);
    }

    @Override
    public void wake(double now) {
        tick(now);
    }

    @Override
    public void endTurn(double now) {
        tick(now);
        timers.run(now);
        dispatch();
        timers.ask(now, waiting.nextUpdateAt());
        turn++;
    }

    /** Lowest rate of probes by one sender: all senders together still notice a recovery in time. */
    private double leastTrialRate() {
        return 1 / Math.min(TRIAL_LEAST_MS * settings.senderCount(),
                TRIAL_MOST * settings.slowStart().rampUpMs());
    }

    private Destination destination(long id) {
        return destinations.computeIfAbsent(id, unknown -> new Destination());
    }

    private void tick(double now) {
        if (now < clock) {
            throw new IllegalArgumentException("the event time went backwards");
        }
        clock = now;
    }

    // ---- decisions ----

    /**
     * Sends waiting messages by priority. A group whose first message can't be sent is set aside for this
     * turn, as none of its messages can: its destination has calls in flight and lacks a slot, or the call
     * would not end before the shutdown.
     */
    private void dispatch() {
        waiting.end(clock, this::place);
        waiting.updateEligibility(clock);
        List<Group<Delivery>> parked = new ArrayList<>();
        for (Group<Delivery> group = mostPressing(); group != null; group = mostPressing()) {
            Delivery d = group.first();
            Optional<Target> target = choose(d, false);
            if (target.isPresent()) {
                send(d, target.get(), false);
                waiting.updateEligibility(clock);
            } else if (!mayRepeat(d)) {
                place(d);
            } else {
                group.stand(0);
                parked.add(group);
            }
        }
        boolean full = settings.cancellation() && slotsUsed >= settings.slots() - 1;
        if (full && (parked.stream().anyMatch(this::lacksSlot)
                || waiting.stream(openLanes(), OPEN).anyMatch(this::lacksSlot))) {
            freeSlot();
        }
        parked.forEach(group -> group.owner.markChanged());
        // The calls of this turn can't be joined in the next turn.
        waiting.stream(Integer.MAX_VALUE, JOINABLE).forEach(group -> group.owner.markChanged());
    }

    /** The next group to serve, or null. Without a free slot messages can only join calls of this turn. */
    private Group<Delivery> mostPressing() {
        return waiting.first(openLanes(), slotsUsed < settings.slots() ? OPEN : JOINABLE, PRESSING_FIRST);
    }

    /** The number of queues to serve: those of refused messages, which are last, only within the budget. */
    private int openLanes() {
        return settings.classes().size() * PIECES * (retries.allows() ? 2 : 1);
    }

    /** Whether only the lack of a free slot keeps messages of this group from being sent. */
    private boolean lacksSlot(Group<Delivery> group) {
        return group.stream().filter(this::mayRepeat).limit(1).anyMatch(d -> d.destination.targets.stream()
                .anyMatch(t -> t.isOpen() && !t.hasSlot() && allows(d, t)));
    }

    /** Puts a message into the group in which it has to wait now, or into none if it may not be sent. */
    private void place(Delivery d) {
        if (!d.ended && d.out == 0 && d.notBefore <= clock && mayGoInOrder(d) && mayRepeat(d)) {
            int kind = d.message.messageClass() + (d.refused ? settings.classes().size() : 0);
            d.piece = d.pieceNow();
            waiting.put(d, d.destination, kind * PIECES + d.piece, d.zone());
        } else {
            waiting.remove(d);
        }
    }

    private boolean mayGoInOrder(Delivery d) {
        return d.line.map(l -> l.first() == d && l.out() == d.out && l.restUntil() <= clock).orElse(true);
    }

    /**
     * Cancels the attempt that is in flight longest, relative to the usual latency of its endpoint, if it is
     * overdue and may be repeated: a few unanswered calls could hold all slots until their timeouts. Each
     * cancellation raises the limit for the next one there, as the endpoint may only be slow. The call counts
     * as overdue then, so that a silent endpoint is marked as down and does not take the slots again.
     */
    private void freeSlot() {
        out.stream().filter(a -> !a.calledOff && a.delivery.type.effect() != Effect.UNSAFE)
                .filter(a -> a.overPatience() > 1)
                .max(Comparator.comparingDouble(Attempt::overPatience)).ifPresent(most -> {
                    most.calledOff = true;
                    most.target.get().calledOff++;
                    most.call.ifPresent(Call::due);
                    actions.cancel(most.delivery.message.id(), most.delivery.attempts.indexOf(most));
                });
    }

    /** The cheapest endpoint that may be sent to; a hedged attempt goes to another endpoint if it can. */
    private Optional<Target> choose(Delivery d, boolean copy) {
        List<Target> all = d.destination.targets;
        boolean elsewhere = copy && all.stream().anyMatch(t -> t.serving && !d.isOutAt(t));
        return all.stream()
                .filter(t -> !(elsewhere && d.isOutAt(t) || copy && t.state == EndpointState.DOWN)
                && maySend(d, t))
                .min(Comparator.comparingDouble(t -> t.cost(d)));
    }

    /** The condition of every send: of first sends, hedged attempts and new rounds. */
    private boolean maySend(Delivery d, Target target) {
        return allows(d, target) && (target.mayJoin() || target.hasSlot() && target.isOpen());
    }

    /** The conditions that hold for a send whether it needs a slot of its own or joins a call. */
    private boolean allows(Delivery d, Target target) {
        waiting.countOperation();
        return !d.ended && target.serving
                && clock < d.deadline - ANSWER_MARGIN_MS
                && d.attempts.size() < settings.maxAttempts()
                && mayRepeat(d, target)
                && mayGoInOrder(d)
                && (!d.refused || d.out > 0 || retries.allows())
                && target.limit.waitUntil <= clock
                && clock + target.expectedEnd(d.type) <= closesAt;
    }

    /** Whether one more attempt at this endpoint can't make the message take effect twice. */
    private boolean mayRepeat(Delivery d, Target target) {
        long zone = d.zone();
        return mayRepeat(d) && (zone == ANY_ZONE || zone == target.entry.zone());
    }

    /** The same without regard to the endpoint: checks only the effect and the deduplication window. */
    private boolean mayRepeat(Delivery d) {
        double window = d.type.effect() == Effect.SAFE ? Double.POSITIVE_INFINITY : d.type.dedupWindowMs();
        return d.attempts.stream().filter(Attempt::mayRun).allMatch(a -> (!a.out || settings.hedging())
                && d.type.effect() != Effect.UNSAFE && clock <= a.sentAt + window - WINDOW_MARGIN_MS);
    }

    private void send(Delivery d, Target target, boolean copy) {
        Call call = target.joinOrStart();
        Attempt attempt = new Attempt(d, Optional.of(target), clock);
        if (copy) {
            copies.sent(clock);
        } else if (d.attempts.size() == 1) {
            firstSends.add(clock);
            firstSends.trim(clock - THROTTLE_PERIOD_MS);
        } else if (d.refused) {
            retries.sent(clock);
        }
        double timeout = Math.min(target.timeout(d.type), d.deadline - clock);
        actions.send(d.message.id(), target.entry.id(), timeout);
        started(attempt, Optional.of(call), copy);
    }

    /** Records an attempt as in flight, and sets the timers of its hedged attempt and its overdue call. */
    private void started(Attempt attempt, Optional<Call> call, boolean copy) {
        Delivery d = attempt.delivery;
        attempt.call = call;
        attempt.out = true;
        out.add(attempt);
        d.out++;
        place(d);
        d.line.ifPresent(line -> line.out(1));
        double offset = d.type.targetLatencyMs() * COPY_OFFSET;
        if (!copy && clock <= attempt.sentAt + offset) {
            timers.set(attempt, attempt.sentAt + offset);
        }
        call.ifPresent(c -> c.overdueAt(attempt.sentAt + Math.max(offset, c.target.patience())));
    }

    /** All attempts have ended without a delivery: waits for a new round, or finishes if none is allowed. */
    private void nextWave(Delivery d) {
        giveUpInTime(d);
        if (d.ended) {
            return;
        }
        double backoff = BACKOFF_MS * Math.pow(BACKOFF_GROWTH, d.waves) * (0.75 + 0.5 * random.nextDouble());
        d.notBefore = clock + Math.min(backoff, (d.deadline - clock) / 2);
        d.waves++;
        d.queued = queuings++;
        d.pause = timers.add(d.notBefore, () -> place(d));
    }

    /**
     * Finishes a message as soon as no further attempt is possible: now, or when the deduplication window of
     * a keyed message ends. At the deadline the result would come too late to be of use to the client.
     */
    private void giveUpInTime(Delivery d) {
        if (!mayGoOn(d)) {
            finish(d);
        } else if (d.type.effect() == Effect.KEYED && d.window == null) {
            d.attempts.stream().filter(a -> a.mayHaveRun).mapToDouble(a -> a.sentAt).min().ifPresent(first ->
                    d.window = timers.add(first + d.type.dedupWindowMs() - WINDOW_MARGIN_MS + CLOCK_MARGIN_MS,
                            () -> giveUpInTime(d)));
        }
    }

    /** Whether a further attempt may become possible, at a listed endpoint or, if none is, at a new one. */
    private boolean mayGoOn(Delivery d) {
        return d.attempts.size() < settings.maxAttempts() && clock < d.deadline - ANSWER_MARGIN_MS
                && (d.destination.targets.isEmpty() ? mayRepeat(d)
                        : d.destination.targets.stream().anyMatch(t -> mayRepeat(d, t)));
    }

    /** Gives an undelivered message its final result: rejected if repeating it is harmless, else failed. */
    private void finish(Delivery d) {
        if (d.ended || d.out > 0) {
            return;
        }
        boolean repeatable = d.type.effect() != Effect.UNSAFE && !d.isBoundToZone();
        if (repeatable || d.attempts.stream().noneMatch(Attempt::mayRun)) {
            actions.reject(d.message.id(), Math.max(0, d.destination.opensAt() - clock));
        } else {
            actions.fail(d.message.id());
        }
        close(d);
    }

    /** Marks a message as completed and cancels its redundant attempts. */
    private void close(Delivery d) {
        if (d.ended) {
            return;
        }
        d.ended = true;
        waiting.remove(d);
        timers.removeAll(d, d.window, d.pause);
        d.line.ifPresent(line -> line.remove(d));
        for (int i = 0; i < d.attempts.size(); i++) {
            if (d.attempts.get(i).out && settings.cancellation()) {
                actions.cancel(d.message.id(), i);
            }
        }
        forget(d);
    }

    private void forget(Delivery d) {
        if (d.out == 0) {
            deliveries.remove(d.message.id());
        }
    }

    // ---- nested types ----

    /** A message and its attempts. */
    private final class Delivery extends GroupedQueues.Element<Delivery> {
        final Message message;
        final MessageClass type;
        final Destination destination;
        final double aimAt;
        final double deadline;
        List<Attempt> attempts = List.of();
        double notBefore = Double.NEGATIVE_INFINITY;
        /** Position in the order in which messages began to wait, or to wait again. */
        long queued = queuings++;
        final Optional<KeyLines<Delivery>.Line> line;
        /** Timers for the end of the deduplication window and of the backoff; null until set. */
        Timer window;
        Timer pause;
        int piece;
        int waves;
        boolean refused;
        int out;
        boolean ended;

        Delivery(Message message) {
            this.message = message;
            this.type = settings.classes().get(message.messageClass());
            this.destination = destination(message.destination());
            this.deadline = clock + message.timeLeftMs();
            this.aimAt = deadline - type.deadlineMs() + type.targetLatencyMs();
            this.line = message.key().filter(key -> type.ordered()).map(keyQueues::line);
        }

        @Override
        void due() {
            finish(this);
        }

        boolean isBoundToZone() {
            return type.effect() == Effect.KEYED && type.dedupWithinZone();
        }

        /** The zone of its earlier attempts if only that zone drops repeats of them. */
        long zone() {
            long[] ran = attempts.stream().filter(a -> a.mayRun() && isBoundToZone())
                    .mapToLong(a -> a.target.map(t -> (long) t.entry.zone()).orElse(NO_ZONE))
                    .distinct().toArray();
            return ran.length == 0 ? ANY_ZONE : ran.length == 1 ? ran[0] : NO_ZONE;
        }

        boolean isOutAt(Target target) {
            return attempts.stream().anyMatch(a -> a.out && a.target.filter(t -> t == target).isPresent());
        }

        double worthAt(double time) {
            if (time > deadline) {
                return 0;
            }
            double late = Math.max(0, time - aimAt);
            double share = settings.valueDecay() == Decay.HALVING
                    ? Math.max(type.lateValue(), Math.pow(0.5, late / type.targetLatencyMs()))
                    : 1 - (1 - type.lateValue()) * late / Math.max(1,
                    type.deadlineMs() - type.targetLatencyMs());
            return type.value() * share;
        }

        double rank() {
            double worth = worthAt(clock);
            return worth - worthAt(clock + RANK_HORIZON_MS) + RANK_WORTH * worth;
        }

        /**
         * The current segment of the priority curve, in which the order of two messages of a class is fixed.
         * Until the target time priority rises, and the oldest message is first. Then it falls, and the
         * newest is first; it jumps up where the horizon reaches the deadline. Once the value is at its
         * minimum, priority is constant, and the oldest is first.
         */
        int pieceNow() {
            return (clock > aimAt ? AIM_PASSED : 0) + (clock > deadline - RANK_HORIZON_MS ? JUMP_PASSED : 0)
                    + (clock > leastAt() ? LEAST_REACHED : 0);
        }

        double pieceEnd() {
            double jumpAt = (piece & JUMP_PASSED) > 0 ? Double.POSITIVE_INFINITY : deadline - RANK_HORIZON_MS;
            double least = (piece & LEAST_REACHED) > 0 ? Double.POSITIVE_INFINITY : leastAt();
            return (piece & AIM_PASSED) > 0 ? Math.min(jumpAt, least) : Math.min(jumpAt, aimAt);
        }

        private double leastAt() {
            if (type.value() <= 0 || type.lateValue() >= 1) {
                return aimAt;
            }
            return settings.valueDecay() == Decay.LINEAR ? Double.POSITIVE_INFINITY
                    : aimAt - type.targetLatencyMs() * Math.log(type.lateValue()) / Math.log(2);
        }
    }

    /**
     * One attempt of a message. Attempts of a previous process have no call and hold no slot, unless they are
     * still in flight, and no endpoint if it has left the list.
     */
    private final class Attempt extends Timer {
        final Delivery delivery;
        final Optional<Target> target;
        final double sentAt;
        Optional<Call> call = Optional.empty();
        boolean out;
        boolean mayHaveRun;
        boolean calledOff;

        Attempt(Delivery delivery, Optional<Target> target, double sentAt) {
            this.delivery = delivery;
            this.target = target;
            this.sentAt = sentAt;
            if (delivery.attempts.isEmpty()) {
                delivery.attempts = new ArrayList<>(2);
            }
            delivery.attempts.add(this);
        }

        /** The hedging delay has passed: a hedged attempt may join the round. */
        @Override
        void due() {
            boolean races = out && delivery.type.effect() != Effect.UNSAFE && settings.hedging();
            if (races && !delivery.ended && slotsUsed < settings.slots() && copies.allows()) {
                choose(delivery, true).ifPresent(target -> send(delivery, target, true));
            }
        }

        boolean mayRun() {
            return out || mayHaveRun;
        }

        /** Its time in flight, relative to a limit that grows with each cancellation at its endpoint. */
        double overPatience() {
            return target.map(t -> (clock - sentAt)
                    / (Math.max(t.patience(), CALL_OFF_LEAST_MS) * (1 + t.calledOff))).orElse(0.0);
        }
    }

    /** A request on the wire with one attempt or more: it takes one slot, and counts once for health. */
    private final class Call extends Timer {
        final Target target;
        final double sentAt;
        final long sentTurn = turn;
        /** Its id in the previous process, if that one sent it. */
        final OptionalLong earlier;
        final double idledMs;
        int items;
        int itemsOut;
        boolean observed;
        boolean late;

        Call(Target target, double sentAt, OptionalLong earlier) {
            this.target = target;
            this.sentAt = sentAt;
            this.earlier = earlier;
            this.idledMs = connections.take(target);
            target.usedAt = clock;
            slotsUsed++;
            target.calls.add(this);
            target.destination.out++;
            target.destination.markChanged();
        }

        void itemEnded(AttemptResult end) {
            itemsOut--;
            target.limit.told(end.retryAfterMs());
            target.limit.says(end.report().rate());
            if (!observed && end.outcome() != Outcome.CANCELLED && end.outcome() != Outcome.NOT_SENT) {
                observed = true;
                target.observe(this, end);
            }
            target.usedAt = clock;
            if (itemsOut == 0) {
                slotsUsed--;
                target.calls.remove(this);
                target.destination.out--;
                timers.remove(this);
            }
            target.destination.markChanged();
        }

        /** Sets the time from which the call is overdue; the earliest of its attempts counts. */
        void overdueAt(double time) {
            if (time < at()) {
                timers.set(this, time);
            }
        }

        @Override
        void due() {
            if (!late && !observed && itemsOut > 0) {
                late = true;
                target.overdue(this);
                target.destination.markChanged();
            }
        }
    }

    /** A destination with its endpoints and, unless they are separate routes, their shared rate limiter. */
    private final class Destination extends GroupedQueues.Owner<Delivery> {
        final List<Target> targets = new ArrayList<>(2);
        final Limit shared = new Limit(this);
        final Rate demand = new Rate(clock, CARRIED, asked);
        int out;

        Destination() {
            super(waiting);
        }

        /** Sets the eligibility of each group, and returns the time at which the next endpoint is ready. */
        @Override
        double look() {
            for (Group<Delivery> group : groups()) {
                group.stand(targets.stream().filter(t -> t.lets(group.tag))
                        .mapToInt(t -> t.mayJoin() ? JOINABLE : OPEN).max().orElse(0));
            }
            return gatesOpenAt().filter(at -> at > clock).min().orElse(Double.POSITIVE_INFINITY);
        }

        long serving() {
            return Math.max(1, targets.stream().filter(t -> t.serving).count());
        }

        /** When a client should submit again: when the first endpoint is ready, or now if that is unknown. */
        double opensAt() {
            return gatesOpenAt().min().orElse(clock);
        }

        private DoubleStream gatesOpenAt() {
            return targets.stream().filter(t -> t.serving).mapToDouble(Target::gatesOpenAt);
        }
    }

    /** Allowed rate and Retry-After wait of endpoints that share a limit: avoids refusals and early sends. */
    private final class Limit {
        final Rate sends = new Rate(clock, CARRIED);
        final Times lastSecond = new Times();
        final Destination destination;
        int pressed;
        double listedRate;
        double toldRate;
        double rate = Double.POSITIVE_INFINITY;
        double nextAt = Double.NEGATIVE_INFINITY;
        double waitUntil = Double.NEGATIVE_INFINITY;
        double cutAt = Double.NEGATIVE_INFINITY;
        final OutageEvidence evidence = new OutageEvidence(clock, SHUT_MS);
        double returnedAt = Double.NEGATIVE_INFINITY;
        /** When the next call may go to one of its endpoints that are not in full service. */
        double coldNextAt = Double.NEGATIVE_INFINITY;

        Limit(Destination destination) {
            this.destination = destination;
        }

        void sent() {
            if (!lastSecond.isEmpty() && lastSecond.last() < clock - IDLE_MS) {
                rate = Double.POSITIVE_INFINITY;
            }
            sends.count(clock);
            lastSecond.add(clock);
            lastSecond.trim(clock - 1000);
            if (rate < Double.POSITIVE_INFINITY) {
                nextAt = Math.max(nextAt + 1 / rate, clock);
            }
        }

        /** Many senders may restart at once: spreads the sends of their restored messages. */
        void resumed() {
            evidence.messageRestored();
            if (rate == Double.POSITIVE_INFINITY && evenPart(0) > 0) {
                rate = evenPart(0);
                nextAt = clock + random.nextDouble() / rate;
            }
        }

        /** Records a Retry-After wait. Messages of one call may report different ones: the longest counts. */
        void told(double waitMs) {
            destination.markChanged();
            waitUntil = waitMs > 0 ? Math.max(waitUntil, clock + waitMs + CLOCK_MARGIN_MS) : waitUntil;
        }

        /** Averages the rates that answers report, as a single value may be wrong. */
        void says(double perSecond) {
            if (perSecond > 0 && perSecond < Double.POSITIVE_INFINITY) {
                double said = perSecond / 1000;
                toldRate = toldRate == 0 ? said : toldRate + TOLD_WEIGHT
                        * (Math.max(toldRate / TOLD_STEP, Math.min(said, toldRate * TOLD_STEP)) - toldRate);
            }
        }

        /**
         * Lowers the allowed rate after a refusal, except of a call sent before the last cut. The Retry-After
         * waits of all senders end at the same time: if the next send would come after the wait, it gets a
         * random delay after it, so that the senders don't all send at once.
         */
        void refused(Call call) {
            if (call.sentAt < cutAt) {
                return;
            }
            boolean paced = rate < Double.POSITIVE_INFINITY;
            double edge = paced ? rate : lastSecond.size() / 1000.0;
            // Where each sender has little traffic, the count of one second is too small to give a rate.
            edge = paced || evenPart(0) > 0 ? Math.min(edge, PACE_OVER_SENT * sends.perMs()) : edge;
            rate = Math.max(floor(), edge * PACE_CUT);
            pressed = Math.min(pressed + 1, PACE_PAUSES);
            cutAt = clock;
            nextAt = clock + 1 / rate;
            if (nextAt > waitUntil) {
                nextAt = Math.max(clock, waitUntil) + (0.5 + random.nextDouble()) / rate;
            }
        }

        void delivered(double left) {
            pressed = Math.max(pressed - 1, 0);
            double seconds = Math.min(LEFT_SECONDS, Math.max(1, 1 / (1000 * rate)));
            boolean told = left >= 0 && left <= 1;
            rate *= 1 + (told ? LEFT_GAIN * seconds * (left - LEFT_AIM) : PACE_GROWTH);
            rate = Math.max(floor(), rate);
        }

        void recall(LearnedEndpointState known) {
            told(known.waitLeftMs());
            rate = known.pace();
            nextAt = clock + 1 / rate;
            cutAt = clock - known.paceCutAgoMs();
            pressed = known.pressed();
            toldRate = known.told();
            sends.recall(known.sent());
            destination.demand.recall(known.demand());
        }

        private List<Target> targets() {
            return destination.targets.stream().filter(t -> t.limit == this).toList();
        }

        /** One of its endpoints has failed a call: all are marked as down if the evidence is of an outage. */
        void failed(String symptom) {
            evidence.recordFailure(clock);
            if (evidence.isOutage(clock)) {
                targets().forEach(t -> t.down(symptom));
            }
        }

        /** One of its endpoints has refused a call: all are marked as down if it asked for a long wait. */
        void turnedAway(double waitMs) {
            if (waitMs >= SHUT_MS) {
                targets().forEach(Target::shut);
            }
        }

        /** One of its endpoints has delivered: if that may end an outage, slow start begins for all. */
        void good(boolean returns) {
            evidence.recordDelivery(clock);
            if (returns) {
                returnedAt = clock;
                targets().stream().filter(t -> t.state == EndpointState.UP).forEach(Target::warm);
            }
        }

        /** Whether a possible outage ended less than a ramp-up time ago. */
        boolean isReturning() {
            return clock - returnedAt < settings.slowStart().rampUpMs();
        }

        /** Allowed rate of calls to all its endpoints not in full service; the given one is next. */
        double coldRate(Target next) {
            double part = this == destination.shared ? 1 : 1.0 / destination.serving();
            double asked = destination.demand.perMs() * part * DEMAND_SHARE;
            double carried = targets().stream().mapToDouble(t -> t.carried.perMs()).sum();
            return Math.max(leastTrialRate(), next.rampRate(Math.max(carried, Math.max(asked, evenPart(0)))));
        }

        /** This sender's fair share of the listed or reported rate, at this refusal level; 0 if unknown. */
        double evenPart(int refusals) {
            double told = TOLD_SHARE * toldRate / (1 + refusals);
            return Math.max(LISTED_SHARE * listedRate, told) / settings.senderCount();
        }

        private double floor() {
            double part = evenPart(pressed);
            return Math.max(PACE_LEAST_SHARE * destination.demand.perMs(),
                    part > 0 ? part : 1 / (PACE_PAUSE_MS * Math.pow(PACE_PAUSE_GROWTH, pressed)));
        }
    }

    /**
     * An endpoint and its health. One that is dead, silent, failing or refusing everything is marked as down
     * and gets single probes in place of the backlog; when it answers again, slow start keeps the load within
     * what it can take after an outage. Drawback: an endpoint that is only slow may be marked as down.
     */
    private final class Target {
        final Endpoint entry;
        final Destination destination;
        final Limit limit;
        final int batch;
        final double fee;
        boolean serving;
        EndpointState state = EndpointState.UP;
        Call latest;
        /** Its calls in flight, in the order in which they were sent. */
        final List<Call> calls = new ArrayList<>(0);
        double latency = FIRST_LATENCY_MS;
        double deviation = FIRST_LATENCY_MS / 2;
        double bad;
        int silentCalls;
        int calledOff;
        int fruitless;
        double fruitlessSince;
        double lastGood = Double.NEGATIVE_INFINITY;
        final Rate carried = new Rate(clock, CARRIED);
        double warmSince;
        double downAt;
        boolean silentOnly;
        /** It answered with errors or refusals while down; lost connections may be the network's fault. */
        boolean failing;
        double nextAt = Double.NEGATIVE_INFINITY;
        double usedAt = Double.NEGATIVE_INFINITY;
        double goneAt = Double.POSITIVE_INFINITY;

        Target(Endpoint entry) {
            DestinationKind kind = settings.kinds().get(Math.min(entry.kind(), settings.kinds().size() - 1));
            this.entry = entry;
            this.destination = DeliveryScheduler.this.destination(entry.destination());
            this.limit = kind.separateRoutes() ? new Limit(destination) : destination.shared;
            this.batch = kind.maxBatchSize();
            boolean charged = kind.separateRoutes() && entry.zone() < settings.zoneFees().size();
            this.fee = charged ? settings.zoneFees().get(entry.zone()) : 0;
            destination.targets.add(this);
        }

        LearnedEndpointState known() {
            return new LearnedEndpointState(entry.id(), Math.max(0, limit.waitUntil - clock), limit.rate,
                    clock - limit.cutAt, limit.pressed, limit.sends.perMs(), limit.toldRate,
                    destination.demand.perMs(), carried.perMs(), latency, deviation, clock - lastGood);
        }

        void recall(LearnedEndpointState known) {
            limit.recall(known);
            carried.recall(known.carried());
            latency = known.latencyMs();
            deviation = known.deviationMs();
            lastGood = clock - known.goodAgoMs();
        }

        void listed(boolean serves) {
            serving = serves;
            goneAt = Double.POSITIVE_INFINITY;
            leaving.remove(this);
            destination.markChanged();
        }

        void leave() {
            serving = false;
            goneAt = Math.min(goneAt, clock);
            leaving.add(this);
            destination.markChanged();
        }

        /** Whether a message with this allowed zone may be sent there, apart from slots. */
        boolean lets(long zone) {
            return serving && (zone == ANY_ZONE || zone == entry.zone())
                    && (mayJoin() || limit.waitUntil <= clock && isOpen());
        }

        /**
         * The cost of a send there, in milliseconds: the latency, multiplied by the calls in flight, plus
         * penalties for recent failures and the zone fee. A down endpoint whose probe is due is the cheapest,
         * as it would stay down for ever without probes, but the most expensive for unsafe messages.
         */
        double cost(Delivery d) {
            if (state == EndpointState.DOWN) {
                return (d.type.effect() == Effect.UNSAFE ? 1 : -1) * Double.POSITIVE_INFINITY;
            }
            double freeShare = 1 - (double) slotsUsed / settings.slots();
            return latency * (1 + calls.size()) + fruitless * SHUT_MS + fee * FEE_MS * freeShare;
        }

        boolean mayJoin() {
            return latest != null && latest.sentTurn == turn && latest.items < batch
                    && state != EndpointState.DOWN;
        }

        Call joinOrStart() {
            if (!mayJoin()) {
                latest = new Call(this, clock, OptionalLong.empty());
                limit.sent();
                nextAt = state == EndpointState.UP ? nextAt : clock + 1 / allowedRate();
            }
            destination.markChanged();
            if (!isInFullService()) {
                limit.coldNextAt = clock + 1 / limit.coldRate(this);
            }
            latest.items++;
            latest.itemsOut++;
            return latest;
        }

        /** The call of the previous process that still carries the attempt: it holds a slot until it ends. */
        Call adopt(EarlierAttempt attempt) {
            Call call = calls.stream().filter(c -> c.earlier.equals(attempt.inFlightCallId())).findFirst()
                    .orElseGet(() -> new Call(this, attempt.sentAtMs(), attempt.inFlightCallId()));
            call.itemsOut++;
            return call;
        }

        /**
         * Whether its destination may take one more slot. It may hold fewer slots than remain free, so that a
         * slow or silent one can't hold them all. A fast one frees its slots soon and may take all but one,
         * and the last one too while it holds less than its share by demand, else destinations with no call
         * in flight starve the busiest one. Drawback: it may go silent, and keeps this until its second call
         * is overdue.
         */
        boolean hasSlot() {
            int free = settings.slots() - slotsUsed;
            boolean quick = latency <= QUICK_MS && lastGood > Double.NEGATIVE_INFINITY && calls.stream()
                    .skip(SILENT_CALLS - 1).limit(1).allMatch(c -> clock - c.sentAt <= patience());
            double part = settings.slots() * destination.demand.share();
            boolean lacks = destination.out + 1 + SHARE_MARGIN < part;
            return quick && free > (lacks ? 0 : 1) || free > 0 && destination.out < Math.max(1, free - 1);
        }

        /** Whether the rate limit and the endpoint's health allow a call now. */
        boolean isOpen() {
            return limit.nextAt <= clock && nextAt <= clock
                    && (state != EndpointState.DOWN || calls.isEmpty())
                    && (isInFullService() || limit.coldNextAt <= clock);
        }

        /** When it is ready for a call, as far as that depends on time alone. */
        double gatesOpenAt() {
            double opensAt = Math.max(Math.max(limit.waitUntil, limit.nextAt), nextAt);
            return isInFullService() ? opensAt : Math.max(opensAt, limit.coldNextAt);
        }

        /** The longest usual latency; a call that takes longer is overdue. */
        double patience() {
            return latency + SILENT_DEVIATIONS * deviation;
        }

        /**
         * The time that must be left before the shutdown to start a call. An unsafe message must not be cut
         * off, as it can't be repeated: it needs the slowest likely latency, but not its whole timeout, which
         * is longer than any shutdown takes.
         */
        double expectedEnd(MessageClass type) {
            return type.effect() == Effect.UNSAFE ? slowest() : patience();
        }

        private double slowest() {
            return latency + TIMEOUT_DEVIATIONS * deviation;
        }

        double timeout(MessageClass type) {
            double base = Math.max(type.targetLatencyMs() * TIMEOUT_AIMS, slowest());
            double patience = type.effect() == Effect.UNSAFE ? type.deadlineMs() * UNSAFE_PATIENCE : 0;
            return Math.max(base, patience);
        }

        /** Allowed rate while down or in slow start, from the share of the load that it had before. */
        double allowedRate() {
            double asked = destination.demand.perMs() / destination.serving() * DEMAND_SHARE;
            double part = limit.evenPart(0) / (limit == destination.shared ? destination.serving() : 1);
            double rate = rampRate(Math.max(carried.perMs(), Math.max(asked, part)));
            if (rate == 0) {
                // There was no demand yet, only restored messages: the rate of probes, until there is some.
                return leastTrialRate();
            }
            return state != EndpointState.DOWN ? rate
                    : Math.max(leastTrialRate(), Math.min(1 / TRIAL_LEAST_MS, rate));
        }

        /** The rate that slow start allows now, given the sustained rate before the outage. */
        double rampRate(double known) {
            SlowStart cold = settings.slowStart();
            double warm = state == EndpointState.WARMING ? (clock - warmSince) / cold.rampUpMs() : 0;
            double capacity = cold.initialCapacityShare() + (1 - cold.initialCapacityShare()) * warm;
            return RAMP_SAFETY * cold.overloadMultiple() * capacity * known;
        }

        /** Whether it is up, and no outage is suspected of the endpoints that share its limit. */
        boolean isInFullService() {
            return state == EndpointState.UP && !limit.evidence.isSuspected(clock);
        }

        void observe(Call call, AttemptResult end) {
            switch (end.outcome()) {
                case DELIVERED -> good(call, end);
                case FULL -> full(call, end.retryAfterMs());
                case UNREACHABLE -> bad(UNREACHABLE_WEIGHT, "refuses connections");
                case ERROR -> {
                    bad(BAD_WEIGHT, "answers with errors");
                    failing |= state == EndpointState.DOWN;
                }
                default -> {
                    connections.lost(call);
                    bad(BAD_WEIGHT, "times out or drops connections");
                }
            }
            if (state == EndpointState.WARMING && clock - warmSince >= settings.slowStart().rampUpMs()) {
                up("completed its slow start");
            }
        }

        private void good(Call call, AttemptResult end) {
            // With deliveries this close together, no outage was long enough to require a slow start.
            boolean blip = !failing && clock - lastGood < SHUT_MS;
            boolean returns = limit.evidence.isSuspected(clock);
            limit.good(returns);
            connections.held(call);
            bad *= GOOD_FACTOR;
            silentCalls = 0;
            calledOff = 0;
            fruitless = 0;
            lastGood = clock;
            deviation += LATENCY_WEIGHT * (Math.abs(end.durationMs() - latency) - deviation);
            latency += LATENCY_WEIGHT * (end.durationMs() - latency);
            if (state == EndpointState.UP) {
                carried.count(clock);
            } else if (state == EndpointState.DOWN && limit.isReturning()) {
                latency = end.durationMs();
                warm();
            } else if (state == EndpointState.DOWN && silentOnly && call.sentAt < downAt
                    && end.durationMs() < SHUT_MS) {
                up("was slow but did answer, is up again");
            } else if (state == EndpointState.DOWN && blip) {
                up("failed only briefly, is up again");
            } else if (state == EndpointState.DOWN) {
                latency = end.durationMs();
                warm();
            }
            limit.delivered(end.report().left());
        }

        private void full(Call call, double waitMs) {
            limit.refused(call);
            if (noneGood()) {
                shut();
            }
            limit.turnedAway(waitMs);
        }

        private void shut() {
            down("refuses all messages");
            failing = true;
        }

        private boolean noneGood() {
            if (fruitless++ == 0) {
                fruitlessSince = clock;
            }
            return fruitless >= SHUT_ENDS && clock - fruitlessSince >= SHUT_MS;
        }

        private void bad(double weight, String symptom) {
            bad += (1 - bad) * weight;
            if (noneGood() || bad >= DOWN_AT) {
                down(symptom);
            }
            limit.failed(symptom);
        }

        void overdue(Call call) {
            connections.lost(call);
            limit.evidence.recordOverdue(call.sentAt);
            if (lastGood < call.sentAt && ++silentCalls >= SILENT_CALLS) {
                boolean wasDown = state == EndpointState.DOWN;
                down("does not answer");
                silentOnly = !wasDown;
            }
        }

        private void warm() {
            state = EndpointState.WARMING;
            warmSince = clock;
            nextAt = clock + 1 / allowedRate();
            actions.log("endpoint " + entry.id() + " answers again, slow start begins");
            remember();
        }

        private void up(String symptom) {
            state = EndpointState.UP;
            nextAt = clock;
            // The time of the outage must not lower the sustained rate.
            carried.skipTo(clock);
            actions.log("endpoint " + entry.id() + " " + symptom);
            remember();
        }

        private void down(String symptom) {
            silentOnly = false;
            if (state != EndpointState.DOWN) {
                state = EndpointState.DOWN;
                failing = false;
                downAt = clock;
                nextAt = Math.max(clock, limit.waitUntil) + random.nextDouble() / allowedRate();
                actions.log("endpoint " + entry.id() + " " + symptom + ", only probes are sent");
                remember();
            }
        }

        private void remember() {
            actions.saveEndpointHealth(entry.id(), new EndpointHealth(state, clock, carried.perMs()));
        }

        /** Continues in the state before the restart: a backlog could overload a recovering endpoint. */
        void recall(EndpointHealth health) {
            state = health.state();
            carried.recall(health.sustainedPerMs());
            if (state == EndpointState.WARMING) {
                warmSince = health.sinceMs();
            }
            if (state != EndpointState.UP) {
                nextAt = clock + random.nextDouble() / allowedRate();
                actions.log("endpoint " + entry.id() + " was " + state + " before the restart");
            }
        }
    }

    /**
     * Avoids idle connections that were dropped without notice: once idle ones of two destinations have lost
     * calls, those idle for over {@link #REUSE_IDLE_SHARE} of the shorter time are closed before use, until a
     * call on one that was idle as long is delivered.
     */
    private final class Connections {
        private Optional<Call> suspect = Optional.empty();
        private double lostAt = Double.NEGATIVE_INFINITY;
        private boolean sure;

        /** Idle time of the connection that a new call will use: 0 for one in use, or a new one. */
        double take(Target target) {
            double idle = !target.calls.isEmpty() ? 0 : clock - target.usedAt;
            if (clock > lostAt + TRUST_MEMORY_MS) {
                suspect = Optional.empty();
                sure = false;
            }
            if (idle < IDLE_LEAST_MS || idle >= settings.keepAliveMs()) {
                return 0;
            }
            if (sure && suspect.filter(s -> idle > s.idledMs * TRUST_CUT).isPresent()) {
                actions.closeIdleConnections(target.entry.id());
                return 0;
            }
            return idle;
        }

        void lost(Call call) {
            if (call.idledMs > 0) {
                sure |= suspect.filter(s -> s.target.destination != call.target.destination).isPresent();
                suspect = suspect.filter(s -> s.idledMs < call.idledMs).or(() -> Optional.of(call));
                lostAt = clock;
            }
        }

        void held(Call call) {
            suspect = suspect.filter(s -> s != call && (call.late || call.idledMs < s.idledMs));
            sure &= suspect.isPresent();
        }
    }

    /**
     * Limits extra sends to a share of first sends, over all destinations. Without it hedged attempts could
     * double the load on a slow destination, and retries of refused messages could use up its limit for good.
     */
    private final class Throttle {
        private final double base;
        private final double share;
        private final Times extra = new Times();

        Throttle(double base, double share) {
            this.base = base;
            this.share = share;
        }

        void sent(double at) {
            extra.add(at);
            timers.add(at + THROTTLE_PERIOD_MS + CLOCK_MARGIN_MS, () -> { });
        }

        boolean allows() {
            extra.trim(clock - THROTTLE_PERIOD_MS);
            firstSends.trim(clock - THROTTLE_PERIOD_MS);
            return extra.size() + 1 <= base + share * firstSends.size();
        }
    }
}
