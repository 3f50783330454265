package kestreldeal.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The clocks of the machine. Spans of time (deadlines, windows, waits) are measured by the monotonic clock, which runs
 * on over processes for as long as the machine is not booted anew; the wall clock may be stepped at any time.
 */
interface MachineClock {
    /** The monotonic clock, in nanoseconds since a moment that is the same for all processes of one boot. */
    long nanos();

    /** The wall clock, in milliseconds of Unix time. */
    long wallMillis();

    /** Names the boot that {@link #nanos} counts in; empty where it can't be told, and then no process knows another's. */
    String bootId();

    /** The clocks of this machine. */
    static MachineClock system() {
        return SystemClock.INSTANCE;
    }

    /** On Linux {@link System#nanoTime} is CLOCK_MONOTONIC, which counts from the boot. */
    final class SystemClock implements MachineClock {
        private static final SystemClock INSTANCE = new SystemClock();
        private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

        private SystemClock() {
        }

        @Override
        public long nanos() {
            return System.nanoTime();
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public String bootId() {
            try {
                return Files.readString(BOOT_ID).strip();
            } catch (IOException e) {
                return "";
            }
        }
    }
}
