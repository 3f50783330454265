package kestreldeal.scale.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One run of the soak test: real sender processes on loopback, stubs for their clients, endpoints and agents, randomly
 * injected faults that overlap, and a ledger that checks the rules. All stubs run on one event loop; its own scheduling
 * delay is measured and added to the ledger's time limits.
 */
final class SoakRun implements Ledger.Clock, AutoCloseable {
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long RESULTS_TIMEOUT_MS = 30_000;
    private static final long CHECK_INTERVAL_MS = 200;
    private static final long TICK_INTERVAL_MS = 10;
    /** Time for which a scheduling delay of the event loop is added to time limits. */
    private static final long DELAY_HOLD_MS = 2000;
    private static final String NETTY_INTERFACES_WARNING = "Failed to retrieve the list of available network interfaces";
    /** Mean time between two faults, per sender. */
    private static final double SECONDS_PER_SENDER_FAULT = 6;

    private final SoakSettings settings;
    private final List<String> senderCommand;
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoops.next();
    private final long startNanos = System.nanoTime();
    private final Random random;
    private final Ledger ledger;
    private final EndpointList endpointList = new EndpointList();
    /** Shared with the fault injector, which replaces endpoints. */
    private final List<StubEndpoint> currentEndpoints = new ArrayList<>();
    /** The endpoints at the start of the run. */
    private final List<StubEndpoint> initialEndpoints = new ArrayList<>();
    private final List<SoakSender> senders = new ArrayList<>();
    private final List<SoakClients> clients = new ArrayList<>();
    private FaultInjector faultInjector;
    private double recentDelayMs;
    private double recentDelayAtMs;
    private double maxDelayMs;
    private double nextTickDueMs;

    SoakRun(SoakSettings settings, List<String> senderCommand) {
        this.settings = settings;
        this.senderCommand = senderCommand;
        this.random = new Random(settings.seed());
        this.ledger = new Ledger(settings.senderCount(), this);
    }

    @Override
    public double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    @Override
    public double schedulingDelayMs() {
        return nowMs() - recentDelayAtMs < DELAY_HOLD_MS ? recentDelayMs : 0;
    }

    /** Measures how late the event loop runs a timer, and keeps the longest delay of the last two seconds. */
    private void tick() {
        double nowMs = nowMs();
        double delayMs = Math.max(0, nowMs - nextTickDueMs);
        if (delayMs > recentDelayMs || nowMs - recentDelayAtMs > DELAY_HOLD_MS) {
            recentDelayMs = delayMs;
            recentDelayAtMs = nowMs;
        }
        maxDelayMs = Math.max(maxDelayMs, delayMs);
        nextTickDueMs = nowMs + TICK_INTERVAL_MS;
        eventLoop.schedule(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Executes the run, waits until the results of all messages are checked, and returns a summary of the run. */
    Map<String, Object> run(Optional<Path> faultLibrary) throws Exception {
        prepare(faultLibrary);
        eventLoop.submit(() -> {
            nextTickDueMs = nowMs();
            tick();
        }).sync();
        for (SoakSender sender : senders) {
            sender.start();
        }
        if (!await(READY_TIMEOUT_MS, () -> senders.stream().allMatch(sender -> ledger.isInService(sender.number)))) {
            throw new IOException("the senders are not ready: " + lastLogLines());
        }
        eventLoop.submit(() -> {
            clients.forEach(client -> client.start(settings.messagesPerSenderSecond()));
            if (settings.injectFaults()) {
                faultInjector.schedule((int) (settings.senderCount() * settings.seconds() / SECONDS_PER_SENDER_FAULT),
                        settings.seconds());
            }
        }).sync();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(settings.seconds());
        while (System.nanoTime() < endNanos) {
            Thread.sleep(CHECK_INTERVAL_MS);
            eventLoop.submit(ledger::checkResults).sync();
        }
        eventLoop.submit(() -> clients.forEach(SoakClients::stop)).sync();
        boolean allChecked = await(RESULTS_TIMEOUT_MS, ledger::checkResults);
        return summarize(allChecked);
    }

    private void prepare(Optional<Path> faultLibrary) throws IOException {
        for (int i = 0; i < settings.destinationCount() * settings.endpointsPerDestination(); i++) {
            StubEndpoint endpoint = new StubEndpoint("s-" + i, i % settings.destinationCount(), eventLoop, ledger,
                    this, new Random(random.nextLong()));
            endpoint.open();
            currentEndpoints.add(endpoint);
            endpointList.put(endpoint.id, endpoint.hostPort(), endpoint.destination, "SERVING");
        }
        initialEndpoints.addAll(currentEndpoints);
        for (int i = 0; i < settings.senderCount(); i++) {
            SoakSender sender = new SoakSender(i, settings, senderCommand, eventLoop, ledger, this, endpointList,
                    faultLibrary);
            senders.add(sender);
            clients.add(new SoakClients(i, sender.clientAddress(), eventLoop, ledger, this,
                    new Random(random.nextLong()), settings.destinationCount()));
        }
        faultInjector = new FaultInjector(eventLoop, new Random(random.nextLong()), ledger, this, endpointList,
                senders, clients, currentEndpoints);
        for (int i = 0; i < settings.senderCount(); i++) {
            int senderNumber = i;
            clients.get(i).setSocketsFaulty(() -> faultInjector.mayBreakConnections(senderNumber));
            ledger.setMayLoseEnds(i, () -> faultInjector.mayLoseEnds(senderNumber));
        }
    }

    private interface Condition {
        boolean holds();
    }

    /** Polls a condition on the event loop; returns false if it does not hold before the timeout. */
    private boolean await(long timeoutMs, Condition condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!eventLoop.submit(condition::holds).get()) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            Thread.sleep(CHECK_INTERVAL_MS);
        }
        return true;
    }

