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
import kestreldeal.Lanes.Group;
import kestreldeal.Timers.Timer;

/**
 * The decision module. Its interface, with all types, events and actions, is Relay.java.
 *
 * <p>A message waits in a group of its like until {@link #endTurn}, which takes the groups with an open gate
 * by the rank of their first messages and gives each message the best endpoint that {@link #maySend} lets
 * pass; what is closed is not looked at. The send starts a wave. At a fixed offset a copy joins if the {@link
 * Throttle} allows. The first delivery wins and the rest are cancelled; when every attempt of the wave has
 * ended retryable the message waits again, for a new wave. {@link #finish} gives every final answer.
 *
 * <p>Parts: {@link Delivery} is a message and its wave; {@link Call} what travels together; {@link Limit} the
 * pace and told wait of a destination, or of a route where routes are separate; {@link Target} an endpoint
 * with its health and its ramp after an outage; {@link Throttle} bounds copies and new tries; {@link
 * Connections} is the trust in idle connections. All times are milliseconds, all rates calls a millisecond.
 */
final class DeliveryScheduler implements Relay {
    // The wave.
    /** Share of the aim after which a copy is scheduled (the design's default). */
    private static final double COPY_OFFSET = 0.5;
    /** Copies over the period: this many, and this share of the first sends (the design's default). */
    private static final double COPY_BASE = 1;
    private static final double COPY_SHARE = 0.1;
    private static final double THROTTLE_PERIOD_MS = 10_000;
    /** New waves of refused messages, alike. */
    private static final double RETRY_BASE = 2;
    private static final double RETRY_SHARE = 0.3;
    /** First pause before a new wave and its growth, lest quick errors or many senders burn all attempts. */
    private static final double BACKOFF_MS = 200;
    private static final double BACKOFF_GROWTH = 3;
    /** A keyed repeat stays this far inside its window, for the time that it travels. */
    private static final double WINDOW_MARGIN_MS = 300;

    // Time-outs: the aim and a quarter at least, more where answers are seen to take longer.
    private static final double TIMEOUT_AIMS = 1.25;
    private static final double TIMEOUT_DEVIATIONS = 8;
    /** An unsafe message has one try that may run, which may take this share of its deadline at least. */
    private static final double UNSAFE_PATIENCE = 0.33;
    /** Weight of a new answer time in the running mean and deviation. */
    private static final double LATENCY_WEIGHT = 0.15;
    /** Answer time assumed of an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MS = 250;

    /** An endpoint that answers in so long, in the mean, gives its slots back soon. */
    private static final double QUICK_MS = 250;

    /** No call is called off for another's sake before it has been out for so long. */
    private static final double CALL_OFF_LEAST_MS = 200;

    // Pace.
    /** A pace is cut to this share: at first of the last second's sends. */
    private static final double PACE_CUT = 0.7;
    /** A pace stands for no more than this multiple of what was sent of late: unused, it only grows. */
    private static final double PACE_OVER_SENT = 1.3;
    /** Growth of a pace with each delivery where answers don't tell how much of the limit is left. */
    private static final double PACE_GROWTH = 0.05;
    /** Where they do, a pace turns to where this share is, by this gain a second, up to so many at once. */
    private static final double LEFT_AIM = 0.5;
    private static final double LEFT_GAIN = 0.6;
    private static final double LEFT_SECONDS = 3;
    /**
     * Longest interval of a pace after one refusal where no rate is known, lest a thin stream's message wait;
     * so many times as long with each further one. At a known rate a hundred senders would be too fast.
     */
    private static final double PACE_PAUSE_MS = 500;
    private static final double PACE_PAUSE_GROWTH = 3;
    private static final int PACE_PAUSES = 4;
    /** Slowest pace, as a share of the messages that this sender takes for the destination. */
    private static final double PACE_LEAST_SHARE = 0.2;
    /** The same as a share of the even part of a listed rate, which may be half too high. */
    private static final double LISTED_SHARE = 0.5;
    /**
     * The same as a share of an even part of the rate that its answers tell: less with each refusal in a row,
     * as others may take more. Guards against a pace that a clump cut and few deliveries let grow back.
     */
    private static final double TOLD_SHARE = 0.9;
    /** Weight of a newly told rate, which counts as at most so many times more or less than those before. */
    private static final double TOLD_WEIGHT = 0.2;
    private static final double TOLD_STEP = 2;
    /** Idle for so long, a destination loses pace and counts (the design's figure). */
    private static final double IDLE_MS = 60_000;

