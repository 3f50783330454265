package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import kestreldeal.Relay.Repeat;
import kestreldeal.Relay.MessageClass;
import kestreldeal.Relay.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Compares {@link DeliveryScheduler} with its reference, {@link ReferenceScheduler}: both get the same random sequences
 * of events, and must take the same actions in the same order. The property {@code walk.seeds} sets the number of
 * sequences, {@code walk.first} the seed of the first one.
 */
class DeliverySchedulerEquivalenceTest {
    private static final int SEED_COUNT = Integer.getInteger("walk.seeds", 400);
    private static final int FIRST_SEED = Integer.getInteger("walk.first", 1);
    /** A requested wake counts as due up to this long before its time, in both schedulers. */
    private static final double CLOCK_MARGIN_MS = 1;

    @Test
    void actsLikeTheReferenceAndRetainsNothing() {
        long actions = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            EventSequence sequence = new EventSequence(seed);
            try {
                sequence.run(seed % 20 == 0 ? 1500 : 120);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ", step " + sequence.step + ", at " + sequence.now + ", "
                        + sequence.settings + ": " + e.getMessage(), e);
            }
            actions += sequence.actionCount;
            if (SEED_COUNT > 1000 && seed % 1000 == 0) {
                System.out.println("seed " + seed + ", actions so far " + actions);
            }
        }
        System.out.println("equal over " + SEED_COUNT + " sequences with " + actions + " actions");
        assertTrue(actions > 20L * SEED_COUNT, "the sequences must cause enough actions: " + actions);
    }

    /** An action; values that do not apply to its kind are 0. */
    private record Action(String kind, long id, long otherId, double value) {
    }

    private static final class Recorder implements Relay.Actions {
        final List<Action> actions = new ArrayList<>();
        /** The time of the wake that was requested last. */
        double requestedWake = Double.POSITIVE_INFINITY;
        /** The endpoints that were forgotten; those of one event in any order. */
        final Set<Long> forgotten = new TreeSet<>();

        @Override
        public void endpointForgotten(long endpoint) {
            forgotten.add(endpoint);
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            actions.add(new Action("send", message, endpoint, timeoutMs));
        }

        @Override
        public void cancel(long message, int attempt) {
            actions.add(new Action("cancel", message, attempt, 0));
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            actions.add(new Action("close idle", endpoint, 0, 0));
        }

        @Override
        public void reject(long message, double retryAfterMs) {
            actions.add(new Action("refuse", message, 0, retryAfterMs));
        }

        @Override
        public void fail(long message) {
            actions.add(new Action("fail", message, 0, 0));
        }

        @Override
        public void wakeAt(double timeMs) {
            requestedWake = timeMs;
        }

        @Override
        public void saveEndpointHealth(long endpoint, Relay.EndpointHealth health) {
            actions.add(new Action("remember " + health.state(), endpoint, 0, health.sustainedPerMs()));
        }

        @Override
        public void log(String text) {
            actions.add(new Action(text, 0, 0, 0));
        }
    }

    /** An attempt in flight, as the caller of the schedulers knows it. */
    private record InFlightAttempt(long message, int attempt, double sentAt) {
    }

    /** A random sequence of events that is passed to both schedulers. */
    private static final class EventSequence {
        final Random random;
        final Relay.Settings settings;
        final Recorder actual = new Recorder();
        final Recorder expected = new Recorder();
        final DeliveryScheduler scheduler;
        final ReferenceScheduler reference;
        final List<InFlightAttempt> inFlight = new ArrayList<>();
        final List<Integer> attemptCounts = new ArrayList<>();
        final int destinationCount;
        /** The step to which times are rounded, or 0 for no rounding. */
        final double timeResolutionMs;
        /** Twice the percentage of events that submit a message. */
        final double submissionWeight;
        /** The probability that an attempt gets a random outcome instead of a delivery. */
        final double faultProbability;
        /** Whether most attempts are refused, so that the retry budget limits new rounds. */
        final boolean mostlyRefused;
        /** Whether to check that no destination needs an update for which it was not marked. */
        final boolean checksUpdates;
        double now = 1000;
        int step;
        long actionCount;
        long lastCallId = 1;

        EventSequence(long seed) {
            random = new Random(seed);
            settings = randomSettings();
            destinationCount = 1 + random.nextInt(6);
            timeResolutionMs = random.nextInt(4) == 0 ? 0 : 0.25;
            submissionWeight = Math.pow(10, 1 + 0.9 * random.nextDouble());
            faultProbability = random.nextDouble();
            mostlyRefused = random.nextInt(4) == 0;
            checksUpdates = random.nextInt(4) == 0;
            scheduler = new DeliveryScheduler(settings, seed, actual);
            reference = new ReferenceScheduler(settings, seed, expected);
        }

        private Relay.Settings randomSettings() {
            List<MessageClass> classes = new ArrayList<>();
            for (int i = 1 + random.nextInt(5); i > 0; i--) {
                Repeat repeat = Repeat.values()[random.nextInt(3)];
                double targetLatency = pickOne(300, 1000, 2000, 5000);
                double deadline = targetLatency * pickOne(1, 1.25, 3, 8) + pickOne(0, 0.5, 400);
                classes.add(new MessageClass(targetLatency, deadline, pickOne(0, 0.3, 1, 1, 4),
                        pickOne(0, 0.1, 0.5, 0.9, 1), repeat,
                        repeat == Repeat.KEYED && random.nextBoolean(), pickOne(400, 1000, 4000, 60_000),
                        random.nextInt(3) == 0));
            }
            int maxBatchSize = random.nextBoolean() ? 1 : 5;
            List<Relay.DestinationKind> kinds = List.of(new Relay.DestinationKind(false, 1),
                    new Relay.DestinationKind(random.nextBoolean(), maxBatchSize), new Relay.DestinationKind(true, 1));
            return new Relay.Settings(classes, kinds, random.nextBoolean(),
                    random.nextBoolean() ? Relay.Decay.LINEAR : Relay.Decay.HALVING, List.of(0.0, 0.06),
                    1 + random.nextInt(3), (int) pickOne(1, 2, 3, 5, 10, 40), (int) pickOne(2, 3, 12),
                    random.nextInt(4) > 0, random.nextInt(4) > 0, pickOne(0, 100, 500), pickOne(500, 15_000),
                    new Relay.SlowStart(0.2, pickOne(1000, 12_000), 2, 1500));
        }

        private double pickOne(double... values) {
            return values[random.nextInt(values.length)];
        }

        void run(int steps) {
            restoreState();
            changeEndpoints(true);
            for (step = 0; step < steps; step++) {
                for (int i = random.nextInt(4); i > 0; i--) {
                    randomEvent();
                }
                endTurn();
                advanceClock();
            }
            finishAndCheckEmpty();
        }

        private void restoreState() {
            for (int i = random.nextInt(3); i > 0; i--) {
                restoreHealth();
            }
            if (random.nextInt(4) == 0) {
                Relay.LearnedEndpointState endpointState =
                        new Relay.LearnedEndpointState(randomEndpoint(), pickOne(0, 900), pickOne(0.001, 0.01, 1),
                        pickOne(1, 500), 1, 0.01, pickOne(0, 0.02), 0.01, 0.01, 100, 20, 400);
                Relay.LearnedState state =
                        new Relay.LearnedState(List.of(endpointState), List.of(9000.0, 10.0), List.of(50.0),
                        List.of(9990.0, 20.0));
                applyToBoth(r -> r.restoreLearnedState(now, state));
            }
        }

        private void restoreHealth() {
            Relay.EndpointHealth health =
                    new Relay.EndpointHealth(Relay.EndpointState.values()[random.nextInt(3)], now - 300, 0.01);
            long endpoint = randomEndpoint();
            applyToBoth(r -> r.restoreEndpointHealth(now, endpoint, health));
        }

        private void applyToBoth(java.util.function.Consumer<Relay> event) {
            event.accept(reference);
            event.accept(scheduler);
            compareActions();
        }

        private void compareActions() {
            assertEquals(expected.actions, actual.actions);
            assertEquals(expected.forgotten, actual.forgotten);
            actionCount += actual.actions.size();
            for (Action action : actual.actions) {
                if (action.kind().equals("send")) {
                    int number = attemptCounts.get((int) action.id());
                    attemptCounts.set((int) action.id(), number + 1);
                    inFlight.add(new InFlightAttempt(action.id(), number, now));
                }
            }
            actual.actions.clear();
            expected.actions.clear();
        }

        private void endTurn() {
            applyToBoth(r -> r.endTurn(now));
            assertEquals(reference.endpointCounts(), scheduler.endpointCounts());
            if (checksUpdates && random.nextInt(8) == 0) {
                double nextUpdateAt = scheduler.waiting.nextUpdateAt();
                reachable(scheduler).stream().filter(o -> o instanceof GroupedQueues.Owner)
                        .forEach(o -> ((GroupedQueues.Owner<?>) o).markChanged());
                scheduler.waiting.updateEligibility(now);
                assertEquals(scheduler.waiting.nextUpdateAt(), nextUpdateAt,
                        "a change of a send condition did not mark its destination as changed");
            }
        }

        /**
         * Advances the clock to a requested wake or by a random time. At a wake that only the reference requested, it
         * may do nothing for which the scheduler would have needed a wake too.
         */
        private void advanceClock() {
            double wake = Math.min(actual.requestedWake, expected.requestedWake);
            int choice = random.nextInt(3);
            double next = now + Math.pow(10, -1 + 4 * random.nextDouble()) * random.nextDouble();
            next = timeResolutionMs > 0 ? Math.round(next / timeResolutionMs) * timeResolutionMs : next;
            if (choice > 0 && wake > now && wake < now + 60_000 && (choice == 1 || wake < next)) {
                next = wake;
            }
            boolean onlyReferenceWakes = next == expected.requestedWake && next < actual.requestedWake;
            now = Math.max(now, next);
            if (onlyReferenceWakes) {
                reference.endTurn(now);
                // Cancellations, log lines and changes of health may come in any turn, and need no wake. A wake that
                // the scheduler requested within the clock margin counts as due.
                assertTrue(actual.requestedWake <= now + CLOCK_MARGIN_MS
                        || expected.actions.stream().allMatch(a -> a.kind().equals("cancel") || a.id() == 0
                        || a.kind().startsWith("remember")),
                        "no wake for " + expected.actions + " until " + actual.requestedWake);
                scheduler.endTurn(now);
                compareActions();
            }
        }

        private void randomEvent() {
            int kind = random.nextInt(100);
            if (kind < submissionWeight / 2) {
                submitMessage();
            } else if (kind < 45) {
                completeAttempt();
            } else if (kind < 47) {
                restoreMessage();
            } else if (kind < 50) {
                changeEndpoints(random.nextInt(4) == 0);
            } else if (kind < 52) {
                long endpoint = randomEndpoint();
                double retryAfterMs = pickOne(1, 40, 700, 4000);
                applyToBoth(r -> r.retryAfterReceived(now, endpoint, retryAfterMs));
            } else if (kind < 54 && !attemptCounts.isEmpty()) {
                long message = random.nextInt(attemptCounts.size());
                applyToBoth(r -> r.messageCancelled(now, message));
            } else if (kind == 54 && random.nextInt(40) == 0) {
                double endMs = now + pickOne(500, 3000);
                applyToBoth(r -> r.shutdownScheduled(now, endMs));
            } else if (kind == 55) {
                applyToBoth(r -> r.wake(now));
            } else if (kind == 57) {
                restoreHealth();
            } else if (kind == 56) {
                assertEquals(withoutExpired(reference.learnedState(now)), withoutExpired(scheduler.learnedState(now)));
            } else {
                completeAttempt();
            }
        }

        /**
         * Leaves out sends that no longer count in a budget: the schedulers remove them at the next use of the
         * budget, which comes more often in the reference.
         */
        private static Relay.LearnedState withoutExpired(Relay.LearnedState state) {
            return new Relay.LearnedState(state.endpoints(), withoutExpired(state.firstSendsAgo()),
                    withoutExpired(state.copiesAgo()), withoutExpired(state.retriesAgo()));
        }

        private static List<Double> withoutExpired(List<Double> ages) {
            return ages.stream().filter(a -> a <= 10_000).toList();
        }

        private Relay.Message newMessage() {
            int classIndex = random.nextInt(settings.classes().size());
            double timeLeftMs = settings.classes().get(classIndex).deadlineMs();
            timeLeftMs *= random.nextInt(5) == 0 ? random.nextDouble() : 1;
            timeLeftMs = random.nextInt(30) == 0 ? pickOne(-1, 0, 4, 5, 6) : timeLeftMs;
            Optional<String> key = random.nextBoolean() ? Optional.of("k" + random.nextInt(3)) : Optional.empty();
            attemptCounts.add(0);
            timeLeftMs = timeResolutionMs > 0 ? Math.round(timeLeftMs / timeResolutionMs) * timeResolutionMs : timeLeftMs;
            return new Relay.Message(attemptCounts.size() - 1, classIndex, 0, key, timeLeftMs,
                    random.nextInt(destinationCount), timeLeftMs + pickOne(0, 300, -300));
        }

        private void submitMessage() {
            Relay.Message message = newMessage();
            applyToBoth(r -> r.messageAccepted(now, message));
        }

        private void restoreMessage() {
            Relay.Message message = newMessage();
            List<Relay.EarlierAttempt> earlier = new ArrayList<>();
            boolean stillInFlight = random.nextInt(3) == 0;
            for (int i = random.nextInt(3); i > 0; i--) {
                boolean mayHaveRun = random.nextBoolean();
                if (stillInFlight) {
                    inFlight.add(new InFlightAttempt(message.id(), earlier.size(), now));
                }
                earlier.add(new Relay.EarlierAttempt(message.destination() * 10 + random.nextInt(4),
                        now - pickOne(1, 200, 900), mayHaveRun,
                        stillInFlight ? OptionalLong.of(lastCallId += random.nextInt(2)) : OptionalLong.empty()));
            }
            attemptCounts.set((int) message.id(), earlier.size());
            applyToBoth(r -> r.messageRestored(now, message, earlier));
        }

        private void completeAttempt() {
            if (inFlight.isEmpty()) {
                return;
            }
            InFlightAttempt attempt = inFlight.remove(random.nextInt(inFlight.size()));
            Outcome outcome = mostlyRefused && random.nextInt(4) > 0 ? Outcome.FULL
                    : random.nextDouble() < faultProbability
                    ? Outcome.values()[random.nextInt(Outcome.values().length)] : Outcome.DELIVERED;
            boolean finished = outcome == Outcome.DELIVERED || outcome == Outcome.ERROR && random.nextInt(5) == 0;
            double retryAfterMs = outcome != Outcome.FULL ? 0
                    : mostlyRefused ? pickOne(0, 0, 0, 20) : pickOne(0, 20, 300, 3000);
            Relay.LoadReport report = random.nextInt(3) > 0 ? Relay.LoadReport.NONE
                    : new Relay.LoadReport(pickOne(2, 50), random.nextDouble());
            Relay.AttemptResult result = new Relay.AttemptResult(attempt.message(), attempt.attempt(), outcome,
                    now - attempt.sentAt(), finished, retryAfterMs, report);
            applyToBoth(r -> r.attemptCompleted(now, result));
        }

        private long randomEndpoint() {
            return random.nextInt(destinationCount) * 10 + random.nextInt(4);
        }

        private void changeEndpoints(boolean fullList) {
            List<Relay.Endpoint> entries = new ArrayList<>();
            for (int i = fullList ? 3 * destinationCount : 1 + random.nextInt(2); i > 0; i--) {
                long id = randomEndpoint();
                int kind = (int) (id / 10 % 3);
                entries.add(new Relay.Endpoint(id, id / 10, kind, (int) (id % 2), random.nextInt(5) > 0,
                        pickOne(0, 20, 400), random.nextInt(8) == 0));
            }
            applyToBoth(r -> r.endpointsChanged(now, fullList, entries));
            if (random.nextBoolean()) {
                applyToBoth(r -> r.endpointListCompleted(now));
            }
        }

        /**
         * Completes all messages, by cancelling them at once or by letting time pass, and checks that the scheduler
         * keeps no object of a message.
         */
        private void finishAndCheckEmpty() {
            boolean atOnce = random.nextBoolean();
            for (int i = 0; i < attemptCounts.size() && atOnce; i++) {
                long message = i;
                applyToBoth(r -> r.messageCancelled(now, message));
            }
            for (int i = 0; i < 100 && !atOnce; i++) {
                completeAllAttempts();
                endTurn();
                now += 500;
            }
            completeAllAttempts();
            assertEquals(List.of(), reachable(scheduler).stream().map(o -> o.getClass().getName())
                    .filter(name -> name.matches(".*\\$(TrackedMessage|Attempt|Group)")).toList());
            now += 60_000;
            endTurn();
            assertEquals(0, scheduler.keyQueues.size(), "key queues left");
        }

        private void completeAllAttempts() {
            while (!inFlight.isEmpty()) {
                completeAttempt();
            }
        }
    }

    /** All objects of this package reachable from the given one, also through collections, arrays and lambdas. */
    private static Set<Object> reachable(Object root) {
        Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
        Deque<Object> pending = new ArrayDeque<>(List.of(root));
        while (!pending.isEmpty()) {
            Object o = pending.remove();
            if (!seen.add(o)) {
                continue;
            }
            if (o instanceof Collection<?> collection) {
                collection.stream().filter(e -> e != null).forEach(pending::add);
            } else if (o instanceof Map<?, ?> map) {
                pending.addAll(map.values());
            } else if (o instanceof Optional<?> present) {
                present.ifPresent(pending::add);
            } else if (o instanceof Object[] array) {
                for (int i = 0; i < Array.getLength(array); i++) {
                    Optional.ofNullable(array[i]).ifPresent(pending::add);
                }
            } else if (o.getClass().getName().startsWith("kestreldeal.")) {
                for (Class<?> type = o.getClass(); type != Object.class; type = type.getSuperclass()) {
                    for (Field field : type.getDeclaredFields()) {
                        addFieldValue(field, o, pending);
                    }
                }
            }
        }
        return seen;
    }

    private static void addFieldValue(Field field, Object owner, Deque<Object> pending) {
        if (Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive()) {
            return;
        }
        field.setAccessible(true);
        try {
            Object value = field.get(owner);
            if (value != null && !(value instanceof Recorder) && !(value instanceof Enum)) {
                pending.add(value);
            }
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }
}
