package kestreldeal.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The clocks of the machine. Durations (deadlines, windows, waits) are measured by the monotonic clock, which continues
 * across processes until the machine reboots; the wall clock may be stepped at any time.
 */
interface MachineClock {
    /** Returns the monotonic time in nanoseconds, from an origin that all processes of one boot share. */
    long nanos();

    /** Returns the wall clock time, in milliseconds of Unix time. */
    long wallMillis();

    /**
     * Returns an identifier of the boot to which {@link #nanos} belongs. It is empty if unknown; then times of the
     * monotonic clock can't be compared between processes.
     */
    String bootId();

    /** Returns the clocks of this machine. */
    static MachineClock system() {
        return SystemClock.INSTANCE;
    }

    /** Uses {@link System#nanoTime}, which on Linux is CLOCK_MONOTONIC and counts from the boot. */
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