    /** A told wait is kept, and a wake counts as come, within this much: clocks are rounded. */
    private static final double CLOCK_MARGIN_MS = 1;

    // Health.
    /** Evidence, 0 to 1: each bad outcome closes this share of the gap to 1, each good one multiplies it. */
    private static final double BAD_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double GOOD_FACTOR = 0.6;
    /** From here on an endpoint counts as down: five bad outcomes in a row, or a failed connect. */
    private static final double DOWN_AT = 0.6;
    /** Overdue calls without any answer since, after which an endpoint counts as silent. */
    private static final int SILENT_CALLS = 2;
    private static final double SILENT_DEVIATIONS = 4;
    /** Bad ends or refusals in a row over at least so long, without a delivery, mean shut or dead. */
    private static final int SHUT_ENDS = 3;
    private static final double SHUT_MS = 2500;
    /** Pause between trials of what is down: least; at most, times the senders and in warm-ups. */
    private static final double TRIAL_LEAST_MS = 500;
    private static final double TRIAL_MOST = 4;
    /** Share of the rule's budget that the ramp of a returning endpoint uses; the rest is for chance. */
    private static final double RAMP_SAFETY = 0.7;
    /** Time over which a carried rate is averaged, and the shortest that counts. */
    private static final Rate.Span CARRIED = new Rate.Span(10_000, 2000);
    /** Share of the messages taken for a destination that it is trusted to carry, if it was not seen to. */
    private static final double DEMAND_SHARE = 0.7;

    /** An endpoint that has left the list is forgotten after so long. */
    private static final double GONE_MS = 30_000;

    // Connections.
    /** A connection without use for so long counts as idle. */
    private static final double IDLE_LEAST_MS = 100;
    /** Trust after a loss, as a share of the time that the connection had idled; forgotten after so long. */
    private static final double TRUST_CUT = 0.25;
    private static final double TRUST_MEMORY_MS = 30_000;

    // The queue.
    /** Rank is the worth lost by waiting so much longer: about as long as a queue under pressure takes. */
    private static final double RANK_HORIZON_MS = 1500;
    /** Weight of plain worth in the rank, to settle ties between messages that lose nothing yet. */
    private static final double RANK_WORTH = 0.01;
    /** Time worth a fee of one point: about what a message loses in worth when it waits so long. */
    private static final double FEE_MS = 25_000;
    private static final Comparator<Delivery> OLDEST_FIRST =
            Comparator.comparingDouble((Delivery d) -> d.aimAt).thenComparingLong(d -> d.queued);
    private static final Comparator<Delivery> NEWEST_FIRST =
            Comparator.comparingDouble((Delivery d) -> -d.aimAt).thenComparingLong(d -> d.queued);
    private static final Comparator<Delivery> PRESSING_FIRST =
            Comparator.comparingDouble((Delivery d) -> -d.rank()).thenComparing(OLDEST_FIRST);
    /** Pieces of a rank's course, see {@link Delivery#pieceNow}, by what has passed of three. */
    private static final int PIECES = 8;
    private static final int AIM_PASSED = 1;
    private static final int JUMP_PASSED = 2;
    private static final int LEAST_REACHED = 4;
    /** Levels of groups that a gate lets pass, and of those that can join a call of this turn. */
    private static final int OPEN = 1;
    private static final int JOINABLE = 2;
    /** The zone of a message that may go to any, and of one that may go to none. */
    private static final long ANY_ZONE = Long.MAX_VALUE;
    private static final long NO_ZONE = Long.MIN_VALUE;
    /** Guards a comparison with a share of what is asked for against its rounding. */
    private static final double SHARE_MARGIN = 1e-6;
    /** Time before the deadline at which a message that is not out is answered. */
    private static final double ANSWER_MARGIN_MS = 5;

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final Map<Long, Target> targets = new LinkedHashMap<>();
    /** Those that have left the list, in the order in which they left. */
    private final Set<Target> leaving = new LinkedHashSet<>();
    private final Map<Long, Destination> destinations = new HashMap<>();
    /** What an earlier life knew of endpoints that no list has named in this one. */
    private final Map<Long, Consumer<Target>> recalled = new LinkedHashMap<>();
    private final Map<Long, Delivery> deliveries = new HashMap<>();
    /** What may go but for its gates, by class and piece of the rank's course; refused messages last. */
    final Lanes<Delivery> waiting;
    /** What is asked for, of all destinations. */
    private final Rate.Total asked = new Rate.Total();
    private final Set<Attempt> out = new LinkedHashSet<>();
    private final Times firstSends = new Times();
    private final Throttle copies = new Throttle(COPY_BASE, COPY_SHARE);
    private final Throttle retries = new Throttle(RETRY_BASE, RETRY_SHARE);
    private final Connections connections = new Connections();
    /** Messages in order by key: one at a time, as taken, and a rest after an end that may still run. */
    final KeyLines<Delivery> lines;
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
        this.lines = new KeyLines<>(timers, this::place);
        int count = 2 * settings.classes().size() * PIECES;
        this.waiting = new Lanes<>(IntStream.range(0, count).mapToObj(DeliveryScheduler::order).toList(),
                JOINABLE, Delivery::pieceEnd);
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
        // A list may leave one out by mistake: what is known of it stands for as long as it can matter.
        leaving.stream().peek(t -> waiting.countLook()).takeWhile(t -> clock > t.goneAt + GONE_MS)
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

