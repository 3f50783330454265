package kestreldeal.scale.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The fault injection library {@code faults.c} for one sender. It is preloaded into the process (LD_PRELOAD) and reads
 * its controls from a memory-mapped file, so that faults can be switched on and off while the process runs.
 */
final class FaultLibrary {
    private static final int BUILD_TIMEOUT_SECONDS = 60;
    private static final int CONTROL_COUNT = 11;

    /**
     * The controls, in the order of the control file; faults.c has the same enum. All but the times and the seed are
     * rates per million calls.
     */
    enum Control {
        /** Time by which the wall clock is set forward, or back if negative. */
        WALL_STEP_MS,
        ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS,
        /** Failures of system calls on files of the state directory. */
        STATE_FAILS,
        /** Reads and writes on sockets that transfer only a part. */
        SHORT_TRANSFERS,
        /** Waits for events that return early with EINTR. */
        INTERRUPTED_WAITS,
        /** Writes on sockets that are delayed. */
        HOLD_UPS,
        /** Longest delay of a write. */
        HOLD_UP_MOST_MS,
        READ_FAILS,
        /** Seed of the random numbers. */
        SEED
    }

    private final Path libraryFile;
    private final Path controlFile;
    private final LongBuffer controlValues;

    private FaultLibrary(Path libraryFile, Path controlFile, LongBuffer controlValues) {
        this.libraryFile = libraryFile;
        this.controlFile = controlFile;
        this.controlValues = controlValues;
    }

    /** Compiles the library; empty if that fails, for example because there is no C compiler. */
    static Optional<Path> build(Path directory) throws IOException, InterruptedException {
        Path source = directory.resolve("faults.c");
        Path libraryFile = directory.resolve("faults.so");
        try (InputStream sourceStream = FaultLibrary.class.getResourceAsStream("faults.c")) {
            Files.write(source, sourceStream.readAllBytes());
        }
        try {
            Process compiler = new ProcessBuilder(List.of("cc", "-O2", "-Wall", "-Wextra", "-Werror", "-shared",
                    "-fPIC", "-o", libraryFile.toString(), source.toString(), "-ldl")).inheritIO().start();
            if (!compiler.waitFor(BUILD_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("the C compiler failed or timed out");
            }
            return Optional.of(libraryFile);
        } catch (IOException e) {
            if (Files.exists(libraryFile)) {
                throw e;
            }
            System.err.println("the fault library can't be built, so no system calls will fail: " + e.getMessage());
            return Optional.empty();
        }
    }

    /** The library for one sender, with all faults off. */
    static FaultLibrary forSender(Path libraryFile, Path controlFile, long seed) throws IOException {
        try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            LongBuffer controlValues = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_COUNT * (long) Long.BYTES)
                    .order(ByteOrder.nativeOrder()).asLongBuffer();
            FaultLibrary library = new FaultLibrary(libraryFile, controlFile, controlValues);
            library.set(Control.SEED, seed);
            return library;
        }
    }

    /** The environment variables that load the library into the sender's process. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", libraryFile.toString(), "FAULTS_CONTROL", controlFile.toString());
    }

    /** Sets a control; it takes effect immediately. */
    void set(Control control, long value) {
        controlValues.put(control.ordinal(), value);
    }
}
