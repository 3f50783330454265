package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import kestreldeal.Relay;

/**
 * Checks the invariants of every message and call, from what the simulated environment observes and independently of
 * the decision module: one final result in time, no second run of a message that must not run twice, repeats only
 * within their deduplication window, no calls to a draining endpoint, Retry-After waits observed. Throws
 * {@link InvariantViolationException} at a violation, which ends the run.
 */
final class InvariantChecker {
    /** A final result may come this long after the deadline of its message. */
    private static final double RESULT_GRACE_MS = 20;
    /** A restarted sender has this long to complete messages whose deadline has passed. */
    private static final double READY_GRACE_MS = 1500;
    /** Calls may be written this long after the sender was notified that the endpoint drains. */
    private static final double DRAIN_GRACE_MS = 1000;
    /** Tolerance that is added to the drain limit. */
    private static final double DRAIN_SLACK_MS = 50;

    private final SimulationClock clock;
    private final Relay.Settings settings;
    private final Counts counts;
    private final List<Notifications> notifications = new ArrayList<>();
    private final Map<Long, Double> drainPublishedMs = new HashMap<>();
    private final Map<Long, SimulatedMessage> unfinished = new HashMap<>();

    /** What one sender has been notified of. */
    private static final class Notifications {
        final Map<Integer, Wait> retryAfterWaits = new HashMap<>();
        final Map<Long, Double> drainNotifiedMs = new HashMap<>();
    }

    private record Wait(double receivedAtMs, double endMs) {
    }

    InvariantChecker(SimulationClock clock, Relay.Settings settings, int senderCount, Counts counts) {
        this.clock = clock;
        this.settings = settings;
        this.counts = counts;
        for (int i = 0; i < senderCount; i++) {
            notifications.add(new Notifications());
        }
    }

    /** Records that a sender has accepted a message, which must now get a final result. */
    void accepted(SimulatedMessage message) {
        if (unfinished.put(message.id, message) != null) {
            throw violation(message, "accepted twice");
        }
        expectResultBy(message, message.deadlineMs + RESULT_GRACE_MS);
    }

    /** Records that a restarted sender has restored a message of its previous process. */
    void restored(SimulatedMessage message) {
        expectResultBy(message, Math.max(message.deadlineMs + RESULT_GRACE_MS, clock.nowMs() + READY_GRACE_MS));
    }

    /** Records that a sender's process has ended, and with it the Retry-After waits that it had received. */
    void senderStopped(SimulatedSender sender) {
        notifications.get(sender.number).retryAfterWaits.clear();
    }

    private void expectResultBy(SimulatedMessage message, double timeMs) {
        clock.schedule(timeMs, () -> {
            // The messages of a sender that is down become due after its restart.
            if (message.finished || !message.sender.isRunning()) {
                return;
            }
            if (!message.sender.isReadySince(clock.nowMs() - READY_GRACE_MS)) {
                expectResultBy(message, clock.nowMs() + READY_GRACE_MS);
                return;
            }
            throw violation(message, String.format(Locale.ROOT, "no final result %.0f ms after its deadline",
                    clock.nowMs() - message.deadlineMs));
        });
    }

    /** Checks an attempt that the module has decided; it is not yet in the message's list of attempts. */
    void attemptDecided(SimulatedMessage message, SimulatedEndpoint endpoint) {
        if (message.finished) {
            throw violation(message, "sent after its final result");
        }
        if (endpoint.destination != message.request.destination) {
            throw violation(message, "sent to another destination's endpoint " + endpoint.id);
        }
        if (message.attempts.size() >= settings.maxAttempts()) {
            throw violation(message, "sent more than " + settings.maxAttempts() + " times");
        }
        boolean unsafe = messageClass(message).repeat() == Relay.Repeat.UNSAFE;
        if (unsafe && message.attempts.stream().anyMatch(SimulatedMessage.Attempt::mayHaveRun)) {
            throw violation(message, "sent again, though it must not run twice and may have run");
        }
        if (!settings.hedging() && message.inFlightCount() > 0) {
            throw violation(message, "sent while another attempt is in flight");
        }
        checkDedupWindow(message, message.attempts.size(), "sent");
    }

    /**
     * Checks that an attempt of a keyed message is within the deduplication window, which starts with the first attempt
     * that may have run. Both the decision and the write of an attempt must be in it.
     */
    private void checkDedupWindow(SimulatedMessage message, int attemptNumber, String action) {
        Relay.MessageClass messageClass = messageClass(message);
        if (messageClass.repeat() != Relay.Repeat.KEYED) {
            return;
        }
        double nowMs = clock.nowMs();
        message.attempts.subList(0, attemptNumber).stream().filter(SimulatedMessage.Attempt::mayHaveRun).findFirst()
                .filter(first -> nowMs > first.sentAtMs + messageClass.dedupWindowMs()).ifPresent(first -> {
                    throw violation(message, String.format(Locale.ROOT, "%s %.0f ms after it may have run, outside its "
                            + "window", action, nowMs - first.sentAtMs));
                });
    }

