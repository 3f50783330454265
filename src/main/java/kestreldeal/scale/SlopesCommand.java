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
    private static final int MOST_REPEATS = 20;
    private static final int MOST = 1_000_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--only", split = ",", paramLabel = "SLOPE", description = "slopes to measure; default: all")
    private List<String> only = List.of();

    @Option(names = "--sizes", split = ",", paramLabel = "N", description = "sizes that replace each slope's own")
    private List<Integer> sizes = List.of();

    @Option(names = "--repeats", description = "runs at each size")
    private int repeats = 3;

    @Option(names = "--seed", description = "seed of all random numbers")
    private long seed = 1;

    @Option(names = "--out", paramLabel = "FILE", description = "file for the results, one JSON object per line")
    private Path out;

    @Option(names = "--quick", description = "small sizes, one short run each")
    private boolean quick;

    @Option(names = "--limit-s", paramLabel = "S", description = "start no further run after this many seconds")
    private int limitS = 3600;

    /** The repeated measurements of one value, by size. */
    private static final class Series {
        private final Map<Integer, List<Double>> bySize = new TreeMap<>();

        void add(int size, double value) {
            bySize.computeIfAbsent(size, s -> new ArrayList<>()).add(value);
        }

        double median(int size) {
            List<Double> sorted = bySize.getOrDefault(size, List.of()).stream().sorted().toList();
            if (sorted.isEmpty()) {
                return Double.NaN;
            }
            return (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
        }

        /** Fits all runs and not only the medians, so that the residual includes the scatter between runs. */
        Optional<Fit> fit() {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            bySize.forEach((size, values) -> values.stream().filter(value -> value > 0).forEach(value -> {
                x.add((double) size);
                y.add(value);
            }));
            return x.stream().distinct().count() < 2 ? Optional.empty() : Optional.of(Fit.of(x, y));
        }
    }

    /** All slopes that can be measured. */
    static List<Slope> slopes() {
        return Stream.of(ModuleSlopes.all(), SenderSlopes.all()).flatMap(List::stream).toList();
    }

    @Override
    public Integer call() throws Exception {
        List<Slope> chosen = check();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(limitS);
        MeasurementSetup setup = MeasurementSetup.here(seed, quick);
        try (ResultWriter results = ResultWriter.open(Optional.ofNullable(out), "slopes", seed, sizes)) {
            for (Slope slope : chosen) {
                run(slope, setup, results, until);
            }
        }
        return 0;
    }

    private List<Slope> check() {
        List<String> known = slopes().stream().map(Slope::name).toList();
        only.stream().filter(name -> !known.contains(name)).findFirst().ifPresent(name ->
                refuse("no slope '" + name + "': the slopes are " + String.join(", ", known)));
        if (repeats < 1 || repeats > MOST_REPEATS) {
            refuse("--repeats must be from 1 to " + MOST_REPEATS);
        }
        if (sizes.stream().anyMatch(size -> size < 1 || size > MOST)) {
            refuse("--sizes must be from 1 to " + MOST);
        }
        if (!sizes.isEmpty() && sizes.stream().distinct().count() < 2) {
            refuse("--sizes needs at least two different sizes, or growth can't be fitted");
        }
        if (limitS < 1) {
            refuse("--limit-s must be at least 1");
        }
        if (!Files.isReadable(MeasurementSetup.JAR)) {
            refuse("no " + MeasurementSetup.JAR + " here: run this from the root of a checkout after the build");
        }
        return slopes().stream().filter(slope -> only.isEmpty() || only.contains(slope.name())).toList();
    }

    private void refuse(String why) {
        throw new ParameterException(spec.commandLine(), why);
    }

    private void run(Slope slope, MeasurementSetup setup, ResultWriter results, long until) throws Exception {
        List<Integer> at = !sizes.isEmpty() ? sizes : quick ? slope.quick() : slope.sizes();
        Map<String, Series> series = new LinkedHashMap<>();
        Object jvm = setup.options();
        slope.fitted().forEach(figure -> series.put(figure, new Series()));
        // Sizes are the inner loop, so that a drift over time affects all sizes alike.
        for (int repeat = 0; repeat < (quick ? 1 : repeats); repeat++) {
            for (int size : at) {
                Map<String, Object> line = once(slope, setup, size, repeat, until);
                results.writeLine("point", line);
                jvm = line.getOrDefault("jvm", jvm);
                series.forEach((figure, s) -> {
                    if (line.get(figure) instanceof Number value) {
                        s.add(size, value.doubleValue());
                    }
                });
            }
        }
        tell(slope, at, series, jvm, results);
    }

    private Map<String, Object> once(Slope slope, MeasurementSetup setup, int size, int repeat, long until) throws Exception {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("slope", slope.name());
        line.put("size", size);
        line.put("repeat", repeat);
        line.put("by", slope.by());
        line.put("unit", units(slope));
        line.put("pinned", !setup.pin().isEmpty());
        line.put("sizes", sizes.isEmpty() ? quick ? slope.quick() : slope.sizes() : sizes);
        if (System.nanoTime() > until) {
            line.put("failed", "not run: the time limit set by --limit-s was reached");
        } else {
            try {
                line.putAll(slope.measurement().measure(setup, size, seed + repeat));
            } catch (Slope.MeasurementFailedException e) {
                line.put("failed", e.getMessage());
            }
        }
        Object said = line.containsKey("failed") ? line.get("failed") : figures(slope, line);
        ResultWriter.printProgress(slope.name() + " " + size + " (" + (repeat + 1) + "): " + said);
        return line;
    }

    private static String figures(Slope slope, Map<String, Object> line) {
        List<String> parts = new ArrayList<>();
        slope.fitted().forEach(figure -> parts.add(figure + " " + (line.get(figure) instanceof Number value
                ? ResultWriter.number(value.doubleValue()) : "-")));
        return String.join(", ", parts);
    }

    /** The unit of each fitted value in full; the names of values end with an abbreviation of it. */
    private static Map<String, String> units(Slope slope) {
        Map<String, String> units = new LinkedHashMap<>();
        slope.fitted().forEach(figure -> units.put(figure, figure.endsWith("_us") ? "microseconds"
                : figure.endsWith("_ms") ? "milliseconds" : figure.endsWith("_mb") ? "megabytes (2^20 bytes)"
                : figure.endsWith("_bytes_s") ? "bytes a second" : figure.endsWith("share") ? "cores" : "bytes"));
        return units;
    }

    private static void tell(Slope slope, List<Integer> at, Map<String, Series> series, Object jvm,
            ResultWriter results)
            throws Exception {
        List<List<Object>> rows = new ArrayList<>();
        for (int size : at) {
            List<Object> row = new ArrayList<>(List.of(size));
            series.values().forEach(s -> row.add(s.median(size)));
            rows.add(row);
        }
        List<String> heads = new ArrayList<>(List.of("size"));
        heads.addAll(series.keySet());
        results.printTable(slope.name() + ": by " + slope.by() + " (medians)", heads, rows);
        List<List<Object>> fits = new ArrayList<>();
        for (Map.Entry<String, Series> figure : series.entrySet()) {
            Optional<Fit> fit = figure.getValue().fit();
            fits.add(List.of(figure.getKey(), fit.map(Fit::words).orElse("fewer than two sizes were measured")));
            if (fit.isPresent()) {
                results.writeLine("fit", fitLine(slope, at, figure.getKey(), fit.get(), jvm));
            }
        }
        results.printTable("", List.of("figure", "growth"), fits);
    }

    private static Map<String, Object> fitLine(Slope slope, List<Integer> at, String figure, Fit fit,
            Object jvm) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("slope", slope.name());
        line.put("figure", figure);
        line.put("growth", fit.growth().toString());
        line.put("exponent", fit.exponent());
        line.put("base", fit.base());
        line.put("factor", fit.factor());
        line.put("residual", fit.residual());
        line.put("unit", units(slope).get(figure));
        line.put("sizes", at);
        line.put("jvm", jvm);
        return line;
    }
}
