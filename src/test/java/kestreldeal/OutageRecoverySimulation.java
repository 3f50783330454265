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
    static final double OUTAGE_AT_MS = 15_000;
    static final double RECOVERY_AT_MS = 25_000;
    private static final double KILLED_AT_MS = 20_000;
    private static final double END_MS = 38_000;
    static final Relay.SlowStart SLOW_START = new Relay.SlowStart(0.2, 12_000, 2, 3000);
    private static final List<Relay.MessageClass> CLASSES = List.of(
            new Relay.MessageClass(2500, 20_000, 1, 0.3, Relay.Repeat.KEYED, false, 8000, false),
            new Relay.MessageClass(3000, 16_000, 2, 0.3, Relay.Repeat.UNSAFE, false, 0, false));
    private static final long DESTINATION = 1;
    /** Load of each message after the first one in a call, relative to that of a call with one message. */
    private static final double EXTRA_MESSAGE_WEIGHT = 0.1;

    /** How the outage appears to senders. */
    enum OutageKind {
        /** Nine calls in ten are answered with an error. */
        ERRORS,
        /** All calls are refused, half of them with a Retry-After wait until the recovery. */
        REFUSES_ALL,
        /** No connection can be established. */
        UNREACHABLE,
        /** Calls get no answer until the recovery. */
        NO_ANSWER
    }

    /** What senders know of the destination's rate limit. */
    enum RateInformation {
        NONE,
        /** The list gives a rate that is 50% too high, the largest error that it may have. */
        LISTED,
        /** Answers report it. */
        REPORTED
    }

    /** The parameters of one run: the capacity is in calls per second, the load a share of it. */
    record Scenario(int senderCount, double capacityPerS, double loadShare, RateInformation rateInformation,
                OutageKind outageKind, boolean restart, int maxBatchSize, int endpointCount, long seed) {
        Scenario(int senderCount, double capacityPerS, RateInformation rateInformation, OutageKind outageKind,
                boolean restart) {
            this(senderCount, capacityPerS, 0.8, rateInformation, outageKind, restart, 1, 1, 1);
        }
    }

    private record Event(double at, long sequence, Runnable action) {
    }

    private record Arrival(double at, double weight, boolean senderSawOutage) {
    }

    /**
     * A time window during the recovery: its start, counted from the end of the outage, its calls, the number N of
     * calls that the rule allows, and the share of the calls from senders that had seen the outage.
     */
    record LoadWindow(double startMs, double calls, double budget, double sawOutageShare) {
        private static final double SMALL_BUDGET_CALLS = 30;

        /** The budget plus what may be chance; stricter than the rule if the budget is small. */
        double allowedCalls() {
            return budget + 2 * Math.sqrt(budget) + 2;
        }

        double excessCalls() {
            return calls - allowedCalls();
        }

        /** The number of calls beyond what the rule itself allows. */
        double excessOverRule() {
            return calls - (budget >= SMALL_BUDGET_CALLS ? allowedCalls() : budget + 3 * Math.sqrt(budget) + 3);
        }
    }

    private final Scenario scenario;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));
    private final List<Sender> senders = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Relay.Settings settings;
    private double now;
    private long nextSequence;
    private long nextMessageId;
    private double tokens;
    private double tokensUpdatedAt;
    private int delivered;
    private int deliveredAfterRecovery;

    OutageRecoverySimulation(Scenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed() * 7919 + scenario.senderCount());
        int slots = (int) Math.max(4, Math.ceil(2.4 * 0.25 * scenario.capacityPerS() / scenario.senderCount()));
        this.settings = new Relay.Settings(CLASSES, List.of(new Relay.DestinationKind(false, scenario.maxBatchSize())),
                scenario.rateInformation() == RateInformation.LISTED, Relay.Decay.LINEAR, List.of(),
                scenario.senderCount(), slots, 12, true, true, 0, 15_000, SLOW_START);
        for (int i = 0; i < scenario.senderCount(); i++) {
            senders.add(new Sender(i));
        }
    }

    /** Runs the simulation to its end. */
    OutageRecoverySimulation run() {
        senders.forEach(Sender::start);
        double totalWeight = senders.stream().mapToDouble(s -> s.loadWeight).sum();
        senders.forEach(s -> s.scheduleNextMessage(scenario.loadShare() * scenario.capacityPerS() / 1000
                * s.loadWeight / totalWeight));
        if (scenario.restart()) {
            schedule(KILLED_AT_MS, () -> senders.stream().filter(s -> s.number % 10 < 7).forEach(Sender::kill));
        }
        while (!events.isEmpty() && events.peek().at() <= END_MS) {
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

    /** The number of messages that were delivered after the end of the outage. */
    int deliveredAfterRecovery() {
        return deliveredAfterRecovery;
    }

    /** The window with most excess calls, of all those of the rule's length in the ramp-up time of the recovery. */
    LoadWindow worstWindow() {
        return worstWindow(LoadWindow::excessCalls);
    }

    /** The same with another measure of the excess. */
    LoadWindow worstWindow(ToDoubleFunction<LoadWindow> excess) {
        List<Arrival> afterRecovery = arrivals.stream().filter(a -> a.at() >= RECOVERY_AT_MS).toList();
        List<Double> starts = new ArrayList<>(List.of(RECOVERY_AT_MS));
        afterRecovery.forEach(a -> starts.add(a.at()));
        LoadWindow worst = null;
        for (double start : starts) {
            if (start + SLOW_START.overloadMs() > RECOVERY_AT_MS + SLOW_START.rampUpMs()) {
                continue;
            }
            List<Arrival> inWindow = afterRecovery.stream()
                    .filter(a -> a.at() >= start && a.at() < start + SLOW_START.overloadMs()).toList();
            double calls = inWindow.stream().mapToDouble(Arrival::weight).sum();
            double sawOutage = inWindow.stream().filter(Arrival::senderSawOutage).mapToDouble(Arrival::weight).sum();
            LoadWindow window = new LoadWindow(start - RECOVERY_AT_MS, calls, callBudget(start),
                    calls > 0 ? sawOutage / calls : 0);
            if (worst == null || excess.applyAsDouble(window) > excess.applyAsDouble(worst)) {
                worst = window;
            }
        }
        return worst;
    }

    /**
     * The rule's N for the window that begins at this time. The capacity grows linearly, so its mean in the window is
     * that of the middle.
     */
    private double callBudget(double start) {
        double rampUpDone = (start + SLOW_START.overloadMs() / 2 - RECOVERY_AT_MS) / SLOW_START.rampUpMs();
        double share = SLOW_START.initialCapacityShare()
                + (1 - SLOW_START.initialCapacityShare()) * Math.min(1, rampUpDone);
        return SLOW_START.overloadMultiple() * share * scenario.capacityPerS() / 1000 * SLOW_START.overloadMs();
    }

    private void schedule(double timeMs, Runnable action) {
        events.add(new Event(timeMs, nextSequence++, action));
    }

    private boolean isOutage() {
        return now >= OUTAGE_AT_MS && now < RECOVERY_AT_MS;
    }

    /** A call with one message or more, as the destination receives it. */
    private final class Call {
        final Sender sender;
        final int processNumber;
        final List<Attempt> attempts;

        Call(Sender sender, List<Attempt> attempts) {
            this.sender = sender;
            this.processNumber = sender.processNumber;
            this.attempts = List.copyOf(attempts);
        }

        void arrive() {
            arrivals.add(new Arrival(now, 1 + EXTRA_MESSAGE_WEIGHT * (attempts.size() - 1), sender.sawOutage));
            if (!isOutage()) {
                serve();
                return;
            }
            switch (scenario.outageKind()) {
                case ERRORS -> respond(random.nextDouble() < 0.9 ? Outcome.ERROR : Outcome.DELIVERED, 20, 0);
                case REFUSES_ALL -> respond(Outcome.FULL, 10, random.nextBoolean() ? RECOVERY_AT_MS - now : 0);
                case UNREACHABLE -> respond(Outcome.UNREACHABLE, 5, 0);
                default -> schedule(RECOVERY_AT_MS + 100 * random.nextDouble(), () -> complete(Outcome.DELIVERED, 0));
            }
        }

        private void serve() {
            tokens = Math.min(1 + scenario.capacityPerS() / 5,
                    tokens + (now - tokensUpdatedAt) * scenario.capacityPerS() / 1000);
            tokensUpdatedAt = now;
            if (tokens < 1) {
                respond(Outcome.FULL, 10, random.nextBoolean() ? 300 : 0);
            } else {
                tokens--;
                respond(Outcome.DELIVERED, 150 + 150 * random.nextDouble(), 0);
            }
        }

        private void respond(Outcome outcome, double durationMs, double retryAfterMs) {
            schedule(now + durationMs, () -> complete(outcome, retryAfterMs));
        }

        private void complete(Outcome outcome, double retryAfterMs) {
            if (sender.processNumber != processNumber) {
                return;
            }
            attempts.forEach(a -> sender.attemptCompleted(a, outcome, retryAfterMs));
            sender.endTurn();
        }
    }

    private static final class Attempt {
        final StoredMessage message;
        final int number;
        final long endpoint;
        final double sentAt;
        Optional<Outcome> outcome = Optional.empty();

        Attempt(StoredMessage message, long endpoint, double sentAt) {
            this.message = message;
            this.endpoint = endpoint;
            this.number = message.attempts.size();
            this.sentAt = sentAt;
            message.attempts.add(this);
        }
    }

    private static final class StoredMessage {
        final long id;
        final int messageClass;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>();
        boolean finished;

        StoredMessage(long id, int messageClass, double deadline) {
            this.id = id;
            this.messageClass = messageClass;
            this.deadline = deadline;
        }
    }

    /** A sender: its scheduler, and the content of its journal. */
    private final class Sender implements Relay.Actions {
        final int number;
        final double loadWeight;
        /** All accepted messages, and those without a final result. */
        final Map<Long, StoredMessage> accepted = new LinkedHashMap<>();
        final Map<Long, StoredMessage> pending = new LinkedHashMap<>();
        final Map<Long, Relay.EndpointHealth> journaledHealth = new LinkedHashMap<>();
        /** The attempts that were sent in this turn, by endpoint. */
        final Map<Long, Deque<Attempt>> sendsOfTurn = new LinkedHashMap<>();
        Relay relay;
        /** Number of the current process: each kill starts a new one. */
        int processNumber;
        boolean running;
        /** Whether an attempt has ended without a delivery since the outage began. */
        boolean sawOutage;

        /** One sender in ten gets four times the mean load. */
        Sender(int number) {
            this.number = number;
            this.loadWeight = number % 10 == 0 ? 4 : 0.667;
        }

        void start() {
            running = true;
            relay = Relay.create(settings, random.nextLong(), this);
            List<Relay.Endpoint> endpoints = new ArrayList<>();
            for (long id = 0; id < scenario.endpointCount(); id++) {
                endpoints.add(new Relay.Endpoint(id, DESTINATION, 0, 0, true, 1.5 * scenario.capacityPerS()));
            }
            relay.endpointsChanged(now, true, endpoints);
            journaledHealth.forEach((endpoint, health) -> relay.restoreEndpointHealth(now, endpoint, health));
            for (StoredMessage message : List.copyOf(pending.values())) {
                List<Relay.EarlierAttempt> earlier = message.attempts.stream().map(a -> new Relay.EarlierAttempt(
                        a.endpoint, a.sentAt, a.outcome.map(Outcome::mayHaveRun).orElse(true)))
                        .toList();
                relay.messageRestored(now,
                        new Relay.Message(message.id, message.messageClass, 0, Optional.empty(), message.deadline - now,
                        DESTINATION), earlier);
            }
            endTurn();
        }

        void kill() {
            running = false;
            processNumber++;
            schedule(now + 600 + 3000 * random.nextDouble(), this::start);
        }

        void scheduleNextMessage(double perMs) {
            schedule(now - Math.log(1 - random.nextDouble()) / perMs, () -> {
                Sender receiver = this;
                for (int i = 0; i < senders.size() && !receiver.running; i++) {
                    receiver = senders.get((number + i) % senders.size());
                }
                if (receiver.running) {
                    receiver.accept();
                }
                scheduleNextMessage(perMs);
            });
        }

        private void accept() {
            double maxPending = Math.max(8, 9 * scenario.capacityPerS() / scenario.senderCount() * loadWeight);
            if (pending.size() >= maxPending) {
                return;
            }
            int messageClass = random.nextDouble() < 0.65 ? 0 : 1;
            double timeLeftMs = CLASSES.get(messageClass).deadlineMs();
            StoredMessage message = new StoredMessage(nextMessageId++, messageClass, now + timeLeftMs);
            accepted.put(message.id, message);
            pending.put(message.id, message);
            relay.messageAccepted(now,
                    new Relay.Message(message.id, messageClass, 0, Optional.empty(), timeLeftMs, DESTINATION));
            endTurn();
        }

        void attemptCompleted(Attempt attempt, Outcome outcome, double retryAfterMs) {
            if (attempt.outcome.isPresent()) {
                return;
            }
            attempt.outcome = Optional.of(outcome);
            sawOutage |= outcome != Outcome.DELIVERED && now >= OUTAGE_AT_MS;
            if (outcome == Outcome.DELIVERED && !attempt.message.finished) {
                delivered++;
                deliveredAfterRecovery += now >= RECOVERY_AT_MS ? 1 : 0;
                finish(attempt.message.id);
            }
            Relay.LoadReport report = scenario.rateInformation() == RateInformation.REPORTED
                    ? new Relay.LoadReport(scenario.capacityPerS(), 0.5)
                    : Relay.LoadReport.NONE;
            relay.attemptCompleted(now,
                    new Relay.AttemptResult(attempt.message.id, attempt.number, outcome, now - attempt.sentAt,
                    attempt.message.finished, retryAfterMs, report));
        }

        private void finish(long id) {
            pending.remove(id).finished = true;
        }

        /** Attempts of one turn at the same endpoint share a call, up to the maximum batch size. */
        void endTurn() {
            relay.endTurn(now);
            List<Deque<Attempt>> sendsByEndpoint = new ArrayList<>(sendsOfTurn.values());
            sendsOfTurn.clear();
            for (Deque<Attempt> sends : sendsByEndpoint) {
                while (!sends.isEmpty()) {
                    List<Attempt> attempts = new ArrayList<>();
                    while (!sends.isEmpty() && attempts.size() < scenario.maxBatchSize()) {
                        attempts.add(sends.remove());
                    }
                    Call call = new Call(this, attempts);
                    schedule(now + 10 + 20 * random.nextDouble(), call::arrive);
                }
            }
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            Attempt attempt = new Attempt(pending.get(message), endpoint, now);
            sendsOfTurn.computeIfAbsent(endpoint, e -> new ArrayDeque<>()).add(attempt);
            int sendingProcess = processNumber;
            schedule(now + timeoutMs, () -> completeAlone(attempt, sendingProcess, Outcome.TIMED_OUT));
        }

        private void completeAlone(Attempt attempt, int sendingProcess, Outcome outcome) {
            if (processNumber == sendingProcess && attempt.outcome.isEmpty()) {
                attemptCompleted(attempt, outcome, 0);
                endTurn();
            }
        }

        @Override
        public void cancel(long message, int attempt) {
            int sendingProcess = processNumber;
            Attempt redundant = accepted.get(message).attempts.get(attempt);
            schedule(now, () -> completeAlone(redundant, sendingProcess, Outcome.CANCELLED));
        }

        @Override
        public void closeIdleConnections(long endpoint) {
        }

        @Override
        public void reject(long message, double retryAfterMs) {
            finish(message);
        }

        @Override
        public void fail(long message) {
            finish(message);
        }

        @Override
        public void wakeAt(double timeMs) {
            int requestingProcess = processNumber;
            schedule(Math.max(timeMs, now + 0.001), () -> {
                if (processNumber == requestingProcess) {
                    relay.wake(now);
                    endTurn();
                }
            });
        }

        @Override
        public void saveEndpointHealth(long endpoint, Relay.EndpointHealth health) {
            // As in the journal, an endpoint in full service takes up no space.
            journaledHealth.remove(endpoint);
            if (health.state() != Relay.EndpointState.UP) {
                journaledHealth.put(endpoint, health);
            }
        }

        @Override
        public void log(String text) {
        }
    }
}
