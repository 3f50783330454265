package kestreldeal.scale.soak;

import io.netty.channel.EventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import kestreldeal.scale.soak.SoakSettings.MessageClass;

/**
 * One real sender, started as the platform starts it and restarted over and over, with its stub agent and the faults
 * that are injected into its process. Its directory and ports stay the same across restarts.
 */
final class SoakSender {
    private static final int SOCKET_TIMEOUT_MS = 1000;
    private static final int READY_POLL_INTERVAL_MS = 20;
    /** Time that a sender may take from its start until it is ready. */
    private static final int MAX_START_MS = 10_000;
    /** Time from SIGTERM to SIGKILL. */
    private static final long KILL_DELAY_MS = 3700;
    /** After SIGHUP the sender switches to another agent: list changes in this time count as notified at its end. */
    private static final double RELOAD_GRACE_MS = 4000;
    /** Unit of the CPU times in /proc. */
    private static final long CLOCK_TICKS_PER_SECOND = 100;
    /** Ports below this are outside the range from which Linux assigns ephemeral ports. */
    private static final int PORT_LIMIT = 32_000;
    /** Starts at a port that depends on the process, so that soak tests in parallel rarely collide. */
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(20_000
            + (int) (ProcessHandle.current().pid() % 8000));

    final int number;
    private final SoakSettings settings;
    private final EventLoop eventLoop;
    private final Ledger ledger;
    private final Ledger.Clock clock;
    private final Path directory;
    private final int clientPort;
    private final int operatorPort;
    private final List<String> startCommand;
    private final Optional<FaultLibrary> faultLibrary;
    private final EndpointList endpointList;
    /** Start and end of each reload and discovery outage, during which list changes may not reach the sender. */
    private final List<double[]> reloadSpans = new ArrayList<>();
    private final List<double[]> outageSpans = new ArrayList<>();
    private StubAgent agent;
    private Process process;
    /** Whether the exit of the current process is part of the test. */
    private boolean isExitExpected;
    private boolean isRestarting;

    SoakSender(int number, SoakSettings settings, List<String> startCommand, EventLoop eventLoop, Ledger ledger,
            Ledger.Clock clock, EndpointList endpointList, Optional<Path> faultLibraryFile) throws IOException {
        this.number = number;
        this.settings = settings;
        this.startCommand = startCommand;
        this.eventLoop = eventLoop;
        this.ledger = ledger;
        this.clock = clock;
        this.endpointList = endpointList;
        this.directory = settings.directory().resolve("sender-" + number);
        Files.createDirectories(directory.resolve("state"));
        this.clientPort = freePort();
        this.operatorPort = freePort();
        this.faultLibrary = faultLibraryFile.isEmpty() ? Optional.empty()
                : Optional.of(FaultLibrary.forSender(faultLibraryFile.get(), directory.resolve("faults"),
                        settings.seed() * 1000 + number + 1));
        this.agent = new StubAgent(eventLoop, endpointList, ledger);
    }

