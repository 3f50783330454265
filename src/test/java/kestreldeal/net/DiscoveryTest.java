package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the watch on the endpoint list, over loopback sockets to an agent that fails in various ways. */
class DiscoveryTest {
    /** The protocol's time limit from when a change was available to when it counts as notified. */
    private static final long MAX_NOTIFICATION_MS = 6000;
    private static final int LONG_LIST_ENTRIES = 30_000;

    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<StubServer> agents = new ArrayList<>();
    private final RecordedUpdates updates = new RecordedUpdates();
    private Discovery discovery;

    /** Records what the watch reports. */
    private static final class RecordedUpdates implements Discovery.UpdateListener {
        final Map<String, Discovery.Entry> entries = new ConcurrentHashMap<>();
        final List<Boolean> completedAsFullList = new CopyOnWriteArrayList<>();
        final AtomicInteger largestBatch = new AtomicInteger();
        volatile Runnable onBatch = () -> { };

        @Override
        public void updateStarted() {
        }

        @Override
        public void entriesRead(List<Discovery.Entry> batch) {
            largestBatch.accumulateAndGet(batch.size(), Math::max);
            batch.forEach(e -> entries.put(e.id(), e));
            onBatch.run();
        }

        @Override
        public void updateCompleted(boolean fullList) {
            completedAsFullList.add(fullList);
        }

        @Override
        public void firstRequestEnded() {
        }

        boolean isDraining(String id) {
            return entries.containsKey(id) && !entries.get(id).serving();
        }
    }

