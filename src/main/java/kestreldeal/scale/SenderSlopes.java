package kestreldeal.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/** The measurements of a real sender on loopback, with stubs of its agent and endpoints. */
final class SenderSlopes {
    /** Time limit within which a sender must have applied a new list. */
    private static final long LIST_APPLIED_TIMEOUT_MS = 6000;
    private static final long READY_TIMEOUT_MS = 20_000;
    private static final int LISTED_ENDPOINTS = 100;
    private static final long ENDPOINT_DELAY_MS = 20;
    /** Fills the journal quickly, but leaves the sender time to respond. */
    private static final double FILL_MESSAGES_PER_SECOND = 1500;
    /** Disk limit for each pending message, with room in the journal for later records and for compaction. */
    private static final double DISK_BYTES_PER_MESSAGE = 1150;
    private static final double DISK_BYTES_BASE = 300_000;
    private static final double MAX_DISK_MB = 12;
    /** Large bodies; with small ones it would take a minute until the journal has grown enough for a compaction. */
    private static final int CHURN_BODY_BYTES = 4000;
    private static final double CHURN_MESSAGES_PER_SECOND = 400;
    private static final long CHURN_MESSAGES_PER_ROUND = 200;
    private static final int MAX_CHURN_ROUNDS = 40;
    private static final long RESPONSE_TIMEOUT_MS = 5000;
    private static final double WARM_UP_SECONDS = 1;
    private static final double MEASURE_SECONDS = 3;
    private static final double QUICK_SECONDS = 0.5;
    private static final int JOURNAL_POLL_MS = 1;
    private static final long LIST_UPDATES_MS = 4000;

    private SenderSlopes() {
    }

    static List<Slope> all() {
        return List.of(
                new Slope("read-list", "entries of a whole list that a running sender is sent",
                        List.of(1000, 3000, 10_000, 20_000, 30_000, 100_000), List.of(100, 1000),
                        List.of("in_force_ms", "peak_mb"), SenderSlopes::measureFullList),
                new Slope("journal", "messages held", List.of(100, 300, 1000, 3000, 10_000), List.of(30, 300),
                        List.of("journal_bytes", "compaction_stall_ms", "ready_ms"), SenderSlopes::measureJournal),
                new Slope("rate", "messages a second, 100 endpoints listed, 50 destinations",
                        List.of(10, 30, 100, 300, 1000), List.of(20, 200),
                        List.of("core_share", "message_us", "answer_p50_us", "answer_p99_us"),
                        SenderSlopes::measureRate),
                new Slope("control-changes", "changes a second, 1,000 endpoints listed",
                        List.of(1, 3, 10, 30, 100), List.of(5, 50), List.of("control_bytes_s"),
                        (setup, size, seed) -> measureListUpdates(setup, 1000, size, seed)),
                new Slope("control-list", "endpoints listed, one change a second",
                        List.of(100, 300, 1000, 3000, 10_000), List.of(100, 1000),
                        List.of("control_bytes_s", "whole_list_bytes"),
                        (setup, size, seed) -> measureListUpdates(setup, size, 1, seed)));
    }

    // ---- the list ----

    /**
     * Sends a new full list to a running sender whose list has two entries. The list counts as applied when the
     * sender's metric of listed endpoints shows its size.
     */
    private static Map<String, Object> measureFullList(MeasurementSetup setup, int endpointCount, long seed)
            throws Exception {
        try (StubEnvironment environment = new StubEnvironment(ENDPOINT_DELAY_MS);
                SenderProcess sender = startSender(setup, environment, 2, MAX_DISK_MB)) {
            Map<String, Object> values = commonValues(setup);
            values.put("peak_before_mb", sender.peakMemoryMb());
            double cpuMsBefore = sender.cpuMs();
            environment.replaceList(endpointCount);
            try {
                values.put("in_force_ms", sender.awaitListed(endpointCount, LIST_APPLIED_TIMEOUT_MS));
            } catch (Slope.MeasurementFailedException e) {
                values.put("failed", e.getMessage());
                return values;
            }
            values.put("processor_ms", sender.cpuMs() - cpuMsBefore);
            values.put("peak_mb", sender.peakMemoryMb());
            return values;
        }
    }

    private static SenderProcess startSender(MeasurementSetup setup, StubEnvironment environment, int endpointCount,
            double diskMb) throws Exception {
        environment.replaceList(endpointCount);
        SenderProcess sender = new SenderProcess(setup, environment, diskMb);
        try {
            sender.start();
            sender.awaitReady(READY_TIMEOUT_MS);
            sender.awaitListed(endpointCount, READY_TIMEOUT_MS);
            return sender;
        } catch (Exception e) {
            sender.close();
            throw e;
        }
    }

