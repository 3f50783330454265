package kestreldeal.scale.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import kestreldeal.scale.ResultWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Simulates fleets of several sizes, and shows how their total load grows with the number of senders that share the
 * destinations.
 */
@Command(name = "fleet", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Simulates a fleet, which is many instances of the decision module on one simulated clock, and"
                + " checks invariants. Exits with code 1 at the first violation.")
public final class FleetCommand implements Callable<Integer> {
    /** Generous estimates of the heap needed for each endpoint of each sender, for each sender, and for the rest. */
    private static final long BYTES_PER_ENTRY = 1200;
    private static final long BYTES_PER_SENDER = 50_000;
    private static final long BYTES_BASE = 100_000_000;
    /** Mean number of endpoints of a destination, including replaced ones. */
    private static final double ENDPOINTS_PER_DESTINATION = 1.8;
    private static final double PROGRESS_INTERVAL_NANOS = 5e9;
    private static final int MAX_SENDERS = 10_000;

    /**
     * Columns of the table. Among them: "away", requests rejected at capacity or without a sender that is up; "over",
     * recoveries with a window over its load budget; "told", those of them that are mostly due to senders that had
     * learned of the outage; "worst", highest ratio of calls to the load budget; "fell", collapses.
     */
    private static final List<String> TABLE_HEADERS = List.of("senders", "asked", "in time", "late", "refused",
            "failed", "away", "calls", "calls refused", "trials", "copies", "wasted", "returns", "over", "told",
            "worst", "calls/most", "fell", "propagation ms", "after drain");

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..*", paramLabel = "SCENARIO",
            description = "Injected faults: ${COMPLETION-CANDIDATES}. Default: all.")
    private List<Scenario> scenarios = new ArrayList<>();

    @Option(names = "--senders", split = ",", defaultValue = "10,30,100,300,1000",
            description = "Numbers of senders that share all destinations. Default: ${DEFAULT-VALUE}.")
    private List<Integer> senders;

    @Option(names = "--destinations", defaultValue = "30",
            description = "Number of destinations. Default: ${DEFAULT-VALUE}.")
    private int destinations;

    @Option(names = "--rate", defaultValue = "4", description = "Mean messages per second for each destination, from"
            + " all senders together. Default: ${DEFAULT-VALUE}.")
    private double rate;

    @Option(names = "--rate-a-sender", paramLabel = "RATE", description = "Messages per second of each sender,"
            + " instead of --rate: the load of a destination then grows with the number of senders.")
    private Optional<Double> ratePerSender = Optional.empty();

    @Option(names = "--seconds", defaultValue = "120",
            description = "Simulated seconds in which clients submit messages. Default: ${DEFAULT-VALUE}.")
    private double seconds;

    @Option(names = "--seed", defaultValue = "1",
            description = "Seed of all random numbers. Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--no-falls", description = "Recovering destinations do not collapse when they get more calls than"
            + " their load budget, so that the whole worst window is seen.")
    private boolean noCollapse;

    @Option(names = "--most-real-seconds", defaultValue = "600",
            description = "Aborts after this many seconds of real time. Default: ${DEFAULT-VALUE}.")
    private double mostRealSeconds;

    @Option(names = "--out", paramLabel = "FILE", description = "File for the results, one JSON object per line.")
    private Optional<Path> out = Optional.empty();

    private final long startNanos = System.nanoTime();

    /** The run has used up its real time. */
    private static final class TimeLimitExceededException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Runs each scenario with each number of senders. */
    @Override
    public Integer call() throws IOException {
        validateOptions();
        List<Scenario> selected = scenarios.isEmpty() ? List.of(Scenario.values()) : scenarios;
        PrintWriter err = spec.commandLine().getErr();
        try (ResultWriter results = ResultWriter.open(out, "fleet", seed, senders)) {
            for (Scenario scenario : selected) {
                runScenario(scenario, results);
            }
            return CommandLine.ExitCode.OK;
        } catch (InvariantViolationException e) {
            err.println(e.getMessage());
        } catch (TimeLimitExceededException e) {
            err.println("aborted: the run takes more than " + formatPlain(mostRealSeconds) + " s of real time; use"
                    + " fewer senders, destinations or seconds, or a higher --most-real-seconds");
        }
        return CommandLine.ExitCode.SOFTWARE;
    }

    private void validateOptions() {
        require(!senders.isEmpty() && senders.stream().allMatch(n -> n >= 1 && n <= MAX_SENDERS),
                "--senders must be numbers from 1 to " + MAX_SENDERS);
        require(destinations >= 1, "--destinations must be at least 1");
        require(isValidRate(rate), "--rate must be above 0");
        require(ratePerSender.map(FleetCommand::isValidRate).orElse(true), "--rate-a-sender must be above 0");
        require(seconds >= 1 && seconds <= 86_400, "--seconds must be from 1 to 86400");
        require(mostRealSeconds > 0, "--most-real-seconds must be above 0");
        long entries = (long) (destinations * ENDPOINTS_PER_DESTINATION);
        int maxSenderCount = senders.stream().mapToInt(n -> n).max().orElseThrow();
        long neededBytes = BYTES_BASE + maxSenderCount * (BYTES_PER_SENDER + entries * BYTES_PER_ENTRY);
        require(neededBytes <= Runtime.getRuntime().maxMemory(), String.format(Locale.ROOT, "%d senders with %d"
                + " destinations need about %d MB of heap, but -Xmx allows only %d MB", maxSenderCount, destinations,
                neededBytes >> 20, Runtime.getRuntime().maxMemory() >> 20));
    }

    private static boolean isValidRate(double rate) {
        return rate > 0 && rate < Double.POSITIVE_INFINITY;
    }

    private void require(boolean holds, String message) {
        if (!holds) {
            throw new CommandLine.ParameterException(spec.commandLine(), message);
        }
    }

    private void runScenario(Scenario scenario, ResultWriter results) throws IOException {
        List<List<?>> rows = new ArrayList<>();
        for (int senderCount : senders) {
            double destinationRate = ratePerSender.map(each -> each * senderCount / destinations).orElse(rate);
            FleetSettings settings = new FleetSettings(senderCount, destinations, destinationRate, seconds, seed,
                    scenario, !noCollapse, FleetModel.STANDARD);
            long runStartNanos = System.nanoTime();
            FleetSimulation fleet = new FleetSimulation(settings);
            Counts counts = fleet.run(progressObserver(scenario + " with " + senderCount + " senders"));
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("scenario", scenario.toString());
            line.put("senders", senderCount);
            line.put("destinations", destinations);
            line.put("endpoints", fleet.endpoints().size());
            line.put("rate", destinationRate);
            line.put("seconds", seconds);
            line.put("falls", !noCollapse);
            line.putAll(counts.values());
            line.put("events", fleet.clock().eventCount());
            line.put("realMs", (System.nanoTime() - runStartNanos) / 1_000_000);
            results.writeLine("fleet", line);
            rows.add(row(senderCount, counts));
        }
        String load = ratePerSender.map(each -> formatPlain(each) + " messages/s per sender")
                .orElse(formatPlain(rate) + " messages/s per destination");
        results.printTable(String.format(Locale.ROOT, "%s: %d destinations, %s, %s s, seed %d", scenario, destinations,
                load, formatPlain(seconds), seed), TABLE_HEADERS, rows);
    }

    private static List<Object> row(int senderCount, Counts counts) {
        DestinationRecovery.LoadWindow worst = counts.worstWindow();
        return List.of(senderCount, counts.requests, share(counts.deliveredInTime, counts.requests),
                share(counts.deliveredLate, counts.requests), share(counts.rejectedBySenders, counts.requests),
                share(counts.failed, counts.requests),
                share(counts.rejectedAtCapacity + counts.noSenderReached, counts.requests), counts.callsWritten,
                counts.refusedCallShare(), counts.probes, counts.hedgingShare(), counts.wastedShare(),
                counts.worstWindows.size(), counts.recoveriesOverBudget(),
                counts.recoveriesOverBudgetByInformedSenders, worst.ratio(),
                String.format(Locale.ROOT, "%d/%.1f", worst.calls(), worst.maxCalls()), counts.collapses,
                counts.fullPropagationMs.getMaxValue(), counts.attemptsAfterDrainNotification);
    }

    private static double share(long part, long total) {
        return (double) part / Math.max(1, total);
    }

    private static String formatPlain(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    /** Prints the progress of a run now and then, and aborts it when its real time is used up. */
    private SimulationClock.Observer progressObserver(String runName) {
        double[] reportedAtNanos = {System.nanoTime()};
        return (nowMs, eventCount) -> {
            long realNanos = System.nanoTime();
            if (realNanos - startNanos > mostRealSeconds * 1e9) {
                throw new TimeLimitExceededException();
            }
            if (realNanos - reportedAtNanos[0] > PROGRESS_INTERVAL_NANOS) {
                reportedAtNanos[0] = realNanos;
                ResultWriter.printProgress(String.format(Locale.ROOT, "%s: %.0f s, %d events", runName, nowMs / 1000,
                        eventCount));
            }
        };
    }
}
