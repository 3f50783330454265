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
 * Measures the decision module alone, in a JVM of its own: {@link ModuleBenchmarkProcess} starts {@code main}, which
 * prints one JSON object. Memory is the difference of the used heap after garbage collections, with and without what is
 * measured.
 */
final class ModuleBenchmark implements Relay.Actions {
    /** Time between turns; so short that no timer of the module expires during a whole measurement. */
    private static final double TURN_INTERVAL_MS = 0.02;
    /** Deadline of messages, too far off to matter. */
    private static final double DEADLINE_MS = 1e9;
    private static final int DESTINATION_COUNT = 100;
    private static final double ENDPOINTS_PER_DESTINATION = 1.6;
    /** Messages sent in a turn, where the number of destinations varies. */
    private static final int MESSAGES_PER_TURN = 16;
    /** Upper limit of the messages sent in a turn, where these vary; also the number of destinations then. */
    private static final int MAX_MESSAGES_PER_TURN = 1000;
    private static final int WARM_UP_TURNS = 500;
    private static final int MEASURED_TURNS = 1000;
    private static final int MIN_TURNS = 20;
    private static final long WARM_UP_NANOS = 1_000_000_000L;
    private static final long MEASURE_NANOS = 1_500_000_000L;
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final int GC_COUNT = 3;

    private record SentAttempt(long message, int attempt) {
    }

    private final Random random;
    private final Relay relay;
    private final List<SentAttempt> inFlight = new ArrayList<>();
    private long finalResultCount;
    private long nextMessageId;
    private double nowMs;

    private ModuleBenchmark(int slotCount, long seed) {
        random = new Random(seed);
        relay = Relay.create(settings(slotCount), seed, this);
    }

    /**
     * Measures once. Arguments: the name of a slope of {@link ModuleSlopes}, size, seed, and the percentage of the
     * usual number of turns.
     */
    public static void main(String[] args) throws Exception {
        int size = Integer.parseInt(args[1]);
        long seed = Long.parseLong(args[2]);
        int turnsPercent = Integer.parseInt(args[3]);
        Map<String, Object> values = switch (args[0]) {
            case ModuleSlopes.WAITING -> measureWaiting(size, seed, turnsPercent);
            case ModuleSlopes.LISTED -> measureListed(size, seed, turnsPercent);
            case ModuleSlopes.BOTH -> measureBoth(size, seed, turnsPercent);
            case ModuleSlopes.TRAFFIC -> measureSending(size, MESSAGES_PER_TURN, seed, turnsPercent);
            case ModuleSlopes.GOING -> measureSending(MAX_MESSAGES_PER_TURN, size, seed, turnsPercent);
            default -> throw new IllegalArgumentException("unknown measurement " + args[0]);
        };
        System.out.println(JsonMapper.builder().build().writeValueAsString(values));
    }

    private static Relay.Settings settings(int slotCount) {
        Relay.MessageClass messageClass = new Relay.MessageClass(DEADLINE_MS / 2, DEADLINE_MS, 1, 0.5,
                Relay.Repeat.SAFE, false, 0, false);
        return new Relay.Settings(List.of(messageClass), List.of(new Relay.DestinationKind(false, 1)), true,
                Relay.Decay.LINEAR, List.of(0.0), 100, slotCount, 4, true, true, 0, 15_000,
                new Relay.SlowStart(0.2, 12_000, 2, 1500));
    }

    // ---- measurements ----

    /** Messages wait for 100 destinations while all slots are in use; measures a turn in which none can be sent. */
    private static Map<String, Object> measureWaiting(int size, long seed, int turnsPercent) {
        ModuleBenchmark benchmark = new ModuleBenchmark(DESTINATION_COUNT, seed);
        benchmark.replaceList(DESTINATION_COUNT, 1);
        benchmark.submit(DESTINATION_COUNT, DESTINATION_COUNT);
        benchmark.runTurn();
        if (benchmark.inFlight.size() != DESTINATION_COUNT) {
            throw new IllegalStateException("only " + benchmark.inFlight.size() + " slots are in use");
        }
        long bytesBefore = usedHeapBytes();
        benchmark.submit(size, DESTINATION_COUNT);
        benchmark.runTurn();
        long bytesAfter = usedHeapBytes();
        Map<String, Object> values = new LinkedHashMap<>();
        benchmark.measure("turn", turnsPercent, values, benchmark::runTurn);
        benchmark.requireAllWaited();
        values.put("bytes_each", (double) (bytesAfter - bytesBefore) / size);
        return values;
    }