    /** Checks an attempt that is written to its endpoint; it is in the message's list of attempts. */
    void attemptWritten(SimulatedMessage message, int attemptNumber, SimulatedEndpoint endpoint) {
        double nowMs = clock.nowMs();
        if (message.finished) {
            throw violation(message, "written after its final result");
        }
        checkDedupWindow(message, attemptNumber, "written");
        Notifications notified = notifications.get(message.sender.number);
        Optional.ofNullable(notified.retryAfterWaits.get(endpoint.destination.id))
                .filter(wait -> nowMs > wait.receivedAtMs && nowMs < wait.endMs)
                .ifPresent(wait -> {
                    throw violation(message, String.format(Locale.ROOT, "written to destination %d by sender %d, "
                            + "%.1f ms before a Retry-After wait ends", endpoint.destination.id,
                            message.sender.number, wait.endMs - nowMs));
                });
        Optional.ofNullable(notified.drainNotifiedMs.get(endpoint.id))
                .ifPresent(notifiedMs -> checkDrain(message, endpoint, nowMs - notifiedMs));
        Optional.ofNullable(drainPublishedMs.get(endpoint.id)).ifPresent(publishedMs -> {
            counts.attemptsAfterDrainPublication++;
            counts.maxMsAfterDrainPublication = Math.max(counts.maxMsAfterDrainPublication, nowMs - publishedMs);
        });
    }

    private void checkDrain(SimulatedMessage message, SimulatedEndpoint endpoint, double elapsedMs) {
        counts.attemptsAfterDrainNotification++;
        counts.maxMsAfterDrainNotification = Math.max(counts.maxMsAfterDrainNotification, elapsedMs);
        if (elapsedMs > DRAIN_GRACE_MS + DRAIN_SLACK_MS) {
            throw violation(message, String.format(Locale.ROOT, "written to endpoint %d by sender %d %.0f ms after the "
                    + "notification that it drains or is removed", endpoint.id, message.sender.number, elapsedMs));
        }
    }

    /** Records that discovery has published a change. */
    void changePublished(Relay.Endpoint entry) {
        noteDrain(drainPublishedMs, entry);
    }

    /** Records that a sender has been notified of a list entry. */
    void senderNotified(SimulatedSender sender, Relay.Endpoint entry) {
        noteDrain(notifications.get(sender.number).drainNotifiedMs, entry);
    }

    /** Notes since when an entry is draining or removed, where the first notification counts, or that it serves. */
    private void noteDrain(Map<Long, Double> drainingSince, Relay.Endpoint entry) {
        if (entry.removed() || !entry.serving()) {
            drainingSince.putIfAbsent(entry.id(), clock.nowMs());
        } else {
            drainingSince.remove(entry.id());
        }
    }

    /** Records that a response with a Retry-After wait has reached a sender; the longest wait counts. */
    void retryAfterReceived(SimulatedSender sender, SimulatedDestination destination, double retryAfterMs) {
        double nowMs = clock.nowMs();
        notifications.get(sender.number).retryAfterWaits.merge(destination.id, new Wait(nowMs, nowMs + retryAfterMs),
                (a, b) -> a.endMs >= b.endMs ? a : b);
    }

    void messageDelivered(SimulatedMessage message) {
        finish(message);
    }

    void messageRejected(SimulatedMessage message) {
        finish(message);
        boolean unsafe = messageClass(message).repeat() == Relay.Repeat.UNSAFE;
        if (unsafe && message.attempts.stream().anyMatch(SimulatedMessage.Attempt::mayHaveRun)) {
            throw violation(message, "rejected, though it must not run twice and may have run");
        }
    }

    void messageFailed(SimulatedMessage message) {
        finish(message);
    }

    private void finish(SimulatedMessage message) {
        if (message.finished) {
            throw violation(message, "a second final result");
        }
        message.finished = true;
        unfinished.remove(message.id);
    }

    /** Number of messages without a final result. */
    int unfinishedCount() {
        return unfinished.size();
    }

    private Relay.MessageClass messageClass(SimulatedMessage message) {
        return settings.classes().get(message.request.messageClass);
    }

    private InvariantViolationException violation(SimulatedMessage message, String description) {
        return new InvariantViolationException(clock.nowMs(), "message " + message.id + ": " + description);
    }
}
