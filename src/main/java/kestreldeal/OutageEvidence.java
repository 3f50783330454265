package kestreldeal;

/**
 * Detects an outage of all endpoints that share a rate limit, from the results of the calls to any of them:
 * at low traffic a single endpoint sees too few calls to tell. Times are in milliseconds.
 */
final class OutageEvidence {
    /** Weight of a failure in the failure score, 0 to 1, and the factor on the score at a delivery. */
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double DELIVERY_FACTOR = 0.6;
    /** Score from which there is an outage: five failures in a row. */
    private static final double OUTAGE_SCORE = 0.6;

    /**
     * Number of failures and overdue calls that raises suspicion, as a single one may occur at any time. A
     * call that is overdue and then fails counts twice.
     */
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

    /** Observes from nowMs on. An outage shorter than minOutageMs is ignored, as it needs no slow start. */
    OutageEvidence(double nowMs, double minOutageMs) {
        this.lastDeliveryAt = nowMs;
        this.minOutageMs = minOutageMs;
    }

    /** A message was restored: the last delivery by the previous process may be long ago. */
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

    /** Whether there may be an outage: calls failed since the last delivery, and that is long ago. */
    boolean isSuspected(double nowMs) {
        return failuresAndOverdueCalls >= MIN_SUSPECT_FAILURES && nowMs - lastDeliveryAt >= minOutageMs;
    }

    boolean isOutage(double nowMs) {
        return isSuspected(nowMs) && failureScore >= OUTAGE_SCORE
                || consecutiveFailures >= OUTAGE_FAILURES && nowMs - firstFailureAt >= minOutageMs;
    }
}
