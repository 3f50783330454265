package kestreldeal.net;

import java.util.List;
import java.util.Optional;
import kestreldeal.Relay;

/**
 * Checks each attempt twice: when the decision module starts it, against the invariants; and just before its call is
 * written, whether it may still be sent, since a turn and a connect may have passed in between.
 */
final class SendGuard {
    /** Allowance for a delay of this process between reading the clock and writing the call. */
    private static final double MAX_WRITE_DELAY_MS = 150;
    /** Allowance for the time that a call takes to reach the endpoint. */
    private static final double MAX_NETWORK_DELAY_MS = 100;

    /** Why an attempt that was started is not written. */
    enum SuppressionReason {
        /** Another process has taken over the decisions. */
        HANDED_OVER,
        /** The message is finished. */
        MESSAGE_OVER,
        /** The endpoint is draining or removed, or has asked for a Retry-After wait. */
        ENDPOINT_CLOSED,
        /** An earlier attempt may have run, and the destination no longer drops repeats of its idempotency key. */
        WINDOW_PASSED
    }

    private final Relay.Settings settings;
    private final List<String> classNames;

    SendGuard(Relay.Settings settings, List<String> classNames) {
        this.settings = settings;
        this.classNames = classNames;
    }

    private Relay.MessageClass classOf(AcceptedMessage message) {
        return settings.classes().get(classNames.indexOf(message.messageClass));
    }

    /** Returns the invariant that one more attempt, at an endpoint of this destination, would violate. */
    Optional<Invariants.Rule> violatedRule(AcceptedMessage message, long destination) {
        if (destination != message.destination) {
            return Optional.of(Invariants.Rule.OWN_DESTINATION);
        }
        if (message.attempts.size() >= settings.maxAttempts()) {
            return Optional.of(Invariants.Rule.ATTEMPT_LIMIT);
        }
        boolean mayRunTwice = classOf(message).repeat() == Relay.Repeat.UNSAFE && message.mayHaveRun();
        return mayRunTwice ? Optional.of(Invariants.Rule.SINGLE_EFFECT) : Optional.empty();
    }

    /** Returns why an attempt that was started before must not be written now; empty if it may be. */
    Optional<SuppressionReason> suppressionReason(AcceptedMessage message, int attemptNumber, boolean endpointEligible,
            long nowNanos) {
        if (message.finished || message.isEndRead()) {
            return Optional.of(SuppressionReason.MESSAGE_OVER);
        }
        if (!endpointEligible) {
            return Optional.of(SuppressionReason.ENDPOINT_CLOSED);
        }
        Relay.MessageClass messageClass = classOf(message);
        boolean inWindow = messageClass.repeat() != Relay.Repeat.KEYED
                || message.isWithinDedupWindows(attemptNumber, nowNanos,
                        messageClass.dedupWindowMs() - MAX_WRITE_DELAY_MS - MAX_NETWORK_DELAY_MS);
        return inWindow ? Optional.empty() : Optional.of(SuppressionReason.WINDOW_PASSED);
    }
}
