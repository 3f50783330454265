package kestreldeal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Time of a turn and of a change, and bytes of what is held, for the module and for its reference, the walk: to be run
 * by hand, as {@code java @deploy/java.options -cp target/test-classes:target/classes kestreldeal.LogicProbe}, with
 * a larger heap for the larger sizes. Prints medians in microseconds, and bytes each.
 */
final class LogicProbe {
    private static final int SLOTS = 50;
    /** Turns of a median: so many, unless they take too long; this many at least. */
    private static final int TURNS = 400;
    private static final int LEAST_TURNS = 5;
    private static final long LONGEST_NS = 500_000_000;

    private final boolean walk;
    private double now = 1000;
    private Relay relay;

    private LogicProbe(boolean walk) {
        this.walk = walk;
    }

    /** Arguments: sizes, 1000, 10000 and 100000 unless given. */
    public static void main(String[] args) {
        int[] sizes = args.length == 0 ? new int[] {1000, 10_000, 100_000}
                : Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
        for (boolean walk : new boolean[] {false, true}) {
            for (int round = 0; round < 2; round++) {
                for (int n : sizes) {
                    System.out.println((round == 0 ? "warm-up " : "") + (walk ? "walk " : "module ") + n + ": "
                            + new LogicProbe(walk).waiting(100, n) + "; " + new LogicProbe(walk).listed(n) + "; "
                            + new LogicProbe(walk).both(n));
                }
            }
        }
    }

    /** Messages that wait for so many destinations while all slots are taken. */
    private String waiting(int destinations, int n) {
        fresh();
        list(destinations, 2 * destinations);
        long before = used();
        take(n, destinations);
        relay.endTurn(now);
        double bytes = (double) (used() - before) / n;
        return String.format("waiting: turn %.1f us, %.0f bytes", median(() -> { }), bytes);
    }

    /** Endpoints of which none has traffic, 1.6 to a destination. */
    private String listed(int n) {
        fresh();
        long before = used();
        int destinations = n * 10 / 16;
        list(destinations, n);
        double bytes = (double) (used() - before) / n;
        return String.format("listed: turn %.1f us, change %.1f us, %.0f bytes", median(() -> { }),
                median(this::change), bytes);
    }

    /** As many endpoints as messages, 1.6 to a destination, each with messages waiting. */
    private String both(int n) {
        fresh();
        int destinations = n * 10 / 16;
        long before = used();
        list(destinations, n);
        take(n, destinations);
        relay.endTurn(now);
        double bytes = (double) (used() - before) / n;
        return String.format("both: turn %.1f us, change %.1f us, %.0f bytes for both", median(() -> { }),
                median(this::change), bytes);
    }

    private void fresh() {
        Relay.Settings settings = new Relay.Settings(LogicTest.CLASSES, List.of(new Relay.Kind(false, 1)), false,
                Relay.Decay.LINE, List.of(), 2, SLOTS, 12, true, true, 500, 15_000,
                new Relay.ColdStart(0.2, 12_000, 2, 1500));
        Silent silent = new Silent();
        relay = walk ? new WalkingLogic(settings, 1, silent) : new Logic(settings, 1, silent);
    }

    private void list(int destinations, int n) {
        List<Relay.Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            entries.add(new Relay.Endpoint(i, i % destinations, 0, 0, true, 0));
        }
        relay.endpoints(now, true, entries);
    }

    private void take(int n, int destinations) {
        for (int i = 0; i < n; i++) {
            relay.message(now, new Relay.Message(i, 0, 0, Optional.empty(), 16_000, i % destinations));
        }
    }

    private void change() {
        relay.endpoints(now, false, List.of(new Relay.Endpoint(0, 0, 0, 0, true, 0)));
    }

    private double median(Runnable event) {
        List<Long> times = new ArrayList<>();
        long begun = System.nanoTime();
        for (int i = 0; i < TURNS && (i < LEAST_TURNS || System.nanoTime() - begun < LONGEST_NS); i++) {
            now += 0.5;
            long start = System.nanoTime();
            event.run();
            relay.endTurn(now);
            times.add(System.nanoTime() - start);
        }
        times.sort(null);
        return times.get(times.size() / 2) / 1000.0;
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static final class Silent implements Relay.Actions {
        @Override
        public void send(long message, long endpoint, double timeoutMs) {
        }

        @Override
        public void cancel(long message, int attempt) {
        }

        @Override
        public void closeIdle(long endpoint) {
        }

        @Override
        public void refuse(long message, double waitMs) {
        }

        @Override
        public void fail(long message) {
        }

        @Override
        public void wakeAt(double time) {
        }

        @Override
        public void log(String text) {
        }
    }
}
