package kestreldeal.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A message that this sender has taken on, with all that its journal must know of it: who may send it again,
 * and how, is decided from this after a restart.
 */
final class AcceptedMessage {
    /** So long does a client wait for the answer to a request, by the protocol; then it closes the connection. */
    private static final double CLIENT_WAIT_MS = 400;
    private static final double UNREAD_SHARE = 0.25;
    /**
     * A request may stand unread where the CPU is scarce, for the 400 ms that its client waits, and its budget
     * runs from when it was sent; a notice takes a turn or two of a loop that is as late. So a message is ended
     * so much before its time is up: 421 ms late is what was seen after a start.
     */
    private static final long ENDED_BEFORE_MS = 700;

    final long number;
    final String id;
    final String messageClass;
    final String tenant;
    final Optional<String> key;
    final long destination;
    /** Until when it may be tried, by {@link MachineClock#nanos}. */
    final long deadlineNanos;
    /** When its client's time may be up at the soonest, as far as this life knows it; the deadline where it does not. */
    private final long timeUpNanos;
    final byte[] body;
    final List<Attempt> attempts = new ArrayList<>();
    /** How many of them the journal has a record of. */
    int attemptRecords;
    Optional<Notice> owed = Optional.empty();
    /** Bytes of its records in the journal. */
    long bytes;
    /** Its client has heard that it was taken; what comes back from the journal counts as heard. */
    boolean told;
    /** It was seen to be without an end when its time was up. */
    boolean overdue;
    /** Nothing may be sent for it any more: delivered, over, or ended by a notice. */
    boolean over;

    /** An attempt; it may have run unless its end proved otherwise, whatever became of this process. */
    static final class Attempt {
        /** The journal has no record of it. */
        static final int UNRECORDED = -1;
        /** Longer than any window. */
        private static final long ANY_AGE_MS = TimeUnit.DAYS.toMillis(365);

        final String endpoint;
        /** When it was decided, by {@link MachineClock#nanos}. */
        final long sentNanos;
        boolean neverRan;
        /** Its place among the records of the message's attempts: one that could not be written leaves no gap. */
        int record = UNRECORDED;

        private Attempt(String endpoint, long sentNanos) {
            this.endpoint = endpoint;
            this.sentNanos = sentNanos;
        }

        /** One that was made so long ago; a negative age is one that can't be true, and so any. */
        static Attempt sentAgo(String endpoint, long agoMs, MachineClock clock) {
            long ageMs = agoMs < 0 ? ANY_AGE_MS : agoMs;
            return new Attempt(endpoint, clock.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMs));
        }

        /** One that was made at this time. */
        static Attempt sentAt(String endpoint, long sentNanos, MachineClock clock) {
            return sentNanos <= clock.nanos() ? new Attempt(endpoint, sentNanos) : ofUnknownAge(endpoint, clock);
        }

        /** One of which nobody knows how long ago it was made: it counts as older than any window. */
        static Attempt ofUnknownAge(String endpoint, MachineClock clock) {
            return sentAgo(endpoint, ANY_AGE_MS, clock);
        }

        /** One that was decided and not made. */
        static Attempt neverMade(String endpoint, MachineClock clock) {
            Attempt attempt = sentAgo(endpoint, 0, clock);
            attempt.neverRan = true;
            return attempt;
        }

        double ageMs(MachineClock clock) {
            return (clock.nanos() - sentNanos) / 1e6;
        }
    }

    /**
     * Whether this attempt, written now, is inside the window of all others that may have run: also of a later one,
     * which may have overtaken it while it waited for its connection.
     */
    boolean isInWindow(int attempt, long nowNanos, double windowMs) {
        Attempt own = attempts.get(attempt);
        return attempts.stream().allMatch(a -> a == own || a.neverRan || nowNanos - a.sentNanos <= windowMs * 1e6);
    }

    /** The end that the platform must still hear of. */
    record Notice(boolean bounced, double waitMs) {
    }

    /**
     * A request's time runs from its last byte, and it may stand unread for as long as its client waits for the answer;
     * so much of its time may be over once it is read. Of a class with little time a part only, else nothing of it could
     * be taken on.
     */
    static long unreadMs(double classDeadlineMs) {
        return (long) Math.min(CLIENT_WAIT_MS, classDeadlineMs * UNREAD_SHARE);
    }

    /** One that is taken on now, of a class with this deadline. */
    static AcceptedMessage taken(long number, ClientServer.Submission s, double classDeadlineMs, MachineClock clock) {
        long leftMs = (long) Math.min(s.budgetMs(), classDeadlineMs);
        long deadlineMs = leftMs - Math.min(ENDED_BEFORE_MS, leftMs / 2);
        return new AcceptedMessage(number, s.id(), s.messageClass(), s.tenant(), s.key(), s.destination(),
                after(deadlineMs, clock), after(leftMs - unreadMs(classDeadlineMs), clock), s.body());
    }

    private static long after(long ms, MachineClock clock) {
        return clock.nanos() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** One that may be tried for so long from now on. */
    static AcceptedMessage withTimeLeft(long number, String id, String messageClass, String tenant,
            Optional<String> key, long destination, long leftMs, byte[] body, MachineClock clock) {
        return new AcceptedMessage(number, id, messageClass, tenant, key, destination, after(leftMs, clock), body);
    }

    /** Whether any attempt may have run. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(a -> !a.neverRan);
    }

    /** How long it may still be tried. */
    double leftMs(MachineClock clock) {
        return (deadlineNanos - clock.nanos()) / 1e6;
    }

    /** Whether its client's time may be up. */
    boolean isTimeUp(MachineClock clock) {
        return clock.nanos() >= timeUpNanos;
    }

    AcceptedMessage(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineNanos, byte[] body) {
        this(number, id, messageClass, tenant, key, destination, deadlineNanos, deadlineNanos, body);
    }

    private AcceptedMessage(long number, String id, String messageClass, String tenant, Optional<String> key,
            long destination, long deadlineNanos, long timeUpNanos, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.destination = destination;
        this.deadlineNanos = deadlineNanos;
        this.timeUpNanos = timeUpNanos;
        this.body = body;
    }
}
