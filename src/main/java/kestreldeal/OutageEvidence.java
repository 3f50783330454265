package kestreldeal;

/**
 * Evidence of an outage of all that shares one limit, in how the calls to any of its endpoints end: one
 * endpoint alone may see too few calls to tell, where each sender has little traffic. Times are milliseconds.
 */
final class OutageEvidence {
    /** Evidence, 0 to 1: each bad end closes this share of the gap to 1, each good one multiplies it. */
    private static final double BAD_WEIGHT = 0.2;
    private static final double GOOD_FACTOR = 0.6;
    /** From here on it is an outage: five bad ends in a row. */
    private static final double OUTAGE_AT = 0.6;

    /** One failure alone is no sign: calls fail now and then. */
    private static final int LEAST_FAILURES = 2;
    /** Bad ends in a row, over the least length of an outage, mean one as well. */
    private static final int MOST_FRUITLESS = 3;

    private final double leastMs;
    private int fruitless;
    private double fruitlessSince;
    private double score;
    private int failures;
    private boolean seenGood;
    /** The last good end, or when the watch began. */
    private double lastGood;

    /** Evidence from now on of outages of at least this length: a shorter one leaves nothing cold. */
    OutageEvidence(double now, double leastMs) {
        this.lastGood = now;
        this.leastMs = leastMs;
    }

    /** An earlier life has sent there before: its last good end may be long ago. */
    void resumed() {
        lastGood = seenGood ? lastGood : Double.NEGATIVE_INFINITY;
    }

    /** A call was delivered. */
    void good(double now) {
        lastGood = now;
        seenGood = true;
        failures = 0;
        fruitless = 0;
        score *= GOOD_FACTOR;
    }

    /** A call has failed. */
    void failed(double now) {
        failures++;
        score += (1 - score) * BAD_WEIGHT;
        if (fruitless++ == 0) {
            fruitlessSince = now;
        }
    }

    /** A call that was sent then has no answer, and is overdue. */
    void overdue(double sentAt) {
        failures += lastGood < sentAt ? 1 : 0;
    }

    /** Whether an outage may be on: the last ends are bad, and the last good one is long ago. */
    boolean isSuspect(double now) {
        return failures >= LEAST_FAILURES && now - lastGood >= leastMs;
    }

    /** Whether one is on. */
    boolean isOutage(double now) {
        return isSuspect(now) && score >= OUTAGE_AT
                || fruitless >= MOST_FRUITLESS && now - fruitlessSince >= leastMs;
    }
}
