package kestreldeal.net;

import java.util.concurrent.TimeUnit;

/** Clocks of a machine that stand until they are moved. */
final class ManualClock implements MachineClock {
    private long nanos = TimeUnit.HOURS.toNanos(100);
    private long wallMillis = TimeUnit.DAYS.toMillis(20_000);
    private int boots = 1;

    /** Time passes: both clocks show it. */
    void pass(long ms) {
        nanos += TimeUnit.MILLISECONDS.toNanos(ms);
        wallMillis += ms;
    }

    /** Time passes up to this one of {@link #nanos}. */
    void passTo(long untilNanos) {
        pass(TimeUnit.NANOSECONDS.toMillis(untilNanos - nanos));
    }

    /** Somebody sets the wall clock. */
    void stepWall(long ms) {
        wallMillis += ms;
    }

    /** The machine is booted anew, so that the monotonic clock counts from another moment. */
    void reboot(long uptimeMs) {
        boots++;
        nanos = TimeUnit.MILLISECONDS.toNanos(uptimeMs);
    }

    /** The monotonic clock counts anew, under the same name. */
    void rewind(long uptimeMs) {
        nanos = TimeUnit.MILLISECONDS.toNanos(uptimeMs);
    }

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public long wallMillis() {
        return wallMillis;
    }

    @Override
    public String bootId() {
        return "boot-" + boots;
    }
}
