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
    private static final long IN_FORCE_MS = 6000;
    private static final long READY_MS = 20_000;
    private static final int LISTED = 100;
    private static final long ANSWER_MS = 20;
    /** Fills the journal quickly, but leaves the sender time to respond. */
    private static final double FILL_PER_S = 1500;
    /** Disk limit for each pending message, with room in the journal for later records and for compaction. */
    private static final double DISK_BYTES_EACH = 1150;
    private static final double DISK_BYTES_MORE = 300_000;
    private static final double MOST_DISK_MB = 12;
    /** Large bodies; with small ones it would take a minute until the journal has grown enough for a compaction. */
    private static final int CHURN_BODY_BYTES = 4000;
    private static final double CHURN_PER_S = 400;
    private static final long CHURN_MESSAGES = 200;
    private static final int CHURN_ROUNDS = 40;
    private static final long PATIENCE_MS = 5000;
    private static final double WARM_UP_S = 1;
    private static final double MEASURE_S = 3;
    private static final double QUICK_S = 0.5;
    private static final int WATCH_MS = 1;
    private static final long CONTROL_MS = 4000;

    private SenderSlopes() {
    }

    static List<Slope> all() {
        return List.of(
                new Slope("read-list", "entries of a whole list that a running sender is sent",
                        List.of(1000, 3000, 10_000, 20_000, 30_000, 100_000), List.of(100, 1000),
                        List.of("in_force_ms", "peak_mb"), SenderSlopes::readList),
                new Slope("journal", "messages held", List.of(100, 300, 1000, 3000, 10_000), List.of(30, 300),
                        List.of("journal_bytes", "compaction_stall_ms", "ready_ms"), SenderSlopes::journal),
                new Slope("rate", "messages a second, 100 endpoints listed, 50 destinations",
                        List.of(10, 30, 100, 300, 1000), List.of(20, 200),
                        List.of("core_share", "message_us", "answer_p50_us", "answer_p99_us"), SenderSlopes::rate),
                new Slope("control-changes", "changes a second, 1,000 endpoints listed",
                        List.of(1, 3, 10, 30, 100), List.of(5, 50), List.of("control_bytes_s"),
                        (setup, size, seed) -> control(setup, 1000, size, seed)),
                new Slope("control-list", "endpoints listed, one change a second",
                        List.of(100, 300, 1000, 3000, 10_000), List.of(100, 1000),
                        List.of("control_bytes_s", "whole_list_bytes"),
                        (setup, size, seed) -> control(setup, size, 1, seed)));
    }

    // ---- the list ----

    /**
     * Sends a new full list to a running sender whose list has two entries. The list counts as applied when the
     * sender's metric of listed endpoints shows its size.
     */
    private static Map<String, Object> readList(MeasurementSetup setup, int size, long seed) throws Exception {
        try (StubEnvironment world = new StubEnvironment(ANSWER_MS); SenderProcess sender = started(setup, world, 2, MOST_DISK_MB)) {
            Map<String, Object> values = values(setup);
            values.put("peak_before_mb", sender.peakMb());
            double processor = sender.processorMs();
            world.replaceList(size);
            try {
                values.put("in_force_ms", sender.awaitListed(size, IN_FORCE_MS));
            } catch (Slope.MeasurementFailedException e) {
                values.put("failed", e.getMessage());
                return values;
            }
            values.put("processor_ms", sender.processorMs() - processor);
            values.put("peak_mb", sender.peakMb());
            return values;
        }
    }

    private static SenderProcess started(MeasurementSetup setup, StubEnvironment world, int listed, double diskMb) throws Exception {
        world.replaceList(listed);
        SenderProcess sender = new SenderProcess(setup, world, diskMb);
        try {
            sender.start();
            sender.awaitReady(READY_MS);
            sender.awaitListed(listed, READY_MS);
            return sender;
        } catch (Exception e) {
            sender.close();
            throw e;
        }
    }

    private static Map<String, Object> values(MeasurementSetup setup) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("jvm", setup.options());
        values.put("class_archive", Files.isReadable(MeasurementSetup.ARCHIVE));
        return values;
    }

    // ---- pending messages ----

    /**
     * Submits messages to a destination whose only endpoint is draining, so that they stay pending. Then submits
     * messages that are delivered, until the journal has been compacted: the compaction stall is the longest response
     * time in the round in which that happens. Finally kills the sender, restarts it, and checks that all pending
     * messages are restored.
     */
    private static Map<String, Object> journal(MeasurementSetup setup, int size, long seed) throws Exception {
        Map<String, Object> values = values(setup);
        double diskMb = Math.min(MOST_DISK_MB, (DISK_BYTES_EACH * size + DISK_BYTES_MORE) / 1e6);
        values.put("disk_mb", diskMb);
        try (StubEnvironment world = new StubEnvironment(ANSWER_MS); SenderProcess sender = started(setup, world, LISTED, diskMb);
                LoadGenerator client = new LoadGenerator(sender.address(), seed)) {
            LoadGenerator.LoadResult held = client.handIn(FILL_PER_S, size, () -> StubEnvironment.DRAINING, LoadGenerator.BODY_BYTES,
                    PATIENCE_MS);
            values.put("held", held.taken());
            if (held.taken() != size) {
                throw new Slope.MeasurementFailedException("only " + held.taken() + " of " + size + " messages were accepted, "
                        + held.refused() + " rejected, " + held.broken() + " lost with their connection, "
                        + held.unanswered() + " without a response; the journal has " + Files.size(sender.journal())
                        + " bytes");
            }
            values.put("journal_bytes", Files.size(sender.journal()));
            churn(sender, client, seed, values);
            values.put("peak_held_mb", sender.peakMb());
            values.put("journal_at_kill_bytes", Files.size(sender.journal()));
            // A client gets its 202 before the message is delivered, so the churn messages must complete first.
            sender.await(READY_MS, "messages of the churn are still pending",
                    () -> sender.figure("edge_gw_pending") == size);
            values.put("held_at_kill", sender.figure("edge_gw_pending"));
            sender.kill();
            sender.start();
            values.put("ready_ms", sender.awaitReady(READY_MS));
            values.put("held_after", sender.figure("edge_gw_pending"));
            values.put("peak_ready_mb", sender.peakMb());
            if (sender.figure("edge_gw_pending") != size) {
                throw new Slope.MeasurementFailedException("after the kill " + sender.figure("edge_gw_pending") + " of " + size
                        + " messages are pending, and there were " + values.get("held_at_kill") + " before it");
            }
        }
        return values;
    }

    /** Submits messages that are delivered, which grows the journal until a compaction drops completed messages. */
    private static void churn(SenderProcess sender, LoadGenerator client, long seed, Map<String, Object> values)
            throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        AtomicLong compactions = new AtomicLong();
        Thread watch = new Thread(() -> countCompactions(sender, over, compactions), "journal watch");
        watch.start();
        Random random = new Random(seed);
        Histogram before = new Histogram(3);
        try {
            for (int round = 0; round < CHURN_ROUNDS; round++) {
                long seen = compactions.get();
                LoadGenerator.LoadResult outcome = client.handIn(CHURN_PER_S, CHURN_MESSAGES,
                        () -> random.nextInt(StubEnvironment.DESTINATIONS - 1), CHURN_BODY_BYTES, PATIENCE_MS);
                if (outcome.taken() != CHURN_MESSAGES) {
                    values.put("churn_failed", outcome.refused() + " rejected, " + outcome.broken()
                            + " lost with their connection");
                }
                if (compactions.get() > seen) {
                    values.put("compaction_stall_ms", outcome.nanos().getMaxValue() / 1e6);
                    values.put("compactions", compactions.get() - seen);
                    break;
                }
                before.add(outcome.nanos());
            }
            if (before.getTotalCount() > 0) {
                values.put("stall_without_compaction_ms", before.getMaxValue() / 1e6);
            }
        } finally {
            over.set(true);
            watch.join();
        }
    }

    /** Counts how often the journal file has become shorter, which only a compaction does. */
    private static void countCompactions(SenderProcess sender, AtomicBoolean over, AtomicLong compactions) {
        long last = 0;
        while (!over.get()) {
            try {
                long size = Files.size(sender.journal());
                if (size < last) {
                    compactions.incrementAndGet();
                }
                last = size;
                Thread.sleep(WATCH_MS);
            } catch (IOException e) {
                // The file is missing for a moment while it is replaced.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- messages ----

    private static Map<String, Object> rate(MeasurementSetup setup, int perSecond, long seed) throws Exception {
        Map<String, Object> values = values(setup);
        try (StubEnvironment world = new StubEnvironment(ANSWER_MS); SenderProcess sender = started(setup, world, LISTED, MOST_DISK_MB);
                LoadGenerator client = new LoadGenerator(sender.address(), seed)) {
            Random random = new Random(seed);
            double seconds = setup.quick() ? QUICK_S : MEASURE_S;
            client.handIn(perSecond, (long) (perSecond * (setup.quick() ? QUICK_S : WARM_UP_S)),
                    () -> random.nextInt(StubEnvironment.DESTINATIONS - 1), LoadGenerator.BODY_BYTES, PATIENCE_MS);
            double processor = sender.processorMs();
            long begun = System.nanoTime();
            LoadGenerator.LoadResult outcome = client.handIn(perSecond, (long) (perSecond * seconds),
                    () -> random.nextInt(StubEnvironment.DESTINATIONS - 1), LoadGenerator.BODY_BYTES, PATIENCE_MS);
            double spent = sender.processorMs() - processor;
            double over = (System.nanoTime() - begun) / 1e6;
            values.put("handed_in", (long) (perSecond * seconds));
            values.put("taken", outcome.taken());
            values.put("not_taken", outcome.refused() + outcome.broken() + outcome.unanswered());
            values.put("core_share", spent / over);
            values.put("message_us", 1000 * spent / Math.max(1, outcome.taken()));
            for (double percentile : new double[] {50, 90, 99, 99.9, 100}) {
                values.put("answer_p" + Double.toString(percentile).replace(".0", "").replace(".", "") + "_us",
                        outcome.nanos().getValueAtPercentile(percentile) / 1e3);
            }
            sender.await(READY_MS, "messages are still pending", () -> sender.figure("edge_gw_pending") == 0);
            values.put("delivered", world.delivered.get());
            values.put("notices", world.notices.get());
            values.put("peak_mb", sender.peakMb());
        }
        return values;
    }

    // ---- list updates ----

    /** Counts the bytes on the agent's connections in both directions, after the full list has been sent. */
    private static Map<String, Object> control(MeasurementSetup setup, int listed, int perSecond, long seed) throws Exception {
        Map<String, Object> values = values(setup);
        try (StubEnvironment world = new StubEnvironment(ANSWER_MS); SenderProcess sender = started(setup, world, listed, MOST_DISK_MB)) {
            values.put("whole_list_bytes", world.agentBytes.get());
            Random random = new Random(seed);
            double processor = sender.processorMs();
            long before = world.agentBytes.get();
            long begun = System.nanoTime();
            long forMs = setup.quick() ? CONTROL_MS / 4 : CONTROL_MS;
            long changes = forMs * perSecond / 1000;
            for (long i = 0; i < changes; i++) {
                sleepUntil(begun + i * 1_000_000_000L / perSecond);
                world.change(random.nextInt(listed - 1), 1 + random.nextInt(100));
            }
            sleepUntil(begun + forMs * 1_000_000);
            double seconds = (System.nanoTime() - begun) / 1e9;
            values.put("control_bytes_s", (world.agentBytes.get() - before) / seconds);
            values.put("core_share", (sender.processorMs() - processor) / 1000 / seconds);
            values.put("changes", changes);
        }
        return values;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
        }
    }
}
