package kestreldeal.scale.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import kestreldeal.scale.ResultWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the soak test, seed after seed, or measures what sixteen times the endpoints cost. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = "Real senders on loopback under troubles that overlap, "
        + "judged by the rules. Run from the root of a checkout that is built.")
public final class SoakCommand implements Callable<Integer> {
    private static final Path JAR = Path.of("target", "kestreldeal.jar");
    private static final Path ARCHIVE = Path.of("target", "sender.jsa");
    private static final int GROWTH = 16;
    private static final int MOST_LINES = 200;

    @Option(names = "--senders", defaultValue = "24", description = "Processes (${DEFAULT-VALUE}).")
    private int senders;
    @Option(names = "--destinations", defaultValue = "12", description = "Partners (${DEFAULT-VALUE}).")
    private int destinations;
    @Option(names = "--endpoints-each", defaultValue = "2", description = "Endpoints of each partner (${DEFAULT-VALUE}).")
    private int endpointsEach;
    @Option(names = "--rate", defaultValue = "10", description = "Messages a second for each sender (${DEFAULT-VALUE}).")
    private double rate;
    @Option(names = "--seconds", defaultValue = "40", description = "Length of each run (${DEFAULT-VALUE}).")
    private int seconds;
    @Option(names = "--seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--runs", defaultValue = "1", description = "Runs, each with the next seed (${DEFAULT-VALUE}).")
    private int runs;
    @Option(names = "--no-faults", description = "System calls don't fail; without a C compiler they don't either.")
    private boolean noFaults;
    @Option(names = "--calm", description = "Nothing goes wrong.")
    private boolean calm;
    @Option(names = "--growth", description = "Two calm runs instead: with these endpoints, and with 16 times as many.")
    private boolean growth;
    @Option(names = "--out", description = "A file for the results, one JSON object a line.")
    private Optional<Path> out = Optional.empty();

    /** Returns 0 if no rule was broken, else 1. */
    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("soak");
        Optional<Path> library = noFaults || calm || growth ? Optional.empty() : Shim.build(folder);
        try (ResultWriter results = ResultWriter.open(out, "soak", seed, List.of(senders))) {
            return growth ? grow(folder, results) : soak(folder, library, results);
        }
    }

    private SoakSettings settings(Path folder, long runSeed, int each, boolean troubles, boolean faults) throws IOException {
        return new SoakSettings(senders, destinations, each, rate, seconds, runSeed, troubles, faults,
                Files.createDirectories(folder.resolve("run-" + runSeed + "-" + each)));
    }

    private int soak(Path folder, Optional<Path> library, ResultWriter results) throws Exception {
        long broken = 0;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            SoakSettings settings = settings(folder, runSeed, endpointsEach, !calm, library.isPresent());
            try (Soak soak = new Soak(settings, command())) {
                Map<String, Object> figures = soak.run(library);
                results.writeLine("run", figures);
                System.out.println(figures);
                List<String> report = soak.report();
                report.stream().limit(MOST_LINES).forEach(System.out::println);
                broken += (Integer) figures.get("breaches");
            }
        }
        System.out.println(broken + " breaches; logs and traces are in " + folder);
        return broken == 0 ? 0 : 1;
    }

    private int grow(Path folder, ResultWriter results) throws Exception {
        Map<Integer, Map<String, Double>> costs = new LinkedHashMap<>();
        for (int factor : new int[] {1, GROWTH}) {
            SoakSettings settings = settings(folder, seed, endpointsEach * factor, false, false);
            try (Soak soak = new Soak(settings, command())) {
                Map<String, Object> figures = soak.run(Optional.empty());
                Map<String, Double> means = soak.costs();
                means.put("served", ((Long) figures.get("delivered")).doubleValue() / (Long) figures.get("handed_in"));
                costs.put(factor, means);
                Map<String, Object> line = new LinkedHashMap<>(figures);
                line.putAll(means);
                results.writeLine("growth", line);
                System.out.println(line);
            }
        }
        costs.get(1).forEach((name, usual) -> System.out.printf("%s: %.2f, then %.2f (%.2f times)%n", name, usual,
                costs.get(GROWTH).get(name), costs.get(GROWTH).get(name) / usual));
        return 0;
    }

    /** As the deploy file starts a sender. */
    private static List<String> command() throws IOException {
        List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "@deploy/java.options"));
        if (Files.isReadable(ARCHIVE)) {
            command.add("-XX:SharedArchiveFile=" + ARCHIVE);
        }
        command.addAll(List.of("-jar", JAR.toString(), "serve", "--alone"));
        return command;
    }
}
