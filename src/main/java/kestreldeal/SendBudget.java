package kestreldeal;

import java.util.List;

/**
 * Limits extra sends to a share of first sends, over all destinations. Without it hedged attempts could
 * double the load on a slow destination, and retries of refused messages could keep its limit used up. Times
 * are in milliseconds.
 */
final class SendBudget {
    /** Time in which sends are counted. */
    static final double PERIOD_MS = 10_000;

    private final TimestampQueue firstSends;
    private final double alwaysAllowed;
    private final double perFirstSend;
    private final TimestampQueue extraSends = new TimestampQueue();

    /**
     * Allows this number of extra sends in any period, plus a share of the first sends, which the caller
     * records.
     */
    SendBudget(TimestampQueue firstSends, double alwaysAllowed, double perFirstSend) {
        this.firstSends = firstSends;
        this.alwaysAllowed = alwaysAllowed;
        this.perFirstSend = perFirstSend;
    }

    /** Records an extra send. */
    void recordSend(double atMs) {
        extraSends.add(atMs);
    }

    /** Whether one more extra send is allowed now. */
    boolean allowsSend(double nowMs) {
        extraSends.removeBefore(nowMs - PERIOD_MS);
        firstSends.removeBefore(nowMs - PERIOD_MS);
        return extraSends.size() + 1 <= alwaysAllowed + perFirstSend * firstSends.size();
    }

    /** The age of each recorded extra send, oldest first. */
    List<Double> extraSendAges(double nowMs) {
        return extraSends.ages(nowMs);
    }
}