    /** Adds breaches that the senders themselves reported in metrics and logs, and puts the summary together. */
    private Map<String, Object> summarize(boolean allChecked) throws Exception {
        for (SoakSender sender : senders) {
            long reportedBreaches = sender.metric("invariant_breaches_total");
            List<String> faultLines = faultLines(Files.readAllLines(sender.logFile()));
            if (reportedBreaches != 0 || !faultLines.isEmpty()) {
                eventLoop.submit(() -> ledger.recordBreach(Ledger.Rule.REPORTED_BY_SENDER, sender.number, "-",
                        reportedBreaches + " breaches in its metric; lines of its log: "
                                + faultLines.stream().limit(3).toList())).sync();
            }
        }
        Map<String, Object> summary = new LinkedHashMap<>();
        summary.put("senders", settings.senderCount());
        summary.put("endpoints", settings.destinationCount() * settings.endpointsPerDestination());
        summary.put("seconds", settings.seconds());
        summary.put("run_seed", settings.seed());
        summary.put("faults", senders.get(0).faultLibrary().isPresent());
        summary.putAll(eventLoop.submit(ledger::summary).get());
        summary.put("refused_at_once", clients.stream().mapToLong(SoakClients::rejectedCount).sum());
        summary.put("unanswered", clients.stream().mapToLong(SoakClients::unansweredCount).sum());
        summary.put("all_judged", allChecked);
        summary.put("test_late_ms", Math.round(maxDelayMs));
        summary.put("troubles", faultInjector.counts());
        return summary;
    }

    /** The lines that report a fault, less the exception of a warning that Netty logs if a socket can't be created. */
    private static List<String> faultLines(List<String> log) {
        List<String> faultLines = new ArrayList<>();
        for (int i = 0; i < log.size(); i++) {
            if (reportsFault(log.get(i)) && !(i > 0 && log.get(i - 1).endsWith(NETTY_INTERFACES_WARNING))) {
                faultLines.add(log.get(i));
            }
        }
        return faultLines;
    }

    private static boolean reportsFault(String line) {
        return line.contains("fault in the module") || line.contains("invariant broken") || line.contains("Exception")
                || line.contains("OutOfMemory");
    }

    /** The breaches as text, each followed by the sender's trace of the message. */
    List<String> formatBreaches() throws IOException {
        List<String> lines = new ArrayList<>();
        for (Ledger.Breach breach : ledger.breaches()) {
            lines.add(breach.toString());
            if (breach.sender() >= 0 && !breach.id().equals("-")) {
                senders.get(breach.sender()).trace(breach.id()).forEach(line -> lines.add("    " + line));
            }
        }
        return lines;
    }

    /**
     * The mean per sender of CPU seconds, peak memory, open file descriptors, connections to endpoints, and bytes of
     * endpoint lists from the agent. Connections to endpoints that replaced others are not counted.
     */
    Map<String, Double> meanResourceUse() throws IOException {
        double[] sums = new double[3];
        for (SoakSender sender : senders) {
            double[] resourceUse = sender.resourceUse();
            for (int i = 0; i < sums.length; i++) {
                sums[i] += resourceUse[i];
            }
        }
        Map<String, Double> means = new LinkedHashMap<>();
        means.put("cpu_s", sums[0] / senders.size());
        means.put("peak_mb", sums[1] / senders.size());
        means.put("descriptors", sums[2] / senders.size());
        means.put("connections", initialEndpoints.stream().mapToLong(StubEndpoint::acceptedConnectionCount).sum()
                / (double) senders.size());
        means.put("list_bytes", senders.stream().mapToLong(sender -> sender.agent().listBytes()).sum()
                / (double) senders.size());
        return means;
    }

    private String lastLogLines() throws IOException {
        List<String> lastLines = new ArrayList<>();
        for (SoakSender sender : senders) {
            List<String> lines = Files.exists(sender.logFile()) ? Files.readAllLines(sender.logFile()) : List.of();
            lastLines.add(lines.isEmpty() ? "nothing" : lines.get(lines.size() - 1));
        }
        return lastLines.toString();
    }

    @Override
    public void close() throws Exception {
        for (SoakSender sender : senders) {
            sender.close();
        }
        currentEndpoints.forEach(StubEndpoint::close);
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }
}
