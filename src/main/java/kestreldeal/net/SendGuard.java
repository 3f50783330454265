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
    private static final double HELD_UP_MS = 150;
    /** Allowance for the time that a call takes to reach the endpoint. */
    private static final double TRAVEL_MS = 100;

    /** Why an attempt that was decided is not written. */
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
    private final List<String> classes;

    SendGuard(Relay.Settings settings, List<String> classes) {
        this.settings = settings;
        this.classes = classes;
    }

    private Relay.MessageClass type(AcceptedMessage held) {
        return settings.classes().get(classes.indexOf(held.messageClass));
    }

    /** Returns the invariant that one more attempt, at an endpoint of this destination, would violate. */
    Optional<Invariants.Rule> violatedRule(AcceptedMessage held, long destination) {
        if (destination != held.destination) {
            return Optional.of(Invariants.Rule.OWN_DESTINATION);
        }
        if (held.attempts.size() >= settings.maxAttempts()) {
            return Optional.of(Invariants.Rule.ATTEMPT_LIMIT);
        }
        boolean mayRunTwice = type(held).effect() == Relay.Effect.UNSAFE && held.mayHaveRun();
        return mayRunTwice ? Optional.of(Invariants.Rule.SINGLE_EFFECT) : Optional.empty();
    }

    /** Returns why an attempt that was decided before must not be written now; empty if it may be. */
    Optional<SuppressionReason> suppressionReason(AcceptedMessage held, int attempt, boolean endpointOpen,
            long nowNanos) {
        if (held.finished) {
            return Optional.of(SuppressionReason.MESSAGE_OVER);
        }
        if (!endpointOpen) {
            return Optional.of(SuppressionReason.ENDPOINT_CLOSED);
        }
        Relay.MessageClass type = type(held);
        boolean inWindow = type.effect() != Relay.Effect.KEYED
                || held.isInDedupWindow(attempt, nowNanos, type.dedupWindowMs() - HELD_UP_MS - TRAVEL_MS);
        return inWindow ? Optional.empty() : Optional.of(SuppressionReason.WINDOW_PASSED);
    }
}
