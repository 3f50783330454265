package kestreldeal.net;

import java.util.EnumMap;
import java.util.Map;

/**
 * Invariants that must hold whatever clients, endpoints, the platform and the machine do. A breach is a bug in this
 * program: it is counted and logged, and if it is detected in time, the step that would break the invariant is not
 * taken.
 */
final class Invariants {
    /** Maximum number of log lines for each rule; further breaches are only counted. */
    private static final int MAX_LOG_LINES_PER_RULE = 20;

    enum Rule {
        /** A message is sent only to endpoints of its own destination. */
        OWN_DESTINATION,
        /** A message with {@link kestreldeal.Relay.Repeat#UNSAFE} is not sent again once an attempt may have run. */
        SINGLE_EFFECT,
        /** No message has more attempts than the settings allow. */
        ATTEMPT_LIMIT,
        /** A message has exactly one final result. */
        ONE_END,
        /** An accepted message has its final result by its deadline, with the tolerance of {@link DeadlineWatchdog}. */
        END_IN_TIME,
        /** The decision module throws no exception. */
        NO_MODULE_FAULT,
        /** A client's request that was read is answered before this process closes its connection. */
        REQUEST_ANSWERED,
        /** Each live message of the journal is restored when this process becomes the leader, unless it is finished. */
        HELD_TAKEN_UP,
        /** A message is not sent once a complete response that reports its end was read. */
        NOT_SENT_AFTER_END,
        /** Nor is it reported as rejected or failed then. */
        NOT_REPORTED_AFTER_END
    }

    private final Map<Rule, Long> breaches = new EnumMap<>(Rule.class);

    /** Reports that a rule was broken, or would have been, for the message with this id. */
    void reportBreach(Rule rule, String id, String detail) {
        if (breaches.merge(rule, 1L, Long::sum) <= MAX_LOG_LINES_PER_RULE) {
            Log.write("invariant broken: " + rule + ", message " + id + ": " + detail);
        }
    }

    /** How often a rule was broken since the start of this process. */
    long breachCount(Rule rule) {
        return breaches.getOrDefault(rule, 0L);
    }
}
