package kestreldeal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import kestreldeal.Relay.Outcome;

/**
 * Simulates many senders, each with its own scheduler, on one clock, and one destination that has an outage and
 * recovers with a reduced capacity. The destination refuses calls only by the rate limit of its full capacity, not by
 * its present one, so that nothing but the senders themselves limits its load after the outage. All random values are
 * drawn from the seed. Times are in milliseconds.
 */
final class OutageRecoverySimulation {
    static final double OUTAGE_AT = 15_000;
    static final double BACK_AT = 25_000;
    private static final double KILLED_AT = 20_000;
    private static final double END = 38_000;
    static final Relay.SlowStart COLD = new Relay.SlowStart(0.2, 12_000, 2, 3000);
    private static final List<Relay.MessageClass> CLASSES = List.of(
            new Relay.MessageClass(2500, 20_000, 1, 0.3, Relay.Effect.KEYED, false, 8000, false),
            new Relay.MessageClass(3000, 16_000, 2, 0.3, Relay.Effect.UNSAFE, false, 0, false));
    private static final long DESTINATION = 1;
    /** Load of each message after the first one in a call, relative to that of a call with one message. */
    private static final double ITEM_WEIGHT = 0.1;

    /** How the outage appears to senders. */
    enum Outage {
        /** Nine calls in ten are answered with an error. */
        FAILS,
        /** All calls are refused, half of them with a Retry-After wait until the recovery. */
        SHUT,
        /** No connection can be established. */
        REFUSES,
        /** Calls get no answer until the recovery. */
        HANGS
    }

    /** What senders know of the destination's rate limit. */
    enum Rates {
        NONE,
        /** The list gives a rate that is 50% too high, the largest error that it may have. */
        LISTED,
        /** Answers report it. */
        TOLD
    }

    /** The parameters of one run: the capacity is in calls per second, the load a share of it. */
    record Plan(int senders, double capacity, double load, Rates rates, Outage outage, boolean restart, int batch,
                int endpoints, long seed) {
        Plan(int senders, double capacity, Rates rates, Outage outage, boolean restart) {
            this(senders, capacity, 0.8, rates, outage, restart, 1, 1, 1);
        }
    }

    private record Event(double at, long number, Runnable action) {
    }

    private record Arrival(double at, double weight, boolean told) {
    }

    /** A time window after the recovery, with its calls and the number that the rule allows. */
    record Worst(double from, double calls, double budget, double toldShare) {
        private static final double SMALL_BUDGET = 30;

        /** The budget plus what may be chance; stricter than the rule if the budget is small. */
        double allowed() {
            return budget + 2 * Math.sqrt(budget) + 2;
        }

        double over() {
            return calls - allowed();
        }

        /** The number of calls beyond what the rule itself allows. */
        double overTheRule() {
            return calls - (budget >= SMALL_BUDGET ? allowed() : budget + 3 * Math.sqrt(budget) + 3);
        }
    }

    private final Plan plan;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private final List<Node> nodes = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Relay.Settings settings;
    private double now;
    private long eventCount;
    private long messages;
    private double tokens;
    private double tokensAt;
    private int delivered;
    private int deliveredCold;

