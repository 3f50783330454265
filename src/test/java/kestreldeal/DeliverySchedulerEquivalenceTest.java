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
import kestreldeal.Relay.Effect;
import kestreldeal.Relay.MessageClass;
import kestreldeal.Relay.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Compares {@link DeliveryScheduler} with its reference, {@link ReferenceScheduler}: both get the same random sequences
 * of events, and must take the same actions in the same order. The property {@code walk.seeds} sets the number of
 * sequences, {@code walk.first} the seed of the first one.
 */
class DeliverySchedulerEquivalenceTest {
    private static final int SEEDS = Integer.getInteger("walk.seeds", 400);
    private static final int FIRST = Integer.getInteger("walk.first", 1);
    /** A requested wake counts as due up to this long before its time, in both schedulers. */
    private static final double CLOCK_MARGIN_MS = 1;

    @Test
    void doesWhatTheWalkDoesAndIsLeftEmpty() {
        long actions = 0;
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            Play play = new Play(seed);
            try {
                play.run(seed % 20 == 0 ? 1500 : 120);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ", step " + play.step + ", at " + play.now + ", "
                        + play.settings + ": " + e.getMessage(), e);
            }
            actions += play.count;
            if (SEEDS > 1000 && seed % 1000 == 0) {
                System.out.println("seed " + seed + ", actions so far " + actions);
            }
        }
        System.out.println("equal over " + SEEDS + " sequences with " + actions + " actions");
        assertTrue(actions > 20L * SEEDS, "the sequences must cause enough actions: " + actions);
    }

    /** An action; values that do not apply to its kind are 0. */
    private record Action(String kind, long id, long other, double value) {
    }

    private static final class Recorder implements Relay.Actions {
        final List<Action> done = new ArrayList<>();
        /** The time of the wake that was requested last. */
        double wake = Double.POSITIVE_INFINITY;

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            done.add(new Action("send", message, endpoint, timeoutMs));
        }

        @Override
        public void cancel(long message, int attempt) {
            done.add(new Action("cancel", message, attempt, 0));
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            done.add(new Action("close idle", endpoint, 0, 0));
        }

        @Override
        public void reject(long message, double waitMs) {
            done.add(new Action("refuse", message, 0, waitMs));
        }

        @Override
        public void fail(long message) {
            done.add(new Action("fail", message, 0, 0));
        }

        @Override
        public void wakeAt(double time) {
            wake = time;
        }

        @Override
        public void saveEndpointHealth(long endpoint, Relay.EndpointHealth health) {
            done.add(new Action("remember " + health.state(), endpoint, 0, health.sustainedPerMs()));
        }

        @Override
        public void log(String text) {
            done.add(new Action(text, 0, 0, 0));
        }
    }

    /** An attempt in flight, as the caller of the schedulers knows it. */
    private record Out(long message, int attempt, double sentAt) {
    }

    /** A random sequence of events that is passed to both schedulers. */
    private static final class Play {
        final Random random;
        final Relay.Settings settings;
        final Recorder asked = new Recorder();
        final Recorder wanted = new Recorder();
        final DeliveryScheduler logic;
        final ReferenceScheduler walk;
        final List<Out> out = new ArrayList<>();
        final List<Integer> attempts = new ArrayList<>();
        final int destinations;
        /** The step to which times are rounded, or 0 for no rounding. */
        final double grain;
        /** Twice the percentage of events that submit a message. */
        final double pace;
        /** The probability that an attempt gets a random outcome instead of a delivery. */
        final double trouble;
        /** Whether most attempts are refused, so that the retry budget limits new rounds. */
        final boolean full;
        /** Whether to check that no destination needs an update for which it was not marked. */
        final boolean checksLooks;
        double now = 1000;
        int step;
        long count;
        long calls = 1;

        Play(long seed) {
            random = new Random(seed);
            settings = settings();
            destinations = 1 + random.nextInt(6);
            grain = random.nextInt(4) == 0 ? 0 : 0.25;
            pace = Math.pow(10, 1 + 0.9 * random.nextDouble());
            trouble = random.nextDouble();
            full = random.nextInt(4) == 0;
            checksLooks = random.nextInt(4) == 0;
            logic = new DeliveryScheduler(settings, seed, asked);
            walk = new ReferenceScheduler(settings, seed, wanted);
        }

        private Relay.Settings settings() {
            List<MessageClass> classes = new ArrayList<>();
            for (int i = 1 + random.nextInt(5); i > 0; i--) {
                Effect effect = Effect.values()[random.nextInt(3)];
                double aim = pick(300, 1000, 2000, 5000);
                double deadline = aim * pick(1, 1.25, 3, 8) + pick(0, 0.5, 400);
                classes.add(new MessageClass(aim, deadline, pick(0, 0.3, 1, 1, 4), pick(0, 0.1, 0.5, 0.9, 1), effect,
                        effect == Effect.KEYED && random.nextBoolean(), pick(400, 1000, 4000, 60_000),
                        random.nextInt(3) == 0));
            }
            int batch = random.nextBoolean() ? 1 : 5;
            List<Relay.DestinationKind> kinds = List.of(new Relay.DestinationKind(false, 1),
                    new Relay.DestinationKind(random.nextBoolean(), batch), new Relay.DestinationKind(true, 1));
            return new Relay.Settings(classes, kinds, random.nextBoolean(),
                    random.nextBoolean() ? Relay.Decay.LINEAR : Relay.Decay.HALVING, List.of(0.0, 0.06),
                    1 + random.nextInt(3), (int) pick(1, 2, 3, 5, 10, 40), (int) pick(2, 3, 12),
                    random.nextInt(4) > 0, random.nextInt(4) > 0, pick(0, 100, 500), pick(500, 15_000),
                    new Relay.SlowStart(0.2, pick(1000, 12_000), 2, 1500));
        }

        private double pick(double... of) {
            return of[random.nextInt(of.length)];
        }

        void run(int steps) {
            recall();
            list(true);
            for (step = 0; step < steps; step++) {
                for (int i = random.nextInt(4); i > 0; i--) {
                    event();
                }
                turn();
                advance();
            }
            end();
        }

        private void recall() {
            for (int i = random.nextInt(3); i > 0; i--) {
                recallHealth();
            }
            if (random.nextInt(4) == 0) {
                Relay.LearnedEndpointState known =
                        new Relay.LearnedEndpointState(endpoint(), pick(0, 900), pick(0.001, 0.01, 1), pick(1, 500), 1,
                        0.01, pick(0, 0.02), 0.01, 0.01, 100, 20, 400);
                Relay.LearnedState memory = new Relay.LearnedState(List.of(known), List.of(9000.0, 10.0), List.of(50.0),
                        List.of(9990.0, 20.0));
                both(r -> r.restoreLearnedState(now, memory));
            }
        }

        private void recallHealth() {
            Relay.EndpointHealth health =
                    new Relay.EndpointHealth(Relay.EndpointState.values()[random.nextInt(3)], now - 300, 0.01);
            long endpoint = endpoint();
            both(r -> r.restoreEndpointHealth(now, endpoint, health));
        }

        private void both(java.util.function.Consumer<Relay> event) {
            event.accept(walk);
            event.accept(logic);
            compare();
        }

        private void compare() {
            assertEquals(wanted.done, asked.done);
            count += asked.done.size();
            for (Action action : asked.done) {
                if (action.kind().equals("send")) {
                    int number = attempts.get((int) action.id());
                    attempts.set((int) action.id(), number + 1);
                    out.add(new Out(action.id(), number, now));
                }
            }
            asked.done.clear();
            wanted.done.clear();
        }

        private void turn() {
            both(r -> r.endTurn(now));
            assertEquals(walk.endpointCounts(), logic.endpointCounts());
            if (checksLooks && random.nextInt(8) == 0) {
                double next = logic.waiting.nextUpdateAt();
                reachable(logic).stream().filter(o -> o instanceof GroupedQueues.Owner)
                        .forEach(o -> ((GroupedQueues.Owner<?>) o).markChanged());
                logic.waiting.updateEligibility(now);
                assertEquals(logic.waiting.nextUpdateAt(), next, "a change of a send condition did not mark its destination as changed");
            }
        }

        /**
         * Advances the clock to a requested wake or by a random time. At a wake that only the reference requested, it
         * may do nothing for which the scheduler would have needed a wake too.
         */
        private void advance() {
            double wake = Math.min(asked.wake, wanted.wake);
            int way = random.nextInt(3);
            double next = now + Math.pow(10, -1 + 4 * random.nextDouble()) * random.nextDouble();
            next = grain > 0 ? Math.round(next / grain) * grain : next;
            if (way > 0 && wake > now && wake < now + 60_000 && (way == 1 || wake < next)) {
                next = wake;
            }
            boolean alone = next == wanted.wake && next < asked.wake;
            now = Math.max(now, next);
            if (alone) {
                walk.endTurn(now);
                // Cancellations, log lines and changes of health may come in any turn, and need no wake of their own. A
                // wake that the scheduler requested within the clock margin counts as due.
                assertTrue(asked.wake <= now + CLOCK_MARGIN_MS || wanted.done.stream().allMatch(a -> a.kind().equals("cancel") || a.id() == 0
                        || a.kind().startsWith("remember")), "no wake for " + wanted.done + " until " + asked.wake);
                logic.endTurn(now);
                compare();
            }
        }

        private void event() {
            int kind = random.nextInt(100);
            if (kind < pace / 2) {
                message();
            } else if (kind < 45) {
                answer();
            } else if (kind < 47) {
                resume();
            } else if (kind < 50) {
                list(random.nextInt(4) == 0);
            } else if (kind < 52) {
                long endpoint = endpoint();
                double wait = pick(1, 40, 700, 4000);
                both(r -> r.retryAfterReceived(now, endpoint, wait));
            } else if (kind < 54 && !attempts.isEmpty()) {
                long message = random.nextInt(attempts.size());
                both(r -> r.messageCancelled(now, message));
            } else if (kind == 54 && random.nextInt(40) == 0) {
                double end = now + pick(500, 3000);
                both(r -> r.shutdownScheduled(now, end));
            } else if (kind == 55) {
                both(r -> r.wake(now));
            } else if (kind == 57) {
                recallHealth();
            } else if (kind == 56) {
                assertEquals(recent(walk.learnedState(now)), recent(logic.learnedState(now)));
            } else {
                answer();
            }
        }

        /**
         * Leaves out sends that no longer count in a budget: the schedulers remove them at the next use of the
         * budget, which comes more often in the reference.
         */
        private static Relay.LearnedState recent(Relay.LearnedState memory) {
            return new Relay.LearnedState(memory.endpoints(), recent(memory.firstSendsAgo()),
                    recent(memory.copiesAgo()), recent(memory.retriesAgo()));
        }

        private static List<Double> recent(List<Double> ago) {
            return ago.stream().filter(a -> a <= 10_000).toList();
        }

        private Relay.Message newMessage() {
            int type = random.nextInt(settings.classes().size());
            double left = settings.classes().get(type).deadlineMs();
            left *= random.nextInt(5) == 0 ? random.nextDouble() : 1;
            left = random.nextInt(30) == 0 ? pick(-1, 0, 4, 5, 6) : left;
            Optional<String> key = random.nextBoolean() ? Optional.of("k" + random.nextInt(3)) : Optional.empty();
            attempts.add(0);
            return new Relay.Message(attempts.size() - 1, type, 0, key,
                    grain > 0 ? Math.round(left / grain) * grain : left, random.nextInt(destinations));
        }

        private void message() {
            Relay.Message message = newMessage();
            both(r -> r.messageAccepted(now, message));
        }

        private void resume() {
            Relay.Message message = newMessage();
            List<Relay.EarlierAttempt> earlier = new ArrayList<>();
            boolean stillOut = random.nextInt(3) == 0;
            for (int i = random.nextInt(3); i > 0; i--) {
                boolean mayHaveRun = random.nextBoolean();
                if (stillOut) {
                    out.add(new Out(message.id(), earlier.size(), now));
                }
                earlier.add(new Relay.EarlierAttempt(message.destination() * 10 + random.nextInt(4),
                        now - pick(1, 200, 900), mayHaveRun,
                        stillOut ? OptionalLong.of(calls += random.nextInt(2)) : OptionalLong.empty()));
            }
            attempts.set((int) message.id(), earlier.size());
            both(r -> r.messageRestored(now, message, earlier));
        }

        private void answer() {
            if (out.isEmpty()) {
                return;
            }
            Out ended = out.remove(random.nextInt(out.size()));
            Outcome outcome = full && random.nextInt(4) > 0 ? Outcome.FULL : random.nextDouble() < trouble
                    ? Outcome.values()[random.nextInt(Outcome.values().length)] : Outcome.DELIVERED;
            boolean finished = outcome == Outcome.DELIVERED || outcome == Outcome.ERROR && random.nextInt(5) == 0;
            double wait = outcome != Outcome.FULL ? 0 : full ? pick(0, 0, 0, 20) : pick(0, 20, 300, 3000);
            Relay.LoadReport report = random.nextInt(3) > 0 ? Relay.LoadReport.NONE
                    : new Relay.LoadReport(pick(2, 50), random.nextDouble());
            Relay.AttemptResult end = new Relay.AttemptResult(ended.message(), ended.attempt(), outcome,
                    now - ended.sentAt(), finished, wait, report);
            both(r -> r.attemptCompleted(now, end));
        }

        private long endpoint() {
            return random.nextInt(destinations) * 10 + random.nextInt(4);
        }

        private void list(boolean whole) {
            List<Relay.Endpoint> entries = new ArrayList<>();
            for (int i = whole ? 3 * destinations : 1 + random.nextInt(2); i > 0; i--) {
                long id = endpoint();
                int kind = (int) (id / 10 % 3);
                entries.add(new Relay.Endpoint(id, id / 10, kind, (int) (id % 2), random.nextInt(5) > 0,
                        pick(0, 20, 400), random.nextInt(8) == 0));
            }
            both(r -> r.endpointsChanged(now, whole, entries));
        }

        /**
         * Completes all messages, by cancelling them at once or by letting time pass, and checks that the scheduler
         * keeps no object of a message.
         */
        private void end() {
            boolean atOnce = random.nextBoolean();
            for (int i = 0; i < attempts.size() && atOnce; i++) {
                long message = i;
                both(r -> r.messageCancelled(now, message));
            }
            for (int i = 0; i < 100 && !atOnce; i++) {
                answerAll();
                turn();
                now += 500;
            }
            answerAll();
            assertEquals(List.of(), reachable(logic).stream().map(o -> o.getClass().getName())
                    .filter(name -> name.matches(".*\\$(Delivery|Attempt|Group)")).toList());
            now += 60_000;
            turn();
            assertEquals(0, logic.keyQueues.size(), "key queues left");
        }

        private void answerAll() {
            while (!out.isEmpty()) {
                answer();
            }
        }
    }

    /** All objects of this package reachable from the given one, also through collections, arrays and lambdas. */
    private static Set<Object> reachable(Object from) {
        Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
        Deque<Object> next = new ArrayDeque<>(List.of(from));
        while (!next.isEmpty()) {
            Object o = next.remove();
            if (!seen.add(o)) {
                continue;
            }
            if (o instanceof Collection<?> c) {
                c.stream().filter(e -> e != null).forEach(next::add);
            } else if (o instanceof Map<?, ?> m) {
                next.addAll(m.values());
            } else if (o instanceof Optional<?> present) {
                present.ifPresent(next::add);
            } else if (o instanceof Object[] array) {
                for (int i = 0; i < Array.getLength(array); i++) {
                    Optional.ofNullable(array[i]).ifPresent(next::add);
                }
            } else if (o.getClass().getName().startsWith("kestreldeal.")) {
                for (Class<?> c = o.getClass(); c != Object.class; c = c.getSuperclass()) {
                    for (Field field : c.getDeclaredFields()) {
                        follow(field, o, next);
                    }
                }
            }
        }
        return seen;
    }

    private static void follow(Field field, Object of, Deque<Object> next) {
        if (Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive()) {
            return;
        }
        field.setAccessible(true);
        try {
            Object value = field.get(of);
            if (value != null && !(value instanceof Recorder) && !(value instanceof Enum)) {
                next.add(value);
            }
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }
}
