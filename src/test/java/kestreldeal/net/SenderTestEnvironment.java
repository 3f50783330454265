package kestreldeal.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import kestreldeal.Relay;

/**
 * The environment of one sender on loopback sockets: its folder and configuration, an agent, and endpoints. Each
 * endpoint has its own destination, and all of them share one stub server.
 */
final class SenderTestEnvironment implements AutoCloseable {
    static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    static final long DISK_BYTES = 3_000_000;
    static final int MAX_ATTEMPTS = 12;

    final Path folder;
    final StubServer endpoint;
    final StubServer agent;
    final List<String> notices = new CopyOnWriteArrayList<>();
    volatile String firstLifecycle = "SERVING";
    volatile int firstDestination;
    int endpointCount = 1;
    int windowMs = 20_000;
    int dialTimeoutMs = 1000;
    int socketLimit = 256;
    int slots = 10;
    boolean listInConfig = true;
    boolean separateRoutes;
    String listenAddress = "127.0.0.1:0";
    /** The configured address for operators, or empty. */
    String operatorAddress = "";

    SenderTestEnvironment(Path folder, StubServer endpoint) throws IOException {
        this.folder = folder;
        this.endpoint = endpoint;
        this.agent = new StubServer(this::answerAsAgent);
        Files.createDirectories(stateFolder());
    }

    Path stateFolder() {
        return folder.resolve("state");
    }

    Journal openJournal() throws IOException {
        return new Journal(stateFolder(), DISK_BYTES, MAX_ATTEMPTS);
    }

    /** The messages in the journal, read from a copy. */
    List<AcceptedMessage> journalMessages() {
        return readJournal(journal -> List.copyOf(journal.liveMessages()));
    }

    /** The ids of the endpoints with recorded health, read from a copy of the journal. */
    Set<String> journalHealth() {
        return readJournal(journal -> journal.endpointHealth().keySet());
    }

    private <T> T readJournal(Function<Journal, T> query) {
        try {
            Path copy = Files.createTempDirectory(folder, "copy");
            Files.copy(stateFolder().resolve("journal"), copy.resolve("journal"));
            try (Journal journal = new Journal(copy, DISK_BYTES, MAX_ATTEMPTS)) {
                return query.apply(journal);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Answers as a healthy agent does; a long poll is not answered until the list changes. */
    void answerAsAgent(StubServer.Message request, Socket socket) throws IOException {
        if (request.line().startsWith("POST")) {
            notices.addAll(List.of(request.body().trim().split("\n")));
            StubServer.write(socket, "HTTP/1.1 204 x\r\n\r\n");
        } else if (!request.line().contains("after=" + generation())) {
            String list = endpointListJson();
            StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        }
    }

    int generation() {
        return 1000 + Math.abs(firstLifecycle.hashCode() % 1000) + 1000 * firstDestination;
    }

    String endpointListJson() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            entries.add("{\"instanceId\":\"s-" + i + "\",\"hostPort\":\"" + endpoint.hostPort()
                    + "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":" + (i == 0 ? firstDestination : i)
                    + ",\"lifecycle\":\""
                    + (i == 0 ? firstLifecycle : "SERVING") + "\",\"weight\":1.0,\"startedAtMs\":0}");
        }
        return "{\"generation\":" + generation() + ",\"reset\":true,\"instances\":[" + String.join(",", entries) + "]}";
    }

    Map<String, String> environment() throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, """
                {"name":"n0","listen":"%s","ops":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"memory_mb":192,"sockets":%d,"disk_mb":3},"known":%s,
                 "settings":{"classes":[
                   {"name":"order","aim_ms":8000,"give_up_ms":24000,"repeat":"keyed","window_ms":%d},
                   {"name":"once","aim_ms":8000,"give_up_ms":24000,"repeat":"unsafe"}],
                  "flavors":["m"],"zones":["a"],
                  "family_info":{"workers":%d,"batch_by_kind":[1],"separate_routes":[%s]},
                  "fleet_size":1,"limits":{"most_tries":%d,"second_copies":false,"cancel":true,
                   "dial_timeout_ms":%d,"keepalive_ms":15000},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}
                """.formatted(listenAddress, operatorAddress, agent.hostPort(), socketLimit,
                        listInConfig ? endpointListJson() : "null", windowMs, slots, separateRoutes, MAX_ATTEMPTS,
                        dialTimeoutMs));
        return Map.of("GW_CONFIG", file.toString(), "GW_STATE", stateFolder().toString());
    }

    Sender createSender() throws Exception {
        return createSender(MachineClock.system());
    }

    /** Creates a sender with these clocks. */
    Sender createSender(MachineClock clock) throws Exception {
        return new Sender(Config.read(environment()), false, Sender.DRAIN_ACCEPT_MS, Sender.DRAIN_TIMEOUT_MS, clock);
    }

    /** Creates a sender with its own decision module. */
    Sender createSender(Relay.Factory relayFactory) throws Exception {
        return new Sender(Config.read(environment()), false, Sender.DRAIN_ACCEPT_MS, Sender.DRAIN_TIMEOUT_MS,
                MachineClock.system(), relayFactory);
    }

    /** Starts a sender and waits until it accepts messages; returns the address for its clients. */
    static InetSocketAddress startAndAwaitReady(Sender sender) throws InterruptedException {
        InetSocketAddress address = sender.startAndAwaitListening();
        StubServer.await("the sender is ready", () -> requestStatus(address, HEALTH) == 200);
        return address;
    }

    /** Starts the program as a process with a limit on file descriptors; its output goes to the log file. */
    Process startProcess(int descriptorLimit, String... jvmOptions) throws IOException {
        List<String> command = new ArrayList<>(List.of("sh", "-c",
                "ulimit -n " + descriptorLimit + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin/java").toString()));
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "kestreldeal.Main", "serve", "--alone"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment());
        return builder.redirectErrorStream(true).redirectOutput(logFile().toFile()).start();
    }

    Path logFile() {
        return folder.resolve("log");
    }

    /** The address that the process listens at, once it has logged it. */
    Optional<InetSocketAddress> listeningAddress() {
        try {
            return Files.readAllLines(logFile()).stream().filter(line -> line.contains(" listens at "))
                    .map(line -> new InetSocketAddress("127.0.0.1",
                            Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim()))).findFirst();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** The status code of the response, or 0 if the connection was refused or closed without a response. */
    static int requestStatus(InetSocketAddress address, String request) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            return requestStatus(socket, request);
        } catch (IOException refused) {
            return 0;
        }
    }

    static int requestStatus(Socket socket, String request) throws IOException {
        StubServer.write(socket, request);
        StubServer.Message answer = StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
        return answer == null ? 0 : Integer.parseInt(answer.line().split(" ")[1]);
    }

    /** The answer to an operator's command, or an empty string if the connection is refused. */
    static String askOperator(InetSocketAddress address, String command) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            StubServer.write(socket, command + "\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException refused) {
            return "";
        }
    }

    static String submitRequest(String id, String messageClass, long destination, String body) {
        return submitRequest(id, messageClass, destination, body, 24_000);
    }

    static String submitRequest(String id, String messageClass, long destination, String body, int budgetMs) {
        return "POST /" + messageClass + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                + messageClass + "\r\nX-Budget-Ms: " + budgetMs + "\r\nIdempotency-Key: key-" + id
                + "\r\nX-Envelope: dest="
                + destination + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        agent.close();
    }
}