    OutageRecoverySimulation(Plan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed() * 7919 + plan.senders());
        int slots = (int) Math.max(4, Math.ceil(2.4 * 0.25 * plan.capacity() / plan.senders()));
        this.settings = new Relay.Settings(CLASSES, List.of(new Relay.DestinationKind(false, plan.batch())),
                plan.rates() == Rates.LISTED, Relay.Decay.LINEAR, List.of(), plan.senders(), slots, 12, true, true, 0,
                15_000, COLD);
        for (int i = 0; i < plan.senders(); i++) {
            nodes.add(new Node(i));
        }
    }

    /** Runs the simulation to its end. */
    OutageRecoverySimulation run() {
        nodes.forEach(Node::start);
        double weights = nodes.stream().mapToDouble(n -> n.weight).sum();
        nodes.forEach(n -> n.nextMessage(plan.load() * plan.capacity() / 1000 * n.weight / weights));
        if (plan.restart()) {
            at(KILLED_AT, () -> nodes.stream().filter(n -> n.number % 10 < 7).forEach(Node::kill));
        }
        while (!events.isEmpty() && events.peek().at() <= END) {
            Event next = events.remove();
            now = next.at();
            next.action().run();
        }
        return this;
    }

    /** The number of messages that were delivered in the whole run. */
    int delivered() {
        return delivered;
    }

    /** The number of messages that were delivered after the recovery began. */
    int deliveredCold() {
        return deliveredCold;
    }

    /** Of all windows of the rule's length within the ramp-up time after the recovery, the one with most excess calls. */
    Worst worst() {
        return worst(Worst::over);
    }

    /** The same with another measure of the excess. */
    Worst worst(ToDoubleFunction<Worst> over) {
        List<Arrival> cold = arrivals.stream().filter(a -> a.at() >= BACK_AT).toList();
        List<Double> starts = new ArrayList<>(List.of(BACK_AT));
        cold.forEach(a -> starts.add(a.at()));
        Worst worst = null;
        for (double from : starts) {
            if (from + COLD.overloadMs() > BACK_AT + COLD.rampUpMs()) {
                continue;
            }
            List<Arrival> in = cold.stream().filter(a -> a.at() >= from && a.at() < from + COLD.overloadMs()).toList();
            double calls = in.stream().mapToDouble(Arrival::weight).sum();
            double told = in.stream().filter(Arrival::told).mapToDouble(Arrival::weight).sum();
            Worst window = new Worst(from - BACK_AT, calls, budget(from), calls > 0 ? told / calls : 0);
            if (worst == null || over.applyAsDouble(window) > over.applyAsDouble(worst)) {
                worst = window;
            }
        }
        return worst;
    }

    /**
     * The rule's N for the window that begins at this time. The capacity grows linearly, so its mean in the window is
     * that of the middle.
     */
    private double budget(double from) {
        double middle = (from + COLD.overloadMs() / 2 - BACK_AT) / COLD.rampUpMs();
        double share = COLD.initialCapacityShare() + (1 - COLD.initialCapacityShare()) * Math.min(1, middle);
        return COLD.overloadMultiple() * share * plan.capacity() / 1000 * COLD.overloadMs();
    }

    private void at(double time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    private boolean isOut() {
        return now >= OUTAGE_AT && now < BACK_AT;
    }

    /** A call with one message or more, as the destination receives it. */
    private final class Call {
        final Node node;
        final int life;
        final List<Attempt> items;

        Call(Node node, List<Attempt> items) {
            this.node = node;
            this.life = node.life;
            this.items = List.copyOf(items);
        }

        void arrive() {
            arrivals.add(new Arrival(now, 1 + ITEM_WEIGHT * (items.size() - 1), node.told));
            if (!isOut()) {
                serve();
                return;
            }
            switch (plan.outage()) {
                case FAILS -> answer(random.nextDouble() < 0.9 ? Outcome.ERROR : Outcome.DELIVERED, 20, 0);
                case SHUT -> answer(Outcome.FULL, 10, random.nextBoolean() ? BACK_AT - now : 0);
                case REFUSES -> answer(Outcome.UNREACHABLE, 5, 0);
                default -> at(BACK_AT + 100 * random.nextDouble(), () -> end(Outcome.DELIVERED, 0));
            }
        }

        private void serve() {
            tokens = Math.min(1 + plan.capacity() / 5, tokens + (now - tokensAt) * plan.capacity() / 1000);
            tokensAt = now;
            if (tokens < 1) {
                answer(Outcome.FULL, 10, random.nextBoolean() ? 300 : 0);
            } else {
                tokens--;
                answer(Outcome.DELIVERED, 150 + 150 * random.nextDouble(), 0);
            }
        }

        private void answer(Outcome outcome, double tookMs, double waitMs) {
            at(now + tookMs, () -> end(outcome, waitMs));
        }

        private void end(Outcome outcome, double waitMs) {
            if (node.life != life) {
                return;
            }
            items.forEach(a -> node.ended(a, outcome, waitMs));
            node.endTurn();
        }
    }

    private static final class Attempt {
        final Held held;
        final int number;
        final long endpoint;
        final double sentAt;
        Optional<Outcome> outcome = Optional.empty();

        Attempt(Held held, long endpoint, double sentAt) {
            this.held = held;
            this.endpoint = endpoint;
            this.number = held.attempts.size();
            this.sentAt = sentAt;
            held.attempts.add(this);
        }
    }

    private static final class Held {
        final long id;
        final int messageClass;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>();
        boolean over;

        Held(long id, int messageClass, double deadline) {
            this.id = id;
            this.messageClass = messageClass;
            this.deadline = deadline;
        }
    }

    /** A sender: its scheduler, and the content of its journal. */
    private final class Node implements Relay.Actions {
        final int number;
        final double weight;
        /** All accepted messages, and those without a final result. */
        final Map<Long, Held> taken = new LinkedHashMap<>();
        final Map<Long, Held> held = new LinkedHashMap<>();
        final Map<Long, Relay.EndpointHealth> journalled = new LinkedHashMap<>();
        /** The attempts that were sent in this turn, by endpoint. */
        final Map<Long, Deque<Attempt>> sends = new LinkedHashMap<>();
        Relay relay;
        /** Number of the current process: each kill starts a new one. */
        int life;
        boolean up;
        /** Whether an attempt has ended without a delivery since the outage began. */
        boolean told;

        /** One sender in ten gets four times the mean load. */
        Node(int number) {
            this.number = number;
            this.weight = number % 10 == 0 ? 4 : 0.667;
        }

        void start() {
            up = true;
            relay = Relay.create(settings, random.nextLong(), this);
            List<Relay.Endpoint> list = new ArrayList<>();
            for (long id = 0; id < plan.endpoints(); id++) {
                list.add(new Relay.Endpoint(id, DESTINATION, 0, 0, true, 1.5 * plan.capacity()));
            }
            relay.endpointsChanged(now, true, list);
            journalled.forEach((endpoint, health) -> relay.restoreEndpointHealth(now, endpoint, health));
            for (Held h : List.copyOf(held.values())) {
                List<Relay.EarlierAttempt> earlier = h.attempts.stream().map(a -> new Relay.EarlierAttempt(
                        a.endpoint, a.sentAt, a.outcome.map(Outcome::mayHaveRun).orElse(true)))
                        .toList();
                relay.messageRestored(now,
                        new Relay.Message(h.id, h.messageClass, 0, Optional.empty(), h.deadline - now,
                        DESTINATION), earlier);
            }
            endTurn();
        }

        void kill() {
            up = false;
            life++;
            at(now + 600 + 3000 * random.nextDouble(), this::start);
        }

        void nextMessage(double perMs) {
            at(now - Math.log(1 - random.nextDouble()) / perMs, () -> {
                Node to = this;
                for (int i = 0; i < nodes.size() && !to.up; i++) {
                    to = nodes.get((number + i) % nodes.size());
                }
                if (to.up) {
                    to.take();
                }
                nextMessage(perMs);
            });
        }

        private void take() {
            double room = Math.max(8, 9 * plan.capacity() / plan.senders() * weight);
            if (held.size() >= room) {
                return;
            }
            int messageClass = random.nextDouble() < 0.65 ? 0 : 1;
            double left = CLASSES.get(messageClass).deadlineMs();
            Held h = new Held(messages++, messageClass, now + left);
            taken.put(h.id, h);
            held.put(h.id, h);
            relay.messageAccepted(now, new Relay.Message(h.id, messageClass, 0, Optional.empty(), left, DESTINATION));
            endTurn();
        }

        void ended(Attempt a, Outcome outcome, double waitMs) {
            if (a.outcome.isPresent()) {
                return;
            }
            a.outcome = Optional.of(outcome);
            told |= outcome != Outcome.DELIVERED && now >= OUTAGE_AT;
            if (outcome == Outcome.DELIVERED && !a.held.over) {
                delivered++;
                deliveredCold += now >= BACK_AT ? 1 : 0;
                over(a.held.id);
            }
            Relay.LoadReport report = plan.rates() == Rates.TOLD ? new Relay.LoadReport(plan.capacity(), 0.5)
                    : Relay.LoadReport.NONE;
            relay.attemptCompleted(now,
                    new Relay.AttemptResult(a.held.id, a.number, outcome, now - a.sentAt, a.held.over, waitMs, report));
        }

        private void over(long id) {
            held.remove(id).over = true;
        }

        /** Attempts of one turn at the same endpoint share a call, up to the maximum batch size. */
        void endTurn() {
            relay.endTurn(now);
            List<Deque<Attempt>> all = new ArrayList<>(sends.values());
            sends.clear();
            for (Deque<Attempt> queue : all) {
                while (!queue.isEmpty()) {
                    List<Attempt> items = new ArrayList<>();
                    while (!queue.isEmpty() && items.size() < plan.batch()) {
                        items.add(queue.remove());
                    }
                    Call call = new Call(this, items);
                    at(now + 10 + 20 * random.nextDouble(), call::arrive);
                }
            }
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            Attempt attempt = new Attempt(held.get(message), endpoint, now);
            sends.computeIfAbsent(endpoint, e -> new ArrayDeque<>()).add(attempt);
            int sentIn = life;
            at(now + timeoutMs, () -> endAlone(attempt, sentIn, Outcome.TIMED_OUT));
        }

        private void endAlone(Attempt attempt, int sentIn, Outcome outcome) {
            if (life == sentIn && attempt.outcome.isEmpty()) {
                ended(attempt, outcome, 0);
                endTurn();
            }
        }

        @Override
        public void cancel(long message, int attempt) {
            int sentIn = life;
            Attempt redundant = taken.get(message).attempts.get(attempt);
            at(now, () -> endAlone(redundant, sentIn, Outcome.CANCELLED));
        }

        @Override
        public void closeIdleConnections(long endpoint) {
        }

        @Override
        public void reject(long message, double waitMs) {
            over(message);
        }

        @Override
        public void fail(long message) {
            over(message);
        }

        @Override
        public void wakeAt(double time) {
            int askedIn = life;
            at(Math.max(time, now + 0.001), () -> {
                if (life == askedIn) {
                    relay.wake(now);
                    endTurn();
                }
            });
        }

        @Override
        public void saveEndpointHealth(long endpoint, Relay.EndpointHealth health) {
            // As in the journal, an endpoint in full service takes up no space.
            journalled.remove(endpoint);
            if (health.state() != Relay.EndpointState.UP) {
                journalled.put(endpoint, health);
            }
        }

        @Override
        public void log(String text) {
        }
    }
}