    /** Demand is not counted: what comes back at once was asked for over a time that nobody knows. */
    @Override
    public void messageRestored(double now, Message message, List<EarlierAttempt> attempts) {
        tick(now);
        Delivery d = take(message);
        d.destination.targets.forEach(t -> t.limit.resumed());
        d.destination.touch();
        for (EarlierAttempt earlier : attempts) {
            Optional<Target> target = Optional.ofNullable(targets.get(earlier.endpoint()));
            Attempt attempt = new Attempt(d, target, earlier.sentAtMs());
            attempt.mayHaveRun = earlier.mayHaveRun();
            if (earlier.inFlightCallId().isPresent()) {
                started(attempt, target.map(t -> t.adopt(earlier)), d.out > 0);
            }
        }
        if (d.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
            // What was out in an earlier life may run on.
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
            target.destination.touch();
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
            throw new IllegalArgumentException("unknown class " + message.messageClass());
        }
        if (deliveries.containsKey(message.id())) {
            throw new IllegalArgumentException("message " + message.id() + " was already taken");
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
        timers.ask(now, waiting.nextLook());
        turn++;
    }

    /** Slowest pace of trials of a sender: together they still find out what is back. */
    private double leastTrialRate() {
        return 1 / Math.min(TRIAL_LEAST_MS * settings.senderCount(),
                TRIAL_MOST * settings.slowStart().rampUpMs());
    }

    private Destination destination(long id) {
        return destinations.computeIfAbsent(id, unknown -> new Destination());
    }

    private void tick(double now) {
        if (now < clock) {
            throw new IllegalArgumentException("the clock went back");
        }
        clock = now;
    }

    // ---- decisions ----

    /**
     * Sends what waits, the most pressing first among all that may go. A group whose first can't go is left
     * for the turn, as no other can: its destination has calls out and lacks a slot, or the sender closes.
     */
    private void dispatch() {
        waiting.end(clock, this::place);
        waiting.look(clock);
        List<Group<Delivery>> parked = new ArrayList<>();
        for (Group<Delivery> group = mostPressing(); group != null; group = mostPressing()) {
            Delivery d = group.first();
            Optional<Target> target = choose(d, false);
            if (target.isPresent()) {
                send(d, target.get(), false);
                waiting.look(clock);
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
        parked.forEach(group -> group.owner.touch());
        // None joins a call of this turn in the next one.
        waiting.stream(Integer.MAX_VALUE, JOINABLE).forEach(group -> group.owner.touch());
    }

    /** The group that goes next, or null: with no slot free only calls of this turn can still be joined. */
    private Group<Delivery> mostPressing() {
        return waiting.first(openLanes(), slotsUsed < settings.slots() ? OPEN : JOINABLE, PRESSING_FIRST);
    }

    /** The number of lanes that may go: those of refused messages as far as the throttle allows. */
    private int openLanes() {
        return settings.classes().size() * PIECES * (retries.allows() ? 2 : 1);
    }

    /** Whether nothing but a slot keeps its messages from being sent. */
    private boolean lacksSlot(Group<Delivery> group) {
        return group.stream().filter(this::mayRepeat).limit(1).anyMatch(d -> d.destination.targets.stream()
                .anyMatch(t -> t.isOpen() && !t.hasSlot() && allows(d, t)));
    }

    /** Puts a message where it belongs now: into the group of its like, or into none if it may not go. */
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
     * Calls off the call that has been out longest by the measure of its endpoint, if it is out of patience
     * and may be repeated. Guards against a few unanswered calls that hold all slots till their time-outs. An
     * endpoint that is merely slow gets more patience with each. What is called off counts as overdue, lest a
     * silent endpoint count as up and take those slots again.
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

    /** The endpoint to send to among those that the gate lets pass; a copy goes elsewhere if it can. */
    private Optional<Target> choose(Delivery d, boolean copy) {
        List<Target> all = d.destination.targets;
        boolean elsewhere = copy && all.stream().anyMatch(t -> t.serving && !d.isOutAt(t));
        return all.stream()
                .filter(t -> !(elsewhere && d.isOutAt(t) || copy && t.state == EndpointState.DOWN)
                && maySend(d, t))
                .min(Comparator.comparingDouble(t -> t.cost(d)));
    }

    /** The gate that every send passes: first send, copy and new wave. */
    private boolean maySend(Delivery d, Target target) {
        return allows(d, target) && (target.mayJoin() || target.hasSlot() && target.isOpen());
    }

    /** The gates that hold for any send of the message there, whether it takes a slot or joins a call. */
    private boolean allows(Delivery d, Target target) {
        waiting.countLook();
        return !d.ended && target.serving
                && clock < d.deadline - ANSWER_MARGIN_MS
                && d.attempts.size() < settings.maxAttempts()
                && mayRepeat(d, target)
                && mayGoInOrder(d)
                && (!d.refused || d.out > 0 || retries.allows())
                && target.limit.waitUntil <= clock
                && clock + target.expectedEnd(d.type) <= closesAt;
    }

    /** Whether one more attempt there keeps the promise that no effect happens twice. */
    private boolean mayRepeat(Delivery d, Target target) {
        long zone = d.zone();
        return mayRepeat(d) && (zone == ANY_ZONE || zone == target.entry.zone());
    }

    /** The same wherever the attempt may go, as far as time and effect alone tell. */
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

    /** An attempt is out, in a call if its endpoint is listed: it may be copied, and the call be overdue. */
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

    /** Every attempt has ended retryable: wait for a new wave, unless no further attempt can be allowed. */
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
     * Answers at once what no further attempt can be allowed for: now, or when a keyed message's window has
     * passed. Guards against an answer that is held back until the deadline, when it is of no more use.
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

    /** Whether a further attempt can still be allowed somewhere, be it at an endpoint that is yet to come. */
    private boolean mayGoOn(Delivery d) {
        return d.attempts.size() < settings.maxAttempts() && clock < d.deadline - ANSWER_MARGIN_MS
                && (d.destination.targets.isEmpty() ? mayRepeat(d)
                        : d.destination.targets.stream().anyMatch(t -> mayRepeat(d, t)));
    }

    /** The final answer of what waits undelivered: refused where trying again is harmless, else failed. */
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

    /** Ends a message and cancels what is redundant. */
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

    // ---- parts ----

    /** A message and its wave. */
    private final class Delivery extends Lanes.Element<Delivery> {
        final Message message;
        final MessageClass type;
        final Destination destination;
        final double aimAt;
        final double deadline;
        List<Attempt> attempts = List.of();
        double notBefore = Double.NEGATIVE_INFINITY;
        /** Its number in the order in which messages began to wait, or to wait again. */
        long queued = queuings++;
        final Optional<KeyLines<Delivery>.Line> line;
        /** The end of its window for repeats, and of its pause. */
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
            this.line = message.key().filter(key -> type.ordered()).map(lines::line);
        }

        @Override
        void due() {
            finish(this);
        }

        /** Whether repeats are dropped within one zone only. */
        boolean isBoundToZone() {
            return type.effect() == Effect.KEYED && type.dedupWithinZone();
        }

        /** The zone that it is bound to, as it may have run there. */
        long zone() {
            long[] ran = attempts.stream().filter(a -> a.mayRun() && isBoundToZone())
                    .mapToLong(a -> a.target.map(t -> (long) t.entry.zone()).orElse(NO_ZONE))
                    .distinct().toArray();
            return ran.length == 0 ? ANY_ZONE : ran.length == 1 ? ran[0] : NO_ZONE;
        }

        boolean isOutAt(Target target) {
            return attempts.stream().anyMatch(a -> a.out && a.target.filter(t -> t == target).isPresent());
        }

        /** Worth when delivered at that time. */
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
         * The piece of its rank's course over time. Up to the aim rank only rises, and of one class the older
         * comes first. Then it falls, and the newer comes first, with a jump up where the horizon reaches the
         * deadline. Where worth has come to its least it stays the same, and the older comes first.
         */
        int pieceNow() {
            return (clock > aimAt ? AIM_PASSED : 0) + (clock > deadline - RANK_HORIZON_MS ? JUMP_PASSED : 0)
                    + (clock > leastAt() ? LEAST_REACHED : 0);
        }

        /** The last moment of the piece that it was put in. */
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
     * One attempt of a message; those of an earlier life have no call and hold nothing, unless they are still
     * out, and their endpoint may have left the list since.
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

        /** The scheduled offset after a send: a copy may join the wave. */
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

        /** How long it has been out, by its endpoint's patience, which grows with calls called off before. */
        double overPatience() {
            return target.map(t -> (clock - sentAt)
                    / (Math.max(t.patience(), CALL_OFF_LEAST_MS) * (1 + t.calledOff))).orElse(0.0);
        }
    }

    /** Messages that travel as one: one slot, one fate. */
    private final class Call extends Timer {
        final Target target;
        final double sentAt;
        final long sentTurn = turn;
        /** Its number in the process that made it, if that was another one. */
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
            target.destination.touch();
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
            target.destination.touch();
        }

        /** The first of its messages that is overdue tells. */
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
                target.destination.touch();
            }
        }
    }

    /** A destination: its endpoints and, where they share one, its limit. */
    private final class Destination extends Lanes.Owner<Delivery> {
        final List<Target> targets = new ArrayList<>(2);
        final Limit shared = new Limit(this);
        final Rate demand = new Rate(clock, CARRIED, asked);
        int out;

        Destination() {
            super(waiting);
        }

        /** A group stands while a gate is open, and higher if it can join a call. */
        @Override
        double look() {
            for (Group<Delivery> group : groups()) {
                group.stand(targets.stream().filter(t -> t.lets(group.tag))
                        .mapToInt(t -> t.mayJoin() ? JOINABLE : OPEN).max().orElse(0));
            }
            return gatesOpenAt().filter(at -> at > clock).min().orElse(Double.POSITIVE_INFINITY);
        }

        /** Endpoints that share its messages. */
        long serving() {
            return Math.max(1, targets.stream().filter(t -> t.serving).count());
        }

        /** When it is worth coming back: the first opening, or now where none is known. */
        double opensAt() {
            return gatesOpenAt().min().orElse(clock);
        }

        private DoubleStream gatesOpenAt() {
            return targets.stream().filter(t -> t.serving).mapToDouble(Target::gatesOpenAt);
        }
    }

    /** The pace and told wait of what shares one limit. Guards against refusals and broken waits. */
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
        /** When the next call may go to an endpoint of it that is not in full service. */
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

        /** Many lives may end at one moment, and must not send what they held at another. */
        void resumed() {
            evidence.resumed();
            if (rate == Double.POSITIVE_INFINITY && evenPart(0) > 0) {
                rate = evenPart(0);
                nextAt = clock + random.nextDouble() / rate;
            }
        }

        /** Each message of a call may be told its own wait, in turns of its own. */
        void told(double waitMs) {
            destination.touch();
            waitUntil = waitMs > 0 ? Math.max(waitUntil, clock + waitMs + CLOCK_MARGIN_MS) : waitUntil;
        }

        /** One answer's figure may be spoilt. */
        void says(double perSecond) {
            if (perSecond > 0 && perSecond < Double.POSITIVE_INFINITY) {
                double said = perSecond / 1000;
                toldRate = toldRate == 0 ? said : toldRate + TOLD_WEIGHT
                        * (Math.max(toldRate / TOLD_STEP, Math.min(said, toldRate * TOLD_STEP)) - toldRate);
            }
        }

        /**
         * Refusals of calls sent before the last cut are old news. Waits of all senders end at one moment:
         * where a pace is slower than the wait it begins at random after it, lest they all come at once.
         */
        void refused(Call call) {
            if (call.sentAt < cutAt) {
                return;
            }
            boolean paced = rate < Double.POSITIVE_INFINITY;
            double edge = paced ? rate : lastSecond.size() / 1000.0;
            // In one second the thin streams of many senders make no rate.
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

        /** An endpoint of it has failed; where none of them has done well for long, an outage takes all. */
        void failed(String symptom) {
            evidence.failed(clock);
            if (evidence.isOutage(clock)) {
                targets().forEach(t -> t.down(symptom));
            }
        }

        /** An endpoint of it has turned a call away; where it is shut, all are. */
        void turnedAway(double waitMs) {
            if (waitMs >= SHUT_MS) {
                targets().forEach(Target::shut);
            }
        }

        /** One has delivered; if that may end an outage, all that are in service begin as cold ones. */
        void good(boolean returns) {
            evidence.good(clock);
            if (returns) {
                returnedAt = clock;
                targets().stream().filter(t -> t.state == EndpointState.UP).forEach(Target::warm);
            }
        }

        /** Whether it may have been out, and cold ever since. */
        boolean isReturning() {
            return clock - returnedAt < settings.slowStart().rampUpMs();
        }

        /** Pace of the calls to all its endpoints that are not in full service, of which this one is next. */
        double coldRate(Target next) {
            double part = this == destination.shared ? 1 : 1.0 / destination.serving();
            double asked = destination.demand.perMs() * part * DEMAND_SHARE;
            double carried = targets().stream().mapToDouble(t -> t.carried.perMs()).sum();
            return Math.max(leastTrialRate(), next.rampRate(Math.max(carried, Math.max(asked, evenPart(0)))));
        }

        /** This sender's even part of the rate that is known, after so many refusals in a row. */
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
     * An endpoint and its health. Guards against dead, silent, failing and shut endpoints alike: when down,
     * single trials replace the backlog; when it answers again, a ramp keeps within what a cold endpoint can
     * take. It may hurt where an endpoint is merely slow.
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
        /** Its calls that are out, in the order sent. */
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
        /** Since it is down it has itself failed or refused calls; a reset may be the network's doing. */
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
            destination.touch();
        }

        void leave() {
            serving = false;
            goneAt = Math.min(goneAt, clock);
            leaving.add(this);
            destination.touch();
        }

        /** Whether its gates let a message go there that is bound to a zone. */
        boolean lets(long zone) {
            return serving && (zone == ANY_ZONE || zone == entry.zone())
                    && (mayJoin() || limit.waitUntil <= clock && isOpen());
        }

        /**
         * What sending there costs in time: the usual answer with its calls out, the last fruitless ends and
         * the fee. A trial that is due goes first, lest it stay down for ever; unsafe messages avoid it.
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
            destination.touch();
            if (!isInFullService()) {
                limit.coldNextAt = clock + 1 / limit.coldRate(this);
            }
            latest.items++;
            latest.itemsOut++;
            return latest;
        }

        /** The call of another process that an attempt is still out in: it holds its slot until it ends. */
        Call adopt(EarlierAttempt attempt) {
            Call call = calls.stream().filter(c -> c.earlier.equals(attempt.inFlightCallId())).findFirst()
                    .orElseGet(() -> new Call(this, attempt.sentAtMs(), attempt.inFlightCallId()));
            call.itemsOut++;
            return call;
        }

        /**
         * A destination may hold fewer slots than stay free, lest a slow or silent one holds them all. One
         * that answers quickly gives them back soon, so it may have all but one; the last one too while it
         * holds less than its part by what is asked for, else those with no call out starve the busiest one.
         * It may hurt where it goes silent, until a second call is out of patience.
         */
        boolean hasSlot() {
            int free = settings.slots() - slotsUsed;
            boolean quick = latency <= QUICK_MS && lastGood > Double.NEGATIVE_INFINITY && calls.stream()
                    .skip(SILENT_CALLS - 1).limit(1).allMatch(c -> clock - c.sentAt <= patience());
            double part = settings.slots() * destination.demand.share();
            boolean lacks = destination.out + 1 + SHARE_MARGIN < part;
            return quick && free > (lacks ? 0 : 1) || free > 0 && destination.out < Math.max(1, free - 1);
        }

        /** Whether pace and health let the next call go. */
        boolean isOpen() {
            return limit.nextAt <= clock && nextAt <= clock
                    && (state != EndpointState.DOWN || calls.isEmpty())
                    && (isInFullService() || limit.coldNextAt <= clock);
        }

        /** When its gates open, as far as time alone opens them. */
        double gatesOpenAt() {
            double opensAt = Math.max(Math.max(limit.waitUntil, limit.nextAt), nextAt);
            return isInFullService() ? opensAt : Math.max(opensAt, limit.coldNextAt);
        }

        /** How long a usual answer may take here. */
        double patience() {
            return latency + SILENT_DEVIATIONS * deviation;
        }

        /**
         * How long a call may be out, as far as can be told before. What can't be repeated is not to be cut
         * off: it gets the slowest answer to be reckoned with, not its time-out, longer than any close takes.
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

        /** Pace while down or warming: the rule's budget, shared as the load was shared before. */
        double allowedRate() {
            double asked = destination.demand.perMs() / destination.serving() * DEMAND_SHARE;
            double part = limit.evenPart(0) / (limit == destination.shared ? destination.serving() : 1);
            double rate = rampRate(Math.max(carried.perMs(), Math.max(asked, part)));
            if (rate == 0) {
                // Only messages of an earlier life are known here: the pace of trials, until more is seen.
                return leastTrialRate();
            }
            return state != EndpointState.DOWN ? rate
                    : Math.max(leastTrialRate(), Math.min(1 / TRIAL_LEAST_MS, rate));
        }

        /** What the rule allows now of a rate that was known before, less what is left for chance. */
        double rampRate(double known) {
            SlowStart cold = settings.slowStart();
            double warm = state == EndpointState.WARMING ? (clock - warmSince) / cold.rampUpMs() : 0;
            double capacity = cold.initialCapacityShare() + (1 - cold.initialCapacityShare()) * warm;
            return RAMP_SAFETY * cold.overloadMultiple() * capacity * known;
        }

        /** Whether nothing speaks of an outage, there or at another endpoint of its limit. */
        boolean isInFullService() {
            return state == EndpointState.UP && !limit.evidence.isSuspect(clock);
        }

        void observe(Call call, AttemptResult end) {
            switch (end.outcome()) {
                case DELIVERED -> good(call, end);
                case FULL -> full(call, end.retryAfterMs());
                case UNREACHABLE -> bad(UNREACHABLE_WEIGHT, "refuses connections");
                case ERROR -> {
                    bad(BAD_WEIGHT, "fails calls");
                    failing |= state == EndpointState.DOWN;
                }
                default -> {
                    connections.lost(call);
                    bad(BAD_WEIGHT, "loses calls");
                }
            }
            if (state == EndpointState.WARMING && clock - warmSince >= settings.slowStart().rampUpMs()) {
                up("is warm");
            }
        }

        private void good(Call call, AttemptResult end) {
            // No outage that would leave it cold fits between deliveries so close together.
            boolean blip = !failing && clock - lastGood < SHUT_MS;
            boolean returns = limit.evidence.isSuspect(clock);
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
                up("was slow, not silent");
            } else if (state == EndpointState.DOWN && blip) {
                up("was not out");
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
            down("is shut");
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
            limit.evidence.overdue(call.sentAt);
            if (lastGood < call.sentAt && ++silentCalls >= SILENT_CALLS) {
                boolean wasDown = state == EndpointState.DOWN;
                down("is silent");
                silentOnly = !wasDown;
            }
        }

        /** It answers again, and is cold. */
        private void warm() {
            state = EndpointState.WARMING;
            warmSince = clock;
            nextAt = clock + 1 / allowedRate();
            actions.log("endpoint " + entry.id() + " answers again, warming");
            remember();
        }

        private void up(String symptom) {
            state = EndpointState.UP;
            nextAt = clock;
            // The time of the outage does not count.
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
                actions.log("endpoint " + entry.id() + " " + symptom + ", trials only");
                remember();
            }
        }

        private void remember() {
            actions.saveEndpointHealth(entry.id(), new EndpointHealth(state, clock, carried.perMs()));
        }

        /** Goes on where an earlier life ended, lest a backlog push over what may just come back cold. */
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
     * Guards against connections that are dropped unseen: after losses on idle ones at two destinations,
     * those that idled nearly so long are closed before use, until a delivery over one that idled as long.
     */
    private final class Connections {
        private Optional<Call> suspect = Optional.empty();
        private double lostAt = Double.NEGATIVE_INFINITY;
        private boolean sure;

        /** How long the connection that a call now takes has idled: 0 for one in use, or a new one. */
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
     * Bounds extra sends, over all destinations, by a share of first sends: copies, lest a slow one double
     * the load, and new waves of refused messages, as refused calls may use up a limit for good.
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
