package kestreldeal.net;

import java.util.concurrent.TimeUnit;

/** A machine's clocks that stand still until a test advances them. */
final class ManualClock implements MachineClock {
    private long nanos = TimeUnit.HOURS.toNanos(100);
    private long wallMillis = TimeUnit.DAYS.toMillis(20_000);
    private int boots = 1;

    /** Advances both clocks. */
    void advance(long ms) {
        nanos += TimeUnit.MILLISECONDS.toNanos(ms);
        wallMillis += ms;
    }

    /** Advances both clocks until {@link #nanos} shows the given time. */
    void advanceTo(long untilNanos) {
        advance(TimeUnit.NANOSECONDS.toMillis(untilNanos - nanos));
    }

    /** Steps the wall clock only, as when somebody sets it. */
    void stepWallClock(long ms) {
        wallMillis += ms;
    }

    /** Reboots the machine: the monotonic clock starts again, and the boot id changes. */
    void reboot(long uptimeMs) {
        boots++;
        nanos = TimeUnit.MILLISECONDS.toNanos(uptimeMs);
    }

    /** Starts the monotonic clock again without a change of the boot id. */
    void restartMonotonicClock(long uptimeMs) {
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