    @AfterEach
    void tearDown() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        for (StubServer agent : agents) {
            agent.close();
        }
    }

    private StubServer newAgent(StubServer.Script script) throws IOException {
        agents.add(new StubServer(script));
        return agents.get(agents.size() - 1);
    }

    private void start(StubServer agent) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{}");
        discovery = new Discovery(loop, new AgentClient(loop, agent.address()), updates);
        loop.execute(() -> discovery.start(file));
    }

    private static String httpResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static StubServer.Script listResponse(String body) {
        return (request, socket) -> StubServer.write(socket, httpResponse(body));
    }

    private static String listOfOne(long generation, String lifecycle) {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                + EndpointListParserTest.entry(0, lifecycle) + "]}";
    }

    private static List<String> requestLines(StubServer agent) {
        return agent.requests.stream().map(StubServer.Message::line).toList();
    }

    private static boolean isLongPoll(StubServer.Message request) {
        return request.line().contains("after=");
    }

    // ---- long lists ----

    /** The list is longer than any buffer for a whole response, and its generation comes last. */
    @Test
    void longListIsReadAsItArrives() throws Exception {
        String list = EndpointListParserTest.list(41, LONG_LIST_ENTRIES);
        assertTrue(list.length() > 4 << 20);
        StubServer agent = newAgent((request, socket) -> {
            if (!isLongPoll(request)) {
                StubServer.write(socket, httpResponse(list));
            }
        });
        start(agent);
        StubServer.await("the list is complete", () -> updates.completedAsFullList.size() == 1);
        assertEquals(List.of(true), updates.completedAsFullList);
        assertEquals(LONG_LIST_ENTRIES, updates.entries.size());
        assertEquals(EndpointListParser.MAX_BATCH_ENTRIES, updates.largestBatch.get());
        StubServer.await("the watch starts", () -> agent.requests.size() > 1);
        assertTrue(requestLines(agent).get(1).contains("after=41&"), requestLines(agent).get(1));
    }

    /** The event loop has other work: a task that is due when a batch is reported runs before the next batch. */
    @Test
    void otherTasksRunWhileAListIsRead() throws Exception {
        AtomicBoolean taskPending = new AtomicBoolean();
        AtomicInteger tasksDelayed = new AtomicInteger();
        updates.onBatch = () -> {
            if (taskPending.getAndSet(true)) {
                tasksDelayed.incrementAndGet();
            }
            loop.execute(() -> taskPending.set(false));
        };
        String list = EndpointListParserTest.list(41, LONG_LIST_ENTRIES);
        start(newAgent((request, socket) -> {
            if (!isLongPoll(request)) {
                StubServer.write(socket, httpResponse(list));
            }
        }));
        StubServer.await("the list is complete", () -> !updates.completedAsFullList.isEmpty());
        assertEquals(0, tasksDelayed.get());
    }

    /** Entries that were read apply; no endpoint counts as removed, and the full list is requested again. */
    @Test
    void truncatedListKeepsItsEntriesAndIsRequestedAgain() throws Exception {
        String list = EndpointListParserTest.list(41, 3 * EndpointListParser.MAX_BATCH_ENTRIES);
        AtomicBoolean truncated = new AtomicBoolean();
        StubServer agent = newAgent((request, socket) -> {
            if (!truncated.getAndSet(true)) {
                StubServer.write(socket, httpResponse(list).substring(0, list.length() / 2));
                socket.close();
            }
        });
        start(agent);
        StubServer.await("the list is requested again", () -> agent.requests.size() == 2);
        assertEquals(List.of(), updates.completedAsFullList);
        assertEquals(EndpointListParser.MAX_BATCH_ENTRIES, updates.entries.size());
        assertEquals("GET /v1/servers HTTP/1.1", requestLines(agent).get(1));
    }

    // ---- how a response ends ----

    /** Returns what the response handler is told at the end of a response that this script writes. */
    private String responseEnd(StubServer.Script script, long responseTimeoutMs, long stallCheckMs,
            long bodyTimeoutMs) throws Exception {
        return responseEnd(newAgent(script), responseTimeoutMs, stallCheckMs, bodyTimeoutMs);
    }

    private String responseEnd(StubServer stub, long responseTimeoutMs, long stallCheckMs,
            long bodyTimeoutMs) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        AgentClient agent = new AgentClient(loop, stub.address(), stallCheckMs, bodyTimeoutMs);
        loop.execute(() -> agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"),
                responseTimeoutMs, new AgentClient.ResponseHandler() {
                    private int status;

                    @Override
                    public void responseStarted(int statusCode) {
                        status = statusCode;
                    }

                    @Override
                    public Optional<String> bodyChunk(ByteBuf content) {
                        return Optional.empty();
                    }

                    @Override
                    public void responseEnded(Optional<String> error) {
                        result.complete(error.orElse("whole, " + status));
                    }
                }));
        return result.get(30, TimeUnit.SECONDS);
    }

    private static final long LONG_TIMEOUT_MS = 20_000;

    @Test
    void errorOfAnIncompleteResponseIsNamed() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
        assertEquals("whole, 200", responseEnd(listResponse("{}"), LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
        assertEquals("whole, 503",
                responseEnd(StubServer.status(503, ""), LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
        assertEquals("no response in time", responseEnd(StubServer.silent(), 50, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
        assertEquals("no response in time",
                responseEnd((r, socket) -> StubServer.write(socket, head), 50, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
        assertEquals("response stalled after 2 bytes",
                responseEnd((r, socket) -> StubServer.write(socket, head + "ab"), LONG_TIMEOUT_MS, 50,
                LONG_TIMEOUT_MS));
        assertEquals("connection closed during the response, after 2 bytes", responseEnd((r, socket) -> {
            StubServer.write(socket, head + "ab");
            socket.close();
        }, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
        assertEquals("connection closed before a response",
                responseEnd((r, socket) -> socket.close(), LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
        assertEquals("response is not valid HTTP",
                responseEnd((r, socket) -> StubServer.write(socket, "x y z\r\n\r\n"), LONG_TIMEOUT_MS, LONG_TIMEOUT_MS,
                LONG_TIMEOUT_MS));
        StubServer closedAgent = newAgent(StubServer.silent());
        closedAgent.close();
        assertEquals("connect to the agent failed",
                responseEnd(closedAgent, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
    }

    private static void writeForever(Socket socket, int bytes, long pauseMs) throws Exception {
        StubServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            StubServer.write(socket, Integer.toHexString(bytes) + "\r\n" + " ".repeat(bytes) + "\r\n");
            Thread.sleep(pauseMs);
        }
    }

    /** The chunks come often, but each is too small to count as progress. */
    @Test
    void tricklingResponseIsAborted() throws Exception {
        String error = responseEnd((r, socket) -> writeForever(socket, 1, 1), LONG_TIMEOUT_MS, 300, LONG_TIMEOUT_MS);
        assertTrue(error.startsWith("response stalled after "), error);
    }

    @Test
    void endlessResponseIsAborted() throws Exception {
        String error = responseEnd((r, socket) -> writeForever(socket, 2 * AgentClient.MIN_PROGRESS_BYTES, 1),
                LONG_TIMEOUT_MS, 100, 300);
        assertTrue(error.startsWith("response body incomplete after 300 ms, with "), error);
    }

    /** The connect gets no reply: it ends by the shorter one of the two time limits. */
    @Test
    void connectWithoutAReplyIsAborted() throws Exception {
        try (StubServer busy = StubServer.withFullAcceptQueue(StubServer.silent())) {
            assertEquals("no response in time", responseEnd(busy, 100, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
            assertEquals("connect to the agent failed",
                    responseEnd(busy, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS));
        }
    }

    // ---- time limit from a change to its notification ----

    /**
     * The longest time from a change to its notification, with one request that fails in the worst way: a long poll
     * that was just sent gets no response, or its response stalls right after an interval with enough bytes; then come
     * the retry delay and a request that is answered. The rest of the time is for reading the list.
     */
    @Test
    void timeLimitsAllowNotificationWithinSixSeconds() {
        long failedPollMs = Math.max(Discovery.LONG_POLL_WAIT_MS + Discovery.RESPONSE_TIMEOUT_MS,
                AgentClient.CONNECT_TIMEOUT_MS);
        long nextPollMs = Discovery.RETRY_DELAY_MS + Discovery.RECOVERY_POLL_WAIT_MS + Discovery.RESPONSE_TIMEOUT_MS;
        assertEquals(4100, failedPollMs + nextPollMs);
        assertEquals(5100, failedPollMs + 2 * AgentClient.STALL_CHECK_MS + nextPollMs);
        assertTrue(failedPollMs + 2 * AgentClient.STALL_CHECK_MS + nextPollMs < MAX_NOTIFICATION_MS);
        assertTrue(Discovery.RESPONSE_TIMEOUT_MS + AgentClient.BODY_TIMEOUT_MS < MAX_NOTIFICATION_MS);
        assertTrue(AgentClient.BODY_TIMEOUT_MS + nextPollMs < MAX_NOTIFICATION_MS);
    }

    private interface Fault {
        void inject(Socket socket) throws Exception;
    }

    /** Each way in which a request can fail. */
    private static Map<String, Fault> faults() {
        String list = httpResponse(listOfOne(99, "SERVING"));
        Map<String, Fault> faults = new LinkedHashMap<>();
        faults.put("closes the connection", Socket::close);
        faults.put("answers 404", socket -> StubServer.write(socket, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n"));
        faults.put("answers 503 with a body", socket -> StubServer.write(socket, list.replace("200 OK", "503 x")));
        faults.put("closes the connection within the head", socket -> {
            StubServer.write(socket, list.substring(0, 20));
            socket.close();
        });
        faults.put("closes the connection within the body", socket -> {
            StubServer.write(socket, list.substring(0, list.length() - 2));
            socket.close();
        });
        faults.put("stalls within the body",
                socket -> StubServer.write(socket, list.substring(0, list.length() - 2)));
        faults.put("sends malformed JSON", socket -> StubServer.write(socket, list.replace("[", "#")));
        faults.put("sends JSON that is no list",
                socket -> StubServer.write(socket, list.replace("generation", "generatiom")));
        faults.put("sends nothing", socket -> { });
        return faults;
    }

    /** The first request fails; the next one gets the current state of the agent at once. */
    private StubServer.Script failOnce(Fault fault, AtomicBoolean failed) {
        return (request, socket) -> {
            if (!failed.getAndSet(true)) {
                fault.inject(socket);
            } else if (!isLongPoll(request) || request.line().contains("after=1&wait_ms=0 ")) {
                StubServer.write(socket, httpResponse(listOfOne(2, "DRAINING")));
            }
        };
    }

    @Test
    void requestThatFailsAfterTheStartIsRepeatedForTheFullList() throws Exception {
        for (Map.Entry<String, Fault> fault : faults().entrySet()) {
            updates.entries.clear();
            StubServer agent = newAgent(failOnce(fault.getValue(), new AtomicBoolean()));
            start(agent);
            StubServer.await(fault.getKey(), () -> updates.isDraining("s-0"));
            assertEquals(List.of("GET /v1/servers HTTP/1.1", "GET /v1/servers HTTP/1.1"),
                    requestLines(agent).subList(0, 2), fault.getKey());
        }
    }

    @Test
    void failedLongPollIsFollowedByAPollWithoutWait() throws Exception {
        for (Map.Entry<String, Fault> fault : faults().entrySet()) {
            updates.entries.clear();
            AtomicBoolean listed = new AtomicBoolean();
            StubServer.Script failingPoll = failOnce(fault.getValue(), new AtomicBoolean());
            StubServer agent = newAgent((request, socket) -> {
                if (listed.getAndSet(true)) {
                    failingPoll.handle(request, socket);
                } else {
                    StubServer.write(socket, httpResponse(listOfOne(1, "SERVING")));
                }
            });
            start(agent);
            StubServer.await(fault.getKey(), () -> updates.isDraining("s-0"));
            assertEquals(List.of("GET /v1/servers HTTP/1.1", "GET /v1/servers?after=1&wait_ms=3000 HTTP/1.1",
                    "GET /v1/servers?after=1&wait_ms=0 HTTP/1.1"), requestLines(agent).subList(0, 3), fault.getKey());
        }
    }

    /** The old agent does not respond to a watch, the new one fails at first; a drain follows after the switch. */
    @Test
    void requestThatFailsAfterASwitchIsRepeatedForTheFullList() throws Exception {
        AtomicBoolean listed = new AtomicBoolean();
        StubServer oldAgent = newAgent((request, socket) -> {
            if (!isLongPoll(request)) {
                listed.set(true);
                StubServer.write(socket, httpResponse(listOfOne(70, "SERVING")));
            }
        });
        start(oldAgent);
        StubServer.await("the old agent is watched", () -> oldAgent.requests.size() == 2);
        for (Map.Entry<String, Fault> fault : faults().entrySet()) {
            updates.entries.clear();
            StubServer newAgent = newAgent(failOnce(fault.getValue(), new AtomicBoolean()));
            loop.execute(() -> discovery.switchAgent(new AgentClient(loop, newAgent.address())));
            StubServer.await(fault.getKey(), () -> updates.isDraining("s-0"));
            assertEquals(List.of("GET /v1/servers HTTP/1.1", "GET /v1/servers HTTP/1.1"),
                    requestLines(newAgent).subList(0, 2), fault.getKey());
        }
        assertEquals(2, oldAgent.requests.size());
    }

    @Test
    void agentThatRefusesConnectionsIsRetriedUntilItIsBack() throws Exception {
        StubServer stoppedAgent = newAgent(StubServer.silent());
        stoppedAgent.close();
        start(stoppedAgent);
        Thread.sleep(3 * Discovery.RETRY_DELAY_MS);
        try (ServerSocket restartedAgent =
                new ServerSocket(stoppedAgent.address().getPort(), 5, stoppedAgent.address().getAddress());
                Socket connection = restartedAgent.accept()) {
            assertEquals("GET /v1/servers HTTP/1.1", StubServer.read(connection.getInputStream(), 0).line());
            StubServer.write(connection, httpResponse(listOfOne(2, "DRAINING")));
            StubServer.await("the list is read", () -> updates.isDraining("s-0"));
        }
    }
}
