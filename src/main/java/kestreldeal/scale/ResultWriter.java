package kestreldeal.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Writes results: one JSON object per line to a file, if one is given, and short tables to the terminal. Each line
 * contains what is needed to repeat the run: seed, sizes, options of the JVM that measured, Java version and revision
 * of the program. Thread-safe.
 */
public final class ResultWriter implements AutoCloseable {
    private static final String UNKNOWN = "unknown";
    private static final long GIT_TIMEOUT_SECONDS = 5;

    private final ObjectMapper jsonMapper = JsonMapper.builder().build();
    private final Optional<BufferedWriter> out;
    private final PrintStream terminal;
    private final Map<String, Object> sharedValues = new LinkedHashMap<>();

    private ResultWriter(Optional<BufferedWriter> out, PrintStream terminal) {
        this.out = out;
        this.terminal = terminal;
    }

    /**
     * Creates or truncates the file, if one is given.
     *
     * @param command the subcommand that runs, such as {@code slopes}
     * @param sizes the sizes given on the command line
     * @throws IOException if the file can't be written
     */
    public static ResultWriter open(Optional<Path> file, String command, long seed, List<Integer> sizes)
            throws IOException {
        Optional<BufferedWriter> out = file.isEmpty() ? Optional.empty()
                : Optional.of(Files.newBufferedWriter(file.get(), StandardCharsets.UTF_8));
        ResultWriter results = new ResultWriter(out, System.out);
        results.sharedValues.put("command", command);
        results.sharedValues.put("seed", seed);
        results.sharedValues.put("sizes", List.copyOf(sizes));
        results.sharedValues.put("jvm", ManagementFactory.getRuntimeMXBean().getInputArguments());
        results.sharedValues.put("java", Runtime.version().toString());
        results.sharedValues.put("cores", Runtime.getRuntime().availableProcessors());
        results.sharedValues.put("revision", revision());
        return results;
    }

    /**
     * Writes one line with the given values and the ones that all lines share. A given value replaces a shared one of
     * the same name, for example the JVM options where another JVM measured. A line with a measured value has its unit
     * in the value's name or under {@code unit}.
     *
     * @throws IOException if the file can't be written
     */
    public synchronized void writeLine(String kind, Map<String, ?> values) throws IOException {
        if (out.isEmpty()) {
            return;
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("kind", kind);
        line.putAll(values);
        sharedValues.forEach(line::putIfAbsent);
        out.get().write(jsonMapper.writeValueAsString(line));
        out.get().newLine();
        // Flushed on each line, so that no result is lost if the run is aborted.
        out.get().flush();
    }

    /** Prints a table to the terminal; each column is as wide as its widest cell, and numbers are right-aligned. */
    public synchronized void printTable(String title, List<String> headers, List<? extends List<?>> rows) {
        List<List<String>> cells = new ArrayList<>();
        cells.add(headers);
        rows.forEach(row -> cells.add(row.stream().map(ResultWriter::formatCell).toList()));
        terminal.println();
        terminal.println(title);
        for (List<String> row : cells) {
            StringBuilder text = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                text.append("  ").append(pad(row.get(column), columnWidth(cells, column),
                        isNumberColumn(cells, column)));
            }
            terminal.println(text.toString().stripTrailing());
        }
        terminal.flush();
    }

    /** Prints a line about the progress of the run to standard error. */
    public static void printProgress(String text) {
        System.err.println(text);
    }

    private static int columnWidth(List<List<String>> cells, int column) {
        return cells.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    private static boolean isNumberColumn(List<List<String>> cells, int column) {
        return cells.stream().skip(1).allMatch(row -> row.get(column).matches("-?[0-9.,E]+|-"));
    }

    private static String pad(String text, int width, boolean rightAligned) {
        String padding = " ".repeat(width - text.length());
        return rightAligned ? padding + text : text + padding;
    }

    private static String formatCell(Object value) {
        return value instanceof Double number ? formatNumber(number) : String.valueOf(value);
    }

    /** Formats a number with no more digits than the precision of the measurements justifies. */
    static String formatNumber(double value) {
        if (Double.isNaN(value)) {
            return "-";
        }
        double magnitude = Math.abs(value);
        return String.format(Locale.ROOT, magnitude >= 1000 ? "%.0f" : magnitude >= 10 ? "%.1f" : "%.3f", value);
    }

    /** The commit that is checked out, with {@code +changes} appended if tracked files differ from it. */
    private static String revision() {
        Optional<String> head = runGit("rev-parse", "--short=12", "HEAD");
        boolean differs = runGit("status", "--porcelain", "--untracked-files=no").filter(s -> !s.isEmpty()).isPresent();
        return head.map(commit -> commit + (differs ? "+changes" : "")).orElse(UNKNOWN);
    }

    private static Optional<String> runGit(String... arguments) {
        List<String> command = new ArrayList<>(List.of("git"));
        command.addAll(List.of(arguments));
        try {
            Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            boolean exited = process.waitFor(GIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return exited && process.exitValue() == 0 ? Optional.of(output) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (out.isPresent()) {
            out.get().close();
        }
    }
}