    /** Endpoints are listed and no message waits; measures an idle turn, and one in which an entry changes. */
    private static Map<String, Object> measureListed(int size, long seed, int turnsPercent) {
        ModuleBenchmark benchmark = new ModuleBenchmark(DESTINATION_COUNT, seed);
        benchmark.runTurn();
        long bytesBefore = usedHeapBytes();
        benchmark.replaceList(size, ENDPOINTS_PER_DESTINATION);
        benchmark.runTurn();
        long bytesAfter = usedHeapBytes();
        Map<String, Object> values = new LinkedHashMap<>();
        benchmark.measureTurnAndChange(size, turnsPercent, values);
        if (benchmark.relay.endpointCounts().listed() != size) {
            throw new IllegalStateException(benchmark.relay.endpointCounts().listed() + " endpoints are listed");
        }
        values.put("bytes_each", (double) (bytesAfter - bytesBefore) / size);
        return values;
    }

    /** Listed endpoints, and as many messages that wait for all their destinations while all slots are in use. */
    private static Map<String, Object> measureBoth(int size, long seed, int turnsPercent) {
        ModuleBenchmark benchmark = new ModuleBenchmark(DESTINATION_COUNT, seed);
        benchmark.runTurn();
        long bytesBefore = usedHeapBytes();
        benchmark.replaceList(size, ENDPOINTS_PER_DESTINATION);
        benchmark.submit(DESTINATION_COUNT + size, (int) (size / ENDPOINTS_PER_DESTINATION));
        benchmark.runTurn();
        long bytesAfter = usedHeapBytes();
        Map<String, Object> values = new LinkedHashMap<>();
        benchmark.measureTurnAndChange(size, turnsPercent, values);
        benchmark.requireAllWaited();
        values.put("bytes_each", (double) (bytesAfter - bytesBefore) / size);
        return values;
    }

    private void requireAllWaited() {
        if (inFlight.size() != DESTINATION_COUNT || finalResultCount != 0) {
            throw new IllegalStateException("not all messages waited until the end");
        }
    }

    private void measureTurnAndChange(int size, int turnsPercent, Map<String, Object> values) {
        measure("turn", turnsPercent, values, () -> {
            relay.wake(nowMs);
            return runTurn();
        });
        measure("change", turnsPercent, values, () -> {
            relay.endpointsChanged(nowMs, false, List.of(newEndpoint(random.nextInt(size), ENDPOINTS_PER_DESTINATION)));
            relay.endpointListCompleted(nowMs);
            return runTurn();
        });
    }

    /**
     * Measures a turn in which the given number of messages is sent, with destinations that have all had traffic. The
     * turn in which the messages complete is not part of the measured time.
     */
    private static Map<String, Object> measureSending(int destinationCount, int messagesPerTurn, long seed,
            int turnsPercent) {
        ModuleBenchmark benchmark = new ModuleBenchmark(4 * MAX_MESSAGES_PER_TURN, seed);
        benchmark.replaceList(destinationCount, 1);
        benchmark.deliverToAll(destinationCount);
        long[] randomNumbers = benchmark.random.longs(destinationCount, 0, Long.MAX_VALUE).toArray();
        int[] position = {0};
        Map<String, Object> values = new LinkedHashMap<>();
        benchmark.measure("turn", turnsPercent, values, () -> {
            LongStream.range(0, messagesPerTurn).forEach(i ->
                    benchmark.submitTo(randomNumbers[position[0]++ % destinationCount] % destinationCount));
            benchmark.runTurn();
            if (benchmark.inFlight.size() != messagesPerTurn) {
                throw new IllegalStateException(benchmark.inFlight.size() + " of " + messagesPerTurn
                        + " messages were sent");
            }
            return null;
        }, benchmark::completeAll);
        return values;
    }

