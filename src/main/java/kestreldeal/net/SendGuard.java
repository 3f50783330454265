package kestreldeal.net;

import java.util.List;
import java.util.Optional;
import kestreldeal.Relay;

/**
 * The one place that lets an attempt be made, and then its call be written. What the decision module decided is checked
 * against the rules; and since a turn and a connect may have passed until the write, whether it may still go.
 */
final class SendGuard {
    /** So long may this process be held up between reading its clock and writing. */
    private static final double HELD_UP_MS = 150;
    /** And so long may a call be on its way. */
    private static final double TRAVEL_MS = 100;

    /** Why a call is not written after all. */
    enum SuppressionReason {
        /** Another process decides now. */
        HANDED_OVER,
        /** The message is over. */
        MESSAGE_OVER,
        /** The endpoint drains, is gone, or has told to wait. */
        ENDPOINT_CLOSED,
        /** The message may have run, and repeats of it are no longer dropped. */
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

    /** The rule that one more attempt would break, at an endpoint of this destination. */
    Optional<Invariants.Rule> breach(AcceptedMessage held, long destination) {
        if (destination != held.destination) {
            return Optional.of(Invariants.Rule.OWN_DESTINATION);
        }
        if (held.attempts.size() >= settings.maxAttempts()) {
            return Optional.of(Invariants.Rule.ATTEMPT_LIMIT);
        }
        boolean mayRunTwice = type(held).effect() == Relay.Effect.UNSAFE && held.mayHaveRun();
        return mayRunTwice ? Optional.of(Invariants.Rule.SINGLE_EFFECT) : Optional.empty();
    }

    /** Why the call of an attempt that was decided before may not be written now, if so. */
    Optional<SuppressionReason> heldBack(AcceptedMessage held, int attempt, boolean endpointOpen, long nowNanos) {
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
