package kestreldeal.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A message that this sender has taken on, with all that its journal must know of it: who may send it again,
 * and how, is decided from this after a restart.
 */
final class Held {
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
    /** Wall time, since it must hold in a later life. */
    final long deadlineMs;
    /** When its client's time may be up at the soonest, as far as this life knows it; the deadline where it does not. */
    long timeUpMs;
    final byte[] body;
    final List<Attempt> attempts = new ArrayList<>();
    /** How many of them the journal has a record of. */
    int attemptRecords;
    Optional<Notice> owed = Optional.empty();
    /** Bytes of its records in the journal. */
    long bytes;
    /** Its client has heard that it was taken; what comes back from the journal counts as heard. */
    boolean told;
    /** Nothing may be sent for it any more: delivered, over, or ended by a notice. */
    boolean over;

    /** An attempt; it may have run unless its end proved otherwise, whatever became of this process. */
    static final class Attempt {
        /** The journal has no record of it. */
        static final int UNRECORDED = -1;
        /** Longer than any window. */
        private static final long ANY_AGE_MS = TimeUnit.DAYS.toMillis(365);

        final String endpoint;
        /** Wall time, for the journal. */
        final long sentAtMs;
        /**
         * The same on this life's own clock, by which windows are kept: a wall clock that is set back would make them
         * longer.
         */
        final long sentNanos;
        boolean neverRan;
        /** Its place among the records of the message's attempts: one that could not be written leaves no gap. */
        int record = UNRECORDED;

        private Attempt(String endpoint, long sentAtMs, long sentNanos) {
            this.endpoint = endpoint;
            this.sentAtMs = sentAtMs;
            this.sentNanos = sentNanos;
        }

        /** One that was made so long ago. */
        static Attempt sentAgo(String endpoint, long agoMs, MachineClock clock) {
            return recorded(endpoint, clock.wallMillis() - agoMs, clock);
        }

        /** One made at this wall time, now or in an earlier life. */
        static Attempt recorded(String endpoint, long sentAtMs, MachineClock clock) {
            // One from the future tells that the wall clock was set back: it may be of any age, so it is past any window.
            long ageMs = clock.wallMillis() - sentAtMs;
            return new Attempt(endpoint, sentAtMs,
                    clock.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMs < 0 ? ANY_AGE_MS : ageMs));
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
    static Held taken(long number, Intake.Submission s, double classDeadlineMs, MachineClock clock) {
        long leftMs = (long) Math.min(s.budgetMs(), classDeadlineMs);
        Held held = withTimeLeft(number, s.id(), s.messageClass(), s.tenant(), s.key(), s.destination(),
                leftMs - Math.min(ENDED_BEFORE_MS, leftMs / 2), s.body(), clock);
        held.timeUpMs = clock.wallMillis() + leftMs - unreadMs(classDeadlineMs);
        return held;
    }

    /** One that may be tried for so long from now on. */
    static Held withTimeLeft(long number, String id, String messageClass, String tenant, Optional<String> key,
            long destination, long leftMs, byte[] body, MachineClock clock) {
        return new Held(number, id, messageClass, tenant, key, destination, clock.wallMillis() + leftMs, body);
    }

    /** How long it may still be tried. */
    double leftMs(MachineClock clock) {
        return deadlineMs - clock.wallMillis();
    }

    /** Whether its client's time may be up. */
    boolean isTimeUp(MachineClock clock) {
        return clock.wallMillis() >= timeUpMs;
    }

    Held(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineMs, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.destination = destination;
        this.deadlineMs = deadlineMs;
        this.timeUpMs = deadlineMs;
        this.body = body;
    }
}
