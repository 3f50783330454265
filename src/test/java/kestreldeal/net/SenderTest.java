package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import java.util.stream.Collectors;
import kestreldeal.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a whole sender over loopback sockets, with clients, two endpoints of one destination, and the agent. */
class SenderTest {
    private static final int MAX_OPEN = 5;

    @TempDir
    private Path folder;
    private final List<StubServer> endpoints = new ArrayList<>();
    private final List<String> notices = new CopyOnWriteArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    private StubServer agent;
    private volatile String lifecycles = "SERVING SERVING";
    private volatile boolean agentResponds = true;
    private volatile int reportStatus = 204;
    private boolean listInConfig = true;
    private int maxBatchSize = 1;
    private int dialTimeoutMs = 1000;
    private boolean hedging;
    private boolean cancellation = true;
    private int fleetSize = 1;
    /** Number of further endpoints on the list; each has its own destination, and all share one stub server. */
    private int extraEndpoints;
    private boolean indentedList;
    private boolean handoverAllowed = true;
    private String listenAddress = "127.0.0.1:0";
    private Sender sender;
    /** In tests of two processes, the one that was started first. */
    private Sender predecessor;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        endpoints.add(new StubServer(StubServer.status(200, "")));
        endpoints.add(new StubServer(StubServer.status(200, "")));
        agent = new StubServer(this::answerAsAgent);
        Files.createDirectory(folder.resolve("state"));
    }

    @AfterEach
    void close() throws Exception {
        for (Sender process : Arrays.asList(predecessor, sender)) {
            if (process != null) {
                process.kill();
            }
        }
        for (Socket client : clients) {
            client.close();
        }
        for (StubServer stub : endpoints) {
            stub.close();
        }
        agent.close();
    }

    // ---- test environment ----

    private void answerAsAgent(StubServer.Message request, Socket socket) throws Exception {
        if (!agentResponds) {
            return;
        }
        if (request.line().startsWith("POST /reports")) {
            int status = reportStatus;
            if (status == 204) {
                notices.addAll(List.of(request.body().trim().split("\n")));
            }
            StubServer.write(socket, "HTTP/1.1 " + status + " x\r\n"
                    + (status == 204 ? "\r\n" : "Content-Length: 0\r\n\r\n"));
            return;
        }
        String generation = request.line().contains("after=") ? request.line().replaceAll(".*after=(\\d+).*", "$1")
                : "";
        if (!request.line().contains("wait_ms=0 ")) {
            StubServer.await("a change of the list", () -> !generation.equals(generation()));
        }
        String list = listJson();
        StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    private String generation() {
        return Integer.toString(1000 + lifecycles.hashCode() % 1000);
    }

    private String listJson() {
        String[] lifecycle = lifecycles.split(" ");
        List<String> entries = new ArrayList<>(List.of(entryJson(0, lifecycle[0]), entryJson(1, lifecycle[1])));
        for (int i = 0; i < extraEndpoints; i++) {
            entries.add(entryJson(0, "SERVING").replace("s-0", "other-" + i)
                    .replace("\"cell\":7", "\"cell\":" + (100 + i)));
        }
        String list = "{\"generation\":" + generation() + ",\"reset\":true,\"instances\":["
                + String.join(",", entries) + "]}";
        return indentedList ? list.replace(",", ",\n        ").replace(":", " : ").replace("127.0.0.1 : ", "127.0.0.1:")
                : list;
    }

    private String entryJson(int number, String lifecycle) {
        return "{\"instanceId\":\"s-" + number + "\",\"hostPort\":\"" + endpoints.get(number).hostPort()
                + "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":7,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    private Config config() throws Exception {
        String classes = """
                {"name":"order","aim_ms":2000,"give_up_ms":24000,"repeat":"keyed","window_ms":20000},
                {"name":"once","aim_ms":2000,"give_up_ms":24000,"repeat":"unsafe"}""";
        Path file = folder.resolve("config.json");
        Files.writeString(file, """
                {"name":"n0","listen":"%s","ops":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,
                 "settings":{"classes":[%s],"tenants":[{"name":"acme"}],"flavors":["m"],"zones":["a"],
                  "family_info":{"workers":10,"batch_by_kind":[%d],"separate_routes":[false]},
                  "fleet_size":%d,"limits":{"most_tries":12,"second_copies":%b,"cancel":%b,"max_open":%d,
                   "dial_timeout_ms":%d,"keepalive_ms":15000},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}
                """.formatted(listenAddress, agent.hostPort(), listInConfig ? listJson() : "null", classes,
                        maxBatchSize, fleetSize, hedging, cancellation, MAX_OPEN, dialTimeoutMs));
        return Config.read(environment());
    }

    private Map<String, String> environment() {
        return Map.of("GW_CONFIG", folder.resolve("config.json").toString(), "GW_STATE",
                folder.resolve("state").toString());
    }

    private void start() throws Exception {
        start(Sender.DRAIN_TIMEOUT_MS);
    }

    /** Starts a sender and waits until it is ready, if a list is available and no other process leads. */
    private void start(long drainTimeoutMs) throws Exception {
        startWithoutWaiting(drainTimeoutMs);
        if ((listInConfig || agentResponds) && predecessor == null) {
            awaitReady();
        }
    }

    private void startWithoutWaiting(long drainTimeoutMs) throws Exception {
        sender = new Sender(config(), handoverAllowed, Sender.DRAIN_ACCEPT_MS, drainTimeoutMs);
        address = sender.startAndAwaitListening();
    }

    private void killAndRestart() throws Exception {
        sender.kill();
        start();
        awaitReady();
    }

    private void awaitReady() throws InterruptedException {
        StubServer.await("the sender is ready", () -> unchecked(() ->
                exchange(connect(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().contains(" 200 ")));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        clients.add(socket);
        return socket;
    }

    private static StubServer.Message exchange(Socket socket, String text) throws IOException {
        StubServer.write(socket, text);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    private static String submission(String id, String messageClass, String body) {
        return "POST /" + messageClass + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + messageClass
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: 24000\r\nIdempotency-Key: key-" + id
                + "\r\nX-Envelope: dest=7\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void submit(String id, String messageClass) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", exchange(connect(), submission(id, messageClass, "hello")).line());
    }

    private List<StubServer.Message> receivedCalls() {
        return endpoints.stream().flatMap(e -> e.requests.stream()).toList();
    }

    private void scriptEndpoints(StubServer.Script script) {
        endpoints.forEach(e -> e.setScript(script));
    }

    /** The messages in the journal, read from a copy. */
    private List<AcceptedMessage> journalMessages() {
        return readJournal(journal -> List.copyOf(journal.liveMessages()));
    }

    private Map<String, Journal.RecordedHealth> journalHealth() {
        return readJournal(Journal::endpointHealth);
    }

    private <T> T readJournal(Function<Journal, T> query) {
        try {
            Path copy = Files.createTempDirectory(folder, "copy");
            Files.copy(folder.resolve("state/journal"), copy.resolve("journal"),
                    StandardCopyOption.REPLACE_EXISTING);
            try (Journal journal = new Journal(copy, 3_000_000, 12)) {
                return query.apply(journal);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Writes a journal as a previous process would leave it: one message with one attempt in flight, or none. */
    private AcceptedMessage writeJournalWithOneMessage(String messageClass, long attemptAgoMs, long leftMs,
            boolean withNotice) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            AcceptedMessage message = AcceptedMessage.withTimeLeft(journal.assignNumber(), "old", messageClass, "acme",
                    Optional.of("key-old"), 7,
                    leftMs, "hello".getBytes(StandardCharsets.ISO_8859_1), MachineClock.system());
            journal.recordAccepted(message);
            if (attemptAgoMs > 0) {
                journal.recordAttempt(message,
                        AcceptedMessage.Attempt.startedAgo("s-0", attemptAgoMs, MachineClock.system()));
            }
            if (withNotice) {
                journal.recordNotice(message, new AcceptedMessage.Notice(true, 700));
            }
            return message;
        }
    }

    /** Writes a journal with late messages without any attempt, and with the health of endpoints. */
    private void writeJournalWithBacklog(int count, Map<String, Relay.EndpointState> health) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (int i = 0; i < count; i++) {
                journal.recordAccepted(AcceptedMessage.withTimeLeft(journal.assignNumber(), "old-" + i, "order", "acme",
                        Optional.of("key-" + i), 7, 15_000, new byte[0], MachineClock.system()));
            }
            for (Map.Entry<String, Relay.EndpointState> entry : health.entrySet()) {
                journal.recordEndpointHealth(entry.getKey(),
                        Journal.RecordedHealth.ofAge(0, entry.getValue(), 0, MachineClock.system()));
            }
        }
    }

    private int endedConnections() {
        return endpoints.stream().mapToInt(StubServer::endedConnections).sum();
    }

    private void awaitEmptyJournal() throws InterruptedException {
        StubServer.await("the journal is empty", () -> journalMessages().isEmpty());
    }

    private void awaitNotice(String result) throws Exception {
        StubServer.await("a notice", () -> !notices.isEmpty());
        assertTrue(notices.get(0).contains(result), notices.get(0));
        awaitEmptyJournal();
        assertEquals(1, notices.size());
    }

    private String operatorCommand(String command) throws IOException {
        try (Socket socket = new Socket(sender.operatorAddress().getAddress(), sender.operatorAddress().getPort())) {
            StubServer.write(socket, command + "\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private int metric(String name) throws IOException {
        return operatorCommand("telemetry").lines().filter(line -> line.startsWith("edge_gw_" + name + " "))
                .mapToInt(line -> Integer.parseInt(line.split(" ")[1])).findFirst().orElseThrow();
    }

    // ---- operators' commands ----

    @Test
    void metricsCountMessageResults() throws Exception {
        start();
        submit("one", "order");
        awaitEmptyJournal();
        scriptEndpoints(StubServer.status(500, ""));
        submit("two", "once");
        awaitNotice("dead");
        scriptEndpoints(StubServer.silent());
        for (int i = 0; i < MAX_OPEN; i++) {
            submit("held-" + i, "order");
        }
        assertEquals("HTTP/1.1 503 Service Unavailable", exchange(connect(), submission("more", "order", "x")).line());
        StubServer.await("all calls are in flight", () -> receivedCalls().size() == 2 + MAX_OPEN);
        assertEquals(1, metric("completed_total{lane=\"order\"}"));
        assertEquals(0, metric("completed_total{lane=\"once\"}"));
        assertEquals(1, metric("failed_total{lane=\"once\"}"));
        assertEquals(1, metric("rejected_total{lane=\"order\"}"));
        assertEquals(2 + MAX_OPEN, metric("upstream_requests_total"));
        assertEquals(MAX_OPEN, metric("pending"));
        assertEquals(2, metric("members"));
        assertEquals(0, metric("members_unavailable"));
        killAndRestart();
        assertEquals(0, metric("completed_total{lane=\"order\"}"), "each process starts its counters at 0");
    }

    @Test
    void metricsCountUnavailableEndpoints() throws Exception {
        start();
        lifecycles = "DRAINING SERVING";
        StubServer.await("one endpoint is draining", () -> unchecked(() -> metric("members_unavailable") == 1));
        assertEquals(2, metric("members"));
        lifecycles = "DELETED SERVING";
        StubServer.await("one endpoint is removed", () -> unchecked(() -> metric("members") == 1));
        assertEquals(0, metric("members_unavailable"));
        endpoints.get(1).close();
        submit("one", "order");
        StubServer.await("the other endpoint is down", () -> unchecked(() -> metric("members_unavailable") == 1));
    }

    @Test
    void clientsAreEvacuatedAndAcceptedAgain() throws Exception {
        start();
        Socket used = connect();
        Socket idle = connect();
        String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        assertEquals("HTTP/1.1 200 OK", exchange(used, health).line());
        assertEquals("HTTP/1.1 200 OK", exchange(idle, health).line());
        assertEquals("YES\n", operatorCommand("evacuate"));
        assertEquals("YES\n", operatorCommand("evacuate"), "the command may be repeated");
        assertEquals("YES\n", operatorCommand("readyz"), "the process can still serve");
        StubServer.Message accepted = exchange(used, submission("one", "order", "hello"));
        assertEquals("HTTP/1.1 202 Accepted", accepted.line(), "messages are accepted nevertheless");
        assertEquals("close", accepted.header("Connection"));
        assertEquals(-1, used.getInputStream().read());
        assertEquals(-1, idle.getInputStream().read(), "an idle connection is closed");
        assertEquals("HTTP/1.1 503 Service Unavailable", exchange(connect(), health).line());
        awaitEmptyJournal();
        assertEquals("YES\n", operatorCommand("activate"));
        Socket client = connect();
        assertEquals("HTTP/1.1 200 OK", exchange(client, health).line());
        assertEquals("HTTP/1.1 202 Accepted", exchange(client, submission("two", "order", "hello")).line());
        assertEquals("HTTP/1.1 200 OK", exchange(client, health).line(), "connections are kept open again");
    }

    private static boolean unchecked(Callable<Boolean> condition) {
        try {
            return condition.call();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void senderIsNotReadyBeforeItHasAListNorDuringShutdown() throws Exception {
        listInConfig = false;
        agentResponds = false;
        start();
        assertTrue(operatorCommand("readyz").startsWith("NO"));
        agentResponds = true;
        StubServer.await("ready", () -> unchecked(() -> operatorCommand("readyz").equals("YES\n")));
        scriptEndpoints(StubServer.silent());
        submit("one", "order");
        Thread drain = new Thread(sender::drain);
        drain.start();
        StubServer.await("the sender stops", () -> unchecked(() -> operatorCommand("readyz").startsWith("NO")));
        drain.join();
    }

    /** A request read just before the process exits would be accepted and never answered. */
    @Test
    void noRequestIsReadOnceTheSenderStops() throws Exception {
        scriptEndpoints(StubServer.silent());
        start(700);
        submit("one", "order");
        Socket idle = connect();
        Socket partial = connect();
        String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        assertEquals("HTTP/1.1 200 OK", exchange(idle, health).line());
        assertEquals("HTTP/1.1 200 OK", exchange(partial, health).line());
        StubServer.write(partial, "POST /order HTTP/1.1\r\n");
        sender.drain();
        idle.setSoTimeout(30_000);
        assertEquals(-1, idle.getInputStream().read());
        partial.setSoTimeout(30_000);
        assertEquals("HTTP/1.1 503 Service Unavailable",
                StubServer.read(new BufferedInputStream(partial.getInputStream()), 0).line());
        assertEquals(1, journalMessages().size());
    }

    // ---- two processes ----

    /** Starts a second process that follows the first. */
    private void startFollower() throws Exception {
        predecessor = sender;
        listenAddress = address.getHostString() + ":" + address.getPort();
        start();
        StubServer.await("the second process can take over",
                () -> unchecked(() -> operatorCommand("readyz").equals("YES\n")));
    }

    /** Stops the first process and waits until the second one serves; the thread returned ends with the first. */
    private Thread replaceLeader() throws Exception {
        Thread drain = new Thread(predecessor::drain);
        drain.setDaemon(true);
        drain.start();
        StubServer.await("the second process accepts clients", () -> unchecked(() -> {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                exchange(socket, submission("one", "order", "hello"));
            } catch (SocketException refused) {
                // The connection arrived just as the first process stopped listening.
                return false;
            }
            return metric("pending") + metric("completed_total{lane=\"order\"}") > 0;
        }));
        return drain;
    }

    /**
     * The status line of the response finishes the message; the Retry-After header that follows must still reach the
     * process that sends from then on.
     */
    @Test
    void retryAfterReceivedByThePreviousProcessIsRespectedByTheNext() throws Exception {
        scriptEndpoints(StubServer.silent());
        start(60_000);
        submit("early", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        startFollower();
        Thread drain = new Thread(predecessor::drain);
        drain.setDaemon(true);
        drain.start();
        StubServer.await("the next process leads", () -> unchecked(() -> metric("pending") == 1));
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        }
        StubServer.await("the result is handed on", () -> unchecked(() -> metric("pending") == 0));
        long reportedNanos = System.nanoTime();
        scriptEndpoints(StubServer.status(200, ""));
        StubServer.await("the next process accepts clients",
                () -> unchecked(() -> operatorCommand("readyz").equals("YES\n")));
        awaitReady();
        submit("two", "order");
        awaitEmptyJournal();
        assertEquals(2, receivedCalls().size());
        assertTrue(receivedCalls().stream().anyMatch(c -> c.receivedNanos() - reportedNanos >= 1_500_000_000L),
                "sent during the wait");
        drain.join();
    }

    private void killPredecessor() {
        predecessor.kill();
        predecessor = null;
    }

    private void answerCallsInFlight() throws IOException {
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    }

    @Test
    void nextProcessTakesOverWithCallsInFlight() throws Exception {
        scriptEndpoints(StubServer.silent());
        start(60_000);
        Socket client = connect();
        assertEquals("202", exchange(client, submission("one", "order", "hello")).line().split(" ")[1]);
        submit("two", "once");
        StubServer.await("both calls", () -> receivedCalls().size() == 2);
        startFollower();
        assertEquals(2, journalMessages().size(), "a follower changes nothing");
        Thread drain = replaceLeader();
        assertEquals(2, metric("pending"), "pending messages go to the next process");
        assertEquals("202", exchange(client, submission("three", "once", "hello")).line().split(" ")[1],
                "a request on a connection of the old process is forwarded");
        StubServer.await("the forwarded message is sent", () -> receivedCalls().size() == 3);
        answerCallsInFlight();
        awaitEmptyJournal();
        drain.join();
        assertEquals(3, receivedCalls().size(), "no message was sent twice");
        assertTrue(notices.isEmpty(), notices.toString());
        assertEquals(1, metric("completed_total{lane=\"order\"}"));
        assertEquals(2, metric("completed_total{lane=\"once\"}"));
        assertEquals(1, metric("upstream_requests_total"), "each process counts the messages that it wrote");
    }

    @Test
    void callThatFailsInTheOldProcessIsRetriedByTheNext() throws Exception {
        scriptEndpoints(StubServer.silent());
        start(60_000);
        submit("one", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        startFollower();
        Thread drain = replaceLeader();
        scriptEndpoints(StubServer.status(200, ""));
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
        }
        awaitEmptyJournal();
        drain.join();
        assertEquals(2, receivedCalls().size());
    }

    @Test
    void killingTheOldProcessDuringHandoverLosesNothing() throws Exception {
        scriptEndpoints(StubServer.silent());
        start(60_000);
        submit("one", "order");
        submit("two", "once");
        StubServer.await("both calls", () -> receivedCalls().size() == 2);
        startFollower();
        replaceLeader();
        scriptEndpoints(StubServer.status(200, ""));
        killPredecessor();
        StubServer.await("the repeatable message is retried", () -> receivedCalls().size() == 3);
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        assertEquals(2, receivedCalls().stream().filter(c -> c.header("X-Call-Id").equals("one")).count());
    }

    @Test
    void killedLeaderIsReplacedByItsFollower() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        submit("one", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        startFollower();
        scriptEndpoints(StubServer.status(200, ""));
        killPredecessor();
        awaitEmptyJournal();
        assertEquals(2, receivedCalls().size(), "the messages of its journal are restored");
        StubServer.await("clients are accepted", () -> unchecked(() -> {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                return exchange(socket, submission("two", "order", "hello")).line().contains("202");
            } catch (SocketException notYet) {
                return false;
            }
        }));
    }

    @Test
    void stoppingAFollowerAffectsNothing() throws Exception {
        scriptEndpoints(StubServer.silent());
        start(60_000);
        submit("one", "order");
        startFollower();
        sender.drain();
        sender.kill();
        submit("two", "order");
        assertEquals(2, journalMessages().size(), "the first process continues");
        startFollowerAgain();
        Thread drain = replaceLeader();
        answerCallsInFlight();
        awaitEmptyJournal();
        drain.join();
    }

    private void startFollowerAgain() throws Exception {
        sender = new Sender(config(), handoverAllowed, Sender.DRAIN_ACCEPT_MS, Sender.DRAIN_TIMEOUT_MS);
        sender.startAndAwaitListening();
        StubServer.await("the new process can take over",
                () -> unchecked(() -> operatorCommand("readyz").equals("YES\n")));
    }

    @Test
    void finishedIdsAreKnownToTheNextProcess() throws Exception {
        start();
        submit("over", "order");
        awaitEmptyJournal();
        startFollower();
        replaceLeader().join();
        submit("over", "order");
        awaitEmptyJournal();
        assertEquals(1, receivedCalls().stream().filter(c -> "over".equals(c.header("X-Call-Id"))).count());
    }

    // ---- delivery ----

    @Test
    void messageIsAcceptedDeliveredAndForgotten() throws Exception {
        start();
        submit("one", "order");
        awaitEmptyJournal();
        assertEquals(1, receivedCalls().size());
        assertEquals("one", receivedCalls().get(0).header("X-Call-Id"));
        assertEquals("key-one", receivedCalls().get(0).header("Idempotency-Key"));
        assertEquals("hello", receivedCalls().get(0).body());
        assertTrue(notices.isEmpty());
        killAndRestart();
        submit("two", "order");
        awaitEmptyJournal();
        assertEquals(2, receivedCalls().size(), "delivered messages are not sent again after a restart");
    }

    @Test
    void messagesForOneEndpointInOneTurnShareACall() throws Exception {
        maxBatchSize = 4;
        writeJournalWithBacklog(8, Map.of());
        scriptEndpoints((request, socket) -> {
            // A call with one message is answered by the status code alone; its body is ignored.
            String results = request.body().lines().filter(line -> line.startsWith("old-"))
                    .map(line -> line.split(" ")[0] + " accepted\r\n").collect(Collectors.joining());
            StubServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: " + results.length() + "\r\n\r\n" + results);
        });
        start();
        awaitEmptyJournal();
        assertTrue(receivedCalls().size() < 8, receivedCalls().size() + " calls for 8 messages");
        assertTrue(receivedCalls().stream().anyMatch(m -> m.line().equals("POST /v1/messages:batch HTTP/1.1")));
        assertTrue(notices.isEmpty());
    }

    @Test
    void messageThatTheEndpointReportsAsGoneGetsNoNotice() throws Exception {
        scriptEndpoints(StubServer.status(410, ""));
        start();
        submit("one", "order");
        awaitEmptyJournal();
        assertTrue(notices.isEmpty());
    }

    @Test
    void unsafeMessageThatFailsEndsWithANotice() throws Exception {
        scriptEndpoints(StubServer.status(500, ""));
        start();
        submit("one", "once");
        awaitNotice("{\"ref\":\"one\",\"result\":\"dead\"}");
        assertEquals(1, receivedCalls().size());
    }

    @Test
    void noticeIsRepeatedUntilItIsAcknowledged() throws Exception {
        scriptEndpoints(StubServer.status(500, ""));
        reportStatus = 500;
        start();
        submit("one", "once");
        StubServer.await("several attempts", () -> agent.requests.stream().filter(r -> r.line().startsWith("POST"))
                .count() > 2);
        assertEquals(1, journalMessages().size());
        reportStatus = 204;
        awaitNotice("dead");
    }

    @Test
    void retryAfterIsRespected() throws Exception {
        start();
        scriptEndpoints(StubServer.status(429, "Retry-After: 0.6\r\n"));
        submit("one", "order");
        StubServer.await("the Retry-After is received",
                () -> journalMessages().get(0).attempts.stream().anyMatch(a -> a.neverRan));
        scriptEndpoints(StubServer.status(200, ""));
        submit("two", "order");
        StubServer.await("both messages are delivered", () -> receivedCalls().size() == 3);
        long first = receivedCalls().stream().mapToLong(StubServer.Message::receivedNanos).min().orElseThrow();
        for (StubServer.Message call : receivedCalls()) {
            assertTrue(call.receivedNanos() == first || call.receivedNanos() - first >= 600_000_000,
                    "sent during the wait");
        }
    }

    /** Delays connections to the first endpoint, and has one message sent to each of the two endpoints. */
    private void startWithDelayedConnect(StubServer.Script firstScript, StubServer.Script otherScript)
            throws Exception {
        dialTimeoutMs = 20_000;
        endpoints.get(0).close();
        endpoints.set(0, StubServer.withFullAcceptQueue(firstScript));
        endpoints.get(1).setScript(otherScript);
        start();
        submit("late", "order");
        submit("two", "order");
        StubServer.await("the call to the other endpoint", () -> endpoints.get(1).requests.size() == 1);
    }

    /**
     * A call that is still connecting must respect a Retry-After received meanwhile: a connect took 0.35 s, during
     * which the destination asked to back off for 0.62 s.
     */
    @Test
    void retryAfterIsRespectedByACallThatConnectsLate() throws Exception {
        StubServer.Script accepted = StubServer.status(200, "");
        startWithDelayedConnect(accepted, (request, socket) -> {
            endpoints.get(1).setScript(accepted);
            StubServer.status(429, "Retry-After: 2\r\n").handle(request, socket);
        });
        endpoints.get(0).startAccepting();
        awaitEmptyJournal();
        assertEquals(3, receivedCalls().size());
        long reportedNanos = endpoints.get(1).requests.get(0).receivedNanos();
        assertEquals(2, receivedCalls().stream()
                .filter(c -> c.receivedNanos() - reportedNanos >= 2_000_000_000L).count());
    }

    @Test
    void retryAfterInAnIncompleteResponseIsRespected() throws Exception {
        scriptEndpoints((request, socket) -> {
            scriptEndpoints(StubServer.status(200, ""));
            StubServer.write(socket, "HTTP/1.1 429 x\r\nRetry-After: 2\r\nX-Endless: ");
        });
        start();
        submit("one", "order");
        StubServer.await("the response with Retry-After", () -> receivedCalls().size() == 1);
        long reportedNanos = System.nanoTime();
        awaitEmptyJournal();
        assertEquals(2, receivedCalls().size());
        assertEquals(1, receivedCalls().stream()
                .filter(c -> c.receivedNanos() - reportedNanos >= 1_900_000_000L).count());
    }

    /** If calls can't be cancelled, the first attempt may still be connecting when the hedged one has delivered. */
    @Test
    void noCallIsWrittenLateForAFinishedMessage() throws Exception {
        hedging = true;
        cancellation = false;
        StubServer.Script accepted = StubServer.status(200, "");
        startWithDelayedConnect(accepted, accepted);
        awaitEmptyJournal();
        assertEquals(2, endpoints.get(1).requests.size());
        int otherConnections = 2;
        endpoints.get(0).startAccepting();
        StubServer.await("the delayed connection", () -> endpoints.get(0).acceptedConnections() > otherConnections);
        submit("three", "order");
        awaitEmptyJournal();
        assertEquals(List.of(), endpoints.get(0).requests.stream().map(c -> c.header("X-Call-Id"))
                .filter(id -> !id.equals("three")).toList());
    }

    @Test
    void noCallIsWrittenLateToADrainingEndpoint() throws Exception {
        StubServer.Script accepted = StubServer.status(200, "");
        startWithDelayedConnect(accepted, accepted);
        lifecycles = "DRAINING SERVING";
        String generation = generation();
        StubServer.await("the list is read", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + generation)));
        endpoints.get(0).startAccepting();
        awaitEmptyJournal();
        assertTrue(endpoints.get(0).requests.isEmpty());
        assertEquals(2, endpoints.get(1).requests.size());
    }

    @Test
    void noNewCallGoesToADrainingEndpoint() throws Exception {
        start();
        for (int round = 0; round < 2; round++) {
            lifecycles = round == 0 ? "DRAINING SERVING" : "SERVING DELETED";
            String generation = generation();
            StubServer.await("the list is read", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=" + generation)));
            int requestsBefore = endpoints.get(round).requests.size();
            for (int i = 0; i < 4; i++) {
                submit("m" + round + i, "order");
                awaitEmptyJournal();
            }
            assertEquals(requestsBefore, endpoints.get(round).requests.size());
        }
        assertEquals(8, receivedCalls().size());
    }

    /** The sender has 256 descriptors, fewer than there are endpoints. */
    @Test
    void largeFleetAndListOfAThousandEndpointsAreServed() throws Exception {
        fleetSize = 1024;
        extraEndpoints = 1022;
        for (boolean listFromAgent : List.of(false, true)) {
            if (listFromAgent) {
                sender.kill();
            }
            indentedList = listFromAgent;
            listInConfig = !listFromAgent;
            start();
            awaitReady();
            StubServer.await("the full list", () -> unchecked(() -> metric("members") == 1024));
            Socket client = connect();
            for (int i = 0; i < 300; i++) {
                String message = submission((listFromAgent ? "b-" : "a-") + i, "order", "hello");
                int cell = 100 + i * 3;
                StubServer.await("the message is accepted", () -> unchecked(() ->
                        exchange(client, message.replace("dest=7", "dest=" + cell)).line().contains(" 202 ")));
            }
            awaitEmptyJournal();
            assertTrue(notices.isEmpty(), notices.toString());
        }
        assertEquals(600, receivedCalls().stream().map(c -> c.header("X-Call-Id")).distinct().count());
    }

    @Test
    void unresponsiveAgentDelaysNothing() throws Exception {
        agentResponds = false;
        start();
        assertEquals("HTTP/1.1 200 OK", exchange(connect(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        submit("one", "order");
        awaitEmptyJournal();
        agentResponds = true;
        StubServer.await("the list is requested again", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=")));
    }

    /** A process must respect the agent's list from its start; the list in the configuration may be outdated. */
    @Test
    void firstProcessAsksTheAgentBeforeUsingTheConfiguredList() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        agent.setScript((request, socket) -> {
            mayAnswer.await();
            answerAsAgent(request, socket);
        });
        startWithoutWaiting(Sender.DRAIN_TIMEOUT_MS);
        assertEquals("503", exchange(connect(), submission("early", "order", "hello")).line().split(" ")[1]);
        lifecycles = "DRAINING DRAINING";
        mayAnswer.countDown();
        awaitReady();
        submit("one", "order");
        assertEquals(2, metric("members_unavailable"));
        assertEquals(List.of(), receivedCalls());
    }

    /** A long poll that starts during an outage of discovery keeps waiting when the outage is over. */
    @Test
    void unresponsiveAgentIsAskedForItsCurrentListWithoutAWait() throws Exception {
        agent.setScript((request, socket) -> {
            if (!request.line().contains("after=")) {
                answerAsAgent(request, socket);
            }
        });
        start();
        StubServer.await("a request without a wait", () -> agentRequests().contains("&wait_ms=0 "));
        agent.setScript(this::answerAsAgent);
        StubServer.await("the long poll continues",
                () -> agentRequests().lastIndexOf("&wait_ms=3000 ") > agentRequests().indexOf("&wait_ms=0 "));
    }

    @Test
    void truncatedChangeIsRequestedAgain() throws Exception {
        String previousGeneration = generation();
        agent.setScript((request, socket) -> {
            if (request.line().contains("after=")) {
                lifecycles = "DRAINING SERVING";
                agent.setScript(this::answerAsAgent);
                String list = listJson();
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n"
                        + list.substring(0, list.length() - 2));
                socket.close();
            } else {
                answerAsAgent(request, socket);
            }
        });
        start();
        StubServer.await("the change is applied", () -> unchecked(() -> metric("members_unavailable") == 1));
        List<String> watches = agentRequests().lines()
                .filter(line -> line.contains("after=" + previousGeneration + "&")).toList();
        assertEquals(2, watches.size(), watches.toString());
    }

    /** The lifecycle of an entry must be respected even if the rest of the entry is malformed. */
    @Test
    void endpointWithoutAnAddressGetsNoNewCall() throws Exception {
        start();
        String malformed = listJson().replace(endpoints.get(0).hostPort(), "")
                .replace("\"reset\":true", "\"reset\":false")
                .replace("\"generation\":" + generation(), "\"generation\":7");
        agent.setScript((request, socket) -> {
            if (!request.line().contains("after=7&")) {
                StubServer.write(socket,
                        "HTTP/1.1 200 OK\r\nContent-Length: " + malformed.length() + "\r\n\r\n" + malformed);
            }
        });
        lifecycles = "SERVING DRAINING";
        StubServer.await("the list is applied", () -> agentRequests().contains("after=7&"));
        for (int i = 0; i < 4; i++) {
            submit("m" + i, "order");
            awaitEmptyJournal();
        }
        assertEquals(List.of(), endpoints.get(0).requests);
    }

    /** The request lines that the agent received. */
    private String agentRequests() {
        return agent.requests.stream().map(StubServer.Message::line).collect(Collectors.joining("\n"));
    }

    @Test
    void nothingIsAcceptedOrFailedBeforeAListIsKnown() throws Exception {
        AcceptedMessage restored = writeJournalWithOneMessage("order", 1000, 20_000, false);
        listInConfig = false;
        agentResponds = false;
        start();
        assertEquals("503", exchange(connect(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
        assertEquals("503", exchange(connect(), submission("one", "order", "hello")).line().split(" ")[1]);
        agentResponds = true;
        awaitEmptyJournal();
        assertEquals(List.of(restored.id), receivedCalls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals("200", exchange(connect(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
    }

    // ---- restarts ----

    /** As many messages as a journal has in service, a thousand endpoints on the list, and no answer of the agent. */
    @Test
    void fullBacklogIsDeliveredAfterARestart() throws Exception {
        extraEndpoints = 1022;
        agentResponds = false;
        writeJournalWithBacklog(800, Map.of());
        start();
        awaitEmptyJournal();
        assertEquals(800, receivedCalls().stream().map(c -> c.header("X-Call-Id")).distinct().count());
        assertEquals(List.of(), notices);
    }

    /** Late messages alone don't indicate an outage: this sender's slots, rate limits or CPU may have delayed them. */
    @Test
    void lateBacklogIsSentAtOnceAfterARestart() throws Exception {
        writeJournalWithBacklog(5, Map.of());
        scriptEndpoints(StubServer.silent());
        start();
        StubServer.await("all calls",
                () -> receivedCalls().stream().map(c -> c.header("X-Call-Id")).distinct().count() == 5);
        assertEquals(0, endedConnections(), "no call waited for the result of another");
    }

    @Test
    void outageSeenByThePreviousProcessContinuesWithProbes() throws Exception {
        writeJournalWithBacklog(5, Map.of("s-0", Relay.EndpointState.DOWN, "s-1", Relay.EndpointState.DOWN));
        scriptEndpoints(StubServer.silent());
        start();
        StubServer.await("the result of a probe", () -> endedConnections() > 0);
        assertTrue(receivedCalls().size() <= 3, "at most one in flight per endpoint: " + receivedCalls().size());
    }

    @Test
    void outageIsRecordedInTheJournal() throws Exception {
        start();
        for (StubServer endpoint : endpoints) {
            endpoint.close();
        }
        submit("one", "order");
        StubServer.await("the health of both endpoints", () -> journalHealth().values().stream()
                .filter(h -> h.state() == Relay.EndpointState.DOWN).count() == 2);
    }

    @Test
    void keyedAttemptInFlightIsRetriedWithinItsWindowAfterARestart() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        submit("one", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        scriptEndpoints(StubServer.status(200, ""));
        killAndRestart();
        StubServer.await("the retry", () -> receivedCalls().size() == 2);
        assertEquals(List.of("one", "one"), receivedCalls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals(List.of("key-one", "key-one"),
                receivedCalls().stream().map(c -> c.header("Idempotency-Key")).toList());
        awaitEmptyJournal();
    }

    @Test
    void keyedAttemptInFlightIsNotRetriedPastItsWindowAfterARestart() throws Exception {
        writeJournalWithOneMessage("order", 21_000, 10_000, false);
        start();
        awaitNotice("bounced");
        assertTrue(receivedCalls().isEmpty());
    }

    @Test
    void messageWithAnUnsafeAttemptInFlightFailsAfterARestart() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        submit("one", "once");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        killAndRestart();
        awaitNotice("dead");
        assertEquals(1, receivedCalls().size());
    }

    @Test
    void unsafeMessageWhoseAttemptNeverRanIsSentAgainAfterARestart() throws Exception {
        scriptEndpoints(StubServer.status(503, ""));
        start();
        submit("one", "once");
        StubServer.await("the rejection is recorded", () -> journalMessages().get(0).attempts.stream()
                .anyMatch(a -> a.neverRan));
        scriptEndpoints(StubServer.status(200, ""));
        killAndRestart();
        awaitEmptyJournal();
        assertTrue(notices.isEmpty());
    }

    @Test
    void unsentMessageIsSentAfterARestart() throws Exception {
        writeJournalWithOneMessage("once", 0, 10_000, false);
        start();
        awaitEmptyJournal();
        assertEquals(1, receivedCalls().size());
    }

    @Test
    void overdueMessageGetsItsNoticeAtOnceAfterARestart() throws Exception {
        writeJournalWithOneMessage("order", 0, -5000, false);
        start();
        awaitNotice("bounced");
        assertTrue(receivedCalls().isEmpty());
    }

    @Test
    void pendingNoticeIsSentAfterARestart() throws Exception {
        writeJournalWithOneMessage("order", 0, 10_000, true);
        start();
        awaitNotice("{\"ref\":\"old\",\"result\":\"bounced\",\"wait_ms\":700}");
        assertTrue(receivedCalls().isEmpty());
    }

    // ---- configuration reload ----

    /** A second agent, whose generations start again at 1; it is used only after a reload. */
    private StubServer secondAgent(List<String> received) throws IOException {
        return new StubServer((request, socket) -> {
            if (request.line().startsWith("POST")) {
                received.addAll(List.of(request.body().trim().split("\n")));
                StubServer.write(socket, "HTTP/1.1 204 x\r\n\r\n");
            } else if (!request.line().contains("after=")) {
                String list = listJson().replace("\"generation\":" + generation(), "\"generation\":1");
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            }
        });
    }

    @Test
    void reloadMovesTheListWatchAndTheNoticesAtOnce() throws Exception {
        scriptEndpoints(StubServer.status(500, ""));
        reportStatus = 500;
        start();
        submit("one", "once");
        StubServer.await("the long poll and a failed notice", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=")) && agent.requests.stream()
                .anyMatch(r -> r.line().startsWith("POST")));
        List<String> received = new CopyOnWriteArrayList<>();
        StubServer oldAgent = agent;
        try (StubServer newAgent = secondAgent(received)) {
            agent = newAgent;
            config();
            sender.reload(environment());
            StubServer.await("the notice at the new address", () -> received.size() == 1);
            StubServer.await("a full list, then a long poll", () -> newAgent.requests.stream()
                    .filter(r -> r.line().startsWith("GET")).count() == 2);
            List<String> requests = newAgent.requests.stream().map(StubServer.Message::line)
                    .filter(line -> line.startsWith("GET")).toList();
            assertEquals("GET /v1/servers HTTP/1.1", requests.get(0));
            assertTrue(requests.get(1).startsWith("GET /v1/servers?after=1&"), requests.get(1));
            awaitEmptyJournal();
            scriptEndpoints(StubServer.status(200, ""));
            submit("two", "order");
            awaitEmptyJournal();
        } finally {
            agent = oldAgent;
        }
    }

    @Test
    void unreadableConfigurationKeepsTheCurrentOne() throws Exception {
        start();
        Files.writeString(folder.resolve("config.json"), "{\"name\":");
        sender.reload(environment());
        Files.writeString(folder.resolve("config.json"), "{}");
        sender.reload(environment());
        String previousGeneration = generation();
        lifecycles = "SERVING DRAINING";
        StubServer.await("the old agent is still asked", () -> !previousGeneration.equals(generation())
                && agent.requests.stream().anyMatch(r -> r.line().contains("after=" + generation())));
        submit("one", "order");
        awaitEmptyJournal();
    }

    /** The environment still has the address from the first start. */
    @Test
    void discoveryAddressInTheFileOverridesTheEnvironment() throws Exception {
        config();
        Map<String, String> stale = new HashMap<>(environment());
        stale.put("GW_DISCOVERY", "127.0.0.1:1");
        assertEquals(agent.address(), Config.read(stale).agentAddress());
    }

    /** Runs the program as a process: SIGHUP reloads the configuration without ending it; SIGTERM still drains. */
    @Test
    void processReloadsOnSighup() throws Exception {
        checkReloadOnSighup(startProcess());
    }

    /**
     * A JVM started with SIGHUP ignored, as by nohup, does not handle the signal; the command in the deployment file
     * must undo that.
     */
    @Test
    void processReloadsOnSighupEvenIfIgnoredAtItsStart() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String java = run.substring(run.indexOf('"') + 1, run.indexOf(" java ")) + " \"$0\" \"$@\"";
        checkReloadOnSighup(startProcess("sh", "-c", "trap '' HUP; " + java));
    }

    private void checkReloadOnSighup(Process process) throws Exception {
        List<String> received = new CopyOnWriteArrayList<>();
        StubServer oldAgent = agent;
        try (StubServer newAgent = secondAgent(received)) {
            agent = newAgent;
            config();
            assertEquals(0, new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
            StubServer.await("a request to the new agent", () -> !newAgent.requests.isEmpty());
            scriptEndpoints(StubServer.status(500, ""));
            submit("one", "once");
            StubServer.await("the notice at the new address", () -> received.size() == 1);
            process.destroy();
            assertNotEquals(129, process.waitFor());
        } finally {
            agent = oldAgent;
            process.destroyForcibly().waitFor();
        }
    }

    // ---- clients ----

    @Test
    void malformedRequestsAreAnsweredAndHarmNothing() throws Exception {
        start();
        String good = submission("id", "order", "hello");
        Map<String, String> answers = Map.ofEntries(
                Map.entry("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "404"),
                Map.entry("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "404"),
                Map.entry("GET /order HTTP/1.1\r\nHost: x\r\n\r\n", "405"),
                Map.entry("\u0001\u0002 rubbish\r\n\r\n", "400"),
                Map.entry(good.replace("X-Call-Id: id\r\n", ""), "400"),
                Map.entry(good.replace("X-Call-Id: id", "X-Call-Id: " + "i".repeat(300)), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: -5"), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: 60000000"), "413"),
                Map.entry(good.replace("X-Budget-Ms: 24000", "X-Budget-Ms: soon"), "400"),
                Map.entry(good.replace("X-Budget-Ms: 24000", "X-Budget-Ms: -1"), "400"),
                Map.entry(good.replace("dest=7", "dest=x"), "400"),
                Map.entry(good.replace("dest=7", "nothing"), "400"),
                Map.entry(good.replace("X-Caller: acme", "X-Caller: nobody"), "400"),
                Map.entry(good.replace("Idempotency-Key: key-id\r\n", ""), "400"),
                Map.entry(good.replace("X-Call-Class: order", "X-Call-Class: once"), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: five"), "400"));
        for (Map.Entry<String, String> e : answers.entrySet()) {
            StubServer.Message answer = exchange(connect(), e.getKey());
            assertEquals(e.getValue(), answer.line().split(" ")[1], e.getKey());
        }
        assertTrue(journalMessages().isEmpty());
        submit("good", "order");
    }

    /** Reads until the connection is closed or reset; fails if that never happens. */
    private static String readUntilClosed(Socket socket) throws IOException {
        socket.setSoTimeout(30_000);
        try {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (SocketException reset) {
            return "";
        }
    }

    @Test
    void requestWithAnAmbiguousLengthIsRejectedWithWhatItHides() throws Exception {
        start();
        String hidden = submission("hidden", "order", "hello");
        for (String transferEncoding : List.of("chunked", "xchunked", "gzip, chunked", "identity")) {
            Socket client = connect();
            StubServer.write(client, submission("outer", "order", "0\r\n\r\n" + hidden).replace("Host: x\r\n",
                    "Host: x\r\nTransfer-Encoding: " + transferEncoding + "\r\n"));
            String answers = readUntilClosed(client);
            assertTrue(answers.startsWith("HTTP/1.1 400 ") && !answers.contains("202"),
                    transferEncoding + ": " + answers);
        }
        assertTrue(journalMessages().isEmpty() && receivedCalls().isEmpty());
    }

    /** A part of the body of a refused request was accepted and run as a message. */
    @Test
    void refusedExpectationEndsTheConnectionWithWhatItHides() throws Exception {
        start();
        String hidden = submission("hidden", "order", "hello");
        String body = hidden + "x".repeat(70_000 - hidden.length());
        String tooLong = submission("outer", "order", body);
        String chunked = submission("outer", "order", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                + Integer.toHexString(hidden.length()) + "\r\n" + hidden + "\r\n0\r\n\r\n";
        Map<String, String> requests = Map.of(
                withExpectation(tooLong, "100-continue"), "413",
                withExpectation(tooLong, "something"), "417",
                withExpectation(submission("outer", "order", hidden), "something"), "417",
                withExpectation(submission("outer", "order", hidden), ""), "417",
                withExpectation(submission("outer", "order", hidden), "100-continue\r\nExpect: something"), "417",
                withExpectation(chunked, "something"), "417");
        for (Map.Entry<String, String> request : requests.entrySet()) {
            Socket client = connect();
            StubServer.write(client, request.getKey());
            String answers = readUntilClosed(client);
            assertTrue(answers.startsWith("HTTP/1.1 " + request.getValue()), answers);
            assertEquals(1, answers.split("HTTP/1.1 ", -1).length - 1, answers);
        }
        assertTrue(journalMessages().isEmpty() && receivedCalls().isEmpty());
    }

    /** A client may wait for the 100 response before it sends the body, or send it at once. */
    @Test
    void expectedContinueIsAnsweredBeforeTheBody() throws Exception {
        start();
        String request = withExpectation(submission("one", "order", "hello"), "100-continue");
        Socket client = connect();
        assertEquals("HTTP/1.1 100 Continue", exchange(client, request.substring(0, request.length() - 5)).line());
        assertEquals("HTTP/1.1 202 Accepted", exchange(client, "hello").line());
        awaitEmptyJournal();
        assertEquals("hello", receivedCalls().get(0).body());
    }

    private static String withExpectation(String request, String expectation) {
        return request.replace("Host: x\r\n", "Host: x\r\nExpect: " + expectation + "\r\n");
    }

    @Test
    void connectionsWithoutACompleteRequestAreClosedSoon() throws Exception {
        start();
        String request = submission("half", "order", "hello");
        Socket silent = connect();
        Socket partialFirst = connect();
        StubServer.write(partialFirst, request.substring(0, request.length() - 2));
        Socket partialSecond = connect();
        exchange(partialSecond, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        StubServer.write(partialSecond, request.substring(0, 30));
        Socket partialPipelined = connect();
        assertEquals("HTTP/1.1 200 OK", exchange(partialPipelined, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
                + request.substring(0, 30)).line());
        Socket endlessHeaders = connect();
        StubServer.write(endlessHeaders, "GET /healthz HTTP/1.1\r\n" + "X-More: more\r\n".repeat(2000));
        Socket singleRequest = connect();
        assertEquals("HTTP/1.1 200 OK", exchange(singleRequest, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        assertEquals("", readUntilClosed(singleRequest), "a connection with one request is not kept forever");
        assertEquals("", readUntilClosed(silent));
        assertTrue(readUntilClosed(partialFirst).startsWith("HTTP/1.1 408 "));
        assertTrue(readUntilClosed(partialSecond).startsWith("HTTP/1.1 408 "));
        assertTrue(readUntilClosed(partialPipelined).startsWith("HTTP/1.1 408 "));
        assertFalse(readUntilClosed(endlessHeaders).contains("200"));
        assertTrue(journalMessages().isEmpty());
    }

    @Test
    void hundredsOfSilentClientsKeepNobodyOut() throws Exception {
        start();
        Socket activeClient = connect();
        assertEquals("202", exchange(activeClient, submission("one", "order", "hello")).line().split(" ")[1]);
        for (int i = 0; i < 300; i++) {
            connect();
        }
        submit("two", "order");
        assertEquals("202", exchange(activeClient, submission("three", "order", "hello")).line().split(" ")[1],
                "a client that sent a request before keeps its connection");
    }

    @Test
    void unknownDestinationIsRejectedAndADrainingOneAccepted() throws Exception {
        start();
        String other = submission("other", "order", "hello").replace("dest=7", "dest=8");
        assertEquals("503", exchange(connect(), other).line().split(" ")[1]);
        assertTrue(journalMessages().isEmpty());
        lifecycles = "DRAINING DRAINING";
        StubServer.await("the list is read", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + generation())));
        submit("away", "order");
        assertEquals(1, journalMessages().size());
    }

    @Test
    void budgetIsLimitedByItsClassAndReducedByTheTimeUnread() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        long startNanos = System.nanoTime();
        assertEquals("202", exchange(connect(), withBudget("one", Long.MAX_VALUE)).line().split(" ")[1]);
        double leftMs = journalMessages().get(0).timeLeftMs(MachineClock.system());
        double passedMs = (System.nanoTime() - startNanos) / 1e6;
        assertTrue(leftMs <= 23_300 && leftMs >= 23_300 - 1 - passedMs, leftMs + " ms");
    }

    /** Clients submit messages again with a few milliseconds left, which pass while the request is still unread. */
    @Test
    void messageThatMayExpireBeforeItIsReadIsRejected() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        assertEquals("503", exchange(connect(), withBudget("late", 399)).line().split(" ")[1]);
        assertTrue(journalMessages().isEmpty());
        assertEquals("202", exchange(connect(), withBudget("early", 400)).line().split(" ")[1]);
        assertEquals(List.of("early"), journalMessages().stream().map(message -> message.id).toList());
    }

    private static String withBudget(String id, long budgetMs) {
        return submission(id, "order", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
    }

    @Test
    void finishedIdIsNotAcceptedAgain() throws Exception {
        start();
        submit("one", "order");
        awaitEmptyJournal();
        submit("one", "order");
        scriptEndpoints(StubServer.status(500, ""));
        submit("two", "once");
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        assertEquals("409", exchange(connect(), submission("two", "order", "hello")).line().split(" ")[1]);
        assertEquals(2, receivedCalls().size());
        assertTrue(journalMessages().isEmpty());
    }

    /** Otherwise a message that was delivered, or may have been, could be delivered again. */
    @Test
    void finishedIdIsNotAcceptedAgainAfterARestart() throws Exception {
        start();
        submit("one", "once");
        awaitEmptyJournal();
        scriptEndpoints(StubServer.status(500, ""));
        submit("two", "once");
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        killAndRestart();
        submit("one", "once");
        assertEquals("409", exchange(connect(), submission("two", "once", "hello")).line().split(" ")[1]);
        assertEquals(2, receivedCalls().size());
    }

    @Test
    void bodiesMayHave64KibAndAnyBytes() throws Exception {
        start();
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < 64 * 1024; i++) {
            body.append((char) (i % 256));
        }
        assertEquals("202", exchange(connect(), submission("big", "order", body.toString())).line().split(" ")[1]);
        awaitEmptyJournal();
        assertEquals(body.toString(), receivedCalls().get(0).body());
        String tooLong = submission("long", "order", body + "x");
        assertEquals("413", exchange(connect(), tooLong).line().split(" ")[1]);
        assertEquals(1, receivedCalls().size());
    }

    @Test
    void chunkedBodyInPiecesIsAccepted() throws Exception {
        start();
        Socket client = connect();
        for (char c : submission("one", "order", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                .toCharArray()) {
            StubServer.write(client, String.valueOf(c));
        }
        assertEquals("202", exchange(client, "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n").line().split(" ")[1]);
        awaitEmptyJournal();
        assertEquals("hello", receivedCalls().get(0).body());
    }

    @Test
    void fullSenderRejectsMessages() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        for (int i = 0; i < MAX_OPEN; i++) {
            submit("m" + i, "order");
        }
        assertEquals("503", exchange(connect(), submission("more", "order", "hello")).line().split(" ")[1]);
        assertEquals(MAX_OPEN, journalMessages().size());
    }

    @Test
    void sameIdIsAcceptedOnce() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        submit("one", "order");
        submit("one", "order");
        assertEquals(1, journalMessages().size());
    }

    @Test
    void incompleteRequestOfADisconnectedClientIsIgnored() throws Exception {
        start();
        Socket disconnected = connect();
        String request = submission("gone", "order", "hello");
        StubServer.write(disconnected, request.substring(0, request.length() - 2));
        disconnected.close();
        submit("one", "order");
        awaitEmptyJournal();
        assertEquals(List.of("one"), receivedCalls().stream().map(c -> c.header("X-Call-Id")).toList());
    }

    // ---- shutdown ----

    @Test
    void drainAcceptsThenClosesAndWaitsForCallsInFlight() throws Exception {
        scriptEndpoints(StubServer.silent());
        start(60_000);
        Socket client = connect();
        assertEquals("202", exchange(client, submission("one", "once", "hello")).line().split(" ")[1]);
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        Thread drain = new Thread(sender::drain);
        drain.start();
        StubServer.await("no new connection is accepted", () -> {
            try {
                connect().close();
                return false;
            } catch (IOException refused) {
                return true;
            }
        });
        StubServer.Message lastResponse = exchange(client, submission("two", "order", "hello"));
        assertEquals("202", lastResponse.line().split(" ")[1], "a request on a kept connection is still answered");
        assertEquals("close", lastResponse.header("Connection"));
        assertEquals(-1, client.getInputStream().read());
        assertTrue(drain.isAlive(), "calls in flight are waited for");
        StubServer.await("both calls", () -> receivedCalls().size() == 2);
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        drain.join();
        assertTrue(journalMessages().isEmpty());
    }

    @Test
    void drainEndsInTimeAndTheJournalKeepsTheRest() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        submit("one", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        sender.drain();
        assertEquals("one", journalMessages().get(0).id);
        assertEquals(1, journalMessages().get(0).attempts.size());
    }

    /** A restarted process sent calls by an outdated list for longer than a draining endpoint allows. */
    @Test
    void restartedProcessAsksTheAgentBeforeUsingAnOldList() throws Exception {
        scriptEndpoints(StubServer.silent());
        start();
        submit("one", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        sender.kill();
        sender = new Sender(config(), handoverAllowed, Sender.DRAIN_ACCEPT_MS, Sender.DRAIN_TIMEOUT_MS);
        lifecycles = "DRAINING DRAINING";
        address = sender.startAndAwaitListening();
        StubServer.await("the list is applied", () -> unchecked(() -> metric("members_unavailable") == 2));
        assertEquals(1, receivedCalls().size());
    }

    /** If a sender may run as one process only, a second process waits until the first has ended. */
    @Test
    void withoutHandoverASecondProcessWaitsForTheFirstToExit() throws Exception {
        handoverAllowed = false;
        scriptEndpoints(StubServer.silent());
        start();
        assertFalse(Files.exists(folder.resolve("state/helm.sock")));
        submit("one", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        predecessor = sender;
        start();
        assertEquals("NO not serving\n", operatorCommand("readyz"));
        killPredecessor();
        StubServer.await("the second process retries", () -> receivedCalls().size() == 2);
        assertFalse(Files.exists(folder.resolve("state/helm.sock")));
    }

    /** Runs the program as a process: SIGKILL loses no message, and SIGTERM lets the process exit by itself. */
    @Test
    void processSurvivesSigkillAndExitsOnSigterm() throws Exception {
        scriptEndpoints(StubServer.silent());
        config();
        Process first = startProcess();
        submit("one", "order");
        StubServer.await("the call", () -> receivedCalls().size() == 1);
        first.destroyForcibly().waitFor();
        scriptEndpoints(StubServer.status(200, ""));
        Process second = startProcess();
        awaitEmptyJournal();
        assertEquals(2, receivedCalls().size());
        second.destroy();
        assertNotEquals(137, second.waitFor());
        assertFalse(second.isAlive());
    }

    /** Starts the program as a process; {@code wrapper} is an optional command that runs it. */
    private Process startProcess(String... wrapper) throws Exception {
        config();
        List<String> command = new ArrayList<>(List.of(wrapper));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString(), "-cp",
                System.getProperty("java.class.path"), "kestreldeal.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment());
        Path log = Files.createTempFile(folder, "log", "");
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        String readyText = " listens at 127.0.0.1:";
        StubServer.await("the process is ready", () -> {
            try {
                String text = Files.readString(log);
                int position = text.indexOf(readyText);
                if (position < 0 || text.indexOf('\n', position) < 0) {
                    return false;
                }
                address = new InetSocketAddress("127.0.0.1",
                        Integer.parseInt(text.substring(position + readyText.length(), text.indexOf('\n', position))
                                .trim()));
                return true;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return process;
    }
}
