package kestreldeal.scale;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import kestreldeal.Relay;
import org.HdrHistogram.Histogram;

/**
 * Measures the decision module alone, in a JVM of its own: {@link ModuleBenchmarkProcess} starts {@code main}, which prints one JSON
 * object. Memory is the difference of the used heap after garbage collections, with and without what is measured.
 */
final class ModuleBenchmark implements Relay.Actions {
    /** Time between turns; so short that no timer of the module expires during a whole measurement. */
    private static final double STEP_MS = 0.02;
    /** Deadline of messages, too far off to matter. */
    private static final double FAR_MS = 1e9;
    private static final int DESTINATIONS = 100;
    private static final double ENDPOINTS_EACH = 1.6;
    /** Messages sent in a turn, where the number of destinations varies. */
    private static final int GOING = 16;
    private static final int MOST_GOING = 1000;
    private static final int WARM_UP_TURNS = 500;
    private static final int TURNS = 1000;
    private static final int LEAST_TURNS = 20;
    private static final long WARM_UP_NANOS = 1_000_000_000L;
    private static final long MEASURE_NANOS = 1_500_000_000L;
    private static final long LONGEST_NANOS = 60_000_000_000L;
    private static final int COLLECTIONS = 3;

    private record SentAttempt(long message, int attempt) {
    }

    private final Random random;
    private final Relay relay;
    private final List<SentAttempt> sent = new ArrayList<>();
    private long answers;
    private long messages;
    private double now;

    private ModuleBenchmark(int slots, long seed) {
        random = new Random(seed);
        relay = Relay.create(settings(slots), seed, this);
    }

    /**
     * Measures once. Arguments: the name of a slope of {@link ModuleSlopes}, size, seed, and the percentage of the
     * usual number of turns.
     */
    public static void main(String[] args) throws Exception {
        int size = Integer.parseInt(args[1]);
        long seed = Long.parseLong(args[2]);
        int percent = Integer.parseInt(args[3]);
        Map<String, Object> values = switch (args[0]) {
            case ModuleSlopes.WAITING -> waiting(size, seed, percent);
            case ModuleSlopes.LISTED -> listed(size, seed, percent);
            case ModuleSlopes.BOTH -> both(size, seed, percent);
            case ModuleSlopes.TRAFFIC -> going(size, GOING, seed, percent);
            case ModuleSlopes.GOING -> going(MOST_GOING, size, seed, percent);
            default -> throw new IllegalArgumentException("unknown measurement " + args[0]);
        };
        System.out.println(JsonMapper.builder().build().writeValueAsString(values));
    }

    private static Relay.Settings settings(int slots) {
        Relay.MessageClass type = new Relay.MessageClass(FAR_MS / 2, FAR_MS, 1, 0.5, Relay.Effect.SAFE, false, 0,
                false);
        return new Relay.Settings(List.of(type), List.of(new Relay.DestinationKind(false, 1)), true, Relay.Decay.LINEAR,
                List.of(0.0), 100, slots, 4, true, true, 0, 15_000, new Relay.SlowStart(0.2, 12_000, 2, 1500));
    }

    // ---- measurements ----

    /** Messages wait for 100 destinations while all slots are in use; measures a turn in which none can be sent. */
    private static Map<String, Object> waiting(int size, long seed, int percent) {
        ModuleBenchmark probe = new ModuleBenchmark(DESTINATIONS, seed);
        probe.list(DESTINATIONS, 1);
        probe.handIn(DESTINATIONS, DESTINATIONS);
        probe.turn();
        if (probe.sent.size() != DESTINATIONS) {
            throw new IllegalStateException("only " + probe.sent.size() + " slots are in use");
        }
        long before = heldBytes();
        probe.handIn(size, DESTINATIONS);
        probe.turn();
        long after = heldBytes();
        Map<String, Object> values = new LinkedHashMap<>();
        probe.measure("turn", percent, values, probe::turn);
        probe.requireAllWaited();
        values.put("bytes_each", (double) (after - before) / size);
        return values;
    }

    /** Endpoints are listed and no message waits; measures an idle turn, and one in which an entry changes. */
    private static Map<String, Object> listed(int size, long seed, int percent) {
        ModuleBenchmark probe = new ModuleBenchmark(DESTINATIONS, seed);
        probe.turn();
        long before = heldBytes();
        probe.list(size, ENDPOINTS_EACH);
        probe.turn();
        long after = heldBytes();
        Map<String, Object> values = new LinkedHashMap<>();
        probe.measureTurnAndChange(size, percent, values);
        if (probe.relay.endpointCounts().listed() != size) {
            throw new IllegalStateException(probe.relay.endpointCounts().listed() + " endpoints are listed");
        }
        values.put("bytes_each", (double) (after - before) / size);
        return values;
    }

    /** Listed endpoints, and as many messages that wait for all their destinations while all slots are in use. */
    private static Map<String, Object> both(int size, long seed, int percent) {
        ModuleBenchmark probe = new ModuleBenchmark(DESTINATIONS, seed);
        probe.turn();
        long before = heldBytes();
        probe.list(size, ENDPOINTS_EACH);
        probe.handIn(DESTINATIONS + size, (int) (size / ENDPOINTS_EACH));
        probe.turn();
        long after = heldBytes();
        Map<String, Object> values = new LinkedHashMap<>();
        probe.measureTurnAndChange(size, percent, values);
        probe.requireAllWaited();
        values.put("bytes_each", (double) (after - before) / size);
        return values;
    }

    private void requireAllWaited() {
        if (sent.size() != DESTINATIONS || answers != 0) {
            throw new IllegalStateException("not all messages waited until the end");
        }
    }

