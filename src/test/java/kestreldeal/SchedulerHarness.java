package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import kestreldeal.Relay.Repeat;
import kestreldeal.Relay.Outcome;

/**
 * Drives a {@link Relay} in tests: keeps a simulated clock, passes events to the relay and records its actions. If
 * {@link #checksRules} is set, each action is also checked against the delivery rules. Times are in milliseconds.
 */
final class SchedulerHarness implements Relay.Actions {
    private static final double STEP_MS = 5;

    record SentAttempt(long message, int attempt, long endpoint, double sentAt, double timeoutMs) {
    }

    private record ScheduledEvent(double at, long sequence, Runnable event) {
    }

    final List<SentAttempt> sends = new ArrayList<>();
    /** Cancelled attempts, as "message/attempt". */
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<Long> closedIdleConnections = new ArrayList<>();
    /** Final results, as "reject message" or "fail message". */
    final List<String> finalResults = new ArrayList<>();
    final List<Double> requestedWakes = new ArrayList<>();
    final Map<Long, Relay.EndpointHealth> health = new HashMap<>();
    final List<Long> forgottenEndpoints = new ArrayList<>();
    /** The Retry-After waits of the rejections, in the order of these. */
    final List<Double> rejectionRetryAfters = new ArrayList<>();
    final Relay relay;
    Consumer<SentAttempt> onSend = s -> { };
    boolean checksRules;
    double listedRate;
    double reportedRate;
    double reportedShareLeft = -1;
    double now;

