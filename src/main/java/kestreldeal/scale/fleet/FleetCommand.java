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
import kestreldeal.scale.Results;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays hollow fleets of several sizes, and shows how their sum grows with the senders that share a destination. */
@Command(name = "fleet", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Plays a hollow fleet, which is many instances of the decision module on one simulated clock, and"
                + " checks the rules. Ends with 1 at the first rule that does not hold.")
public final class FleetCommand implements Callable<Integer> {
    /** What an endpoint known to one sender takes, with room to spare, and what is there besides. */
    private static final long BYTES_AN_ENTRY = 1200;
    private static final long BYTES_A_SENDER = 50_000;
    private static final long BYTES_BESIDES = 100_000_000;
    /** Endpoints a destination, replaced ones counted. */
    private static final double ENDPOINTS_A_DESTINATION = 1.8;
    private static final double PROGRESS_NANOS = 5e9;
    private static final int MOST_SENDERS = 10_000;

    private static final List<String> HEADS = List.of("senders", "asked", "in time", "late", "refused", "failed",
            "away", "calls", "calls refused", "trials", "copies", "wasted", "returns", "over", "told", "worst",
            "calls/most", "fell", "in force ms", "after word");

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..*", paramLabel = "SCENARIO",
            description = "What goes wrong: ${COMPLETION-CANDIDATES}. Default: all.")
    private List<Scenario> scenarios = new ArrayList<>();

    @Option(names = "--senders", split = ",", defaultValue = "10,30,100,300,1000",
            description = "Numbers of senders that share all destinations. Default: ${DEFAULT-VALUE}.")
    private List<Integer> senders;

    @Option(names = "--destinations", defaultValue = "30", description = "Default: ${DEFAULT-VALUE}.")
    private int destinations;

    @Option(names = "--rate", defaultValue = "4", description = "Messages a second for a destination, in the mean and"
            + " from all senders together. Default: ${DEFAULT-VALUE}.")
    private double rate;

    @Option(names = "--rate-a-sender", paramLabel = "RATE", description = "Messages a second for each sender, instead"
            + " of --rate: destinations then grow with the senders.")
    private Optional<Double> rateASender = Optional.empty();

    @Option(names = "--seconds", defaultValue = "120",
            description = "Simulated seconds in which messages come. Default: ${DEFAULT-VALUE}.")
    private double seconds;

    @Option(names = "--seed", defaultValue = "1",
            description = "Everything is drawn from it. Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--no-falls", description = "Cold destinations stand what is over their budget, so that the worst"
            + " window is seen whole.")
    private boolean noFalls;

    @Option(names = "--most-real-seconds", defaultValue = "600",
            description = "Ends with a message after so many seconds of real time. Default: ${DEFAULT-VALUE}.")
    private double mostRealSeconds;

    @Option(names = "--out", paramLabel = "FILE", description = "Results go there, one JSON object a line.")
    private Optional<Path> out = Optional.empty();

    private final long begun = System.nanoTime();

    /** The run takes more real time than it may. */
    private static final class OutOfTime extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Plays each scenario with each number of senders. */
    @Override
    public Integer call() throws IOException {
        check();
        List<Scenario> played = scenarios.isEmpty() ? List.of(Scenario.values()) : scenarios;
        PrintWriter err = spec.commandLine().getErr();
        try (Results results = Results.open(out, "fleet", seed, senders)) {
            for (Scenario scenario : played) {
                play(scenario, results);
            }
            return CommandLine.ExitCode.OK;
        } catch (Broken e) {
            err.println(e.getMessage());
        } catch (OutOfTime e) {
            err.println("stopped: it takes more than " + plain(mostRealSeconds) + " s of real time; ask for"
                    + " fewer senders, destinations or seconds, or for more with --most-real-seconds");
        }
        return CommandLine.ExitCode.SOFTWARE;
    }

    private void check() {
        require(!senders.isEmpty() && senders.stream().allMatch(n -> n >= 1 && n <= MOST_SENDERS),
                "--senders are numbers from 1 to " + MOST_SENDERS);
        require(destinations >= 1, "--destinations is 1 at least");
        require(isRate(rate), "--rate is above 0");
        require(rateASender.map(FleetCommand::isRate).orElse(true), "--rate-a-sender is above 0");
        require(seconds >= 1 && seconds <= 86_400, "--seconds is from 1 to 86400");
        require(mostRealSeconds > 0, "--most-real-seconds is above 0");
        long entries = (long) (destinations * ENDPOINTS_A_DESTINATION);
        int most = senders.stream().mapToInt(n -> n).max().orElseThrow();
        long needed = BYTES_BESIDES + most * (BYTES_A_SENDER + entries * BYTES_AN_ENTRY);
        require(needed <= Runtime.getRuntime().maxMemory(), String.format(Locale.ROOT, "%d senders with %d"
                + " destinations need some %d MB of heap, and -Xmx allows %d MB", most, destinations,
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

    private void play(Scenario scenario, Results results) throws IOException {
        List<List<?>> rows = new ArrayList<>();
        for (int size : senders) {
            double rateOfEach = rateASender.map(each -> each * size / destinations).orElse(rate);
            FleetSettings settings = new FleetSettings(size, destinations, rateOfEach, seconds, seed, scenario,
                    !noFalls, Model.STANDARD);
            long startedAt = System.nanoTime();
            Fleet fleet = new Fleet(settings);
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
            results.line("fleet", line);
            rows.add(row(size, counts));
        }
        String load = rateASender.map(each -> plain(each) + " messages/s a sender")
                .orElse(plain(rate) + " messages/s for each");
        results.table(String.format(Locale.ROOT, "%s: %d destinations, %s, %s s, seed %d", scenario, destinations, load,
                plain(seconds), seed), HEADS, rows);
    }

    private static List<Object> row(int size, Counts c) {
        ColdReturn.Window worst = c.worstWindow();
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

    /** Tells how far a run is now and then, and ends it when it has taken too long. */
    private World.Watch watch(String run) {
        double[] toldAt = {System.nanoTime()};
        return (now, events) -> {
            long real = System.nanoTime();
            if (real - begun > mostRealSeconds * 1e9) {
                throw new OutOfTime();
            }
            if (real - toldAt[0] > PROGRESS_NANOS) {
                toldAt[0] = real;
                Results.progress(String.format(Locale.ROOT, "%s: %.0f s, %d events", run, now / 1000, events));
            }
        };
    }
}
