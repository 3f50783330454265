package kestreldeal.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures costs at several sizes, several times each, and fits their growth with the size. */
@Command(name = "slopes", mixinStandardHelpOptions = true, showDefaultValues = true,
        description = "Measures the costs of a sender at several sizes of its list, its pending messages and its "
                + "load, and fits how they grow. Runs from the root of a checkout after the build.")
final class SlopesCommand implements Callable<Integer> {
    private static final int MAX_REPEATS = 20;
    private static final int MAX_SIZE = 1_000_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--only", split = ",", paramLabel = "SLOPE", description = "slopes to measure; default: all")
    private List<String> selectedNames = List.of();

    @Option(names = "--sizes", split = ",", paramLabel = "N", description = "sizes that replace each slope's own")
    private List<Integer> sizes = List.of();

    @Option(names = "--repeats", description = "runs at each size")
    private int repeats = 3;

    @Option(names = "--seed", description = "seed of all random numbers")
    private long seed = 1;

    @Option(names = "--out", paramLabel = "FILE", description = "file for the results, one JSON object per line")
    private Path outputFile;

    @Option(names = "--quick", description = "small sizes, one short run each")
    private boolean quick;

    @Option(names = "--limit-s", paramLabel = "S", description = "start no further run after this many seconds")
    private int timeLimitSeconds = 3600;

    /** The repeated measurements of one value, by size. */
    private static final class Series {
        private final Map<Integer, List<Double>> valuesBySize = new TreeMap<>();

        void add(int size, double value) {
            valuesBySize.computeIfAbsent(size, s -> new ArrayList<>()).add(value);
        }

        double median(int size) {
            List<Double> sorted = valuesBySize.getOrDefault(size, List.of()).stream().sorted().toList();
            if (sorted.isEmpty()) {
                return Double.NaN;
            }
            return (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
        }

        /** Fits all runs and not only the medians, so that the residual includes the scatter between runs. */
        Optional<Fit> fit() {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            valuesBySize.forEach((size, values) -> values.stream().filter(value -> value > 0).forEach(value -> {
                x.add((double) size);
                y.add(value);
            }));
            return x.stream().distinct().count() < 2 ? Optional.empty() : Optional.of(Fit.of(x, y));
        }
    }

    /** All slopes that can be measured. */
    static List<Slope> allSlopes() {
        return Stream.of(ModuleSlopes.all(), SenderSlopes.all()).flatMap(List::stream).toList();
    }

    @Override
    public Integer call() throws Exception {
        List<Slope> selected = selectSlopes();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeLimitSeconds);
        MeasurementSetup setup = MeasurementSetup.load(seed, quick);
        try (ResultWriter results = ResultWriter.open(Optional.ofNullable(outputFile), "slopes", seed, sizes)) {
            for (Slope slope : selected) {
                measureSlope(slope, setup, results, deadlineNanos);
            }
        }
        return 0;
    }

    private List<Slope> selectSlopes() {
        List<String> names = allSlopes().stream().map(Slope::name).toList();
        selectedNames.stream().filter(name -> !names.contains(name)).findFirst().ifPresent(name ->
                failUsage("no slope '" + name + "': the slopes are " + String.join(", ", names)));
        if (repeats < 1 || repeats > MAX_REPEATS) {
            failUsage("--repeats must be from 1 to " + MAX_REPEATS);
        }
        if (sizes.stream().anyMatch(size -> size < 1 || size > MAX_SIZE)) {
            failUsage("--sizes must be from 1 to " + MAX_SIZE);
        }
        if (!sizes.isEmpty() && sizes.stream().distinct().count() < 2) {
            failUsage("--sizes needs at least two different sizes, or growth can't be fitted");
        }
        if (timeLimitSeconds < 1) {
            failUsage("--limit-s must be at least 1");
        }
        if (!Files.isReadable(MeasurementSetup.JAR)) {
            failUsage("no " + MeasurementSetup.JAR + " here: run this from the root of a checkout after the build");
        }
        return allSlopes().stream().filter(slope -> selectedNames.isEmpty() || selectedNames.contains(slope.name()))
                .toList();
    }

    private void failUsage(String message) {
        throw new ParameterException(spec.commandLine(), message);
    }