    private void measureTurnAndChange(int size, int percent, Map<String, Object> values) {
        measure("turn", percent, values, () -> {
            relay.wake(now);
            return turn();
        });
        measure("change", percent, values, () -> {
            relay.endpointsChanged(now, false, List.of(entry(random.nextInt(size), ENDPOINTS_EACH)));
            return turn();
        });
    }

    /**
     * Measures a turn in which the given number of messages is sent, with destinations that have all had traffic. The
     * turn in which the messages complete is not part of the measured time.
     */
    private static Map<String, Object> going(int destinations, int messages, long seed, int percent) {
        ModuleBenchmark probe = new ModuleBenchmark(4 * MOST_GOING, seed);
        probe.list(destinations, 1);
        probe.prefill(destinations);
        long[] next = probe.random.longs(destinations, 0, Long.MAX_VALUE).toArray();
        int[] at = {0};
        Map<String, Object> values = new LinkedHashMap<>();
        probe.measure("turn", percent, values, () -> {
            LongStream.range(0, messages).forEach(i -> probe.message(next[at[0]++ % destinations] % destinations));
            probe.turn();
            if (probe.sent.size() != messages) {
                throw new IllegalStateException(probe.sent.size() + " of " + messages + " messages were sent");
            }
            return null;
        }, probe::endAll);
        return values;
    }

    /** Delivers one message to each destination, a few in each turn. */
    private void prefill(int destinations) {
        long until = System.nanoTime() + LONGEST_NANOS;
        for (int from = 0; from < destinations; from += GOING) {
            int end = Math.min(destinations, from + GOING);
            for (int i = from; i < end; i++) {
                message(i);
            }
            turn();
            endAll();
            if (System.nanoTime() > until) {
                throw new IllegalStateException("after " + LONGEST_NANOS / 1_000_000_000 + " s only " + end + " of "
                        + destinations + " destinations had got a message");
            }
        }
    }

    // ---- events ----

    private Relay.Endpoint entry(int i, double each) {
        return new Relay.Endpoint(i, (long) (i / each), 0, 0, true, 1 + random.nextInt(100), false);
    }

    private void list(int endpoints, double each) {
        List<Relay.Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            entries.add(entry(i, each));
        }
        relay.endpointsChanged(now, true, entries);
    }

    private void handIn(int count, int destinations) {
        for (int i = 0; i < count; i++) {
            message(i % destinations);
        }
    }

    private void message(long destination) {
        relay.messageAccepted(now, new Relay.Message(messages++, 0, 0, Optional.empty(), FAR_MS, destination));
    }

    private Void turn() {
        relay.endTurn(now);
        now += STEP_MS;
        return null;
    }

    /** Reports all attempts in flight as delivered, in one turn. */
    private void endAll() {
        List<SentAttempt> ended = new ArrayList<>(sent);
        sent.clear();
        for (SentAttempt s : ended) {
            relay.attemptCompleted(now,
                    new Relay.AttemptResult(s.message(), s.attempt(), Relay.Outcome.DELIVERED, STEP_MS,
                    true, 0, Relay.LoadReport.NONE));
        }
        turn();
    }

    // ---- measuring ----

    private void measure(String name, int percent, Map<String, Object> values, Supplier<Void> turn) {
        measure(name, percent, values, turn, () -> { });
    }

    /**
     * Repeats a turn after a warm-up, and adds to the values its median and 99th percentile in microseconds and the
     * mean of the bytes that it allocated, which measure its work independently of the clock.
     *
     * @param after runs after each turn, and is not measured
     */
    private void measure(String name, int percent, Map<String, Object> values, Supplier<Void> turn, Runnable after) {
        repeat(WARM_UP_TURNS * percent / 100, WARM_UP_NANOS * percent / 100, () -> {
            turn.get();
            after.run();
        });
        Histogram nanos = new Histogram(LONGEST_NANOS, 3);
        long[] allocated = {0};
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        int turns = repeat(TURNS * percent / 100, MEASURE_NANOS * percent / 100, () -> {
            long bytes = threads.getCurrentThreadAllocatedBytes();
            long start = System.nanoTime();
            turn.get();
            nanos.recordValue(System.nanoTime() - start);
            allocated[0] += threads.getCurrentThreadAllocatedBytes() - bytes;
            after.run();
        });
        values.put(name + "_us", nanos.getValueAtPercentile(50) / 1e3);
        values.put(name + "_p99_us", nanos.getValueAtPercentile(99) / 1e3);
        values.put(name + "_allocated_bytes", (double) allocated[0] / turns);
        values.put(name + "s", turns);
    }

    /** Repeats an action until the count or the time is reached, but a minimum number of times. */
    private static int repeat(int times, long forNanos, Runnable action) {
        long until = System.nanoTime() + forNanos;
        int done = 0;
        while (done < LEAST_TURNS || done < times && System.nanoTime() < until) {
            action.run();
            done++;
        }
        return done;
    }

    /** Used heap after garbage collections; several, because one may free only what the one before found dead. */
    private static long heldBytes() {
        // Called once before the collections, because the first call leaves megabytes of garbage.
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        memory.getHeapMemoryUsage();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    // ---- actions of the module ----

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        sent.add(new SentAttempt(message, 0));
    }

    @Override
    public void cancel(long message, int attempt) {
        throw new IllegalStateException("an attempt was cancelled");
    }

    @Override
    public void closeIdleConnections(long endpoint) {
    }

    @Override
    public void reject(long message, double waitMs) {
        answers++;
    }

    @Override
    public void fail(long message) {
        answers++;
    }

    @Override
    public void wakeAt(double time) {
    }

    @Override
    public void log(String text) {
    }
}
