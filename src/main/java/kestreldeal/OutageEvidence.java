package kestreldeal;

/**
 * Detects an outage of all endpoints that share a rate limit, from the results of the calls to any of them:
 * at low traffic a single endpoint sees too few calls to tell. Times are in milliseconds.
 */
final class OutageEvidence {
    /** The failure score, 0 to 1: a failure closes this share of the gap to 1, a delivery multiplies it. */
    private static final double BAD_WEIGHT = 0.2;
    private static final double GOOD_FACTOR = 0.6;
    /** Score from which there is an outage: five failures in a row. */
    private static final double OUTAGE_AT = 0.6;

    /** Number of failed or overdue calls that raises suspicion; a single call may fail at any time. */
    private static final int LEAST_FAILURES = 2;
    /** This many failures in a row, over the minimum length of an outage, are an outage at any score. */
    private static final int MOST_FRUITLESS = 3;

    private final double minOutageMs;
    private int fruitless;
    private double fruitlessSince;
    private double score;
    private int failures;
    private boolean seenGood;
    /** Time of the last delivery, or at first of this object's creation. */
    private double lastGood;

    /** Observes from now on; a shorter outage than this is ignored, as no slow start is needed after it. */
    OutageEvidence(double nowMs, double minOutageMs) {
        this.lastGood = nowMs;
        this.minOutageMs = minOutageMs;
    }

    /** A message of a previous process was restored: its last delivery there may be long ago. */
    void messageRestored() {
        lastGood = seenGood ? lastGood : Double.NEGATIVE_INFINITY;
    }

    void recordDelivery(double nowMs) {
        lastGood = nowMs;
        seenGood = true;
        failures = 0;
        fruitless = 0;
        score *= GOOD_FACTOR;
    }

    void recordFailure(double nowMs) {
        failures++;
        score += (1 - score) * BAD_WEIGHT;
        if (fruitless++ == 0) {
            fruitlessSince = nowMs;
        }
    }

    /** A call is overdue; it counts if nothing was delivered since it was sent. */
    void recordOverdue(double sentAt) {
        failures += lastGood < sentAt ? 1 : 0;
    }

    /** Whether there may be an outage: recent calls failed, and the last delivery is long ago. */
    boolean isSuspected(double nowMs) {
        return failures >= LEAST_FAILURES && nowMs - lastGood >= minOutageMs;
    }

    boolean isOutage(double nowMs) {
        return isSuspected(nowMs) && score >= OUTAGE_AT
                || fruitless >= MOST_FRUITLESS && nowMs - fruitlessSince >= minOutageMs;
    }
}
