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
    private volatile String states = "SERVING SERVING";
    private volatile boolean agentUp = true;
    private volatile int reportStatus = 204;
    private boolean known = true;
    private int batch = 1;
    private int dialMs = 1000;
    private boolean copies;
    private boolean cancels = true;
    private int senders = 1;
    /** Number of further endpoints on the list; each has its own destination, and all share one stub server. */
    private int others;
    private boolean indented;
    private boolean links = true;
    private String listen = "127.0.0.1:0";
    private Sender sender;
    /** In tests of two processes, the one that was started first. */
    private Sender before;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        endpoints.add(new StubServer(StubServer.status(200, "")));
        endpoints.add(new StubServer(StubServer.status(200, "")));
        agent = new StubServer(this::agent);
        Files.createDirectory(folder.resolve("state"));
    }

    @AfterEach
    void close() throws Exception {
        for (Sender each : Arrays.asList(before, sender)) {
            if (each != null) {
                each.kill();
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

    private void agent(StubServer.Message request, Socket socket) throws Exception {
        if (!agentUp) {
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
        String known = request.line().contains("after=") ? request.line().replaceAll(".*after=(\\d+).*", "$1")
                : "";
        if (!request.line().contains("wait_ms=0 ")) {
            StubServer.await("a change of the list", () -> !known.equals(generation()));
        }
        String list = list();
        StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    private String generation() {
        return Integer.toString(1000 + states.hashCode() % 1000);
    }

    private String list() {
        String[] state = states.split(" ");
        List<String> entries = new ArrayList<>(List.of(entry(0, state[0]), entry(1, state[1])));
        for (int i = 0; i < others; i++) {
            entries.add(entry(0, "SERVING").replace("s-0", "other-" + i).replace("\"cell\":7", "\"cell\":" + (100 + i)));
        }
        String list = "{\"generation\":" + generation() + ",\"reset\":true,\"instances\":["
                + String.join(",", entries) + "]}";
        return indented ? list.replace(",", ",\n        ").replace(":", " : ").replace("127.0.0.1 : ", "127.0.0.1:")
                : list;
    }

    private String entry(int number, String state) {
        return "{\"instanceId\":\"s-" + number + "\",\"hostPort\":\"" + endpoints.get(number).hostPort()
                + "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":7,\"lifecycle\":\"" + state
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
                """.formatted(listen, agent.hostPort(), known ? list() : "null", classes, batch,
                        senders, copies, cancels, MAX_OPEN, dialMs));
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
    private void start(long closingMs) throws Exception {
        startOnly(closingMs);
        if ((known || agentUp) && before == null) {
            awaitReady();
        }
    }

    private void startOnly(long closingMs) throws Exception {
        sender = new Sender(config(), links, Sender.DRAIN_ACCEPT_MS, closingMs);
        address = sender.start();
    }

    private void killAndStart() throws Exception {
        sender.kill();
        start();
        awaitReady();
    }

    private void awaitReady() throws InterruptedException {
        StubServer.await("the sender is ready", () -> unchecked(() ->
                ask(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().contains(" 200 ")));
    }

    private Socket client() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        clients.add(socket);
        return socket;
    }

    private static StubServer.Message ask(Socket socket, String text) throws IOException {
        StubServer.write(socket, text);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    private static String message(String id, String type, String body) {
        return "POST /" + type + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: 24000\r\nIdempotency-Key: key-" + id
                + "\r\nX-Envelope: dest=7\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void handIn(String id, String type) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", ask(client(), message(id, type, "hello")).line());
    }

    private List<StubServer.Message> calls() {
        return endpoints.stream().flatMap(e -> e.requests.stream()).toList();
    }

    private void script(StubServer.Script script) {
        endpoints.forEach(e -> e.setScript(script));
    }

    /** The messages in the journal, read from a copy. */
    private List<AcceptedMessage> journalled() {
        return journalled(journal -> List.copyOf(journal.held()));
    }

    private Map<String, Journal.Health> journalledHealth() {
        return journalled(Journal::health);
    }

    private <T> T journalled(Function<Journal, T> of) {
        try {
            Path copy = Files.createTempDirectory(folder, "copy");
            Files.copy(folder.resolve("state/journal"), copy.resolve("journal"),
                    StandardCopyOption.REPLACE_EXISTING);
            try (Journal journal = new Journal(copy, 3_000_000, 12)) {
                return of.apply(journal);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Writes a journal as a previous process would leave it: one message with one attempt in flight, or none. */
    private AcceptedMessage earlierLife(String type, long attemptAgoMs, long leftMs, boolean notice) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            AcceptedMessage held = AcceptedMessage.withTimeLeft(journal.nextNumber(), "old", type, "acme",
                    Optional.of("key-old"), 7,
                    leftMs, "hello".getBytes(StandardCharsets.ISO_8859_1), MachineClock.system());
            journal.taken(held);
            if (attemptAgoMs > 0) {
                journal.attempt(held, AcceptedMessage.Attempt.sentAgo("s-0", attemptAgoMs, MachineClock.system()));
            }
            if (notice) {
                journal.owed(held, new AcceptedMessage.Notice(true, 700));
            }
            return held;
        }
    }

    /** Writes a journal with late messages without any attempt, and with the health of endpoints. */
    private void earlierBacklog(int many, Map<String, Relay.EndpointState> states) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            for (int i = 0; i < many; i++) {
                journal.taken(AcceptedMessage.withTimeLeft(journal.nextNumber(), "old-" + i, "order", "acme",
                        Optional.of("key-" + i), 7, 15_000, new byte[0], MachineClock.system()));
            }
            for (Map.Entry<String, Relay.EndpointState> known : states.entrySet()) {
                journal.health(known.getKey(), Journal.Health.since(0, known.getValue(), 0, MachineClock.system()));
            }
        }
    }

    private int ended() {
        return endpoints.stream().mapToInt(StubServer::endedConnections).sum();
    }

    private void awaitNothingHeld() throws InterruptedException {
        StubServer.await("the journal is empty", () -> journalled().isEmpty());
    }

    private void awaitNotice(String result) throws Exception {
        StubServer.await("a notice", () -> !notices.isEmpty());
        assertTrue(notices.get(0).contains(result), notices.get(0));
        awaitNothingHeld();
        assertEquals(1, notices.size());
    }

    private String operator(String call) throws IOException {
        try (Socket socket = new Socket(sender.operatorAddress().getAddress(), sender.operatorAddress().getPort())) {
            StubServer.write(socket, call + "\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private int figure(String name) throws IOException {
        return operator("telemetry").lines().filter(line -> line.startsWith("edge_gw_" + name + " "))
                .mapToInt(line -> Integer.parseInt(line.split(" ")[1])).findFirst().orElseThrow();
    }

    // ---- operators' commands ----

    @Test
    void figuresTellHowMessagesEnded() throws Exception {
        start();
        handIn("one", "order");
        awaitNothingHeld();
        script(StubServer.status(500, ""));
        handIn("two", "once");
        awaitNotice("dead");
        script(StubServer.silent());
        for (int i = 0; i < MAX_OPEN; i++) {
            handIn("held-" + i, "order");
        }
        assertEquals("HTTP/1.1 503 Service Unavailable", ask(client(), message("more", "order", "x")).line());
        StubServer.await("all calls are in flight", () -> calls().size() == 2 + MAX_OPEN);
        assertEquals(1, figure("completed_total{lane=\"order\"}"));
        assertEquals(0, figure("completed_total{lane=\"once\"}"));
        assertEquals(1, figure("failed_total{lane=\"once\"}"));
        assertEquals(1, figure("rejected_total{lane=\"order\"}"));
        assertEquals(2 + MAX_OPEN, figure("upstream_requests_total"));
        assertEquals(MAX_OPEN, figure("pending"));
        assertEquals(2, figure("members"));
        assertEquals(0, figure("members_unavailable"));
        killAndStart();
        assertEquals(0, figure("completed_total{lane=\"order\"}"), "each process starts its counters at 0");
    }

    @Test
    void figuresTellWhichEndpointsAreAvoided() throws Exception {
        start();
        states = "DRAINING SERVING";
        StubServer.await("one endpoint is draining", () -> unchecked(() -> figure("members_unavailable") == 1));
        assertEquals(2, figure("members"));
        states = "DELETED SERVING";
        StubServer.await("one endpoint is removed", () -> unchecked(() -> figure("members") == 1));
        assertEquals(0, figure("members_unavailable"));
        endpoints.get(1).close();
        handIn("one", "order");
        StubServer.await("the other endpoint is down", () -> unchecked(() -> figure("members_unavailable") == 1));
    }

    @Test
    void clientsAreSentAwayAndTakenBack() throws Exception {
        start();
        Socket used = client();
        Socket idle = client();
        String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        assertEquals("HTTP/1.1 200 OK", ask(used, health).line());
        assertEquals("HTTP/1.1 200 OK", ask(idle, health).line());
        assertEquals("YES\n", operator("evacuate"));
        assertEquals("YES\n", operator("evacuate"), "the command may be repeated");
        assertEquals("YES\n", operator("readyz"), "the process can still serve");
        StubServer.Message taken = ask(used, message("one", "order", "hello"));
        assertEquals("HTTP/1.1 202 Accepted", taken.line(), "messages are accepted nevertheless");
        assertEquals("close", taken.header("Connection"));
        assertEquals(-1, used.getInputStream().read());
        assertEquals(-1, idle.getInputStream().read(), "an idle connection is closed");
        assertEquals("HTTP/1.1 503 Service Unavailable", ask(client(), health).line());
        awaitNothingHeld();
        assertEquals("YES\n", operator("activate"));
        Socket back = client();
        assertEquals("HTTP/1.1 200 OK", ask(back, health).line());
        assertEquals("HTTP/1.1 202 Accepted", ask(back, message("two", "order", "hello")).line());
        assertEquals("HTTP/1.1 200 OK", ask(back, health).line(), "connections are kept open again");
    }

    private static boolean unchecked(Callable<Boolean> condition) {
        try {
            return condition.call();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aSenderIsNotReadyBeforeItHasAListNorOnceItEnds() throws Exception {
        known = false;
        agentUp = false;
        start();
        assertTrue(operator("readyz").startsWith("NO"));
        agentUp = true;
        StubServer.await("ready", () -> unchecked(() -> operator("readyz").equals("YES\n")));
        script(StubServer.silent());
        handIn("one", "order");
        Thread end = new Thread(sender::drain);
        end.start();
        StubServer.await("the sender stops", () -> unchecked(() -> operator("readyz").startsWith("NO")));
        end.join();
    }

    /** A request read just before the process exits would be accepted and never answered. */
    @Test
    void nothingIsReadOnceASenderEnds() throws Exception {
        script(StubServer.silent());
        start(700);
        handIn("one", "order");
        Socket idle = client();
        Socket inPart = client();
        String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        assertEquals("HTTP/1.1 200 OK", ask(idle, health).line());
        assertEquals("HTTP/1.1 200 OK", ask(inPart, health).line());
        StubServer.write(inPart, "POST /order HTTP/1.1\r\n");
        sender.drain();
        idle.setSoTimeout(30_000);
        assertEquals(-1, idle.getInputStream().read());
        inPart.setSoTimeout(30_000);
        assertEquals("HTTP/1.1 503 Service Unavailable",
                StubServer.read(new BufferedInputStream(inPart.getInputStream()), 0).line());
        assertEquals(1, journalled().size());
    }

    // ---- two processes ----

    /** Starts a second process that follows the first. */
    private void startBeside() throws Exception {
        before = sender;
        listen = address.getHostString() + ":" + address.getPort();
        start();
        StubServer.await("the second process can take over", () -> unchecked(() -> operator("readyz").equals("YES\n")));
    }

    /** Stops the first process and waits until the second one serves; the thread returned ends with the first. */
    private Thread replace() throws Exception {
        Thread end = new Thread(before::drain);
        end.setDaemon(true);
        end.start();
        StubServer.await("the second process accepts clients", () -> unchecked(() -> {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                ask(socket, message("one", "order", "hello"));
            } catch (SocketException refused) {
                // The connection arrived just as the first process stopped listening.
                return false;
            }
            return figure("pending") + figure("completed_total{lane=\"order\"}") > 0;
        }));
        return end;
    }

    /**
     * The status line of the response finishes the message; the Retry-After header that follows must still reach the
     * process that sends from then on.
     */
    @Test
    void aWaitToldToTheProcessBeforeIsKeptByTheNext() throws Exception {
        script(StubServer.silent());
        start(60_000);
        handIn("early", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        startBeside();
        Thread end = new Thread(before::drain);
        end.setDaemon(true);
        end.start();
        StubServer.await("the next process leads", () -> unchecked(() -> figure("pending") == 1));
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        }
        StubServer.await("the result is handed on", () -> unchecked(() -> figure("pending") == 0));
        long told = System.nanoTime();
        script(StubServer.status(200, ""));
        StubServer.await("the next process accepts clients", () -> unchecked(() -> operator("readyz").equals("YES\n")));
        awaitReady();
        handIn("two", "order");
        awaitNothingHeld();
        assertEquals(2, calls().size());
        assertTrue(calls().stream().anyMatch(c -> c.receivedNanos() - told >= 1_500_000_000L), "sent during the wait");
        end.join();
    }

    private void killBefore() {
        before.kill();
        before = null;
    }

    private void answerCallsOut() throws IOException {
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    }

    @Test
    void theNextProcessTakesOverWithCallsOut() throws Exception {
        script(StubServer.silent());
        start(60_000);
        Socket kept = client();
        assertEquals("202", ask(kept, message("one", "order", "hello")).line().split(" ")[1]);
        handIn("two", "once");
        StubServer.await("both calls", () -> calls().size() == 2);
        startBeside();
        assertEquals(2, journalled().size(), "a follower changes nothing");
        Thread end = replace();
        assertEquals(2, figure("pending"), "pending messages go to the next process");
        assertEquals("202", ask(kept, message("three", "once", "hello")).line().split(" ")[1],
                "a request on a connection of the old process is forwarded");
        StubServer.await("the forwarded message is sent", () -> calls().size() == 3);
        answerCallsOut();
        awaitNothingHeld();
        end.join();
        assertEquals(3, calls().size(), "no message was sent twice");
        assertTrue(notices.isEmpty(), notices.toString());
        assertEquals(1, figure("completed_total{lane=\"order\"}"));
        assertEquals(2, figure("completed_total{lane=\"once\"}"));
        assertEquals(1, figure("upstream_requests_total"), "each process counts the messages that it wrote");
    }

    @Test
    void aCallThatEndsUndeliveredInTheOldProcessIsRepeatedByTheNext() throws Exception {
        script(StubServer.silent());
        start(60_000);
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        startBeside();
        Thread end = replace();
        script(StubServer.status(200, ""));
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
        }
        awaitNothingHeld();
        end.join();
        assertEquals(2, calls().size());
    }

    @Test
    void anOldProcessThatIsKilledInMidHandoverTakesNothingWithIt() throws Exception {
        script(StubServer.silent());
        start(60_000);
        handIn("one", "order");
        handIn("two", "once");
        StubServer.await("both calls", () -> calls().size() == 2);
        startBeside();
        replace();
        script(StubServer.status(200, ""));
        killBefore();
        StubServer.await("the repeatable message is retried", () -> calls().size() == 3);
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        assertEquals(2, calls().stream().filter(c -> c.header("X-Call-Id").equals("one")).count());
    }

    @Test
    void aProcessThatDiesWithoutAWordIsReplacedByTheOneBeside() throws Exception {
        script(StubServer.silent());
        start();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        startBeside();
        script(StubServer.status(200, ""));
        killBefore();
        awaitNothingHeld();
        assertEquals(2, calls().size(), "the messages of its journal are restored");
        StubServer.await("clients are accepted", () -> unchecked(() -> {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                return ask(socket, message("two", "order", "hello")).line().contains("202");
            } catch (SocketException notYet) {
                return false;
            }
        }));
    }

    @Test
    void aProcessThatOnlyFollowsEndsWithoutATrace() throws Exception {
        script(StubServer.silent());
        start(60_000);
        handIn("one", "order");
        startBeside();
        sender.drain();
        sender.kill();
        handIn("two", "order");
        assertEquals(2, journalled().size(), "the first process continues");
        startBesideAgain();
        Thread end = replace();
        answerCallsOut();
        awaitNothingHeld();
        end.join();
    }

    private void startBesideAgain() throws Exception {
        sender = new Sender(config(), links, Sender.DRAIN_ACCEPT_MS, Sender.DRAIN_TIMEOUT_MS);
        sender.start();
        StubServer.await("the new process can take over", () -> unchecked(() -> operator("readyz").equals("YES\n")));
    }

    @Test
    void whatIsOverStaysKnownToTheNextProcess() throws Exception {
        start();
        handIn("over", "order");
        awaitNothingHeld();
        startBeside();
        replace().join();
        handIn("over", "order");
        awaitNothingHeld();
        assertEquals(1, calls().stream().filter(c -> "over".equals(c.header("X-Call-Id"))).count());
    }

    // ---- delivery ----

    @Test
    void aMessageIsTakenDeliveredAndForgotten() throws Exception {
        start();
        handIn("one", "order");
        awaitNothingHeld();
        assertEquals(1, calls().size());
        assertEquals("one", calls().get(0).header("X-Call-Id"));
        assertEquals("key-one", calls().get(0).header("Idempotency-Key"));
        assertEquals("hello", calls().get(0).body());
        assertTrue(notices.isEmpty());
        killAndStart();
        handIn("two", "order");
        awaitNothingHeld();
        assertEquals(2, calls().size(), "delivered messages are not sent again after a restart");
    }

    @Test
    void whatGoesToAnEndpointInOneTurnTravelsAsOneCall() throws Exception {
        batch = 4;
        earlierBacklog(8, Map.of());
        script((request, socket) -> {
            // A call with one message is answered by the status code alone; its body is ignored.
            String ends = request.body().lines().filter(line -> line.startsWith("old-"))
                    .map(line -> line.split(" ")[0] + " accepted\r\n").collect(Collectors.joining());
            StubServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: " + ends.length() + "\r\n\r\n" + ends);
        });
        start();
        awaitNothingHeld();
        assertTrue(calls().size() < 8, calls().size() + " calls for 8 messages");
        assertTrue(calls().stream().anyMatch(m -> m.line().equals("POST /v1/messages:batch HTTP/1.1")));
        assertTrue(notices.isEmpty());
    }

    @Test
    void aMessageThatIsOverIsOwedNothing() throws Exception {
        script(StubServer.status(410, ""));
        start();
        handIn("one", "order");
        awaitNothingHeld();
        assertTrue(notices.isEmpty());
    }

    @Test
    void aMessageThatMayNotBeRepeatedEndsByANotice() throws Exception {
        script(StubServer.status(500, ""));
        start();
        handIn("one", "once");
        awaitNotice("{\"ref\":\"one\",\"result\":\"dead\"}");
        assertEquals(1, calls().size());
    }

    @Test
    void aNoticeIsRepeatedUntilItIsHeard() throws Exception {
        script(StubServer.status(500, ""));
        reportStatus = 500;
        start();
        handIn("one", "once");
        StubServer.await("several attempts", () -> agent.requests.stream().filter(r -> r.line().startsWith("POST"))
                .count() > 2);
        assertEquals(1, journalled().size());
        reportStatus = 204;
        awaitNotice("dead");
    }

    @Test
    void aToldWaitIsKept() throws Exception {
        start();
        script(StubServer.status(429, "Retry-After: 0.6\r\n"));
        handIn("one", "order");
        StubServer.await("the Retry-After is received",
                () -> journalled().get(0).attempts.stream().anyMatch(a -> a.neverRan));
        script(StubServer.status(200, ""));
        handIn("two", "order");
        StubServer.await("both messages are delivered", () -> calls().size() == 3);
        long first = calls().stream().mapToLong(StubServer.Message::receivedNanos).min().orElseThrow();
        for (StubServer.Message later : calls()) {
            assertTrue(later.receivedNanos() == first || later.receivedNanos() - first >= 600_000_000, "sent during the wait");
        }
    }

    /** Delays connections to the first endpoint, and has one message sent to each of the two endpoints. */
    private void startWithALateConnect(StubServer.Script first, StubServer.Script other) throws Exception {
        dialMs = 20_000;
        endpoints.get(0).close();
        endpoints.set(0, StubServer.withFullAcceptQueue(first));
        endpoints.get(1).setScript(other);
        start();
        handIn("late", "order");
        handIn("two", "order");
        StubServer.await("the call to the other endpoint", () -> endpoints.get(1).requests.size() == 1);
    }

    /** A connect took 0.35 s, and meanwhile the destination asked to back off for 0.62 s. */
    @Test
    void aToldWaitIsKeptByACallThatConnectsLate() throws Exception {
        StubServer.Script taken = StubServer.status(200, "");
        startWithALateConnect(taken, (request, socket) -> {
            endpoints.get(1).setScript(taken);
            StubServer.status(429, "Retry-After: 2\r\n").handle(request, socket);
        });
        endpoints.get(0).startAccepting();
        awaitNothingHeld();
        assertEquals(3, calls().size());
        long told = endpoints.get(1).requests.get(0).receivedNanos();
        assertEquals(2, calls().stream().filter(c -> c.receivedNanos() - told >= 2_000_000_000L).count());
    }

    @Test
    void aWaitToldByAnAnswerThatNeverEndsIsKept() throws Exception {
        script((request, socket) -> {
            script(StubServer.status(200, ""));
            StubServer.write(socket, "HTTP/1.1 429 x\r\nRetry-After: 2\r\nX-Endless: ");
        });
        start();
        handIn("one", "order");
        StubServer.await("the response with Retry-After", () -> calls().size() == 1);
        long told = System.nanoTime();
        awaitNothingHeld();
        assertEquals(2, calls().size());
        assertEquals(1, calls().stream().filter(c -> c.receivedNanos() - told >= 1_900_000_000L).count());
    }

    /** If calls can't be cancelled, the first attempt may still be connecting when the hedged one has delivered. */
    @Test
    void nothingIsWrittenLateForAMessageThatIsOver() throws Exception {
        copies = true;
        cancels = false;
        StubServer.Script taken = StubServer.status(200, "");
        startWithALateConnect(taken, taken);
        awaitNothingHeld();
        assertEquals(2, endpoints.get(1).requests.size());
        int others = 2;
        endpoints.get(0).startAccepting();
        StubServer.await("the delayed connection", () -> endpoints.get(0).acceptedConnections() > others);
        handIn("three", "order");
        awaitNothingHeld();
        assertEquals(List.of(), endpoints.get(0).requests.stream().map(c -> c.header("X-Call-Id"))
                .filter(id -> !id.equals("three")).toList());
    }

    @Test
    void nothingIsWrittenLateToAnEndpointThatDrains() throws Exception {
        StubServer.Script taken = StubServer.status(200, "");
        startWithALateConnect(taken, taken);
        states = "DRAINING SERVING";
        String generation = generation();
        StubServer.await("the list is read", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + generation)));
        endpoints.get(0).startAccepting();
        awaitNothingHeld();
        assertTrue(endpoints.get(0).requests.isEmpty());
        assertEquals(2, endpoints.get(1).requests.size());
    }

    @Test
    void nothingNewGoesToADrainingEndpoint() throws Exception {
        start();
        for (int round = 0; round < 2; round++) {
            states = round == 0 ? "DRAINING SERVING" : "SERVING DELETED";
            String generation = generation();
            StubServer.await("the list is read", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=" + generation)));
            int before = endpoints.get(round).requests.size();
            for (int i = 0; i < 4; i++) {
                handIn("m" + round + i, "order");
                awaitNothingHeld();
            }
            assertEquals(before, endpoints.get(round).requests.size());
        }
        assertEquals(8, calls().size());
    }

    /** The sender has 256 descriptors, fewer than there are endpoints. */
    @Test
    void aLargeFleetAndAListOfAThousandServersAreServed() throws Exception {
        senders = 1024;
        others = 1022;
        for (boolean spread : List.of(false, true)) {
            if (spread) {
                sender.kill();
            }
            indented = spread;
            known = !spread;
            start();
            awaitReady();
            StubServer.await("the full list", () -> unchecked(() -> figure("members") == 1024));
            Socket client = client();
            for (int i = 0; i < 300; i++) {
                String message = message((spread ? "b-" : "a-") + i, "order", "hello");
                int cell = 100 + i * 3;
                StubServer.await("the message is accepted", () -> unchecked(() ->
                        ask(client, message.replace("dest=7", "dest=" + cell)).line().contains(" 202 ")));
            }
            awaitNothingHeld();
            assertTrue(notices.isEmpty(), notices.toString());
        }
        assertEquals(600, calls().stream().map(c -> c.header("X-Call-Id")).distinct().count());
    }

    @Test
    void aSilentAgentHoldsNothingUp() throws Exception {
        agentUp = false;
        start();
        assertEquals("HTTP/1.1 200 OK", ask(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        handIn("one", "order");
        awaitNothingHeld();
        agentUp = true;
        StubServer.await("the list is requested again", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=")));
    }

    /** A process must respect the agent's list from its start; the list in the configuration may be outdated. */
    @Test
    void theFirstLifeAsksTheAgentBeforeItSendsByTheConfigurationsList() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        agent.setScript((request, socket) -> {
            go.await();
            agent(request, socket);
        });
        startOnly(Sender.DRAIN_TIMEOUT_MS);
        assertEquals("503", ask(client(), message("early", "order", "hello")).line().split(" ")[1]);
        states = "DRAINING DRAINING";
        go.countDown();
        awaitReady();
        handIn("one", "order");
        assertEquals(2, figure("members_unavailable"));
        assertEquals(List.of(), calls());
    }

    /** A long poll that starts during an outage of discovery keeps waiting when the outage is over. */
    @Test
    void anAgentThatWasSilentIsAskedForWhatItHasNow() throws Exception {
        agent.setScript((request, socket) -> {
            if (!request.line().contains("after=")) {
                agent(request, socket);
            }
        });
        start();
        StubServer.await("a request without a wait", () -> asked().contains("&wait_ms=0 "));
        agent.setScript(this::agent);
        StubServer.await("the long poll continues",
                () -> asked().lastIndexOf("&wait_ms=3000 ") > asked().indexOf("&wait_ms=0 "));
    }

    @Test
    void aChangeThatBreaksOffIsAskedForAgain() throws Exception {
        String before = generation();
        agent.setScript((request, socket) -> {
            if (request.line().contains("after=")) {
                states = "DRAINING SERVING";
                agent.setScript(this::agent);
                String list = list();
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n"
                        + list.substring(0, list.length() - 2));
                socket.close();
            } else {
                agent(request, socket);
            }
        });
        start();
        StubServer.await("the change is applied", () -> unchecked(() -> figure("members_unavailable") == 1));
        List<String> watches = asked().lines().filter(line -> line.contains("after=" + before + "&")).toList();
        assertEquals(2, watches.size(), watches.toString());
    }

    /** The lifecycle of an entry must be respected even if the rest of the entry is malformed. */
    @Test
    void anEntryWithoutAnAddressGetsNothingNew() throws Exception {
        start();
        String spoilt = list().replace(endpoints.get(0).hostPort(), "").replace("\"reset\":true", "\"reset\":false")
                .replace("\"generation\":" + generation(), "\"generation\":7");
        agent.setScript((request, socket) -> {
            if (!request.line().contains("after=7&")) {
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + spoilt.length() + "\r\n\r\n" + spoilt);
            }
        });
        states = "SERVING DRAINING";
        StubServer.await("the list is applied", () -> asked().contains("after=7&"));
        for (int i = 0; i < 4; i++) {
            handIn("m" + i, "order");
            awaitNothingHeld();
        }
        assertEquals(List.of(), endpoints.get(0).requests);
    }

    /** The request lines that the agent received. */
    private String asked() {
        return agent.requests.stream().map(StubServer.Message::line).collect(Collectors.joining("\n"));
    }

    @Test
    void nothingIsTakenOrGivenUpBeforeAListIsKnown() throws Exception {
        AcceptedMessage old = earlierLife("order", 1000, 20_000, false);
        known = false;
        agentUp = false;
        start();
        assertEquals("503", ask(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
        assertEquals("503", ask(client(), message("one", "order", "hello")).line().split(" ")[1]);
        agentUp = true;
        awaitNothingHeld();
        assertEquals(List.of(old.id), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals("200", ask(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
    }

    // ---- restarts ----

    /** As many messages as a journal has in service, a thousand endpoints on the list, and no answer of the agent. */
    @Test
    void aFullBacklogIsTriedInTheNextLife() throws Exception {
        others = 1022;
        agentUp = false;
        earlierBacklog(800, Map.of());
        start();
        awaitNothingHeld();
        assertEquals(800, calls().stream().map(c -> c.header("X-Call-Id")).distinct().count());
        assertEquals(List.of(), notices);
    }

    /** Late messages alone don't indicate an outage: this sender's slots, rate limits or CPU may have delayed them. */
    @Test
    void aLateBacklogGoesOutAtOnceInTheNextLife() throws Exception {
        earlierBacklog(5, Map.of());
        script(StubServer.silent());
        start();
        StubServer.await("all calls", () -> calls().stream().map(c -> c.header("X-Call-Id")).distinct().count() == 5);
        assertEquals(0, ended(), "no call waited for the result of another");
    }

    @Test
    void anOutageThatAnEarlierLifeSawGoesOnWithTrials() throws Exception {
        earlierBacklog(5, Map.of("s-0", Relay.EndpointState.DOWN, "s-1", Relay.EndpointState.DOWN));
        script(StubServer.silent());
        start();
        StubServer.await("the result of a probe", () -> ended() > 0);
        assertTrue(calls().size() <= 3, "at most one in flight per endpoint: " + calls().size());
    }

    @Test
    void anOutageIsInTheJournal() throws Exception {
        start();
        for (StubServer endpoint : endpoints) {
            endpoint.close();
        }
        handIn("one", "order");
        StubServer.await("the health of both endpoints", () -> journalledHealth().values().stream()
                .filter(h -> h.state() == Relay.EndpointState.DOWN).count() == 2);
    }

    @Test
    void aKeyedAttemptThatWasOutIsRepeatedWithinItsWindow() throws Exception {
        script(StubServer.silent());
        start();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        script(StubServer.status(200, ""));
        killAndStart();
        StubServer.await("the retry", () -> calls().size() == 2);
        assertEquals(List.of("one", "one"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals(List.of("key-one", "key-one"),
                calls().stream().map(c -> c.header("Idempotency-Key")).toList());
        awaitNothingHeld();
    }

    @Test
    void aKeyedAttemptThatWasOutIsNotRepeatedPastItsWindow() throws Exception {
        earlierLife("order", 21_000, 10_000, false);
        start();
        awaitNotice("bounced");
        assertTrue(calls().isEmpty());
    }

    @Test
    void anUnsafeAttemptThatWasOutIsGivenUp() throws Exception {
        script(StubServer.silent());
        start();
        handIn("one", "once");
        StubServer.await("the call", () -> calls().size() == 1);
        killAndStart();
        awaitNotice("dead");
        assertEquals(1, calls().size());
    }

    @Test
    void anUnsafeMessageWhoseAttemptNeverRanIsSentAgain() throws Exception {
        script(StubServer.status(503, ""));
        start();
        handIn("one", "once");
        StubServer.await("the rejection is recorded", () -> journalled().get(0).attempts.stream()
                .anyMatch(a -> a.neverRan));
        script(StubServer.status(200, ""));
        killAndStart();
        awaitNothingHeld();
        assertTrue(notices.isEmpty());
    }

    @Test
    void anUnsentMessageGoesOutInTheNextLife() throws Exception {
        earlierLife("once", 0, 10_000, false);
        start();
        awaitNothingHeld();
        assertEquals(1, calls().size());
    }

    @Test
    void anOverdueMessageGetsItsNoticeAtOnce() throws Exception {
        earlierLife("order", 0, -5000, false);
        start();
        awaitNotice("bounced");
        assertTrue(calls().isEmpty());
    }

    @Test
    void anOwedNoticeGoesOutInTheNextLife() throws Exception {
        earlierLife("order", 0, 10_000, true);
        start();
        awaitNotice("{\"ref\":\"old\",\"result\":\"bounced\",\"wait_ms\":700}");
        assertTrue(calls().isEmpty());
    }

    // ---- configuration reload ----

    /** A second agent, whose generations start again at 1; it is used only after a reload. */
    private StubServer secondAgent(List<String> told) throws IOException {
        return new StubServer((request, socket) -> {
            if (request.line().startsWith("POST")) {
                told.addAll(List.of(request.body().trim().split("\n")));
                StubServer.write(socket, "HTTP/1.1 204 x\r\n\r\n");
            } else if (!request.line().contains("after=")) {
                String list = list().replace("\"generation\":" + generation(), "\"generation\":1");
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            }
        });
    }

    @Test
    void aNewConfigurationMovesTheWatchAndTheNoticesAtOnce() throws Exception {
        script(StubServer.status(500, ""));
        reportStatus = 500;
        start();
        handIn("one", "once");
        StubServer.await("the long poll and a failed notice", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=")) && agent.requests.stream()
                .anyMatch(r -> r.line().startsWith("POST")));
        List<String> told = new CopyOnWriteArrayList<>();
        StubServer old = agent;
        try (StubServer fresh = secondAgent(told)) {
            agent = fresh;
            config();
            sender.reload(environment());
            StubServer.await("the notice at the new address", () -> told.size() == 1);
            StubServer.await("a full list, then a long poll", () -> fresh.requests.stream()
                    .filter(r -> r.line().startsWith("GET")).count() == 2);
            List<String> asked = fresh.requests.stream().map(StubServer.Message::line)
                    .filter(line -> line.startsWith("GET")).toList();
            assertEquals("GET /v1/servers HTTP/1.1", asked.get(0));
            assertTrue(asked.get(1).startsWith("GET /v1/servers?after=1&"), asked.get(1));
            awaitNothingHeld();
            script(StubServer.status(200, ""));
            handIn("two", "order");
            awaitNothingHeld();
        } finally {
            agent = old;
        }
    }

    @Test
    void anUnreadableConfigurationLeavesTheOldOneStanding() throws Exception {
        start();
        Files.writeString(folder.resolve("config.json"), "{\"name\":");
        sender.reload(environment());
        Files.writeString(folder.resolve("config.json"), "{}");
        sender.reload(environment());
        String before = generation();
        states = "SERVING DRAINING";
        StubServer.await("the old agent is still asked", () -> !before.equals(generation()) && agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + generation())));
        handIn("one", "order");
        awaitNothingHeld();
    }

    /** The environment still has the address from the first start. */
    @Test
    void theFilesDiscoveryGoesBeforeTheEnvironments() throws Exception {
        config();
        Map<String, String> stale = new HashMap<>(environment());
        stale.put("GW_DISCOVERY", "127.0.0.1:1");
        assertEquals(agent.address(), Config.read(stale).discovery());
    }

    /** Runs the program as a process: SIGHUP reloads the configuration without ending it; SIGTERM still drains. */
    @Test
    void theProcessMovesOnSighup() throws Exception {
        moveOnSighup(process());
    }

    /**
     * A JVM started with SIGHUP ignored, as by nohup, does not handle the signal; the command in the deployment file
     * must undo that.
     */
    @Test
    void theProcessMovesOnSighupWhereThatWasIgnoredAtItsStart() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String java = run.substring(run.indexOf('"') + 1, run.indexOf(" java ")) + " \"$0\" \"$@\"";
        moveOnSighup(process("sh", "-c", "trap '' HUP; " + java));
    }

    private void moveOnSighup(Process process) throws Exception {
        List<String> told = new CopyOnWriteArrayList<>();
        StubServer old = agent;
        try (StubServer fresh = secondAgent(told)) {
            agent = fresh;
            config();
            assertEquals(0, new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
            StubServer.await("a request to the new agent", () -> !fresh.requests.isEmpty());
            script(StubServer.status(500, ""));
            handIn("one", "once");
            StubServer.await("the notice at the new address", () -> told.size() == 1);
            process.destroy();
            assertNotEquals(129, process.waitFor());
        } finally {
            agent = old;
            process.destroyForcibly().waitFor();
        }
    }

    // ---- clients ----

    @Test
    void badInputIsAnsweredAndHarmsNothing() throws Exception {
        start();
        String good = message("id", "order", "hello");
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
            StubServer.Message answer = ask(client(), e.getKey());
            assertEquals(e.getValue(), answer.line().split(" ")[1], e.getKey());
        }
        assertTrue(journalled().isEmpty());
        handIn("good", "order");
    }

    /** Reads until the connection is closed or reset; fails if that never happens. */
    private static String untilClosed(Socket socket) throws IOException {
        socket.setSoTimeout(30_000);
        try {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (SocketException reset) {
            return "";
        }
    }

    @Test
    void aRequestOfTwoLengthsIsTurnedAwayWithWhatItHides() throws Exception {
        start();
        String hidden = message("hidden", "order", "hello");
        for (String coding : List.of("chunked", "xchunked", "gzip, chunked", "identity")) {
            Socket client = client();
            StubServer.write(client, message("outer", "order", "0\r\n\r\n" + hidden).replace("Host: x\r\n",
                    "Host: x\r\nTransfer-Encoding: " + coding + "\r\n"));
            String answers = untilClosed(client);
            assertTrue(answers.startsWith("HTTP/1.1 400 ") && !answers.contains("202"), coding + ": " + answers);
        }
        assertTrue(journalled().isEmpty() && calls().isEmpty());
    }

    @Test
    void whatNeverBecomesARequestIsClosedBeforeLong() throws Exception {
        start();
        String whole = message("half", "order", "hello");
        Socket silent = client();
        Socket half = client();
        StubServer.write(half, whole.substring(0, whole.length() - 2));
        Socket later = client();
        ask(later, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        StubServer.write(later, whole.substring(0, 30));
        Socket behind = client();
        assertEquals("HTTP/1.1 200 OK", ask(behind, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
                + whole.substring(0, 30)).line());
        Socket endless = client();
        StubServer.write(endless, "GET /healthz HTTP/1.1\r\n" + "X-More: more\r\n".repeat(2000));
        Socket once = client();
        assertEquals("HTTP/1.1 200 OK", ask(once, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        assertEquals("", untilClosed(once), "a connection with one request is not kept forever");
        assertEquals("", untilClosed(silent));
        assertTrue(untilClosed(half).startsWith("HTTP/1.1 408 "));
        assertTrue(untilClosed(later).startsWith("HTTP/1.1 408 "));
        assertTrue(untilClosed(behind).startsWith("HTTP/1.1 408 "));
        assertFalse(untilClosed(endless).contains("200"));
        assertTrue(journalled().isEmpty());
    }

    @Test
    void hundredsThatSayNothingKeepNobodyOut() throws Exception {
        start();
        Socket usual = client();
        assertEquals("202", ask(usual, message("one", "order", "hello")).line().split(" ")[1]);
        for (int i = 0; i < 300; i++) {
            client();
        }
        handIn("two", "order");
        assertEquals("202", ask(usual, message("three", "order", "hello")).line().split(" ")[1],
                "a client that sent a request before keeps its connection");
    }

    @Test
    void aDestinationThatNoListNamedIsRefusedAndOneThatIsAwayIsTaken() throws Exception {
        start();
        String other = message("other", "order", "hello").replace("dest=7", "dest=8");
        assertEquals("503", ask(client(), other).line().split(" ")[1]);
        assertTrue(journalled().isEmpty());
        states = "DRAINING DRAINING";
        StubServer.await("the list is read", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + generation())));
        handIn("away", "order");
        assertEquals(1, journalled().size());
    }

    @Test
    void aBudgetIsBoundedByItsClassAndLeavesRoomForTimeUnread() throws Exception {
        script(StubServer.silent());
        start();
        long before = System.nanoTime();
        assertEquals("202", ask(client(), withBudget("one", Long.MAX_VALUE)).line().split(" ")[1]);
        double leftMs = journalled().get(0).leftMs(MachineClock.system());
        double passedMs = (System.nanoTime() - before) / 1e6;
        assertTrue(leftMs <= 23_300 && leftMs >= 23_300 - 1 - passedMs, leftMs + " ms");
    }

    /** Clients submit messages again with a few milliseconds left, which pass while the request is still unread. */
    @Test
    void whatMayBeOverByTheTimeItIsReadIsNotTakenOn() throws Exception {
        script(StubServer.silent());
        start();
        assertEquals("503", ask(client(), withBudget("late", 399)).line().split(" ")[1]);
        assertTrue(journalled().isEmpty());
        assertEquals("202", ask(client(), withBudget("early", 400)).line().split(" ")[1]);
        assertEquals(List.of("early"), journalled().stream().map(held -> held.id).toList());
    }

    private static String withBudget(String id, long budgetMs) {
        return message(id, "order", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + budgetMs);
    }

    @Test
    void anIdThatIsOverIsNotTakenAgain() throws Exception {
        start();
        handIn("one", "order");
        awaitNothingHeld();
        handIn("one", "order");
        script(StubServer.status(500, ""));
        handIn("two", "once");
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        assertEquals("409", ask(client(), message("two", "order", "hello")).line().split(" ")[1]);
        assertEquals(2, calls().size());
        assertTrue(journalled().isEmpty());
    }

    /** Otherwise a message that was delivered, or may have been, could be delivered again. */
    @Test
    void anIdThatIsOverIsNotTakenAgainInTheNextLife() throws Exception {
        start();
        handIn("one", "once");
        awaitNothingHeld();
        script(StubServer.status(500, ""));
        handIn("two", "once");
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        killAndStart();
        handIn("one", "once");
        assertEquals("409", ask(client(), message("two", "once", "hello")).line().split(" ")[1]);
        assertEquals(2, calls().size());
    }

    @Test
    void bodiesMayHaveSixtyFourKibAndAnyBytes() throws Exception {
        start();
        StringBuilder any = new StringBuilder();
        for (int i = 0; i < 64 * 1024; i++) {
            any.append((char) (i % 256));
        }
        assertEquals("202", ask(client(), message("big", "order", any.toString())).line().split(" ")[1]);
        awaitNothingHeld();
        assertEquals(any.toString(), calls().get(0).body());
        String long413 = message("long", "order", any + "x");
        assertEquals("413", ask(client(), long413).line().split(" ")[1]);
        assertEquals(1, calls().size());
    }

    @Test
    void aChunkedBodyInPiecesIsTaken() throws Exception {
        start();
        Socket client = client();
        for (char c : message("one", "order", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                .toCharArray()) {
            StubServer.write(client, String.valueOf(c));
        }
        assertEquals("202", ask(client, "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n").line().split(" ")[1]);
        awaitNothingHeld();
        assertEquals("hello", calls().get(0).body());
    }

    @Test
    void aFullSenderRefuses() throws Exception {
        script(StubServer.silent());
        start();
        for (int i = 0; i < MAX_OPEN; i++) {
            handIn("m" + i, "order");
        }
        assertEquals("503", ask(client(), message("more", "order", "hello")).line().split(" ")[1]);
        assertEquals(MAX_OPEN, journalled().size());
    }

    @Test
    void theSameIdIsTakenOnce() throws Exception {
        script(StubServer.silent());
        start();
        handIn("one", "order");
        handIn("one", "order");
        assertEquals(1, journalled().size());
    }

    @Test
    void aClientThatGoesBeforeItsRequestIsWholeIsOwedNothing() throws Exception {
        start();
        Socket gone = client();
        String whole = message("gone", "order", "hello");
        StubServer.write(gone, whole.substring(0, whole.length() - 2));
        gone.close();
        handIn("one", "order");
        awaitNothingHeld();
        assertEquals(List.of("one"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
    }

    // ---- shutdown ----

    @Test
    void aDrainTakesThenClosesAndLetsCallsOutFinish() throws Exception {
        script(StubServer.silent());
        start(60_000);
        Socket kept = client();
        assertEquals("202", ask(kept, message("one", "once", "hello")).line().split(" ")[1]);
        StubServer.await("the call", () -> calls().size() == 1);
        Thread drain = new Thread(sender::drain);
        drain.start();
        StubServer.await("no new connection is accepted", () -> {
            try {
                client().close();
                return false;
            } catch (IOException refused) {
                return true;
            }
        });
        StubServer.Message last = ask(kept, message("two", "order", "hello"));
        assertEquals("202", last.line().split(" ")[1], "a request on a kept connection is still answered");
        assertEquals("close", last.header("Connection"));
        assertEquals(-1, kept.getInputStream().read());
        assertTrue(drain.isAlive(), "calls in flight are waited for");
        StubServer.await("both calls", () -> calls().size() == 2);
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        drain.join();
        assertTrue(journalled().isEmpty());
    }

    @Test
    void aDrainEndsInTimeAndTheJournalHoldsTheRest() throws Exception {
        script(StubServer.silent());
        start();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        sender.drain();
        assertEquals("one", journalled().get(0).id);
        assertEquals(1, journalled().get(0).attempts.size());
    }

    /** An outdated list was used for longer than a draining endpoint allows. */
    @Test
    void theNextLifeAsksTheAgentBeforeItSendsByAnOldList() throws Exception {
        script(StubServer.silent());
        start();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        sender.kill();
        sender = new Sender(config(), links, Sender.DRAIN_ACCEPT_MS, Sender.DRAIN_TIMEOUT_MS);
        states = "DRAINING DRAINING";
        address = sender.start();
        StubServer.await("the list is applied", () -> unchecked(() -> figure("members_unavailable") == 2));
        assertEquals(1, calls().size());
    }

    /** If a sender may run as one process only, a second process waits until the first has ended. */
    @Test
    void withoutLinksASecondProcessWaitsForTheEnd() throws Exception {
        links = false;
        script(StubServer.silent());
        start();
        assertFalse(Files.exists(folder.resolve("state/helm.sock")));
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        before = sender;
        start();
        assertEquals("NO not serving\n", operator("readyz"));
        killBefore();
        StubServer.await("the second process retries", () -> calls().size() == 2);
        assertFalse(Files.exists(folder.resolve("state/helm.sock")));
    }

    /** Runs the program as a process: SIGKILL loses no message, and SIGTERM lets the process exit by itself. */
    @Test
    void theProcessOutlivesItsSignals() throws Exception {
        script(StubServer.silent());
        config();
        Process first = process();
        handIn("one", "order");
        StubServer.await("the call", () -> calls().size() == 1);
        first.destroyForcibly().waitFor();
        script(StubServer.status(200, ""));
        Process second = process();
        awaitNothingHeld();
        assertEquals(2, calls().size());
        second.destroy();
        assertNotEquals(137, second.waitFor());
        assertFalse(second.isAlive());
    }

    /** Starts the program as a process; {@code by} is an optional command that gets the program's as arguments. */
    private Process process(String... by) throws Exception {
        config();
        List<String> command = new ArrayList<>(List.of(by));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString(), "-cp",
                System.getProperty("java.class.path"), "kestreldeal.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment());
        Path log = Files.createTempFile(folder, "log", "");
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        String ready = " listens at 127.0.0.1:";
        StubServer.await("the process is ready", () -> {
            try {
                String text = Files.readString(log);
                int at = text.indexOf(ready);
                if (at < 0 || text.indexOf('\n', at) < 0) {
                    return false;
                }
                address = new InetSocketAddress("127.0.0.1",
                        Integer.parseInt(text.substring(at + ready.length(), text.indexOf('\n', at)).trim()));
                return true;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return process;
    }
}
