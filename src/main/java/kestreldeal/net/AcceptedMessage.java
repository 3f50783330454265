package kestreldeal.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A message that this sender has accepted, and its progress; most of this is recorded in the journal. After a restart,
 * whether and how the message may be sent again is decided from the recorded part.
 */
final class AcceptedMessage {
    /** How long a client waits for an answer, by the protocol, before it closes the connection. */
    private static final double CLIENT_RESPONSE_TIMEOUT_MS = 400;
    /** Maximum assumed time that a request waited in the receive buffer, as a share of its class's deadline. */
    private static final double MAX_UNREAD_DEADLINE_SHARE = 0.25;
    /**
     * Margin between the time by which a message is completed and the end of the client's budget, which counts from the
     * request's last byte. When CPU time is scarce, the request may wait unread for the 400 ms that its client waits
     * for the answer, and the event loop, being as slow, may delay the notice by one or two iterations more: results
     * were up to 421 ms late after a start.
     */
    private static final long COMPLETION_MARGIN_MS = 700;

    final long number;
    final String id;
    final String messageClass;
    final String tenant;
    final Optional<String> key;
    final long destination;
    /**
     * Time by which this process completes the message, by {@link MachineClock#nanos}. It lies {@link
     * #COMPLETION_MARGIN_MS}, or half of a short budget, before the end of the client's budget or of its class's
     * deadline, whichever is shorter.
     */
    final long completionDeadlineNanos;
    /**
     * Earliest time at which the client's budget may be used up, by {@link MachineClock#nanos}, if the request waited
     * unread for as long as possible. Not recorded: for a message restored from the journal this is its deadline.
     */
    private final long earliestBudgetEndNanos;
    final byte[] body;
    final List<Attempt> attempts = new ArrayList<>();
    /** Number of attempts that the journal has a record of. */
    int recordedAttemptCount;
    Optional<Notice> pendingNotice = Optional.empty();
    /** Bytes of the message's records in the journal. */
    long journalBytes;
    /**
     * Whether the 202 response was written, or passed to the predecessor for a submission forwarded by it; assumed for
     * a message restored from the journal.
     */
    boolean acknowledged;
    /** Whether the message was still not completed at a check after its deadline. */
    boolean overdue;
    /**
     * Whether nothing may be sent for the message any more: it was delivered, its endpoint reported it as expired, it
     * was rejected or failed by a notice, or its 202 response could not be written. A finished message is completed
     * once its notice, if it has one, is confirmed or dropped.
     */
    boolean finished;
    /** Whether a complete response has reported the message as delivered or expired; set when it is read. */
    private boolean endRead;
    private long endReadNanos;

    /**
     * An attempt to deliver the message. Also after a restart it counts as one that may have run, unless {@link
     * #neverRan} is set.
     */
    static final class Attempt {
        /** Value of {@link #recordIndex} for an attempt that the journal has no record of. */
        static final int UNRECORDED = -1;
        /** Age given to an attempt of unknown age: longer than any deduplication window. */
        private static final long UNKNOWN_AGE_MS = TimeUnit.DAYS.toMillis(365);

        final String endpoint;
        /** When the decision module started the attempt, before it was sent; by {@link MachineClock#nanos}. */
        final long startedNanos;
        boolean neverRan;
        /** Index among the message's recorded attempts, or {@link #UNRECORDED}. */
        int recordIndex = UNRECORDED;

        private Attempt(String endpoint, long startedNanos) {
            this.endpoint = endpoint;
            this.startedNanos = startedNanos;
        }

        /** An attempt started the given time ago; a negative age can't be true and counts as unknown. */
        static Attempt startedAgo(String endpoint, long agoMs, MachineClock clock) {
            long ageMs = agoMs < 0 ? UNKNOWN_AGE_MS : agoMs;
            return new Attempt(endpoint, clock.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMs));
        }

        /** An attempt started at the given time; a time in the future can't be true and counts as unknown. */
        static Attempt startedAt(String endpoint, long startedNanos, MachineClock clock) {
            return startedNanos <= clock.nanos() ? new Attempt(endpoint, startedNanos) : ofUnknownAge(endpoint, clock);
        }

        /** An attempt started an unknown time ago; it counts as older than any deduplication window. */
        static Attempt ofUnknownAge(String endpoint, MachineClock clock) {
            return startedAgo(endpoint, UNKNOWN_AGE_MS, clock);
        }