    private static Map<String, Object> commonValues(MeasurementSetup setup) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("jvm", setup.jvmOptions());
        values.put("class_archive", Files.isReadable(MeasurementSetup.CLASS_ARCHIVE));
        return values;
    }

    // ---- pending messages ----

    /**
     * Submits messages to a destination whose only endpoint is draining, so that they stay pending. Then submits
     * messages that are delivered, until the journal has been compacted: the compaction stall is the longest response
     * time in the round in which that happens. Finally kills the sender, restarts it, and checks that all pending
     * messages are restored.
     */
    private static Map<String, Object> measureJournal(MeasurementSetup setup, int messageCount, long seed)
            throws Exception {
        Map<String, Object> values = commonValues(setup);
        double diskMb = Math.min(MAX_DISK_MB, (DISK_BYTES_PER_MESSAGE * messageCount + DISK_BYTES_BASE) / 1e6);
        values.put("disk_mb", diskMb);
        try (StubEnvironment environment = new StubEnvironment(ENDPOINT_DELAY_MS);
                SenderProcess sender = startSender(setup, environment, LISTED_ENDPOINTS, diskMb);
                LoadGenerator client = new LoadGenerator(sender.clientAddress(), seed)) {
            LoadGenerator.LoadResult result = client.submit(FILL_MESSAGES_PER_SECOND, messageCount,
                    () -> StubEnvironment.DRAINING_DESTINATION, LoadGenerator.DEFAULT_BODY_BYTES, RESPONSE_TIMEOUT_MS);
            values.put("held", result.accepted());
            if (result.accepted() != messageCount) {
                throw new Slope.MeasurementFailedException("only " + result.accepted() + " of " + messageCount
                        + " messages were accepted, " + result.rejected() + " rejected, " + result.disconnected()
                        + " lost with their connection, " + result.unanswered()
                        + " without a response; the journal has " + Files.size(sender.journalFile()) + " bytes");
            }
            values.put("journal_bytes", Files.size(sender.journalFile()));
            submitUntilCompaction(sender, client, seed, values);
            values.put("peak_held_mb", sender.peakMemoryMb());
            values.put("journal_at_kill_bytes", Files.size(sender.journalFile()));
            // A client gets its 202 before the message is delivered, so the churn messages must complete first.
            sender.await(READY_TIMEOUT_MS, "messages of the churn are still pending",
                    () -> sender.metric("edge_gw_pending") == messageCount);
            values.put("held_at_kill", sender.metric("edge_gw_pending"));
            sender.kill();
            sender.start();
            values.put("ready_ms", sender.awaitReady(READY_TIMEOUT_MS));
            values.put("held_after", sender.metric("edge_gw_pending"));
            values.put("peak_ready_mb", sender.peakMemoryMb());
            if (sender.metric("edge_gw_pending") != messageCount) {
                throw new Slope.MeasurementFailedException("after the kill " + sender.metric("edge_gw_pending")
                        + " of " + messageCount + " messages are pending, and there were "
                        + values.get("held_at_kill") + " before it");
            }
        }
        return values;
    }

    /** Submits messages that are delivered, which grows the journal until a compaction drops completed messages. */
    private static void submitUntilCompaction(SenderProcess sender, LoadGenerator client, long seed,
            Map<String, Object> values) throws Exception {
        AtomicBoolean stop = new AtomicBoolean();
        AtomicLong compactions = new AtomicLong();
        Thread watcher = new Thread(() -> countCompactions(sender, stop, compactions), "journal watch");
        watcher.start();
        Random random = new Random(seed);
        Histogram nanosWithoutCompaction = new Histogram(3);
        try {
            for (int round = 0; round < MAX_CHURN_ROUNDS; round++) {
                long compactionsBefore = compactions.get();
                LoadGenerator.LoadResult result = client.submit(CHURN_MESSAGES_PER_SECOND, CHURN_MESSAGES_PER_ROUND,
                        () -> random.nextInt(StubEnvironment.DESTINATION_COUNT - 1), CHURN_BODY_BYTES,
                        RESPONSE_TIMEOUT_MS);
                if (result.accepted() != CHURN_MESSAGES_PER_ROUND) {
                    values.put("churn_failed", result.rejected() + " rejected, " + result.disconnected()
                            + " lost with their connection");
                }
                if (compactions.get() > compactionsBefore) {
                    values.put("compaction_stall_ms", result.responseNanos().getMaxValue() / 1e6);
                    values.put("compactions", compactions.get() - compactionsBefore);
                    break;
                }
                nanosWithoutCompaction.add(result.responseNanos());
            }
            if (nanosWithoutCompaction.getTotalCount() > 0) {
                values.put("stall_without_compaction_ms", nanosWithoutCompaction.getMaxValue() / 1e6);
            }
        } finally {
            stop.set(true);
            watcher.join();
        }
    }

    /** Counts how often the journal file has become shorter, which only a compaction does. */
    private static void countCompactions(SenderProcess sender, AtomicBoolean stop, AtomicLong compactions) {
        long lastSize = 0;
        while (!stop.get()) {
            try {
                long size = Files.size(sender.journalFile());
                if (size < lastSize) {
                    compactions.incrementAndGet();
                }
                lastSize = size;
                Thread.sleep(JOURNAL_POLL_MS);
            } catch (IOException e) {
                // The file is missing for a moment while it is replaced.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- messages ----

    private static Map<String, Object> measureRate(MeasurementSetup setup, int messagesPerSecond, long seed)
            throws Exception {
        Map<String, Object> values = commonValues(setup);
        try (StubEnvironment environment = new StubEnvironment(ENDPOINT_DELAY_MS);
                SenderProcess sender = startSender(setup, environment, LISTED_ENDPOINTS, MAX_DISK_MB);
                LoadGenerator client = new LoadGenerator(sender.clientAddress(), seed)) {
            Random random = new Random(seed);
            double seconds = setup.quick() ? QUICK_SECONDS : MEASURE_SECONDS;
            client.submit(messagesPerSecond,
                    (long) (messagesPerSecond * (setup.quick() ? QUICK_SECONDS : WARM_UP_SECONDS)),
                    () -> random.nextInt(StubEnvironment.DESTINATION_COUNT - 1), LoadGenerator.DEFAULT_BODY_BYTES,
                    RESPONSE_TIMEOUT_MS);
            double cpuMsBefore = sender.cpuMs();
            long startNanos = System.nanoTime();
            LoadGenerator.LoadResult result = client.submit(messagesPerSecond, (long) (messagesPerSecond * seconds),
                    () -> random.nextInt(StubEnvironment.DESTINATION_COUNT - 1), LoadGenerator.DEFAULT_BODY_BYTES,
                    RESPONSE_TIMEOUT_MS);
            double cpuMs = sender.cpuMs() - cpuMsBefore;
            double elapsedMs = (System.nanoTime() - startNanos) / 1e6;
            values.put("handed_in", (long) (messagesPerSecond * seconds));
            values.put("taken", result.accepted());
            values.put("not_taken", result.rejected() + result.disconnected() + result.unanswered());
            values.put("core_share", cpuMs / elapsedMs);
            values.put("message_us", 1000 * cpuMs / Math.max(1, result.accepted()));
            for (double percentile : new double[] {50, 90, 99, 99.9, 100}) {
                values.put("answer_p" + Double.toString(percentile).replace(".0", "").replace(".", "") + "_us",
                        result.responseNanos().getValueAtPercentile(percentile) / 1e3);
            }
            sender.await(READY_TIMEOUT_MS, "messages are still pending", () -> sender.metric("edge_gw_pending") == 0);
            values.put("delivered", environment.delivered.get());
            values.put("notices", environment.notices.get());
            values.put("peak_mb", sender.peakMemoryMb());
        }
        return values;
    }

    // ---- list updates ----

    /** Counts the bytes on the agent's connections in both directions, after the full list has been sent. */
    private static Map<String, Object> measureListUpdates(MeasurementSetup setup, int endpointCount,
            int changesPerSecond, long seed) throws Exception {
        Map<String, Object> values = commonValues(setup);
        try (StubEnvironment environment = new StubEnvironment(ENDPOINT_DELAY_MS);
                SenderProcess sender = startSender(setup, environment, endpointCount, MAX_DISK_MB)) {
            values.put("whole_list_bytes", environment.agentBytes.get());
            Random random = new Random(seed);
            double cpuMsBefore = sender.cpuMs();
            long bytesBefore = environment.agentBytes.get();
            long startNanos = System.nanoTime();
            long durationMs = setup.quick() ? LIST_UPDATES_MS / 4 : LIST_UPDATES_MS;
            long changes = durationMs * changesPerSecond / 1000;
            for (long i = 0; i < changes; i++) {
                sleepUntil(startNanos + i * 1_000_000_000L / changesPerSecond);
                environment.changeWeight(random.nextInt(endpointCount - 1), 1 + random.nextInt(100));
            }
            sleepUntil(startNanos + durationMs * 1_000_000);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            values.put("control_bytes_s", (environment.agentBytes.get() - bytesBefore) / seconds);
            values.put("core_share", (sender.cpuMs() - cpuMsBefore) / 1000 / seconds);
            values.put("changes", changes);
        }
        return values;
    }

    private static void sleepUntil(long targetNanos) throws InterruptedException {
        long remainingNanos = targetNanos - System.nanoTime();
        if (remainingNanos > 0) {
            Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
        }
    }
}
