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
    private static final long BYTES_AN_ENTRY = 1200;
    private static final long BYTES_A_SENDER = 50_000;
    private static final long BYTES_BESIDES = 100_000_000;
    /** Mean number of endpoints of a destination, including replaced ones. */
    private static final double ENDPOINTS_A_DESTINATION = 1.8;
    private static final double PROGRESS_NANOS = 5e9;
    private static final int MOST_SENDERS = 10_000;

    /**
     * Columns of the table. Among them: "away", requests rejected at capacity or without a sender that is up; "over",
     * recoveries with a window over its load budget; "told", those of them that are mostly due to senders that had
     * learned of the outage; "worst", highest ratio of calls to the load budget; "fell", collapses.
     */
    private static final List<String> HEADS = List.of("senders", "asked", "in time", "late", "refused", "failed",
            "away", "calls", "calls refused", "trials", "copies", "wasted", "returns", "over", "told", "worst",
            "calls/most", "fell", "propagation ms", "after drain");

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
    private Optional<Double> rateASender = Optional.empty();

    @Option(names = "--seconds", defaultValue = "120",
            description = "Simulated seconds in which clients submit messages. Default: ${DEFAULT-VALUE}.")
    private double seconds;

    @Option(names = "--seed", defaultValue = "1",
            description = "Seed of all random numbers. Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--no-falls", description = "Recovering destinations do not collapse when they get more calls than"
            + " their load budget, so that the whole worst window is seen.")
    private boolean noFalls;

    @Option(names = "--most-real-seconds", defaultValue = "600",
            description = "Aborts after this many seconds of real time. Default: ${DEFAULT-VALUE}.")
    private double mostRealSeconds;

    @Option(names = "--out", paramLabel = "FILE", description = "File for the results, one JSON object per line.")
    private Optional<Path> out = Optional.empty();

    private final long begun = System.nanoTime();

    /** The run has used up its real time. */
    private static final class TimeLimitExceededException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Runs each scenario with each number of senders. */
    @Override
    public Integer call() throws IOException {
        check();
        List<Scenario> played = scenarios.isEmpty() ? List.of(Scenario.values()) : scenarios;
        PrintWriter err = spec.commandLine().getErr();
        try (ResultWriter results = ResultWriter.open(out, "fleet", seed, senders)) {
            for (Scenario scenario : played) {
                play(scenario, results);
            }
            return CommandLine.ExitCode.OK;
        } catch (InvariantViolationException e) {
            err.println(e.getMessage());
        } catch (TimeLimitExceededException e) {
            err.println("aborted: the run takes more than " + plain(mostRealSeconds) + " s of real time; use fewer"
                    + " senders, destinations or seconds, or a higher --most-real-seconds");
        }
        return CommandLine.ExitCode.SOFTWARE;
    }

    private void check() {
        require(!senders.isEmpty() && senders.stream().allMatch(n -> n >= 1 && n <= MOST_SENDERS),
                "--senders must be numbers from 1 to " + MOST_SENDERS);
        require(destinations >= 1, "--destinations must be at least 1");
        require(isRate(rate), "--rate must be above 0");
        require(rateASender.map(FleetCommand::isRate).orElse(true), "--rate-a-sender must be above 0");
        require(seconds >= 1 && seconds <= 86_400, "--seconds must be from 1 to 86400");
        require(mostRealSeconds > 0, "--most-real-seconds must be above 0");
        long entries = (long) (destinations * ENDPOINTS_A_DESTINATION);
        int most = senders.stream().mapToInt(n -> n).max().orElseThrow();
        long needed = BYTES_BESIDES + most * (BYTES_A_SENDER + entries * BYTES_AN_ENTRY);
        require(needed <= Runtime.getRuntime().maxMemory(), String.format(Locale.ROOT, "%d senders with %d"
                + " destinations need about %d MB of heap, but -Xmx allows only %d MB", most, destinations,
                needed >> 20, Runtime.getRuntime().maxMemory() >> 20));
    }

    private static boolean isRate(double rate) {
        return rate > 0 && rate < Double.POSITIVE_INFINITY;
    }

    private void require(boolean holds, String text) {
        if (!holds) {
            throw new CommandLine.ParameterException(spec.commandLine(), text);
        }
    }

    private void play(Scenario scenario, ResultWriter results) throws IOException {
        List<List<?>> rows = new ArrayList<>();
        for (int size : senders) {
            double rateOfEach = rateASender.map(each -> each * size / destinations).orElse(rate);
            FleetSettings settings = new FleetSettings(size, destinations, rateOfEach, seconds, seed, scenario,
                    !noFalls, FleetModel.STANDARD);
            long startedAt = System.nanoTime();
            FleetSimulation fleet = new FleetSimulation(settings);
            Counts counts = fleet.run(watch(scenario + " with " + size + " senders"));
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("scenario", scenario.toString());
            line.put("senders", size);
            line.put("destinations", destinations);
            line.put("endpoints", fleet.endpoints().size());
            line.put("rate", rateOfEach);
            line.put("seconds", seconds);
            line.put("falls", !noFalls);
            line.putAll(counts.figures());
            line.put("events", fleet.world().events());
            line.put("realMs", (System.nanoTime() - startedAt) / 1_000_000);
            results.writeLine("fleet", line);
            rows.add(row(size, counts));
        }
        String load = rateASender.map(each -> plain(each) + " messages/s per sender")
                .orElse(plain(rate) + " messages/s per destination");
        results.printTable(String.format(Locale.ROOT, "%s: %d destinations, %s, %s s, seed %d", scenario, destinations, load,
                plain(seconds), seed), HEADS, rows);
    }

    private static List<Object> row(int size, Counts c) {
        DestinationRecovery.LoadWindow worst = c.worstWindow();
        return List.of(size, c.asked, share(c.inTime, c.asked), share(c.late, c.asked),
                share(c.refusedToClients, c.asked), share(c.failed, c.asked),
                share(c.turnedAway + c.unanswered, c.asked), c.callsWritten, c.refusedShare(), c.trials, c.copyShare(),
                c.wastedShare(), c.coldReturns.size(), c.overBudget(), c.toldOverBudget, worst.ratio(),
                String.format(Locale.ROOT, "%d/%.1f", worst.calls(), worst.most()), c.falls,
                c.inForceAtAllMs.getMaxValue(), c.callsAfterWord);
    }

    private static double share(long part, long all) {
        return (double) part / Math.max(1, all);
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    /** Prints the progress of a run now and then, and aborts it when its real time is used up. */
    private SimulationClock.Observer watch(String run) {
        double[] toldAt = {System.nanoTime()};
        return (now, events) -> {
            long real = System.nanoTime();
            if (real - begun > mostRealSeconds * 1e9) {
                throw new TimeLimitExceededException();
            }
            if (real - toldAt[0] > PROGRESS_NANOS) {
                toldAt[0] = real;
                ResultWriter.printProgress(String.format(Locale.ROOT, "%s: %.0f s, %d events", run, now / 1000, events));
            }
        };
    }
}
