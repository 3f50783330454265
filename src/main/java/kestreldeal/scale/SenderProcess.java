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
 * A real sender, started as the platform starts it but on loopback and pinned to one core. It has a directory of its
 * own, which is kept when the process is restarted and also has the log.
 */
final class SenderProcess implements AutoCloseable {
    /** The only message class. */
    static final String MESSAGE_CLASS = "c";
    /** Deadline of messages, longer than any measurement: a message that can't be delivered stays pending. */
    static final long DEADLINE_MS = 600_000;
    private static final int POLL_INTERVAL_MS = 5;
    private static final int SOCKET_TIMEOUT_MS = 2000;

    private final MeasurementSetup setup;
    private final Path directory;
    private final String agentAddress;
    private final int clientPort;
    private final int operatorPort;
    private Process process;

    /** Prepares the directory of a sender that uses the agent of this environment; {@link #start} starts it. */
    SenderProcess(MeasurementSetup setup, StubEnvironment environment, double diskMb) throws IOException {
        this.setup = setup;
        this.agentAddress = environment.agentAddress();
        this.directory = Files.createTempDirectory("scale");
        this.clientPort = freePort();
        this.operatorPort = freePort();
        Files.createDirectory(directory.resolve("state"));
        Files.writeString(directory.resolve("config.json"), configuration(diskMb));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String configuration(double diskMb) {
        ObjectMapper json = JsonMapper.builder().build();
        ObjectNode root = json.createObjectNode().put("name", "scale").put("discovery", agentAddress)
                .put("seed", Long.toHexString(setup.seed()));
        root.putObject("limits").put("sockets", 1024).put("disk_mb", diskMb);
        ObjectNode settings = root.putObject("settings").put("fleet_size", 1).put("weight_kind", "rough");
        settings.putArray("classes").addObject().put("name", MESSAGE_CLASS).put("aim_ms", 1000)
                .put("give_up_ms", DEADLINE_MS).put("repeat", "keyed").put("window_ms", DEADLINE_MS);
        settings.putArray("flavors").add("m");
        settings.putArray("zones").add("a");
        settings.putObject("family_info").put("workers", 256).putArray("batch_by_kind").add(1);
        settings.putObject("limits").put("most_tries", 1).put("dial_timeout_ms", 1000).put("keepalive_ms", 15_000)
                .put("cancel", true);
        settings.putObject("rules").put("start_capacity", 0.2).put("warm_after_ms", 12_000).put("fall_multiple", 2)
                .put("fall_ms", 1500);
        return root.toString();
    }

    InetSocketAddress clientAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), clientPort);
    }

    Path journalFile() {
        return directory.resolve("state").resolve("journal");
    }

    /** Starts the process, without waiting until it is ready. */
    void start() throws IOException {
        List<String> command = new ArrayList<>(setup.pinCommand());
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(setup.jvmOptions());
        if (Files.isReadable(MeasurementSetup.CLASS_ARCHIVE)) {
            command.add("-XX:SharedArchiveFile=" + MeasurementSetup.CLASS_ARCHIVE);
        }
        command.addAll(List.of("-jar", MeasurementSetup.JAR.toString(), "serve", "--alone"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve("log").toFile()));
        builder.environment().putAll(Map.of("GW_NAME", "scale",
                "GW_CONFIG", directory.resolve("config.json").toString(),
                "GW_STATE", directory.resolve("state").toString(),
                "GW_LISTEN", "127.0.0.1:" + clientPort, "GW_OPS", "127.0.0.1:" + operatorPort));
        process = builder.start();
    }

    /**
     * Waits until the health check reports that the sender is ready; returns the time that took, in milliseconds.
     *
     * @throws Slope.MeasurementFailedException if the process exits before, or is not ready in time
     */
    double awaitReady(long timeoutMs) throws Exception {
        return await(timeoutMs, "not ready", () -> query(clientPort, "GET /healthz HTTP/1.1\r\nHost: app.svc\r\n"
                + "Connection: close\r\n\r\n").startsWith("HTTP/1.1 200"));
    }

    /** Waits until the sender's metric counts this many listed endpoints; returns the time in milliseconds. */
    double awaitListed(int endpointCount, long timeoutMs) throws Exception {
        return await(timeoutMs, "the list has not been applied", () -> metric("edge_gw_members") == endpointCount);
    }

    /** A condition that queries the process. */
    interface Condition {
        boolean holds() throws IOException;
    }

    /** Polls the condition; a query that fails, because the process is starting or busy, counts as not yet true. */
    double await(long timeoutMs, String failureText, Condition condition) throws Exception {
        long startNanos = System.nanoTime();
        while (true) {
            try {
                if (condition.holds()) {
                    return (System.nanoTime() - startNanos) / 1e6;
                }
            } catch (IOException e) {
                // Polled again until the time limit.
            }
            if (!process.isAlive()) {
                throw new Slope.MeasurementFailedException(failureText + ": the process exited with code "
                        + process.exitValue() + ", " + lastLogLine());
            }
            if (System.nanoTime() - startNanos > timeoutMs * 1_000_000) {
                throw new Slope.MeasurementFailedException(failureText + " after " + timeoutMs + " ms, "
                        + lastLogLine());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** The metric of that name from the operators' port, or -1 if there is none. */
    long metric(String name) throws IOException {
        return query(operatorPort, "telemetry\n").lines().filter(line -> line.startsWith(name + " "))
                .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1))).findFirst().orElse(-1);
    }

    private static String query(int port, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), SOCKET_TIMEOUT_MS);
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** CPU time used by the process, user and system, in milliseconds; the kernel counts in steps of 10 ms. */
    double cpuMs() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        // The second field (the command) may contain spaces, but ends with the last closing parenthesis.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10.0;
    }

    /** Peak resident memory of the process so far, in megabytes. */
    double peakMemoryMb() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024).findFirst()
                    .orElseThrow(() -> new IOException("no VmHWM line in the status file of the process"));
        }
    }

    /** The last line of its log without the timestamp, for error messages. */
    String lastLogLine() throws IOException {
        List<String> lines = Files.readAllLines(directory.resolve("log"));
        return lines.isEmpty() ? "the log is empty" : "last log line: " + lines.get(lines.size() - 1)
                .replaceFirst("^[0-9T:.Z-]+ ", "");
    }

    /** Kills the process (SIGKILL); its directory is kept. */
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
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
