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

/** Runs the soak test with consecutive seeds, or measures how resource use grows with 16 times as many endpoints. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = "Runs real senders on loopback, injects"
        + " overlapping faults and checks the delivery rules. Must be run from the root of a checkout that is built.")
public final class SoakCommand implements Callable<Integer> {
    private static final Path SENDER_JAR = Path.of("target", "kestreldeal.jar");
    private static final Path CLASS_ARCHIVE = Path.of("target", "sender.jsa");
    private static final int GROWTH_FACTOR = 16;
    private static final int MAX_REPORT_LINES = 200;

    @Option(names = "--senders", defaultValue = "24",
            description = "Number of sender processes. Default: ${DEFAULT-VALUE}.")
    private int senders;
    @Option(names = "--destinations", defaultValue = "12",
            description = "Number of destinations. Default: ${DEFAULT-VALUE}.")
    private int destinations;
    @Option(names = "--endpoints-each", defaultValue = "2",
            description = "Endpoints of each destination. Default: ${DEFAULT-VALUE}.")
    private int endpointsEach;
    @Option(names = "--rate", defaultValue = "10",
            description = "Mean messages per second for each sender. Default: ${DEFAULT-VALUE}.")
    private double rate;
    @Option(names = "--seconds", defaultValue = "40",
            description = "Seconds in which clients submit messages in each run. Default: ${DEFAULT-VALUE}.")
    private int seconds;
    @Option(names = "--seed", defaultValue = "1", description = "Seed of the first run. Default: ${DEFAULT-VALUE}.")
    private long seed;
    @Option(names = "--runs", defaultValue = "1",
            description = "Number of runs, with consecutive seeds. Default: ${DEFAULT-VALUE}.")
    private int runs;
    @Option(names = "--no-faults", description = "Inject no failures of system calls, as is also the case without a C"
            + " compiler; other faults are still injected.")
    private boolean noSystemCallFaults;
    @Option(names = "--calm", description = "Inject no faults.")
    private boolean calm;
    @Option(names = "--growth", description = "Instead of the soak test, measure resource use in two runs without"
            + " faults: with the given number of endpoints, and with 16 times as many.")
    private boolean measureGrowth;
    @Option(names = "--out", description = "File for the results, one JSON object per line.")
    private Optional<Path> out = Optional.empty();

    /** Returns 0 if no rule was broken, else 1; a measurement of growth always returns 0. */
    @Override
    public Integer call() throws Exception {
        Path directory = Files.createTempDirectory("soak");
        Optional<Path> faultLibrary = noSystemCallFaults || calm || measureGrowth ? Optional.empty()
                : FaultLibrary.build(directory);
        try (ResultWriter results = ResultWriter.open(out, "soak", seed, List.of(senders))) {
            return measureGrowth ? runGrowth(directory, results) : runSoak(directory, faultLibrary, results);
        }
    }

    private SoakSettings settings(Path directory, long runSeed, int endpointsPerDestination, boolean injectFaults,
            boolean injectSystemCallFaults) throws IOException {
        return new SoakSettings(senders, destinations, endpointsPerDestination, rate, seconds, runSeed, injectFaults,
                injectSystemCallFaults,
                Files.createDirectories(directory.resolve("run-" + runSeed + "-" + endpointsPerDestination)));
    }

    private int runSoak(Path directory, Optional<Path> faultLibrary, ResultWriter results) throws Exception {
        long breachCount = 0;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            SoakSettings settings = settings(directory, runSeed, endpointsEach, !calm, faultLibrary.isPresent());
            try (SoakRun run = new SoakRun(settings, senderCommand())) {
                Map<String, Object> summary = run.run(faultLibrary);
                results.writeLine("run", summary);
                System.out.println(summary);
                List<String> reportLines = run.formatBreaches();
                reportLines.stream().limit(MAX_REPORT_LINES).forEach(System.out::println);
                breachCount += (Integer) summary.get("breaches");
            }
        }
        System.out.println(breachCount + " breaches; logs and traces are in " + directory);
        return breachCount == 0 ? 0 : 1;
    }

    private int runGrowth(Path directory, ResultWriter results) throws Exception {
        Map<Integer, Map<String, Double>> resourceUseByFactor = new LinkedHashMap<>();
        for (int factor : new int[] {1, GROWTH_FACTOR}) {
            SoakSettings settings = settings(directory, seed, endpointsEach * factor, false, false);
            try (SoakRun run = new SoakRun(settings, senderCommand())) {
                Map<String, Object> summary = run.run(Optional.empty());
                Map<String, Double> meanUse = run.meanResourceUse();
                meanUse.put("served", ((Long) summary.get("delivered")).doubleValue()
                        / (Long) summary.get("handed_in"));
                resourceUseByFactor.put(factor, meanUse);
                Map<String, Object> result = new LinkedHashMap<>(summary);
                result.putAll(meanUse);
                results.writeLine("growth", result);
                System.out.println(result);
            }
        }
        resourceUseByFactor.get(1).forEach((name, baseValue) -> System.out.printf(
                "%s: %.2f, with 16 times as many endpoints %.2f (factor %.2f)%n", name, baseValue,
                resourceUseByFactor.get(GROWTH_FACTOR).get(name),
                resourceUseByFactor.get(GROWTH_FACTOR).get(name) / baseValue));
        return 0;
    }

    /** Starts a sender in the same way as the deployment does. */
    private static List<String> senderCommand() throws IOException {
        List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "@deploy/java.options"));
        if (Files.isReadable(CLASS_ARCHIVE)) {
            command.add("-XX:SharedArchiveFile=" + CLASS_ARCHIVE);
        }
        command.addAll(List.of("-jar", SENDER_JAR.toString(), "serve", "--alone"));
        return command;
    }
}
