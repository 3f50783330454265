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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import kestreldeal.scale.soak.SoakSettings.MessageClass;

/** One real sender as the platform starts it, in life after life, with its agent and its faults. */
final class SoakSender {
    private static final int SOCKET_MS = 1000;
    private static final int READY_POLL_MS = 20;
    private static final int READY_MS = 10_000;
    private static final long KILLED_AFTER_MS = 3700;
    /** After SIGHUP what discovery has to tell counts as told so long later. */
    private static final double RELOAD_MS = 4000;
    private static final long CLOCK_TICKS = 100;
    /** Below those that Linux gives out by itself. */
    private static final int END_OF_PORTS = 32_000;
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(20_000 + (int) (ProcessHandle.current().pid() % 8000));

    final int number;
    private final SoakSettings settings;
    private final EventLoop loop;
    private final Ledger ledger;
    private final Ledger.Clock clock;
    private final Path folder;
    private final int port;
    private final int operatorsPort;
    private final List<String> command;
    private final Optional<Shim> shim;
    private final Roster roster;
    private final List<double[]> reloads = new ArrayList<>();
    private final List<double[]> silences = new ArrayList<>();
    private AgentStand agent;
    private Process process;
    private boolean meantToEnd;
    private boolean busy;

    SoakSender(int number, SoakSettings settings, List<String> command, EventLoop loop, Ledger ledger, Ledger.Clock clock,
            Roster roster, Optional<Path> library) throws IOException {
        this.number = number;
        this.settings = settings;
        this.command = command;
        this.loop = loop;
        this.ledger = ledger;
        this.clock = clock;
        this.roster = roster;
        this.folder = settings.folder().resolve("sender-" + number);
        Files.createDirectories(folder.resolve("state"));
        this.port = freePort();
        this.operatorsPort = freePort();
        this.shim = library.isEmpty() ? Optional.empty()
                : Optional.of(Shim.of(library.get(), folder.resolve("faults"), settings.seed() * 1000 + number + 1));
        this.agent = new AgentStand(loop, roster, ledger);
    }