    /**
     * A free port that the system does not assign as an ephemeral port: a sender keeps its ports across restarts, and
     * nothing else may get them while it is down.
     */
    private static int freePort() throws IOException {
        for (int port = NEXT_PORT.getAndIncrement(); port < PORT_LIMIT; port = NEXT_PORT.getAndIncrement()) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                continue;
            }
        }
        throw new IOException("no port is free below " + PORT_LIMIT);
    }

    InetSocketAddress clientAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), clientPort);
    }

    Optional<FaultLibrary> faultLibrary() {
        return faultLibrary;
    }

    StubAgent agent() {
        return agent;
    }

    /** Whether its process is being stopped or restarted by a fault; no other fault is injected into it meanwhile. */
    boolean isRestarting() {
        return isRestarting;
    }

    private void writeConfiguration() throws IOException {
        StringBuilder classes = new StringBuilder();
        for (MessageClass messageClass : MessageClass.values()) {
            classes.append(classes.length() == 0 ? "" : ",").append(String.format(Locale.ROOT, "{\"name\":\"%s\","
                    + "\"aim_ms\":%d,\"give_up_ms\":%d,\"repeat\":\"%s\",\"window_ms\":%d,\"worth\":1,\"late_worth\":0.3}",
                    messageClass.wireName, messageClass.targetLatencyMs, messageClass.deadlineMs,
                    messageClass.isUnsafe() ? "unsafe" : "keyed", messageClass.dedupWindowMs));
        }
        Files.writeString(directory.resolve("config.json"), String.format(Locale.ROOT, """
                {"name":"soak-%d","discovery":"%s","seed":"%x","limits":{"memory_mb":192,"sockets":512,"disk_mb":3},
                 "settings":{"classes":[%s],"flavors":["m"],"zones":["a"],"weight_kind":"rough",
                  "family_info":{"workers":24,"batch_by_kind":[3],"separate_routes":[false]},"fleet_size":%d,
                  "limits":{"most_tries":%d,"second_copies":true,"cancel":true,"dial_timeout_ms":1000,
                   "keepalive_ms":15000,"max_open":400},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":3000}}}
                """, number, agent.hostPort(), settings.seed() + number, classes, settings.senderCount(),
                SoakSettings.MAX_ATTEMPTS));
    }

    /** Starts its first process, without waiting; the ledger is notified when the sender is ready. */
    void start() throws IOException {
        writeConfiguration();
        startProcess();
    }

    private void startProcess() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(startCommand).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().putAll(Map.of("GW_NAME", "soak-" + number, "GW_CONFIG",
                directory.resolve("config.json").toString(), "GW_STATE", directory.resolve("state").toString(),
                "GW_LISTEN", "127.0.0.1:" + clientPort, "GW_OPS", "127.0.0.1:" + operatorPort, "GW_TRACE",
                directory.resolve("trace").toString()));
        faultLibrary.ifPresent(library -> builder.environment().putAll(library.environment()));
        isExitExpected = false;
        Process started = builder.start();
        process = started;
        started.onExit().thenRun(() -> eventLoop.execute(() -> processExited(started)));
        awaitReady(started, clock.nowMs());
    }

    private void processExited(Process exited) {
        ledger.senderExited(number);
        if (!isExitExpected && exited == process) {
            ledger.recordBreach(Ledger.Rule.SENDER_ENDED, number, "-",
                    "unexpected exit with code " + exited.exitValue());
        }
    }

    /** Polls the health check on a separate thread, because a response may take long, and notifies the ledger. */
    private void awaitReady(Process started, double startedAtMs) {
        Thread thread = new Thread(() -> {
            while (started.isAlive()
                    && !query(clientPort, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                            .startsWith("HTTP/1.1 200")) {
                try {
                    Thread.sleep(READY_POLL_INTERVAL_MS);
                } catch (InterruptedException e) {
                    return;
                }
            }
            eventLoop.execute(() -> {
                double startMs = clock.nowMs() - startedAtMs;
                if (started.isAlive() && started == process) {
                    ledger.senderReady(number);
                    isRestarting = false;
                    if (startMs > MAX_START_MS) {
                        ledger.recordBreach(Ledger.Rule.NOT_READY, number, "-",
                                (long) startMs + " ms from the start until it was ready");
                    }
                }
            });
        }, "ready " + number);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a request and reads until the sender closes the connection; empty if there is no complete response. */
    private static String query(int port, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), SOCKET_TIMEOUT_MS);
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    /** Kills the process with SIGKILL, and starts the next one after the given time. */
    void kill(long downMs) {
        isRestarting = true;
        isExitExpected = true;
        ledger.senderStopping(number);
        process.destroyForcibly();
        scheduleTask(downMs, this::startProcess);
    }

    /** Sends SIGTERM, then SIGKILL after a delay, and starts the next process after the given further time. */
    void terminate(long downMs) {
        isRestarting = true;
        isExitExpected = true;
        ledger.senderStopping(number);
        Process terminated = process;
        terminated.destroy();
        scheduleTask(KILL_DELAY_MS, () -> {
            terminated.destroyForcibly();
            scheduleTask(downMs, this::startProcess);
        });
    }

    /** Sends further signals, SIGTERM or SIGHUP, at random times while the process terminates. */
    void repeatSignals(int count, Random random) {
        Process terminated = process;
        for (int i = 0; i < count; i++) {
            String signalName = random.nextBoolean() ? "TERM" : "HUP";
            eventLoop.schedule(() -> {
                if (terminated.isAlive()) {
                    sendSignal(terminated, signalName);
                }
            }, random.nextInt((int) KILL_DELAY_MS), TimeUnit.MILLISECONDS);
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private void scheduleTask(long delayMs, IoTask task) {
        eventLoop.schedule(() -> {
            try {
                task.run();
            } catch (IOException e) {
                ledger.recordBreach(Ledger.Rule.SENDER_ENDED, number, "-",
                        "the process can't be started: " + e.getMessage());
            }
        }, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Switches the sender to a new agent: rewrites its configuration and sends SIGHUP. Must not be called on the event
     * loop, because creating the agent waits until it listens.
     */
    void reload() {
        StubAgent newAgent = new StubAgent(eventLoop, endpointList, ledger);
        eventLoop.execute(() -> {
            if (isRestarting) {
                newAgent.close();
                return;
            }
            StubAgent oldAgent = agent;
            agent = newAgent;
            try {
                writeConfiguration();
            } catch (IOException e) {
                ledger.recordBreach(Ledger.Rule.SENDER_ENDED, number, "-",
                        "the configuration can't be written: " + e.getMessage());
            }
            reloadSpans.add(new double[] {clock.nowMs(), clock.nowMs() + RELOAD_GRACE_MS});
            sendSignal("HUP");
            oldAgent.retire();
        });
    }

    /** Makes discovery of its agent unavailable for the given time. */
    void stopDiscovery(long durationMs) {
        StubAgent stoppedAgent = agent;
        stoppedAgent.setDiscoveryDown(true);
        double[] span = {clock.nowMs(), Double.POSITIVE_INFINITY};
        outageSpans.add(span);
        eventLoop.schedule(() -> {
            span[1] = clock.nowMs();
            stoppedAgent.setDiscoveryDown(false);
        }, durationMs, TimeUnit.MILLISECONDS);
    }

    /**
     * The time at which the sender counts as notified of a change of the list: the time of the change, or the end of
     * the reload or outage of discovery in which it occurred.
     */
    double notifiedAtMs(double changedAtMs) {
        return Stream.concat(reloadSpans.stream(), outageSpans.stream())
                .filter(span -> span[0] <= changedAtMs && changedAtMs < span[1]).mapToDouble(span -> span[1]).max()
                .orElse(changedAtMs);
    }

    /** Suspends the process (SIGSTOP) for the given time. */
    void suspend(long durationMs) {
        sendSignal("STOP");
        eventLoop.schedule(() -> sendSignal("CONT"), durationMs, TimeUnit.MILLISECONDS);
    }

    private void sendSignal(String signalName) {
        sendSignal(process, signalName);
    }

    private void sendSignal(Process target, String signalName) {
        try {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(target.pid())).start();
        } catch (IOException e) {
            ledger.recordBreach(Ledger.Rule.SENDER_ENDED, number, "-",
                    "the process can't be sent a signal: " + e.getMessage());
        }
    }

    /** The sum of a metric over all its labels, from the operators' port; -1 if the sender does not respond. */
    long metric(String name) {
        String text = query(operatorPort, "telemetry\n");
        return text.isEmpty() ? -1 : text.lines().filter(line -> line.startsWith("edge_gw_" + name))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1))).sum();
    }

    /** CPU seconds and peak memory in megabytes of the current process, and its number of open file descriptors. */
    double[] resourceUse() throws IOException {
        Path proc = Path.of("/proc", Long.toString(process.pid()));
        String stat = Files.readString(proc.resolve("stat"));
        // The second field (the command) may contain spaces, but ends with the last closing parenthesis.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double cpuSeconds = (Long.parseLong(fields[11]) + Long.parseLong(fields[12]))
                / (double) CLOCK_TICKS_PER_SECOND;
        double peakMb = Files.readAllLines(proc.resolve("status")).stream().filter(line -> line.startsWith("VmHWM:"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024).sum();
        try (Stream<Path> descriptors = Files.list(proc.resolve("fd"))) {
            return new double[] {cpuSeconds, peakMb, descriptors.count()};
        }
    }

    Path logFile() {
        return directory.resolve("log");
    }

    /** The lines of the sender's trace file for one message, from all its processes. */
    List<String> trace(String messageId) throws IOException {
        Path file = directory.resolve("trace");
        if (!Files.exists(file)) {
            return List.of();
        }
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(Files.newInputStream(file),
                StandardCharsets.UTF_8))) {
            return lines.lines().filter(line -> line.contains(" " + messageId)).toList();
        }
    }

    /** Kills the process, and closes its agent. */
    void close() throws InterruptedException {
        isExitExpected = true;
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        agent.close();
    }
}
