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
final class Shim {
    private static final int BUILD_SECONDS = 60;
    private static final int NUMBERS = 11;

    /** What can be switched, in the order of the library's file. Rates are calls in a million. */
    enum Control {
        WALL_STEP_MS, ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS, STATE_FAILS, SHORT_TRANSFERS, INTERRUPTED_WAITS, HOLD_UPS,
        HOLD_UP_MOST_MS, READ_FAILS, SEED
    }

    private final Path library;
    private final Path file;
    private final LongBuffer numbers;

    private Shim(Path library, Path file, LongBuffer numbers) {
        this.library = library;
        this.file = file;
        this.numbers = numbers;
    }

    /** Builds the library where there is a C compiler. */
    static Optional<Path> build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("faults.c");
        Path library = folder.resolve("faults.so");
        try (InputStream text = Shim.class.getResourceAsStream("faults.c")) {
            Files.write(source, text.readAllBytes());
        }
        try {
            Process compiler = new ProcessBuilder(List.of("cc", "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC",
                    "-o", library.toString(), source.toString(), "-ldl")).inheritIO().start();
            if (!compiler.waitFor(BUILD_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("the library for faults can't be built");
            }
            return Optional.of(library);
        } catch (IOException e) {
            if (Files.exists(library)) {
                throw e;
            }
            System.err.println("no faults of system calls: " + e.getMessage());
            return Optional.empty();
        }
    }

    /** The library for a sender, with all faults off. */
    static Shim of(Path library, Path file, long seed) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            LongBuffer numbers = channel.map(FileChannel.MapMode.READ_WRITE, 0, NUMBERS * (long) Long.BYTES)
                    .order(ByteOrder.nativeOrder()).asLongBuffer();
            Shim shim = new Shim(library, file, numbers);
            shim.set(Control.SEED, seed);
            return shim;
        }
    }

    /** What the sender's environment needs to have. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULTS_CONTROL", file.toString());
    }

    /** From now on. */
    void set(Control control, long value) {
        numbers.put(control.ordinal(), value);
    }
}
