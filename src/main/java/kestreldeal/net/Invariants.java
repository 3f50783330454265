package kestreldeal.net;

import java.util.EnumMap;
import java.util.Map;

/**
 * Rules that hold whatever clients, endpoints, the platform and the machine do. A breach is a fault of this program: it
 * is counted and told, and where it is seen in time the step that would break the rule is not made.
 */
final class Invariants {
    /** Lines in the log for each rule; further breaches are only counted. */
    private static final int MOST_LINES = 20;

    /** What must hold. */
    enum Rule {
        /** A message goes to endpoints of its own destination only. */
        OWN_DESTINATION,
        /** What must not run twice is not tried again once an attempt may have run. */
        SINGLE_EFFECT,
        /** No message has more attempts than the settings allow. */
        ATTEMPT_LIMIT,
        /** A message ends once. */
        ONE_END,
        /** A message that was taken on has ended when its time is up. */
        END_IN_TIME,
        /** A request that was read is answered before this process closes its connection. */
        REQUEST_ANSWERED,
        /** What the journal held at the start is tried again or ended. */
        HELD_TAKEN_UP
    }

    private final Map<Rule, Long> breaches = new EnumMap<>(Rule.class);

    /** A rule is broken, or would have been, for the message with this id. */
    void breached(Rule rule, String id, String detail) {
        if (breaches.merge(rule, 1L, Long::sum) <= MOST_LINES) {
            Log.write("invariant broken: " + rule + ", message " + id + ": " + detail);
        }
    }

    /** How often a rule was broken in this life. */
    long breaches(Rule rule) {
        return breaches.getOrDefault(rule, 0L);
    }
}
