package kestreldeal.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The program that is measured and how: run from the root of a checkout that is built.
 *
 * @param options of a sender's JVM
 * @param seed of the whole run
 * @param quick small and short, for a check that it works
 * @param pin how to start a process on one core, or nothing where that can't be done
 */
record Setup(List<String> options, long seed, boolean quick, List<String> pin) {
    /** The sender, and what starts it as the platform does. */
    static final Path JAR = Path.of("target", "kestreldeal.jar");
    static final Path ARCHIVE = Path.of("target", "sender.jsa");
    private static final Path OPTIONS = Path.of("deploy", "java.options");
    private static final int SECONDS = 5;

    /**
     * The setup of this checkout.
     *
     * @throws IOException if this is not the root of one
     */
    static Setup here(long seed, boolean quick) throws IOException {
        List<String> options = Files.readAllLines(OPTIONS).stream().map(String::strip)
                .filter(line -> !line.isEmpty() && !line.startsWith("#")).toList();
        return new Setup(options, seed, quick, pinned());
    }

    /** The options with another heap, for a process that has to hold more than a sender may. */
    List<String> optionsWithHeap(int megabytes) {
        List<String> all = new ArrayList<>(options.stream()
                .filter(option -> !option.startsWith("-Xmx") && !option.startsWith("-Xms")).toList());
        all.add("-Xms" + megabytes / 2 + "m");
        all.add("-Xmx" + megabytes + "m");
        return all;
    }

    /** A sender has one core; the last one here, as the machine's own work tends to the first. */
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
