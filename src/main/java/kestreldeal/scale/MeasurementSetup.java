package kestreldeal.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * How the measured program is started. The tool runs from the root of a checkout after the build.
 *
 * @param jvmOptions options of a sender's JVM
 * @param seed seed of the whole run
 * @param quick whether measurements are short and small, to check only that they work
 * @param pinCommand command prefix that pins a process to one core, or empty where pinning is not possible
 */
record MeasurementSetup(List<String> jvmOptions, long seed, boolean quick, List<String> pinCommand) {
    /** The sender's jar and its class data sharing archive, with which the platform starts it. */
    static final Path JAR = Path.of("target", "kestreldeal.jar");
    static final Path CLASS_ARCHIVE = Path.of("target", "sender.jsa");
    private static final Path OPTIONS_FILE = Path.of("deploy", "java.options");
    private static final int PIN_CHECK_TIMEOUT_SECONDS = 5;

    /**
     * Reads the setup from the current directory.
     *
     * @throws IOException if the current directory is not the root of a checkout
     */
    static MeasurementSetup load(long seed, boolean quick) throws IOException {
        List<String> jvmOptions = Files.readAllLines(OPTIONS_FILE).stream().map(String::strip)
                .filter(line -> !line.isEmpty() && !line.startsWith("#")).toList();
        return new MeasurementSetup(jvmOptions, seed, quick, detectPinCommand());
    }

    /** The options with another heap size, for a process that needs more memory than a sender is allowed. */
    List<String> jvmOptionsWithHeap(int heapMb) {
        List<String> result = new ArrayList<>(jvmOptions.stream()
                .filter(option -> !option.startsWith("-Xmx") && !option.startsWith("-Xms")).toList());
        result.add("-Xms" + heapMb / 2 + "m");
        result.add("-Xmx" + heapMb + "m");
        return result;
    }

    /** A sender runs on one core: the last one, because the operating system's own work prefers the first. */
    private static List<String> detectPinCommand() throws IOException {
        List<String> pin = List.of("taskset", "-c", Integer.toString(Runtime.getRuntime().availableProcessors() - 1));
        List<String> check = new ArrayList<>(pin);
        check.add("true");
        try {
            Process process = new ProcessBuilder(check).redirectErrorStream(true).start();
            return process.waitFor(PIN_CHECK_TIMEOUT_SECONDS, TimeUnit.SECONDS) && process.exitValue() == 0
                    ? pin : List.of();
        } catch (IOException e) {
            return List.of();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
