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
 * @param options options of a sender's JVM
 * @param seed seed of the whole run
 * @param quick whether measurements are short and small, to check only that they work
 * @param pin command prefix that pins a process to one core, or empty where pinning is not possible
 */
record MeasurementSetup(List<String> options, long seed, boolean quick, List<String> pin) {
    /** The sender's jar and its class data sharing archive, with which the platform starts it. */
    static final Path JAR = Path.of("target", "kestreldeal.jar");
    static final Path ARCHIVE = Path.of("target", "sender.jsa");
    private static final Path OPTIONS = Path.of("deploy", "java.options");
    private static final int SECONDS = 5;

    /**
     * Reads the setup from the current directory.
     *
     * @throws IOException if the current directory is not the root of a checkout
     */
    static MeasurementSetup here(long seed, boolean quick) throws IOException {
        List<String> options = Files.readAllLines(OPTIONS).stream().map(String::strip)
                .filter(line -> !line.isEmpty() && !line.startsWith("#")).toList();
        return new MeasurementSetup(options, seed, quick, pinned());
    }

    /** The options with another heap size, for a process that needs more memory than a sender is allowed. */
    List<String> optionsWithHeap(int megabytes) {
        List<String> all = new ArrayList<>(options.stream()
                .filter(option -> !option.startsWith("-Xmx") && !option.startsWith("-Xms")).toList());
        all.add("-Xms" + megabytes / 2 + "m");
        all.add("-Xmx" + megabytes + "m");
        return all;
    }

    /** A sender runs on one core: the last one, because the operating system's own work prefers the first. */
    private static List<String> pinned() throws IOException {
        List<String> pin = List.of("taskset", "-c", Integer.toString(Runtime.getRuntime().availableProcessors() - 1));
        List<String> trial = new ArrayList<>(pin);
        trial.add("true");
        try {
            Process process = new ProcessBuilder(trial).redirectErrorStream(true).start();
            return process.waitFor(SECONDS, TimeUnit.SECONDS) && process.exitValue() == 0 ? pin : List.of();
        } catch (IOException e) {
            return List.of();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
