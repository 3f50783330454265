package kestreldeal;

/**
 * Detects an outage of all endpoints that share a rate limit, from the results of the calls to any of them:
 * at low traffic a single endpoint sees too few calls to tell. Times are in milliseconds.
 */
final class OutageEvidence {
    /** The failure score, 0 to 1: a failure closes this share of the gap to 1, a delivery multiplies it. */
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double DELIVERY_FACTOR = 0.6;
    /** Score from which there is an outage: five failures in a row. */
    private static final double OUTAGE_SCORE = 0.6;

    /** Number of failed or overdue calls that raises suspicion; a single call may fail at any time. */
    private static final int MIN_SUSPECT_FAILURES = 2;
    /** This many failures in a row, over the minimum length of an outage, are an outage at any score. */
    private static final int OUTAGE_FAILURES = 3;

    private final double minOutageMs;
    private int consecutiveFailures;
    private double firstFailureAt;
    private double failureScore;
    private int failuresAndOverdueCalls;
    private boolean everDelivered;
    /** Time of the last delivery, or at first of this object's creation. */
    private double lastDeliveryAt;

    /** Observes from now on; a shorter outage than this is ignored, as no slow start is needed after it. */
    OutageEvidence(double nowMs, double minOutageMs) {
        this.lastDeliveryAt = nowMs;
        this.minOutageMs = minOutageMs;
    }

    /** A message of a previous process was restored: its last delivery there may be long ago. */
    void messageRestored() {
        lastDeliveryAt = everDelivered ? lastDeliveryAt : Double.NEGATIVE_INFINITY;
    }

    void recordDelivery(double nowMs) {
        lastDeliveryAt = nowMs;
        everDelivered = true;
        failuresAndOverdueCalls = 0;
        consecutiveFailures = 0;
        failureScore *= DELIVERY_FACTOR;
    }

    void recordFailure(double nowMs) {
        failuresAndOverdueCalls++;
        failureScore += (1 - failureScore) * FAILURE_WEIGHT;
        if (consecutiveFailures++ == 0) {
            firstFailureAt = nowMs;
        }
    }

    /** A call is overdue; it counts if nothing was delivered since it was sent. */
    void recordOverdue(double sentAt) {
        failuresAndOverdueCalls += lastDeliveryAt < sentAt ? 1 : 0;
    }

    /** Whether there may be an outage: recent calls failed, and the last delivery is long ago. */
    boolean isSuspected(double nowMs) {
        return failuresAndOverdueCalls >= MIN_SUSPECT_FAILURES && nowMs - lastDeliveryAt >= minOutageMs;
    }

    boolean isOutage(double nowMs) {
        return isSuspected(nowMs) && failureScore >= OUTAGE_SCORE
                || consecutiveFailures >= OUTAGE_FAILURES && nowMs - firstFailureAt >= minOutageMs;
    }
}