    /** Delivers one message to each destination, a few in each turn. */
    private void deliverToAll(int destinationCount) {
        long deadlineNanos = System.nanoTime() + MAX_NANOS;
        for (int from = 0; from < destinationCount; from += MESSAGES_PER_TURN) {
            int end = Math.min(destinationCount, from + MESSAGES_PER_TURN);
            for (int i = from; i < end; i++) {
                submitTo(i);
            }
            runTurn();
            completeAll();
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("after " + MAX_NANOS / 1_000_000_000 + " s only " + end + " of "
                        + destinationCount + " destinations had got a message");
            }
        }
    }

    // ---- events ----

    private Relay.Endpoint newEndpoint(int number, double endpointsPerDestination) {
        return new Relay.Endpoint(number, (long) (number / endpointsPerDestination), 0, 0, true,
                1 + random.nextInt(100), false);
    }

    private void replaceList(int endpointCount, double endpointsPerDestination) {
        List<Relay.Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            entries.add(newEndpoint(i, endpointsPerDestination));
        }
        relay.endpointsChanged(nowMs, true, entries);
        relay.endpointListCompleted(nowMs);
    }

    private void submit(int count, int destinationCount) {
        for (int i = 0; i < count; i++) {
            submitTo(i % destinationCount);
        }
    }

    private void submitTo(long destination) {
        relay.messageAccepted(nowMs, new Relay.Message(nextMessageId++, 0, 0, Optional.empty(), DEADLINE_MS,
                destination));
    }

    private Void runTurn() {
        relay.endTurn(nowMs);
        nowMs += TURN_INTERVAL_MS;
        return null;
    }

    /** Reports all attempts in flight as delivered, in one turn. */
    private void completeAll() {
        List<SentAttempt> completed = new ArrayList<>(inFlight);
        inFlight.clear();
        for (SentAttempt attempt : completed) {
            relay.attemptCompleted(nowMs,
                    new Relay.AttemptResult(attempt.message(), attempt.attempt(), Relay.Outcome.DELIVERED,
                    TURN_INTERVAL_MS, true, 0, Relay.LoadReport.NONE));
        }
        runTurn();
    }

    // ---- measuring ----

    private void measure(String name, int turnsPercent, Map<String, Object> values, Supplier<Void> turn) {
        measure(name, turnsPercent, values, turn, () -> { });
    }

    /**
     * Repeats a turn after a warm-up, and adds to the values its median and 99th percentile in microseconds and the
     * mean of the bytes that it allocated, which measure its work independently of the clock.
     *
     * @param afterTurn runs after each turn, and is not measured
     */
    private void measure(String name, int turnsPercent, Map<String, Object> values, Supplier<Void> turn,
            Runnable afterTurn) {
        repeat(WARM_UP_TURNS * turnsPercent / 100, WARM_UP_NANOS * turnsPercent / 100, () -> {
            turn.get();
            afterTurn.run();
        });
        Histogram nanos = new Histogram(MAX_NANOS, 3);
        long[] allocated = {0};
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        int turns = repeat(MEASURED_TURNS * turnsPercent / 100, MEASURE_NANOS * turnsPercent / 100, () -> {
            long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
            long start = System.nanoTime();
            turn.get();
            nanos.recordValue(System.nanoTime() - start);
            allocated[0] += threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
            afterTurn.run();
        });
        values.put(name + "_us", nanos.getValueAtPercentile(50) / 1e3);
        values.put(name + "_p99_us", nanos.getValueAtPercentile(99) / 1e3);
        values.put(name + "_allocated_bytes", (double) allocated[0] / turns);
        values.put(name + "s", turns);
    }

    /** Repeats an action until the count or the time is reached, but a minimum number of times. */
    private static int repeat(int count, long maxNanos, Runnable action) {
        long deadlineNanos = System.nanoTime() + maxNanos;
        int done = 0;
        while (done < MIN_TURNS || done < count && System.nanoTime() < deadlineNanos) {
            action.run();
            done++;
        }
        return done;
    }

    /** Used heap after garbage collections; several, because one may free only what the one before found dead. */
    private static long usedHeapBytes() {
        // Called once before the collections, because the first call leaves megabytes of garbage.
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        memory.getHeapMemoryUsage();
        for (int i = 0; i < GC_COUNT; i++) {
            System.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    // ---- actions of the module ----

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        inFlight.add(new SentAttempt(message, 0));
    }

    @Override
    public void cancel(long message, int attempt) {
        throw new IllegalStateException("an attempt was cancelled");
    }

    @Override
    public void closeIdleConnections(long endpoint) {
    }

    @Override
    public void reject(long message, double retryAfterMs) {
        finalResultCount++;
    }

    @Override
    public void fail(long message) {
        finalResultCount++;
    }

    @Override
    public void wakeAt(double timeMs) {
    }

    @Override
    public void log(String text) {
    }
}
