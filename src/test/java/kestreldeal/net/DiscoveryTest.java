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
    private static final long TOLD_MS = 6000;
    private static final int LONG_LIST = 30_000;

    @TempDir
    private Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<StubServer> agents = new ArrayList<>();
    private final Told told = new Told();
    private Discovery discovery;

    /** Records what the watch reports. */
    private static final class Told implements Discovery.UpdateListener {
        final Map<String, Discovery.Entry> entries = new ConcurrentHashMap<>();
        final List<Boolean> ends = new CopyOnWriteArrayList<>();
        final AtomicInteger largest = new AtomicInteger();
        volatile Runnable onPortion = () -> { };

        @Override
        public void updateStarted() {
        }

        @Override
        public void entriesRead(List<Discovery.Entry> some) {
            largest.accumulateAndGet(some.size(), Math::max);
            some.forEach(e -> entries.put(e.id(), e));
            onPortion.run();
        }

        @Override
        public void updateCompleted(boolean whole) {
            ends.add(whole);
        }

        @Override
        public void firstRequestEnded() {
        }

        boolean drains(String id) {
            return entries.containsKey(id) && !entries.get(id).serving();
        }
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        for (StubServer agent : agents) {
            agent.close();
        }
    }

    private StubServer agent(StubServer.Script script) throws IOException {
        agents.add(new StubServer(script));
        return agents.get(agents.size() - 1);
    }

    private void start(StubServer agent) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{}");
        discovery = new Discovery(loop, new AgentClient(loop, agent.address()), told);
        loop.execute(() -> discovery.start(file));
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static StubServer.Script list(String body) {
        return (request, socket) -> StubServer.write(socket, answer(body));
    }

    private static String one(long generation, String lifecycle) {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                + EndpointListParserTest.entry(0, lifecycle) + "]}";
    }

    private static List<String> asked(StubServer agent) {
        return agent.requests.stream().map(StubServer.Message::line).toList();
    }

    private static boolean watches(StubServer.Message request) {
        return request.line().contains("after=");
    }

    // ---- long lists ----

    /** The list is longer than any buffer for a whole response, and its generation comes last. */
    @Test
    void aLongListIsReadAsItComes() throws Exception {
        String list = EndpointListParserTest.list(41, LONG_LIST);
        assertTrue(list.length() > 4 << 20);
        StubServer agent = agent((request, socket) -> {
            if (!watches(request)) {
                StubServer.write(socket, answer(list));
            }
        });
        start(agent);
        StubServer.await("the list is complete", () -> told.ends.size() == 1);
        assertEquals(List.of(true), told.ends);
        assertEquals(LONG_LIST, told.entries.size());
        assertEquals(EndpointListParser.MAX_BATCH_ENTRIES, told.largest.get());
        StubServer.await("the watch starts", () -> agent.requests.size() > 1);
        assertTrue(asked(agent).get(1).contains("after=41&"), asked(agent).get(1));
    }

    /** The event loop has other work: a task that is due when a batch is reported runs before the next batch. */
    @Test
    void theLoopGetsItsTurnsWhileAListIsRead() throws Exception {
        AtomicBoolean waits = new AtomicBoolean();
        AtomicInteger passedOver = new AtomicInteger();
        told.onPortion = () -> {
            if (waits.getAndSet(true)) {
                passedOver.incrementAndGet();
            }
            loop.execute(() -> waits.set(false));
        };
        String list = EndpointListParserTest.list(41, LONG_LIST);
        start(agent((request, socket) -> {
            if (!watches(request)) {
                StubServer.write(socket, answer(list));
            }
        }));
        StubServer.await("the list is complete", () -> !told.ends.isEmpty());
        assertEquals(0, passedOver.get());
    }

    /** Entries that were read apply; no endpoint counts as removed, and the full list is requested again. */
    @Test
    void aListThatBreaksOffDropsNothing() throws Exception {
        String list = EndpointListParserTest.list(41, 3 * EndpointListParser.MAX_BATCH_ENTRIES);
        AtomicBoolean broken = new AtomicBoolean();
        StubServer agent = agent((request, socket) -> {
            if (!broken.getAndSet(true)) {
                StubServer.write(socket, answer(list).substring(0, list.length() / 2));
                socket.close();
            }
        });
        start(agent);
        StubServer.await("the list is requested again", () -> agent.requests.size() == 2);
        assertEquals(List.of(), told.ends);
        assertEquals(EndpointListParser.MAX_BATCH_ENTRIES, told.entries.size());
        assertEquals("GET /v1/servers HTTP/1.1", asked(agent).get(1));
    }

    // ---- how a response ends ----

    /** Returns what the response handler is told at the end of a response that this script writes. */
    private String end(StubServer.Script script, long limitMs, long silentMs, long bodyMs) throws Exception {
        return end(agent(script), limitMs, silentMs, bodyMs);
    }

    private String end(StubServer stub, long limitMs, long silentMs, long bodyMs) throws Exception {
        CompletableFuture<String> end = new CompletableFuture<>();
        AgentClient agent = new AgentClient(loop, stub.address(), silentMs, bodyMs);
        loop.execute(() -> agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"), limitMs,
                new AgentClient.ResponseHandler() {
                    private int status;

                    @Override
                    public void responseStarted(int code) {
                        status = code;
                    }

                    @Override
                    public Optional<String> bodyChunk(ByteBuf content) {
                        return Optional.empty();
                    }

                    @Override
                    public void responseEnded(Optional<String> fault) {
                        end.complete(fault.orElse("whole, " + status));
                    }
                }));
        return end.get(30, TimeUnit.SECONDS);
    }

    private static final long LONG_MS = 20_000;

    @Test
    void whatKeptAnAnswerFromBeingWholeIsNamed() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
        assertEquals("whole, 200", end(list("{}"), LONG_MS, LONG_MS, LONG_MS));
        assertEquals("whole, 503", end(StubServer.status(503, ""), LONG_MS, LONG_MS, LONG_MS));
        assertEquals("no response in time", end(StubServer.silent(), 50, LONG_MS, LONG_MS));
        assertEquals("no response in time", end((r, socket) -> StubServer.write(socket, head), 50, LONG_MS, LONG_MS));
        assertEquals("response stalled after 2 bytes",
                end((r, socket) -> StubServer.write(socket, head + "ab"), LONG_MS, 50, LONG_MS));
        assertEquals("connection closed during the response, after 2 bytes", end((r, socket) -> {
            StubServer.write(socket, head + "ab");
            socket.close();
        }, LONG_MS, LONG_MS, LONG_MS));
        assertEquals("connection closed before a response",
                end((r, socket) -> socket.close(), LONG_MS, LONG_MS, LONG_MS));
        assertEquals("response is not valid HTTP",
                end((r, socket) -> StubServer.write(socket, "x y z\r\n\r\n"), LONG_MS, LONG_MS, LONG_MS));
        StubServer shut = agent(StubServer.silent());
        shut.close();
        assertEquals("connect to the agent failed", end(shut, LONG_MS, LONG_MS, LONG_MS));
    }

    private static void forever(Socket socket, int bytes, long pauseMs) throws Exception {
        StubServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            StubServer.write(socket, Integer.toHexString(bytes) + "\r\n" + " ".repeat(bytes) + "\r\n");
            Thread.sleep(pauseMs);
        }
    }

    /** The chunks come often, but each is too small to count as progress. */
    @Test
    void anAnswerThatTricklesForEverIsGivenUp() throws Exception {
        String end = end((r, socket) -> forever(socket, 1, 1), LONG_MS, 300, LONG_MS);
        assertTrue(end.startsWith("response stalled after "), end);
    }

    @Test
    void anAnswerWithoutAnEndIsGivenUp() throws Exception {
        String end = end((r, socket) -> forever(socket, 2 * AgentClient.MIN_PROGRESS_BYTES, 1), LONG_MS, 100, 300);
        assertTrue(end.startsWith("response body incomplete after 300 ms, with "), end);
    }

    /** The connect gets no reply: it ends by the shorter one of the two time limits. */
    @Test
    void aConnectThatIsNeverAnsweredIsGivenUp() throws Exception {
        try (StubServer busy = StubServer.withFullAcceptQueue(StubServer.silent())) {
            assertEquals("no response in time", end(busy, 100, LONG_MS, LONG_MS));
            assertEquals("connect to the agent failed", end(busy, LONG_MS, LONG_MS, LONG_MS));
        }
    }

    // ---- time limit from a change to its notification ----

    /**
     * The longest time from a change to its notification, with one request that fails in the worst way: a long poll
     * that was just sent gets no response, or its response stalls right after an interval with enough bytes; then come
     * the retry delay and a request that is answered. The rest of the time is for reading the list.
     */
    @Test
    void theLimitsLeaveTimeForAListWithinTheSixSeconds() {
        long silentWatch = Math.max(Discovery.LONG_POLL_WAIT_MS + Discovery.RESPONSE_TIMEOUT_MS,
                AgentClient.CONNECT_TIMEOUT_MS);
        long next = Discovery.RETRY_DELAY_MS + Discovery.RECOVERY_POLL_WAIT_MS + Discovery.RESPONSE_TIMEOUT_MS;
        assertEquals(4100, silentWatch + next);
        assertEquals(5100, silentWatch + 2 * AgentClient.STALL_CHECK_MS + next);
        assertTrue(silentWatch + 2 * AgentClient.STALL_CHECK_MS + next < TOLD_MS);
        assertTrue(Discovery.RESPONSE_TIMEOUT_MS + AgentClient.BODY_TIMEOUT_MS < TOLD_MS);
        assertTrue(AgentClient.BODY_TIMEOUT_MS + next < TOLD_MS);
    }

    private interface Fault {
        void come(Socket socket) throws Exception;
    }

    /** Each way in which a request can fail. */
    private static Map<String, Fault> faults() {
        String list = answer(one(99, "SERVING"));
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
    private StubServer.Script once(Fault fault, AtomicBoolean failed) {
        return (request, socket) -> {
            if (!failed.getAndSet(true)) {
                fault.come(socket);
            } else if (!watches(request) || request.line().contains("after=1&wait_ms=0 ")) {
                StubServer.write(socket, answer(one(2, "DRAINING")));
            }
        };
    }

    @Test
    void aCallThatFailsRightAfterTheStartIsMadeAgainForAll() throws Exception {
        for (Map.Entry<String, Fault> fault : faults().entrySet()) {
            told.entries.clear();
            StubServer agent = agent(once(fault.getValue(), new AtomicBoolean()));
            start(agent);
            StubServer.await(fault.getKey(), () -> told.drains("s-0"));
            assertEquals(List.of("GET /v1/servers HTTP/1.1", "GET /v1/servers HTTP/1.1"),
                    asked(agent).subList(0, 2), fault.getKey());
        }
    }

    @Test
    void aWatchThatFailsIsFollowedByAQuestionThatDoesNotWait() throws Exception {
        for (Map.Entry<String, Fault> fault : faults().entrySet()) {
            told.entries.clear();
            AtomicBoolean listed = new AtomicBoolean();
            StubServer.Script then = once(fault.getValue(), new AtomicBoolean());
            StubServer agent = agent((request, socket) -> {
                if (listed.getAndSet(true)) {
                    then.handle(request, socket);
                } else {
                    StubServer.write(socket, answer(one(1, "SERVING")));
                }
            });
            start(agent);
            StubServer.await(fault.getKey(), () -> told.drains("s-0"));
            assertEquals(List.of("GET /v1/servers HTTP/1.1", "GET /v1/servers?after=1&wait_ms=3000 HTTP/1.1",
                    "GET /v1/servers?after=1&wait_ms=0 HTTP/1.1"), asked(agent).subList(0, 3), fault.getKey());
        }
    }

    /** The old agent does not respond to a watch, the new one fails at first; a drain follows after the switch. */
    @Test
    void aCallThatFailsRightAfterAMoveIsMadeAgainForAll() throws Exception {
        AtomicBoolean listed = new AtomicBoolean();
        StubServer old = agent((request, socket) -> {
            if (!watches(request)) {
                listed.set(true);
                StubServer.write(socket, answer(one(70, "SERVING")));
            }
        });
        start(old);
        StubServer.await("the old agent is watched", () -> old.requests.size() == 2);
        for (Map.Entry<String, Fault> fault : faults().entrySet()) {
            told.entries.clear();
            StubServer fresh = agent(once(fault.getValue(), new AtomicBoolean()));
            loop.execute(() -> discovery.switchAgent(new AgentClient(loop, fresh.address())));
            StubServer.await(fault.getKey(), () -> told.drains("s-0"));
            assertEquals(List.of("GET /v1/servers HTTP/1.1", "GET /v1/servers HTTP/1.1"),
                    asked(fresh).subList(0, 2), fault.getKey());
        }
        assertEquals(2, old.requests.size());
    }

    @Test
    void anAgentThatRefusesConnectionsIsAskedUntilItIsBack() throws Exception {
        StubServer away = agent(StubServer.silent());
        away.close();
        start(away);
        Thread.sleep(3 * Discovery.RETRY_DELAY_MS);
        try (ServerSocket back = new ServerSocket(away.address().getPort(), 5, away.address().getAddress());
                Socket asked = back.accept()) {
            assertEquals("GET /v1/servers HTTP/1.1", StubServer.read(asked.getInputStream(), 0).line());
            StubServer.write(asked, answer(one(2, "DRAINING")));
            StubServer.await("the list is read", () -> told.drains("s-0"));
        }
    }
}