    private void measureSlope(Slope slope, MeasurementSetup setup, ResultWriter results, long deadlineNanos)
            throws Exception {
        List<Integer> sizesToRun = !sizes.isEmpty() ? sizes : quick ? slope.quickSizes() : slope.defaultSizes();
        Map<String, Series> series = new LinkedHashMap<>();
        Object jvm = setup.jvmOptions();
        slope.fittedValues().forEach(name -> series.put(name, new Series()));
        // Sizes are the inner loop, so that a drift over time affects all sizes alike.
        for (int repeat = 0; repeat < (quick ? 1 : repeats); repeat++) {
            for (int size : sizesToRun) {
                Map<String, Object> line = measureOnce(slope, setup, size, repeat, deadlineNanos);
                results.writeLine("point", line);
                jvm = line.getOrDefault("jvm", jvm);
                series.forEach((name, valueSeries) -> {
                    if (line.get(name) instanceof Number value) {
                        valueSeries.add(size, value.doubleValue());
                    }
                });
            }
        }
        reportSlope(slope, sizesToRun, series, jvm, results);
    }

    private Map<String, Object> measureOnce(Slope slope, MeasurementSetup setup, int size, int repeat,
            long deadlineNanos) throws Exception {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("slope", slope.name());
        line.put("size", size);
        line.put("repeat", repeat);
        line.put("by", slope.sizeMeaning());
        line.put("unit", units(slope));
        line.put("pinned", !setup.pinCommand().isEmpty());
        line.put("sizes", sizes.isEmpty() ? quick ? slope.quickSizes() : slope.defaultSizes() : sizes);
        if (System.nanoTime() > deadlineNanos) {
            line.put("failed", "not run: the time limit set by --limit-s was reached");
        } else {
            try {
                line.putAll(slope.measurement().measure(setup, size, seed + repeat));
            } catch (Slope.MeasurementFailedException e) {
                line.put("failed", e.getMessage());
            }
        }
        Object summary = line.containsKey("failed") ? line.get("failed") : formatValues(slope, line);
        ResultWriter.printProgress(slope.name() + " " + size + " (" + (repeat + 1) + "): " + summary);
        return line;
    }

    private static String formatValues(Slope slope, Map<String, Object> line) {
        List<String> parts = new ArrayList<>();
        slope.fittedValues().forEach(name -> parts.add(name + " " + (line.get(name) instanceof Number value
                ? ResultWriter.formatNumber(value.doubleValue()) : "-")));
        return String.join(", ", parts);
    }

    /** The unit of each fitted value in full; the names of values end with an abbreviation of it. */
    private static Map<String, String> units(Slope slope) {
        Map<String, String> units = new LinkedHashMap<>();
        slope.fittedValues().forEach(name -> units.put(name, name.endsWith("_us") ? "microseconds"
                : name.endsWith("_ms") ? "milliseconds" : name.endsWith("_mb") ? "megabytes (2^20 bytes)"
                : name.endsWith("_bytes_s") ? "bytes a second" : name.endsWith("share") ? "cores" : "bytes"));
        return units;
    }

    private static void reportSlope(Slope slope, List<Integer> measuredSizes, Map<String, Series> series, Object jvm,
            ResultWriter results) throws Exception {
        List<List<Object>> rows = new ArrayList<>();
        for (int size : measuredSizes) {
            List<Object> row = new ArrayList<>(List.of(size));
            series.values().forEach(valueSeries -> row.add(valueSeries.median(size)));
            rows.add(row);
        }
        List<String> headers = new ArrayList<>(List.of("size"));
        headers.addAll(series.keySet());
        results.printTable(slope.name() + ": by " + slope.sizeMeaning() + " (medians)", headers, rows);
        List<List<Object>> fits = new ArrayList<>();
        for (Map.Entry<String, Series> entry : series.entrySet()) {
            Optional<Fit> fit = entry.getValue().fit();
            fits.add(List.of(entry.getKey(), fit.map(Fit::describe).orElse("fewer than two sizes were measured")));
            if (fit.isPresent()) {
                results.writeLine("fit", fitLine(slope, measuredSizes, entry.getKey(), fit.get(), jvm));
            }
        }
        results.printTable("", List.of("figure", "growth"), fits);
    }

    private static Map<String, Object> fitLine(Slope slope, List<Integer> measuredSizes, String name, Fit fit,
            Object jvm) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("slope", slope.name());
        line.put("figure", name);
        line.put("growth", fit.growth().toString());
        line.put("exponent", fit.exponent());
        line.put("base", fit.base());
        line.put("factor", fit.factor());
        line.put("residual", fit.residual());
        line.put("unit", units(slope).get(name));
        line.put("sizes", measuredSizes);
        line.put("jvm", jvm);
        return line;
    }
}
