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

/** The library {@code faults.c} for one sender, and the file by which its faults are switched in the middle of a run. */
final class FaultLibrary {
    private static final int BUILD_TIMEOUT_SECONDS = 60;
    private static final int CONTROL_COUNT = 11;

    /** What can be switched, in the order of the library's file. Rates are calls in a million. */
    enum Control {
        WALL_STEP_MS, ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS, STATE_FAILS, SHORT_TRANSFERS, INTERRUPTED_WAITS, HOLD_UPS,
        HOLD_UP_MOST_MS, READ_FAILS, SEED
    }

    private final Path libraryFile;
    private final Path controlFile;
    private final LongBuffer controlValues;

    private FaultLibrary(Path libraryFile, Path controlFile, LongBuffer controlValues) {
        this.libraryFile = libraryFile;
        this.controlFile = controlFile;
        this.controlValues = controlValues;
    }

    /** Builds the library where there is a C compiler. */
    static Optional<Path> build(Path directory) throws IOException, InterruptedException {
        Path source = directory.resolve("faults.c");
        Path libraryFile = directory.resolve("faults.so");
        try (InputStream sourceStream = FaultLibrary.class.getResourceAsStream("faults.c")) {
            Files.write(source, sourceStream.readAllBytes());
        }
        try {
            Process compiler = new ProcessBuilder(List.of("cc", "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC",
                    "-o", libraryFile.toString(), source.toString(), "-ldl")).inheritIO().start();
            if (!compiler.waitFor(BUILD_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("the library for faults can't be built");
            }
            return Optional.of(libraryFile);
        } catch (IOException e) {
            if (Files.exists(libraryFile)) {
                throw e;
            }
            System.err.println("no faults of system calls: " + e.getMessage());
            return Optional.empty();
        }
    }

    /** The library for a sender, with all faults off. */
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

    /** What the sender's environment needs to have. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", libraryFile.toString(), "FAULTS_CONTROL", controlFile.toString());
    }

    /** From now on. */
    void set(Control control, long value) {
        controlValues.put(control.ordinal(), value);
    }
}
