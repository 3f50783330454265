package kestreldeal.net;

import java.util.concurrent.TimeUnit;

/** The clocks of this machine, which go on by themselves, with offsets that a test may change from any thread. */
final class AdjustableClock implements MachineClock {
    private volatile long aheadMs;
    private volatile long wallStepMs;

    /** Lets time pass at once, on both clocks. */
    void advance(long ms) {
        aheadMs += ms;
    }

    /** Steps the wall clock only, as when somebody sets it. */
    AdjustableClock stepWallClock(long ms) {
        wallStepMs += ms;
        return this;
    }

    @Override
    public long nanos() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(aheadMs);
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis() + aheadMs + wallStepMs;
    }

    @Override
    public String bootId() {
        return MachineClock.system().bootId();
    }
}
