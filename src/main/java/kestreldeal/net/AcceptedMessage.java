package kestreldeal.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A message that this sender has accepted, with everything that the journal records of it. After a restart, whether and
 * how the message may be sent again is decided from this.
 */
final class AcceptedMessage {
    /** How long a client waits for an answer, by the protocol, before it closes the connection. */
    private static final double CLIENT_RESPONSE_TIMEOUT_MS = 400;
    /** Limits the time allowed for an unread request to this share of its class's deadline. */
    private static final double MAX_UNREAD_SHARE = 0.25;
    /**
     * How long before the end of the client's budget a message is completed. The budget counts from when the request
     * was sent. When CPU time is scarce, the request may stay unread for the 400 ms that its client waits, and the
     * notice takes a turn or two of an event loop that is as late: results were up to 421 ms late after a start.
     */
    private static final long COMPLETION_MARGIN_MS = 700;

    final long number;
    final String id;
    final String messageClass;
    final String tenant;
    final Optional<String> key;
    final long destination;
    /** Latest time for attempts, by {@link MachineClock#nanos}. */
    final long deadlineNanos;
    /**
     * Earliest time at which the client's budget may be used up, counting the time that the request may have been
     * unread. Not recorded: for a message restored from the journal this is its deadline.
     */
    private final long earliestExpiryNanos;
    final byte[] body;
    final List<Attempt> attempts = new ArrayList<>();
    /** Number of attempts that the journal has a record of. */
    int recordedAttempts;
    Optional<Notice> pendingNotice = Optional.empty();
    /** Bytes of the message's records in the journal. */
    long journalBytes;
    /** Whether the client got the answer that the message is accepted; assumed for one restored from the journal. */
    boolean acknowledged;
    /** Whether the message was reported as still not completed after its deadline. */
    boolean reportedOverdue;
    /**
     * Whether nothing may be sent for the message any more: it was delivered, has expired at its destination, was ended
     * by a notice, or its client never got the answer that it is accepted.
     */
    boolean finished;

    /** An attempt to deliver the message. It may have run unless its result proved otherwise, across restarts too. */
    static final class Attempt {
        /** Index of an attempt that the journal has no record of. */
        static final int UNRECORDED = -1;
        /** Age given to an attempt of unknown age: longer than any deduplication window. */
        private static final long UNKNOWN_AGE_MS = TimeUnit.DAYS.toMillis(365);

        final String endpoint;
        /** When the attempt was decided on, by {@link MachineClock#nanos}. */
        final long sentNanos;
        boolean neverRan;
        /** Index among the message's attempts in the journal, which does not count those that could not be recorded. */
        int record = UNRECORDED;

        private Attempt(String endpoint, long sentNanos) {
            this.endpoint = endpoint;
            this.sentNanos = sentNanos;
        }

        /** An attempt made the given time ago; a negative age can't be true and counts as unknown. */
        static Attempt sentAgo(String endpoint, long agoMs, MachineClock clock) {
            long ageMs = agoMs < 0 ? UNKNOWN_AGE_MS : agoMs;
            return new Attempt(endpoint, clock.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMs));
        }

        /** An attempt made at the given time; a time in the future can't be true and counts as unknown. */
        static Attempt sentAt(String endpoint, long sentNanos, MachineClock clock) {
            return sentNanos <= clock.nanos() ? new Attempt(endpoint, sentNanos) : ofUnknownAge(endpoint, clock);
        }

        /** An attempt made an unknown time ago; it counts as older than any deduplication window. */
        static Attempt ofUnknownAge(String endpoint, MachineClock clock) {
            return sentAgo(endpoint, UNKNOWN_AGE_MS, clock);
        }

        /** An attempt that was decided on but not made. */
        static Attempt neverSent(String endpoint, MachineClock clock) {
            Attempt attempt = sentAgo(endpoint, 0, clock);
            attempt.neverRan = true;
            return attempt;
        }

        double ageMs(MachineClock clock) {
            return (clock.nanos() - sentNanos) / 1e6;
        }
    }

    /**
     * Whether an attempt that is written now falls within the deduplication window of every other attempt that may have
     * run. That includes later ones: they may have overtaken this one while it waited for its connection.
     */
    boolean isInDedupWindow(int attempt, long nowNanos, double windowMs) {
        Attempt own = attempts.get(attempt);
        return attempts.stream().allMatch(a -> a == own || a.neverRan || nowNanos - a.sentNanos <= windowMs * 1e6);
    }

    /** The final result that is still to be reported to the platform's agent. */
    record Notice(boolean bounced, double retryAfterMs) {
    }

    /**
     * The longest time that a request may have been unread, by which its budget may be used up: the budget counts from
     * the request's last byte, and it may stay unread until its client stops waiting for the answer. For a class with a
     * short deadline only a share of the deadline is assumed, or else none of its messages could be accepted.
     */
    static long maxUnreadMs(double classDeadlineMs) {
        return (long) Math.min(CLIENT_RESPONSE_TIMEOUT_MS, classDeadlineMs * MAX_UNREAD_SHARE);
    }

    /** A message that is being accepted now, of a class with the given deadline. */
    static AcceptedMessage fromSubmission(long number, ClientServer.Submission submission, double classDeadlineMs,
            MachineClock clock) {
        long budgetLeftMs = (long) Math.min(submission.budgetMs(), classDeadlineMs);
        long timeLeftMs = budgetLeftMs - Math.min(COMPLETION_MARGIN_MS, budgetLeftMs / 2);
        return new AcceptedMessage(number, submission.id(), submission.messageClass(), submission.tenant(),
                submission.key(), submission.destination(), nanosFromNow(timeLeftMs, clock),
                nanosFromNow(budgetLeftMs - maxUnreadMs(classDeadlineMs), clock), submission.body());
    }

    private static long nanosFromNow(long ms, MachineClock clock) {
        return clock.nanos() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** A message that may be tried for the given time from now on. */
    static AcceptedMessage withTimeLeft(long number, String id, String messageClass, String tenant,
            Optional<String> key, long destination, long timeLeftMs, byte[] body, MachineClock clock) {
        return new AcceptedMessage(number, id, messageClass, tenant, key, destination,
                nanosFromNow(timeLeftMs, clock), body);
    }

    /** Whether any attempt may have run. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(a -> !a.neverRan);
    }

    /** How long the message may still be tried; negative after its deadline. */
    double timeLeftMs(MachineClock clock) {
        return (deadlineNanos - clock.nanos()) / 1e6;
    }

    /** Whether the client's budget may be used up. */
    boolean mayHaveExpired(MachineClock clock) {
        return clock.nanos() >= earliestExpiryNanos;
    }

    AcceptedMessage(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineNanos, byte[] body) {
        this(number, id, messageClass, tenant, key, destination, deadlineNanos, deadlineNanos, body);
    }

    private AcceptedMessage(long number, String id, String messageClass, String tenant, Optional<String> key,
            long destination, long deadlineNanos, long earliestExpiryNanos, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.destination = destination;
        this.deadlineNanos = deadlineNanos;
        this.earliestExpiryNanos = earliestExpiryNanos;
        this.body = body;
    }
}
