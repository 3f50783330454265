package kestreldeal;

import kestreldeal.Relay.Decay;
import kestreldeal.Relay.MessageClass;

/**
 * The priority of one waiting message over time: the value that it loses by waiting longer. The curve
 * consists of segments, in each of which the order of two messages of a class is fixed. Until the target time
 * priority rises: oldest first. Then it falls: newest first, with a jump up where the horizon reaches the
 * deadline. At the minimum value it is constant: oldest first. Times are in milliseconds.
 */
final class PriorityCurve {
    /** Number of segments; one is the sum of the bits that hold, see {@link #segmentAt}. */
    static final int SEGMENTS = 8;
    private static final int TARGET_PASSED = 1;
    private static final int DEADLINE_IN_HORIZON = 2;
    private static final int MIN_VALUE_REACHED = 4;
    /** Priority is the value lost by waiting this much longer, about the delay of a queue under load. */
    private static final double HORIZON_MS = 1500;
    /** Weight of the value itself in the priority, to break ties of messages that lose no value yet. */
    private static final double VALUE_WEIGHT = 0.01;

    private final MessageClass messageClass;
    private final Decay valueDecay;
    private final double targetAt;
    private final double deadlineAt;

    PriorityCurve(MessageClass messageClass, Decay valueDecay, double targetAt, double deadlineAt) {
        this.messageClass = messageClass;
        this.valueDecay = valueDecay;
        this.targetAt = targetAt;
        this.deadlineAt = deadlineAt;
    }

    /** Whether the newest message comes first in this segment; in the others the oldest does. */
    static boolean isNewestFirst(int segment) {
        return (segment & (TARGET_PASSED | MIN_VALUE_REACHED)) == TARGET_PASSED;
    }

    private double valueAt(double timeMs) {
        if (timeMs > deadlineAt) {
            return 0;
        }
        double late = Math.max(0, timeMs - targetAt);
        double share = valueDecay == Decay.HALVING ? Math.max(messageClass.minValueShare(),
                Math.pow(0.5, late / messageClass.targetLatencyMs()))
                : 1 - (1 - messageClass.minValueShare()) * late / Math.max(1,
                messageClass.deadlineMs() - messageClass.targetLatencyMs());
        return messageClass.value() * share;
    }

    /** The priority; messages with a higher one come first. */
    double priorityAt(double timeMs) {
        double value = valueAt(timeMs);
        return value - valueAt(timeMs + HORIZON_MS) + VALUE_WEIGHT * value;
    }

    /** The segment that holds at this time. */
    int segmentAt(double timeMs) {
        return (timeMs > targetAt ? TARGET_PASSED : 0)
                + (timeMs > deadlineAt - HORIZON_MS ? DEADLINE_IN_HORIZON : 0)
                + (timeMs > minValueAt() ? MIN_VALUE_REACHED : 0);
    }

    /** When a segment ends. */
    double segmentEnd(int segment) {
        double horizonAt = (segment & DEADLINE_IN_HORIZON) > 0 ? Double.POSITIVE_INFINITY
                : deadlineAt - HORIZON_MS;
        double minAt = (segment & MIN_VALUE_REACHED) > 0 ? Double.POSITIVE_INFINITY : minValueAt();
        return (segment & TARGET_PASSED) > 0 ? Math.min(horizonAt, minAt) : Math.min(horizonAt, targetAt);
    }

    private double minValueAt() {
        if (messageClass.value() <= 0 || messageClass.minValueShare() >= 1) {
            return targetAt;
        }
        return valueDecay == Decay.LINEAR ? Double.POSITIVE_INFINITY : targetAt
                - messageClass.targetLatencyMs() * Math.log(messageClass.minValueShare()) / Math.log(2);
    }
}
