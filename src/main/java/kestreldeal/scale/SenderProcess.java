package kestreldeal.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A real sender as the platform starts it, on one core and loopback, with a folder of its own that lasts from life to
 * life. What it says goes to a file there.
 */
final class SenderProcess implements AutoCloseable {
    /** The one class of messages. */
    static final String CLASS = "c";
    /** Longer than any measurement: what can't be delivered stays held. */
    static final long GIVE_UP_MS = 600_000;
    private static final int POLL_MS = 5;
    private static final int SOCKET_MS = 2000;

    private final Setup setup;
    private final Path folder;
    private final String agent;
    private final int port;
    private final int operatorsPort;
    private Process process;

    /** Prepares a sender that is told of this agent; {@link #start} begins its first life. */
    SenderProcess(Setup setup, World world, double diskMb) throws IOException {
        this.setup = setup;
        this.agent = world.agentAddress();
        this.folder = Files.createTempDirectory("scale");
        this.port = freePort();
        this.operatorsPort = freePort();
        Files.createDirectory(folder.resolve("state"));
        Files.writeString(folder.resolve("config.json"), configuration(diskMb));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String configuration(double diskMb) {
        ObjectMapper json = JsonMapper.builder().build();
        ObjectNode root = json.createObjectNode().put("name", "scale").put("discovery", agent)
                .put("seed", Long.toHexString(setup.seed()));
        root.putObject("limits").put("sockets", 1024).put("disk_mb", diskMb);
        ObjectNode settings = root.putObject("settings").put("fleet_size", 1).put("weight_kind", "rough");
        settings.putArray("classes").addObject().put("name", CLASS).put("aim_ms", 1000)
                .put("give_up_ms", GIVE_UP_MS).put("repeat", "keyed").put("window_ms", GIVE_UP_MS);
        settings.putArray("flavors").add("m");
        settings.putArray("zones").add("a");
        settings.putObject("family_info").put("workers", 256).putArray("batch_by_kind").add(1);
        settings.putObject("limits").put("most_tries", 1).put("dial_timeout_ms", 1000).put("keepalive_ms", 15_000)
                .put("cancel", true);
        settings.putObject("rules").put("start_capacity", 0.2).put("warm_after_ms", 12_000).put("fall_multiple", 2)
                .put("fall_ms", 1500);
        return root.toString();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    Path journal() {
        return folder.resolve("state").resolve("journal");
    }

    /** Begins a life; it is not ready yet. */
    void start() throws IOException {
        List<String> command = new ArrayList<>(setup.pin());
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(setup.options());
        if (Files.isReadable(Setup.ARCHIVE)) {
            command.add("-XX:SharedArchiveFile=" + Setup.ARCHIVE);
        }
        command.addAll(List.of("-jar", Setup.JAR.toString(), "serve", "--alone"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        builder.environment().putAll(Map.of("GW_NAME", "scale", "GW_CONFIG", folder.resolve("config.json").toString(),
                "GW_STATE", folder.resolve("state").toString(), "GW_LISTEN", "127.0.0.1:" + port,
                "GW_OPS", "127.0.0.1:" + operatorsPort));
        process = builder.start();
    }

    /**
     * Waits until clients are told that it is ready; returns how long that took, in milliseconds.
     *
     * @throws Slope.Failed if it ends before, or is not ready in time
     */
    double awaitReady(long limitMs) throws Exception {
        return await(limitMs, "not ready", () -> ask(port, "GET /healthz HTTP/1.1\r\nHost: app.svc\r\n"
                + "Connection: close\r\n\r\n").startsWith("HTTP/1.1 200"));
    }

    /** Waits until it counts so many endpoints in its list; returns how long that took, in milliseconds. */
    double awaitListed(int endpoints, long limitMs) throws Exception {
        return await(limitMs, "the list is not in force", () -> figure("edge_gw_members") == endpoints);
    }

    /** A condition that asks the process. */
    interface Condition {
        boolean holds() throws IOException;
    }

    /** Asks again and again; one that can't be asked yet, or is too busy, has not come so far. */
    double await(long limitMs, String otherwise, Condition condition) throws Exception {
        long begun = System.nanoTime();
        while (true) {
            try {
                if (condition.holds()) {
                    return (System.nanoTime() - begun) / 1e6;
                }
            } catch (IOException e) {
                // Asked again below, until its time is up.
            }
            if (!process.isAlive()) {
                throw new Slope.Failed(otherwise + ": the process ended with " + process.exitValue() + ", "
                        + lastWords());
            }
            if (System.nanoTime() - begun > limitMs * 1_000_000) {
                throw new Slope.Failed(otherwise + " after " + limitMs + " ms, " + lastWords());
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** The figure of that name as operators see it, or -1. */
    long figure(String name) throws IOException {
        return ask(operatorsPort, "telemetry\n").lines().filter(line -> line.startsWith(name + " "))
                .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1))).findFirst().orElse(-1);
    }

    private static String ask(int port, String call) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), SOCKET_MS);
            socket.setSoTimeout(SOCKET_MS);
            socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Processor time that it has used, user and system, in milliseconds; the system counts in steps of 10. */
    double processorMs() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        // The second field may hold blanks, but ends with the last bracket.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10.0;
    }

    /** Most memory that it has had resident so far, in megabytes. */
    double peakMb() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024).findFirst()
                    .orElseThrow(() -> new IOException("no peak memory is told"));
        }
    }

    /** What it said last, without the time. */
    String lastWords() throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("log"));
        return lines.isEmpty() ? "without a word" : "last line: " + lines.get(lines.size() - 1)
                .replaceFirst("^[0-9T:.Z-]+ ", "");
    }

    /** Ends its life at once (SIGKILL); the folder stays. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            try {
                kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