    /** One that the system gives to nobody by itself: a sender has the same in each life. */
    private static int freePort() throws IOException {
        for (int port = NEXT_PORT.getAndIncrement(); port < END_OF_PORTS; port = NEXT_PORT.getAndIncrement()) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                continue;
            }
        }
        throw new IOException("no port is free below " + END_OF_PORTS);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    Optional<Shim> shim() {
        return shim;
    }

    AgentStand agent() {
        return agent;
    }

    /** Whether a life of it is ending or beginning: then nothing else is done to it. */
    boolean isBusy() {
        return busy;
    }

    private void configure() throws IOException {
        StringBuilder classes = new StringBuilder();
        for (MessageClass type : MessageClass.values()) {
            classes.append(classes.length() == 0 ? "" : ",").append(String.format(Locale.ROOT, "{\"name\":\"%s\","
                    + "\"aim_ms\":%d,\"give_up_ms\":%d,\"repeat\":\"%s\",\"window_ms\":%d,\"worth\":1,\"late_worth\":0.3}",
                    type.wireName, type.aimMs, type.deadlineMs, type.isUnsafe() ? "unsafe" : "keyed", type.windowMs));
        }
        Files.writeString(folder.resolve("config.json"), String.format(Locale.ROOT, """
                {"name":"soak-%d","discovery":"%s","seed":"%x","limits":{"memory_mb":192,"sockets":512,"disk_mb":3},
                 "settings":{"classes":[%s],"flavors":["m"],"zones":["a"],"weight_kind":"rough",
                  "family_info":{"workers":24,"batch_by_kind":[3],"separate_routes":[false]},"fleet_size":%d,
                  "limits":{"most_tries":%d,"second_copies":true,"cancel":true,"dial_timeout_ms":1000,
                   "keepalive_ms":15000,"max_open":400},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":3000}}}
                """, number, agent.hostPort(), settings.seed() + number, classes, settings.senders(),
                SoakSettings.MOST_ATTEMPTS));
    }

    /** Begins its first life; when it is ready the ledger is told. */
    void start() throws IOException {
        configure();
        begin();
    }

    private void begin() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().putAll(Map.of("GW_NAME", "soak-" + number, "GW_CONFIG",
                folder.resolve("config.json").toString(), "GW_STATE", folder.resolve("state").toString(), "GW_LISTEN",
                "127.0.0.1:" + port, "GW_OPS", "127.0.0.1:" + operatorsPort, "GW_TRACE",
                folder.resolve("trace").toString()));
        shim.ifPresent(faults -> builder.environment().putAll(faults.environment()));
        meantToEnd = false;
        Process life = builder.start();
        process = life;
        life.onExit().thenRun(() -> loop.execute(() -> ended(life)));
        awaitReady(life, clock.nowMs());
    }

    private void ended(Process life) {
        ledger.gone(number);
        if (!meantToEnd && life == process) {
            ledger.breach(Ledger.Rule.SENDER_ENDED, number, "-", "exit " + life.exitValue());
        }
    }

    /** Asked on a thread of its own, since it may take long to be answered. */
    private void awaitReady(Process life, double begunMs) {
        Thread thread = new Thread(() -> {
            while (life.isAlive() && !ask(port, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200")) {
                try {
                    Thread.sleep(READY_POLL_MS);
                } catch (InterruptedException e) {
                    return;
                }
            }
            loop.execute(() -> {
                double tookMs = clock.nowMs() - begunMs;
                if (life.isAlive() && life == process) {
                    ledger.ready(number);
                    busy = false;
                    if (tookMs > READY_MS) {
                        ledger.breach(Ledger.Rule.NOT_READY, number, "-", (long) tookMs + " ms");
                    }
                }
            });
        }, "ready " + number);
        thread.setDaemon(true);
        thread.start();
    }

    private static String ask(int port, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), SOCKET_MS);
            socket.setSoTimeout(SOCKET_MS);
            socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    /** SIGKILL, and the next life a little later. */
    void kill(long downMs) {
        busy = true;
        meantToEnd = true;
        ledger.ends(number);
        process.destroyForcibly();
        later(downMs, this::begin);
    }

    /** SIGTERM, SIGKILL once its time is over, and the next life a little later. */
    void end(long downMs) {
        busy = true;
        meantToEnd = true;
        ledger.ends(number);
        Process life = process;
        life.destroy();
        later(KILLED_AFTER_MS, () -> {
            life.destroyForcibly();
            later(downMs, this::begin);
        });
    }

    private interface Step {
        void go() throws IOException;
    }

    private void later(long ms, Step step) {
        loop.schedule(() -> {
            try {
                step.go();
            } catch (IOException e) {
                ledger.breach(Ledger.Rule.SENDER_ENDED, number, "-", "can't be started: " + e.getMessage());
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    /** A new configuration names another agent; called off the loop, as that one has to listen first. */
    void reload() {
        AgentStand next = new AgentStand(loop, roster, ledger);
        loop.execute(() -> {
            if (busy) {
                next.close();
                return;
            }
            AgentStand old = agent;
            agent = next;
            try {
                configure();
            } catch (IOException e) {
                ledger.breach(Ledger.Rule.SENDER_ENDED, number, "-", "no configuration: " + e.getMessage());
            }
            reloads.add(new double[] {clock.nowMs(), clock.nowMs() + RELOAD_MS});
            signal("HUP");
            old.moves();
        });
    }

    /** Discovery is silent for it for so long. */
    void silence(long ms) {
        AgentStand quiet = agent;
        quiet.silent(true);
        double[] span = {clock.nowMs(), Double.POSITIVE_INFINITY};
        silences.add(span);
        loop.schedule(() -> {
            span[1] = clock.nowMs();
            quiet.silent(false);
        }, ms, TimeUnit.MILLISECONDS);
    }

    /** When a change that discovery had at that time counted as told to it. */
    double toldAtMs(double changedAtMs) {
        return Stream.concat(reloads.stream(), silences.stream())
                .filter(span -> span[0] <= changedAtMs && changedAtMs < span[1]).mapToDouble(span -> span[1]).max()
                .orElse(changedAtMs);
    }

    /** The process does not run for a moment. */
    void holdUp(long ms) {
        signal("STOP");
        loop.schedule(() -> signal("CONT"), ms, TimeUnit.MILLISECONDS);
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        } catch (IOException e) {
            ledger.breach(Ledger.Rule.SENDER_ENDED, number, "-", "can't be signalled: " + e.getMessage());
        }
    }

    /** The sum of the figures of that name as operators see them, over all reasons; -1 if it does not answer. */
    long figure(String name) {
        String text = ask(operatorsPort, "telemetry\n");
        return text.isEmpty() ? -1 : text.lines().filter(line -> line.startsWith("edge_gw_" + name))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1))).sum();
    }

    /** Processor time of this life in seconds, most memory in megabytes, and descriptors now. */
    double[] costs() throws IOException {
        Path proc = Path.of("/proc", Long.toString(process.pid()));
        String stat = Files.readString(proc.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double seconds = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / (double) CLOCK_TICKS;
        double peakMb = Files.readAllLines(proc.resolve("status")).stream().filter(line -> line.startsWith("VmHWM:"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024).sum();
        try (Stream<Path> open = Files.list(proc.resolve("fd"))) {
            return new double[] {seconds, peakMb, open.count()};
        }
    }

    Path log() {
        return folder.resolve("log");
    }

    /** The steps of one message, over all lives. */
    List<String> trace(String id) throws IOException {
        Path file = folder.resolve("trace");
        if (!Files.exists(file)) {
            return List.of();
        }
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(Files.newInputStream(file),
                StandardCharsets.UTF_8))) {
            return lines.lines().filter(line -> line.contains(" " + id)).toList();
        }
    }

    /** Ends its life at once, and its agent. */
    void close() throws InterruptedException {
        meantToEnd = true;
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        agent.close();
    }
}