    private final PriorityQueue<ScheduledEvent> events =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::at)
            .thenComparingLong(ScheduledEvent::sequence));
    private final Map<Long, Relay.Message> messages = new HashMap<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final Map<Long, Relay.Endpoint> endpoints = new HashMap<>();
    /** The outcomes of attempts, by "message/attempt". */
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final Set<Long> finished = new HashSet<>();
    private final Map<String, List<Long>> messagesByKey = new HashMap<>();
    private long nextSequence;

    SchedulerHarness() {
        this(10);
    }

    SchedulerHarness(int slots) {
        this(slots, 2);
    }

    SchedulerHarness(int slots, int senderCount) {
        this(slots, senderCount, 7);
    }

    SchedulerHarness(int slots, int senderCount, long seed) {
        List<Relay.DestinationKind> kinds =
                List.of(new Relay.DestinationKind(false, 1), new Relay.DestinationKind(false, 5),
                new Relay.DestinationKind(true, 1));
        Relay.Settings settings = new Relay.Settings(DeliverySchedulerTest.CLASSES, kinds, true, Relay.Decay.LINEAR,
                List.of(0.0, 0.06), senderCount, slots, 12, true, true, 500, 15_000,
                new Relay.SlowStart(0.2, 12_000, 2, 1500));
        relay = Relay.create(settings, seed, this);
    }

    SchedulerHarness addEndpoints(long destination, long... ids) {
        for (long id : ids) {
            putEndpoint(id, destination, 0, 0, true);
        }
        return this;
    }

    SchedulerHarness putEndpoint(long id, long destination, int kind, int zone, boolean serving) {
        Relay.Endpoint entry = new Relay.Endpoint(id, destination, kind, zone, serving, listedRate);
        endpoints.put(id, entry);
        forgottenEndpoints.remove(id);
        relay.endpointsChanged(now, false, List.of(entry));
        relay.endpointListCompleted(now);
        relay.endTurn(now);
        return this;
    }

    void removeEndpoint(long id, long destination) {
        Relay.Endpoint entry = Optional.ofNullable(endpoints.get(id))
                .orElse(new Relay.Endpoint(id, destination, 0, 0, false, listedRate));
        relay.endpointsChanged(now, false, List.of(new Relay.Endpoint(id, destination, entry.kind(), entry.zone(), false,
                listedRate, true)));
        completeList();
    }

    /** Completes an update of the list that has no further entries. */
    void completeList() {
        relay.endpointListCompleted(now);
        relay.endTurn(now);
    }

    void submit(long id, int messageClass, long destination) {
        submit(id, messageClass, destination, "key " + id);
    }

    void submit(long id, int messageClass, long destination, String key) {
        submitInTurn(id, messageClass, destination, key);
        relay.endTurn(now);
    }

    /** Submits messages with the ids from 1 on in the same turn. */
    void submitInOneTurn(int count, int messageClass, long destination) {
        for (long id = 1; id <= count; id++) {
            submitInTurn(id, messageClass, destination, "key " + id);
        }
        relay.endTurn(now);
    }

    /** Submits messages with the ids from 1 on in the same turn, with these times left until their deadlines. */
    void submitInOneTurn(int messageClass, long destination, double... timesLeftMs) {
        for (double timeLeftMs : timesLeftMs) {
            submitInTurn(messages.size() + 1, messageClass, destination, "key " + messages.size(), timeLeftMs);
        }
        relay.endTurn(now);
    }

    /** Submits one message in each interval until the end time; ids continue from the number of messages so far. */
    void submitEvery(double intervalMs, int messageClass, long destination, double endMs) {
        while (now < endMs) {
            submit(messages.size(), messageClass, destination);
            runUntil(now + intervalMs);
        }
    }

    private void submitInTurn(long id, int messageClass, long destination, String key) {
        submitInTurn(id, messageClass, destination, key, 16_000);
    }

    private void submitInTurn(long id, int messageClass, long destination, String key, double timeLeftMs) {
        Relay.Message message = new Relay.Message(id, messageClass, 0, Optional.of(key), timeLeftMs, destination);
        relay.messageAccepted(now, message);
        messages.put(id, message);
        if (DeliverySchedulerTest.CLASSES.get(messageClass).ordered()) {
            messagesByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
        }
    }

    /** Restores a message of a previous process, with the attempts that it made. */
    void restore(long id, int messageClass, long destination, double timeLeftMs, List<Relay.EarlierAttempt> earlier) {
        restoreInTurn(id, messageClass, destination, timeLeftMs, earlier);
        relay.endTurn(now);
    }

    void restoreInTurn(long id, int messageClass, long destination, double timeLeftMs,
            List<Relay.EarlierAttempt> earlier) {
        Relay.Message message =
                new Relay.Message(id, messageClass, 0, Optional.of("key " + id), timeLeftMs, destination);
        attemptCounts.put(id, earlier.size());
        messages.put(id, message);
        relay.messageRestored(now, message, earlier);
    }

    void complete(long message, int attempt, Outcome outcome) {
        complete(message, attempt, outcome, 0);
    }

    void complete(long message, int attempt, Outcome outcome, double retryAfterMs) {
        boolean messageFinished = outcome == Outcome.DELIVERED || finished.contains(message);
        outcomes.put(message + "/" + attempt, outcome);
        if (outcome == Outcome.DELIVERED) {
            finished.add(message);
        }
        relay.attemptCompleted(now,
                new Relay.AttemptResult(message, attempt, outcome, 10, messageFinished, retryAfterMs,
                new Relay.LoadReport(reportedRate, reportedShareLeft)));
        relay.endTurn(now);
    }

    void completeLater(SentAttempt s, Outcome outcome, double durationMs) {
        schedule(now + durationMs, () -> {
            if (!outcomes.containsKey(s.message + "/" + s.attempt)) {
                complete(s.message, s.attempt, outcome);
            }
        });
    }

    void cancelMessage(long id) {
        finished.add(id);
        relay.messageCancelled(now, id);
        relay.endTurn(now);
    }

    void schedule(double timeMs, Runnable event) {
        events.add(new ScheduledEvent(timeMs, nextSequence++, event));
    }

    /** Advances the clock up to this time in steps of {@link #STEP_MS}, and runs the events that become due. */
    void runUntil(double endMs) {
        while (now + STEP_MS <= endMs) {
            now += STEP_MS;
            while (!events.isEmpty() && events.peek().at <= now) {
                events.remove().event.run();
            }
        }
    }

    long deliveredCount() {
        return outcomes.values().stream().filter(o -> o == Outcome.DELIVERED).count();
    }

    List<Long> sentMessages() {
        return sends.stream().map(SentAttempt::message).toList();
    }

    void checkAllFinished() {
        for (long id : messages.keySet()) {
            assertTrue(finished.contains(id), "message " + id + " got no final result");
        }
    }

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        int attempt = attemptCounts.merge(message, 1, Integer::sum) - 1;
        SentAttempt s = new SentAttempt(message, attempt, endpoint, now, timeoutMs);
        if (checksRules) {
            checkRules(s);
        }
        sends.add(s);
        onSend.accept(s);
    }

    private void checkRules(SentAttempt s) {
        Relay.Message message = messages.get(s.message);
        Relay.MessageClass messageClass = DeliverySchedulerTest.CLASSES.get(message.messageClass());
        assertFalse(finished.contains(s.message), "sent after its final result");
        assertTrue(endpoints.get(s.endpoint).serving(), "sent to a draining endpoint");
        assertEquals(message.destination(), endpoints.get(s.endpoint).destination());
        for (SentAttempt earlier : sends) {
            if (earlier.message != s.message) {
                continue;
            }
            Outcome outcome = outcomes.get(earlier.message + "/" + earlier.attempt);
            if (outcome != null && !outcome.mayHaveRun()) {
                continue;
            }
            assertFalse(messageClass.repeat() == Repeat.UNSAFE, "an unsafe message may have run twice");
            if (messageClass.repeat() == Repeat.KEYED) {
                assertTrue(now <= earlier.sentAt + messageClass.dedupWindowMs(),
                        "repeated after the deduplication window");
                assertTrue(!messageClass.dedupWithinZone()
                        || endpoints.get(earlier.endpoint).zone() == endpoints.get(s.endpoint).zone());
            }
        }
        if (messageClass.ordered()) {
            for (long other : messagesByKey.get(message.key().orElseThrow())) {
                if (other == s.message) {
                    break;
                }
                assertTrue(finished.contains(other), "an earlier message of the key is unfinished");
                for (int i = 0; i < attemptCounts.getOrDefault(other, 0); i++) {
                    assertTrue(outcomes.containsKey(other + "/" + i), "an earlier attempt of the key is in flight");
                }
            }
        }
    }

    @Override
    public void cancel(long message, int attempt) {
        cancelledAttempts.add(message + "/" + attempt);
        if (checksRules) {
            schedule(now, () -> {
                if (!outcomes.containsKey(message + "/" + attempt)) {
                    complete(message, attempt, Outcome.CANCELLED);
                }
            });
        }
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        closedIdleConnections.add(endpoint);
    }

    @Override
    public void reject(long message, double retryAfterMs) {
        rejectionRetryAfters.add(retryAfterMs);
        if (checksRules) {
            Repeat repeat = DeliverySchedulerTest.CLASSES.get(messages.get(message).messageClass()).repeat();
            for (int i = 0; repeat == Repeat.UNSAFE && i < attemptCounts.getOrDefault(message, 0); i++) {
                assertFalse(outcomes.get(message + "/" + i).mayHaveRun(), "rejected although it may have run");
            }
        }
        recordResult("reject ", message);
    }

    @Override
    public void fail(long message) {
        recordResult("fail ", message);
    }

    private void recordResult(String prefix, long message) {
        assertTrue(finished.add(message), "a second final result");
        finalResults.add(prefix + message);
    }

    @Override
    public void wakeAt(double timeMs) {
        requestedWakes.add(timeMs);
        schedule(Math.max(timeMs, now + 0.001), () -> {
            relay.wake(now);
            relay.endTurn(now);
        });
    }

    @Override
    public void saveEndpointHealth(long endpoint, Relay.EndpointHealth newHealth) {
        assertFalse(forgottenEndpoints.contains(endpoint), "saved after it was forgotten");
        health.put(endpoint, newHealth);
    }

    @Override
    public void endpointForgotten(long endpoint) {
        forgottenEndpoints.add(endpoint);
        health.remove(endpoint);
    }

    @Override
    public void log(String text) {
        assertFalse(text.isBlank());
    }
}