        /** An attempt that the decision module started, but that was suppressed before it was sent. */
        static Attempt neverSent(String endpoint, MachineClock clock) {
            Attempt attempt = startedAgo(endpoint, 0, clock);
            attempt.neverRan = true;
            return attempt;
        }

        double ageMs(MachineClock clock) {
            return (clock.nanos() - startedNanos) / 1e6;
        }
    }

    /**
     * Whether the destination still recognizes an attempt as a repeat if it is written now: every other attempt that
     * may have run was started at most {@code windowMs} ago. Later attempts count too, since they may have been written
     * first while this one waited for its connection.
     */
    boolean isWithinDedupWindows(int attemptNumber, long nowNanos, double windowMs) {
        Attempt own = attempts.get(attemptNumber);
        return attempts.stream().allMatch(a -> a == own || a.neverRan || nowNanos - a.startedNanos <= windowMs * 1e6);
    }

    /**
     * A final result that is still to be reported to the platform's agent: the message was rejected or, if not, has
     * failed. {@code retryAfterMs} is 0 without a wait.
     */
    record Notice(boolean rejected, double retryAfterMs) {
    }

    /**
     * The longest time that a request may have waited unread. The budget counts from the request's last byte, so up to
     * this much of it may be used up already: the client stops waiting for the answer only after its response timeout.
     * For a class with a short deadline only a share of the deadline is assumed, or else none of its messages could be
     * accepted.
     */
    static long maxUnreadMs(double classDeadlineMs) {
        return (long) Math.min(CLIENT_RESPONSE_TIMEOUT_MS, classDeadlineMs * MAX_UNREAD_DEADLINE_SHARE);
    }

    /** A message that is being accepted now, of a class with the given deadline. */
    static AcceptedMessage fromSubmission(long number, ClientServer.Submission submission, double classDeadlineMs,
            MachineClock clock) {
        long budgetLeftMs = (long) Math.min(submission.budgetMs(), classDeadlineMs);
        // A short budget keeps at least half of its time for attempts.
        long timeLeftMs = budgetLeftMs - Math.min(COMPLETION_MARGIN_MS, budgetLeftMs / 2);
        return new AcceptedMessage(number, submission.id(), submission.messageClass(), submission.tenant(),
                submission.key(), submission.destination(), nanosFromNow(timeLeftMs, clock),
                nanosFromNow(budgetLeftMs - maxUnreadMs(classDeadlineMs), clock), submission.body());
    }

    private static long nanosFromNow(long ms, MachineClock clock) {
        return clock.nanos() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** For tests: a message whose deadline is the given time from now. */
    static AcceptedMessage withTimeLeft(long number, String id, String messageClass, String tenant,
            Optional<String> key, long destination, long timeLeftMs, byte[] body, MachineClock clock) {
        return new AcceptedMessage(number, id, messageClass, tenant, key, destination,
                nanosFromNow(timeLeftMs, clock), body);
    }

    /** Whether any attempt may have run. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(a -> !a.neverRan);
    }

    /** A complete response has reported the message as delivered or expired. */
    void endWasRead() {
        if (!endRead) {
            endRead = true;
            endReadNanos = System.nanoTime();
        }
    }

    boolean isEndRead() {
        return endRead;
    }

    /** Time since its end was read. */
    double endReadAgoMs() {
        return (System.nanoTime() - endReadNanos) / 1e6;
    }

    /** Time left until the deadline of the message; negative after it. */
    double timeLeftMs(MachineClock clock) {
        return (completionDeadlineNanos - clock.nanos()) / 1e6;
    }

    /** Time for which the client's budget lasts at least; negative if it may be used up. */
    double budgetLeftMs(MachineClock clock) {
        return (earliestBudgetEndNanos - clock.nanos()) / 1e6;
    }

    AcceptedMessage(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long completionDeadlineNanos, byte[] body) {
        this(number, id, messageClass, tenant, key, destination, completionDeadlineNanos, completionDeadlineNanos,
                body);
    }

    private AcceptedMessage(long number, String id, String messageClass, String tenant, Optional<String> key,
            long destination, long completionDeadlineNanos, long earliestBudgetEndNanos, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.destination = destination;
        this.completionDeadlineNanos = completionDeadlineNanos;
        this.earliestBudgetEndNanos = earliestBudgetEndNanos;
        this.body = body;
    }
}
