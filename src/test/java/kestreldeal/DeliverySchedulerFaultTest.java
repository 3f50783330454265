package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import kestreldeal.Relay.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * An exception in the midst of an event took a slot for good and left its message without an end. One action of each run
 * throws, before or after it has had its effect, so that each kind of exception comes at each place where an action is.
 */
class DeliverySchedulerFaultTest {
    private static final int SLOTS = 4;
    private static final int MESSAGES = 40;
    private static final int DESTINATIONS = 3;
    private static final double SUBMIT_INTERVAL_MS = 100;
    private static final double DEADLINE_MS = 4000;
    private static final double WAKE_AFTER_FAULT_MS = 100;
    private static final int MAX_FAULTS_PER_ACTION = 60;

    private enum ActionKind { SEND, CANCEL, CLOSE_IDLE, REJECT, FAIL, WAKE, SAVE_HEALTH, LOG }

    private static final class InjectedException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    @ParameterizedTest
    @EnumSource
    void exceptionLeavesNoSlotTakenAndNoMessageWithoutItsEnd(ActionKind kind) {
        int thrown = 0;
        for (int index = 0; index < MAX_FAULTS_PER_ACTION; index++) {
            for (boolean afterEffect : List.of(false, true)) {
                Run run = new Run(kind, index, afterEffect);
                run.play();
                run.check();
                thrown += run.thrown ? 1 : 0;
            }
        }
        assertTrue(thrown >= 10 || kind == ActionKind.CLOSE_IDLE, thrown + " exceptions");
    }

    /** A day in which the action with this index of its kind throws. */
    private static final class Run implements Relay.Actions {
        private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {
            @Override
            public int compareTo(Event other) {
                return at != other.at ? Double.compare(at, other.at) : Long.compare(sequence, other.sequence);
            }
        }

        private final ActionKind failingKind;
        private final boolean afterEffect;
        private final Random random;
        private final DeliveryScheduler scheduler;
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Set<String> inFlight = new HashSet<>();
        private final Set<Long> accepted = new HashSet<>();
        private final Set<Long> ended = new HashSet<>();
        private int actionsLeft;
        private boolean thrown;
        private String lastSent;
        private long sequence;
        private double now;

        Run(ActionKind failingKind, int index, boolean afterEffect) {
            this.failingKind = failingKind;
            this.actionsLeft = index;
            this.afterEffect = afterEffect;
            this.random = new Random(index);
            scheduler = new DeliveryScheduler(new Relay.Settings(DeliverySchedulerTest.CLASSES,
                    List.of(new Relay.DestinationKind(false, 1), new Relay.DestinationKind(false, 5),
                            new Relay.DestinationKind(true, 1)), true, Relay.Decay.LINEAR, List.of(0.0, 0.06), 2, SLOTS,
                    12, true, true, 500, 15_000, new Relay.SlowStart(0.2, 1000, 2, 300)), 7, this);
        }

        void play() {
            List<Relay.Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < 2 * DESTINATIONS; i++) {
                endpoints.add(new Relay.Endpoint(i, i / 2, i / 2, i % 2, true, 50));
            }
            at(0, () -> scheduler.endpointsChanged(now, true, endpoints));
            for (long id = 0; id < MESSAGES; id++) {
                Relay.Message message = new Relay.Message(id, (int) (id % DeliverySchedulerTest.CLASSES.size()), 0,
                        Optional.of("key " + id % 4), DEADLINE_MS, id % DESTINATIONS);
                at(1 + id * SUBMIT_INTERVAL_MS, () -> {
                    accepted.add(message.id());
                    scheduler.messageAccepted(now, message);
                });
            }
            at(SUBMIT_INTERVAL_MS * MESSAGES / 2, () -> scheduler.endpointsChanged(now, false,
                    List.of(new Relay.Endpoint(0, 0, 0, 0, false, 50, true))));
            while (!events.isEmpty()) {
                Event event = events.remove();
                now = Math.max(now, event.at);
                event.action.run();
            }
        }

        void check() {
            String run = failingKind + " with seed and index " + actionsLeft + ", after its effect: " + afterEffect;
            assertEquals(0, scheduler.slotsUsed, run);
            assertEquals(Map.of(), scheduler.messages, run);
            assertEquals(accepted, ended, run);
            assertEquals(MESSAGES, accepted.size());
        }

        /** Schedules an event of the scheduler, and the end of its turn. */
        private void at(double time, Runnable event) {
            events.add(new Event(time, sequence++, () -> {
                guarded(event);
                guarded(() -> scheduler.endTurn(now));
            }));
        }

        /** The caller logs an exception, and makes sure that another turn follows. */
        private void guarded(Runnable call) {
            try {
                call.run();
            } catch (InjectedException e) {
                at(now + WAKE_AFTER_FAULT_MS, () -> scheduler.wake(now));
            }
        }

        private void perform(ActionKind kind, Runnable effect) {
            boolean fails = kind == failingKind && !thrown && actionsLeft-- == 0;
            thrown |= fails;
            if (!fails || afterEffect) {
                effect.run();
            }
            if (fails) {
                // The result of a send that threw is not reported.
                inFlight.removeIf(attempt -> kind == ActionKind.SEND && attempt.equals(lastSent));
                throw new InjectedException();
            }
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            int attempt = attempts.merge(message, 1, Integer::sum) - 1;
            lastSent = message + "/" + attempt;
            perform(ActionKind.SEND, () -> {
                inFlight.add(message + "/" + attempt);
                int choice = random.nextInt(10);
                Outcome outcome = choice < 3 ? Outcome.DELIVERED : choice < 5 ? Outcome.FULL
                        : choice < 7 ? Outcome.UNREACHABLE : choice < 8 ? Outcome.ERROR : Outcome.TIMED_OUT;
                double duration = outcome == Outcome.TIMED_OUT ? timeoutMs : Math.min(timeoutMs, random.nextInt(400));
                complete(message, attempt, outcome, duration);
            });
        }

        private void complete(long message, int attempt, Outcome outcome, double afterMs) {
            at(now + afterMs, () -> {
                if (inFlight.remove(message + "/" + attempt)) {
                    boolean delivered = outcome == Outcome.DELIVERED;
                    if (delivered) {
                        ended.add(message);
                    }
                    scheduler.attemptCompleted(now, new Relay.AttemptResult(message, attempt, outcome, afterMs,
                            delivered, outcome == Outcome.FULL ? random.nextInt(4) * 1000 : 0));
                }
            });
        }

        @Override
        public void cancel(long message, int attempt) {
            perform(ActionKind.CANCEL, () -> complete(message, attempt, Outcome.CANCELLED, 0));
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            perform(ActionKind.CLOSE_IDLE, () -> { });
        }

        /** Counts also if it throws: the sender ends a message whose end it has missed. */
        @Override
        public void reject(long message, double retryAfterMs) {
            ended.add(message);
            perform(ActionKind.REJECT, () -> { });
        }

        @Override
        public void fail(long message) {
            ended.add(message);
            perform(ActionKind.FAIL, () -> { });
        }

        @Override
        public void wakeAt(double timeMs) {
            perform(ActionKind.WAKE, () -> at(Math.max(timeMs, now + 0.001), () -> scheduler.wake(now)));
        }

        @Override
        public void saveEndpointHealth(long endpoint, Relay.EndpointHealth health) {
            perform(ActionKind.SAVE_HEALTH, () -> { });
        }

        @Override
        public void log(String text) {
            perform(ActionKind.LOG, () -> { });
        }
    }
}
