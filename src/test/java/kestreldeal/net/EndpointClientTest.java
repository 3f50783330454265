package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kestreldeal.Relay.Outcome;
import kestreldeal.Relay.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests each row of the protocol's table of outcomes, and the reuse of connections. */
class EndpointClientTest {
    private static final double LONG_TIMEOUT_MS = 20_000;
    private static final int MAX_BATCH_SIZE = 3;
    private static final long BUDGET_MS = 60_000;
    /** A second endpoint, where a test has one. */
    private static final long OTHER_ENDPOINT = 2;

    private record Result(Outcome outcome, boolean messageExpired, double retryAfterMs) {
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();
    private final BlockingQueue<EndpointResult> lateResults = new LinkedBlockingQueue<>();
    private final BlockingQueue<Double> reportedRates = new LinkedBlockingQueue<>();
    private final BlockingQueue<Double> retryAfterWaits = new LinkedBlockingQueue<>();
    private EndpointClient client;
    private StubServer stub;
    /** The id of the message whose attempts must not be written. */
    private volatile String suppressedId = "";
    /** The id of the message whose attempts must not be written once a Retry-After wait was received. */
    private volatile String suppressedAfterWaitId = "";
    private volatile Runnable onOtherRetryAfter = () -> { };

    @BeforeEach
    void setUp() throws Exception {
        stub = new StubServer(StubServer.status(200, ""));
        client = new EndpointClient(loop, 1000, 15_000, 4, listener());
        setAddress(stub.address());
    }

    private EndpointClient.AttemptListener listener() {
        return new EndpointClient.AttemptListener() {
        @Override
        public void attemptCompleted(EndpointClient.OutboundAttempt attempt, Outcome outcome, boolean messageExpired,
                double retryAfterMs, LoadReport report) {
            reportedRates.add(report.rate());
            results.add(new Result(outcome, messageExpired, retryAfterMs));
        }

        @Override
        public void lateResultRead(EndpointClient.OutboundAttempt attempt, EndpointResult result) {
            lateResults.add(result);
        }

        @Override
        public void retryAfterReceived(long endpoint, double retryAfterMs) {
            if (endpoint == OTHER_ENDPOINT) {
                onOtherRetryAfter.run();
                return;
            }
            assertEquals(1, endpoint);
            retryAfterWaits.add(retryAfterMs);
        }

        @Override
        public boolean sendAllowed(EndpointClient.OutboundAttempt attempt) {
            return !attempt.message.id.equals(suppressedId)
                    && !(attempt.message.id.equals(suppressedAfterWaitId) && !retryAfterWaits.isEmpty());
        }
    };
    }

    @AfterEach
    void tearDown() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void setAddress(InetSocketAddress address) {
        loop.submit(() -> client.updateEndpoint(1, address, true, MAX_BATCH_SIZE)).syncUninterruptibly();
    }

    private EndpointClient.OutboundAttempt start(byte[] body, double timeoutMs) throws Exception {
        AcceptedMessage message = new AcceptedMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, body);
        return start(message, timeoutMs, 0);
    }

    private EndpointClient.OutboundAttempt start(AcceptedMessage message, double timeoutMs, long decidedAgoMs)
            throws Exception {
        return loop.submit(() -> client.startAttempt(message, 0, 1, timeoutMs,
                System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(decidedAgoMs))).get();
    }

    private Result nextResult() throws Exception {
        return results.poll(30, TimeUnit.SECONDS);
    }

    private Result callWith(StubServer.Script script) throws Exception {
        stub.setScript(script);
        start(new byte[] {'b', 'o', 'd', 'y'}, LONG_TIMEOUT_MS);
        return nextResult();
    }

    private void expectResult(Outcome outcome, StubServer.Script script) throws Exception {
        assertEquals(new Result(outcome, false, 0), callWith(script));
    }

    @Test
    void requestCarriesIdKeyBodyAndBudget() throws Exception {
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        StubServer.Message request = stub.requests.get(0);
        assertEquals("POST /v1/messages HTTP/1.1", request.line());
        assertEquals("id-1", request.header("X-Call-Id"));
        assertEquals("key-1", request.header("Idempotency-Key"));
        long budgetMs = Long.parseLong(request.header("X-Budget-Ms"));
        assertTrue(budgetMs > 0 && budgetMs <= 20_000, budgetMs + " ms");
        assertEquals("body", request.body());
    }

    /** After a restart messages were lost: attempts that were decided in a turn of one second ended a second late. */
    @Test
    void timeoutCountsFromTheDecision() throws Exception {
        stub.setScript(StubServer.silent());
        AcceptedMessage message = new AcceptedMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, new byte[0]);
        start(message, 600_000, 600_000);
        assertTrue(nextResult() != null, "the attempt times out at once, not after ten minutes");
    }

    @Test
    void statusCodesMapToOutcomes() throws Exception {
        expectResult(Outcome.ERROR, StubServer.status(500, ""));
        assertEquals(new Result(Outcome.FULL, false, 1250), callWith(StubServer.status(429, "Retry-After: 1.25\r\n")));
        expectResult(Outcome.FULL, StubServer.status(503, ""));
        expectResult(Outcome.NOT_SENT, StubServer.status(503, "X-No-Slot: 1\r\n"));
        expectResult(Outcome.NOT_SENT, StubServer.status(504, ""));
        assertEquals(new Result(Outcome.NOT_SENT, true, 0), callWith(StubServer.status(410, "")));
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteIsBroken() throws Exception {
        expectResult(Outcome.BROKEN, (request, socket) -> socket.close());
        expectResult(Outcome.BROKEN, (request, socket) -> socket.shutdownOutput());
        expectResult(Outcome.BROKEN, (request, socket) -> StubServer.write(socket, "not HTTP at all\r\n\r\n"));
        assertEquals(3, stub.requests.size(), "each request was sent once");
    }

    @Test
    void aRefusedConnectionIsUnreachable() throws Exception {
        ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = (InetSocketAddress) unused.getLocalSocketAddress();
        unused.close();
        setAddress(address);
        start(new byte[1], LONG_TIMEOUT_MS);
        assertEquals(new Result(Outcome.UNREACHABLE, false, 0), nextResult());
    }

    @Test
    void aConnectionThatBreaksBeforeTheLastByteIsUnreachable() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            setAddress((InetSocketAddress) full.getLocalSocketAddress());
            start(new byte[64 << 20], LONG_TIMEOUT_MS);
            try (Socket socket = full.accept()) {
                socket.getInputStream().read();
                socket.setSoLinger(true, 0);
            }
            assertEquals(new Result(Outcome.UNREACHABLE, false, 0), nextResult());
        }
    }

    @Test
    void noResponseTimesOutAndClosesTheConnection() throws Exception {
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitIdle();
        stub.setScript(StubServer.silent());
        start(new byte[1], 30);
        assertEquals(new Result(Outcome.TIMED_OUT, false, 0), nextResult());
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(stub.requests.size() - 1).connection(),
                "a late response must not be read by the next call");
    }

    /** An incomplete status line leaves the result open, and what arrives after the timeout is ignored. */
    @Test
    void incompleteStatusLineIsNoResponse() throws Exception {
        CountDownLatch timedOut = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 2");
            timedOut.await();
            StubServer.write(socket, "00 OK\r\nContent-Length: 0\r\n\r\n");
        });
        start(new byte[1], 200);
        assertEquals(resultOf(Outcome.TIMED_OUT), nextResult());
        timedOut.countDown();
        expectResult(Outcome.BROKEN, (request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 20");
            socket.close();
        });
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
    }

    @Test
    void cancelledAttemptCompletesOnceAndClosesTheConnection() throws Exception {
        stub.setScript(StubServer.silent());
        EndpointClient.OutboundAttempt attempt = start(new byte[1], LONG_TIMEOUT_MS);
        StubServer.await("the call has arrived", () -> !stub.requests.isEmpty());
        loop.submit(() -> client.cancel(attempt)).syncUninterruptibly();
        assertEquals(new Result(Outcome.CANCELLED, false, 0), nextResult());
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    @Test
    void connectionIsReusedAfterAnyCompleteResponse() throws Exception {
        expectResult(Outcome.DELIVERED, (request, socket) -> {
            for (char c : "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .toCharArray()) {
                StubServer.write(socket, String.valueOf(c));
            }
            StubServer.write(socket, "3\r\nabc\r\n0\r\n\r\n");
        });
        awaitIdle();
        expectResult(Outcome.ERROR, StubServer.status(500, ""));
        awaitIdle();
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(0, stub.requests.get(2).connection());
    }

    @Test
    void connectionThatTheEndpointClosedIsNotReused() throws Exception {
        expectResult(Outcome.DELIVERED, (request, socket) -> {
            StubServer.status(200, "").handle(request, socket);
            socket.close();
        });
        StubServer.await("the client notices the close", () -> idleConnectionCount() == 0);
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        expectResult(Outcome.DELIVERED, StubServer.status(200, "Connection: close\r\n"));
        StubServer.await("the client closes after Connection: close", () -> idleConnectionCount() == 0);
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
    }

    @Test
    void idleConnectionsOfADrainingEndpointAreClosed() throws Exception {
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitIdle();
        loop.submit(() -> client.updateEndpoint(1, stub.address(), false, MAX_BATCH_SIZE)).syncUninterruptibly();
        assertEquals(0, idleConnectionCount());
    }

    private static StubServer.Script rawResponse(String response) {
        return (request, socket) -> StubServer.write(socket, response);
    }

    /** None of these responses closes the connection, and the timeout of the calls is too long to end them. */
    @Test
    void malformedResponseIsBrokenAtOnceAndClosesTheConnection() throws Exception {
        List<String> malformed = List.of(
                "\u0001\u0002 noise without a line",
                "HTTP/1.1 2",
                "HTTP/1.1 500 x\r\nX-More: more",
                "HTTP/1.1 429 x\r\n" + "X-More: more\r\n".repeat(2000),
                "HTTP/1.1 503 x\r\nContent-Length: many\r\n\r\n",
                "HTTP/1.1 503 x\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 429 x\r\nContent-Length: 10\r\n\r\nfour",
                "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n" + "x".repeat(1000),
                "HTTP/1.1 503 x\r\n\r\n" + "x".repeat(100_000),
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                "HTTP/1.1 twohundred x\r\nContent-Length: 0\r\n\r\n");
        for (String response : malformed) {
            stub.setScript(rawResponse(response));
            start(new byte[1], 600_000);
            assertEquals(new Result(Outcome.BROKEN, false, 0), nextResult(), response);
        }
        assertEquals(malformed.size(), stub.requests.stream().map(StubServer.Message::connection).distinct().count(),
                "no connection is reused");
    }

    /** A payment counted as never run, and was sent again, by an unreadable response that began with status 503. */
    @Test
    void unreadableRefusalIsNoProofThatTheMessageNeverRan() throws Exception {
        for (String head : List.of("this is no header\r\nContent-Length: 0\r\n", "X Bad: 1\r\nContent-Length: 0\r\n",
                "X-Bad : 1\r\nContent-Length: 0\r\n", "X-More: a\r\n folded\r\nContent-Length: 0\r\n",
                ": no name\r\nContent-Length: 0\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Transfer-Encoding: gzip, chunked\r\n")) {
            for (int status : List.of(503, 429, 504, 410)) {
                stub.setScript(rawResponse("HTTP/1.1 " + status + " x\r\n" + head + "\r\n0\r\n\r\n"));
                start(new byte[1], 600_000);
                assertEquals(resultOf(Outcome.BROKEN), nextResult(), status + " " + head);
            }
        }
    }

    @Test
    void statusLineWith200IsADeliveryWhateverFollows() throws Exception {
        for (String rest : List.of("", "X-More: more", "\u0001\u0002\r\n\r\n", "Content-Length: many\r\n\r\n",
                "Content-Length: 10\r\n\r\nfour", "Content-Length: 3000000000\r\n\r\nxxx",
                "X-More: more\r\n".repeat(2000))) {
            int endedBefore = stub.endedConnections();
            stub.setScript(rawResponse("HTTP/1.1 200 OK\r\n" + rest));
            start(new byte[1], 600_000);
            assertEquals(new Result(Outcome.DELIVERED, false, 0), nextResult(), rest);
            StubServer.await("the connection is closed", () -> stub.endedConnections() == endedBefore + 1);
        }
    }

    @Test
    void bytesAfterAResponseAreNotReadAsTheNextResponse() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (String extra : List.of(ok, "noise", "\r\n")) {
            int endedBefore = stub.endedConnections();
            stub.setScript((request, socket) -> {
                StubServer.write(socket, ok);
                StubServer.write(socket, extra);
            });
            start(new byte[1], LONG_TIMEOUT_MS);
            assertEquals(new Result(Outcome.DELIVERED, false, 0), nextResult());
            stub.setScript(StubServer.status(500, ""));
            start(new byte[1], LONG_TIMEOUT_MS);
            assertEquals(new Result(Outcome.ERROR, false, 0), nextResult(), "the next call gets its own response");
            StubServer.await("the connection is closed", () -> stub.endedConnections() > endedBefore);
        }
    }

    /** A good answer with a second copy or noise behind it stays good, and the surplus reaches no other message. */
    @Test
    void surplusBehindAnyGoodResponseBelongsToNoOtherCall() throws Exception {
        List<StubServer.Script> good = List.of(StubServer.status(200, ""), StubServer.status(503, ""),
                StubServer.status(500, ""), batchResponse("", "a accepted\r\nb accepted\r\n"));
        List<Outcome> outcomes = List.of(Outcome.DELIVERED, Outcome.FULL, Outcome.ERROR, Outcome.DELIVERED);
        List<String> surplus = List.of("HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 x\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n", "noise", "\r\n", "HTTP/1.1 2",
                "a accepted\r\n");
        for (int i = 0; i < good.size(); i++) {
            for (String bytes : surplus) {
                for (boolean early : List.of(true, false)) {
                    expectSurplusIgnored(good.get(i), outcomes.get(i), i == 3, bytes, early);
                }
            }
        }
        assertEquals(List.of(), List.copyOf(retryAfterWaits), "a wait in the surplus binds nobody");
        assertEquals(List.of(), List.copyOf(lateResults));
    }

    private void expectSurplusIgnored(StubServer.Script good, Outcome outcome, boolean batch, String surplus,
            boolean early) throws Exception {
        int endedBefore = stub.endedConnections();
        int acceptedBefore = stub.acceptedConnections();
        BlockingQueue<Socket> answered = new LinkedBlockingQueue<>();
        stub.setScript((request, socket) -> {
            good.handle(request, socket);
            if (early) {
                StubServer.write(socket, surplus);
            }
            answered.add(socket);
        });
        startTogether(batch ? new String[] {"a", "b"} : new String[] {"a"});
        for (int i = 0; i < (batch ? 2 : 1); i++) {
            assertEquals(resultOf(outcome), nextResult(), surplus);
        }
        if (!early) {
            awaitIdle();
            StubServer.write(answered.take(), surplus);
        }
        StubServer.await("the connection is closed", () -> stub.endedConnections() > endedBefore);
        stub.setScript(StubServer.status(504, ""));
        startTogether("next");
        assertEquals(resultOf(Outcome.NOT_SENT), nextResult(), "the next call gets its own answer: " + surplus);
        assertEquals(acceptedBefore + 2, stub.acceptedConnections());
        awaitIdle();
        loop.submit(() -> client.closeAllIdleConnections()).sync();
        StubServer.await("its connection is closed", () -> stub.endedConnections() == stub.acceptedConnections());
    }

    @Test
    void interimResponsesAreSkippedHoweverLongTheFinalOneTakes() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
            mayRespond.await();
            StubServer.write(socket, "HTTP/1.1 429 x\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n");
        });
        start(new byte[1], LONG_TIMEOUT_MS);
        // Longer than the time limit for reading a response.
        assertNull(results.poll(1500, TimeUnit.MILLISECONDS));
        mayRespond.countDown();
        assertEquals(new Result(Outcome.FULL, false, 500), nextResult());
    }

    @Test
    void validRateOfALoadReportIsRead() throws Exception {
        for (int status : List.of(200, 429)) {
            for (String report : List.of("TEXT x0=0.4, x1=25", "TEXT x1=25,x0=0", "\u0001\u00ff x1=", "TEXT x1=many",
                    "TEXT")) {
                callWith(StubServer.status(status, "X-Load-Report: " + report + "\r\n"));
                double rate = report.contains("25") ? 25 : 0;
                assertEquals(rate, reportedRates.take(), report);
            }
        }
    }

    @Test
    void retryAfterIsANumberWithinBounds() throws Exception {
        for (String invalid : List.of("NaN", "-Infinity", "-5", "soon")) {
            assertEquals(new Result(Outcome.FULL, false, 0),
                    callWith(StubServer.status(429, "Retry-After: " + invalid + "\r\n")));
        }
        assertTrue(retryAfterWaits.isEmpty());
        for (String huge : List.of("Infinity", "1e300", "99999999")) {
            assertEquals(new Result(Outcome.FULL, false, TimeUnit.DAYS.toMillis(1)),
                    callWith(StubServer.status(429, "Retry-After: " + huge + "\r\n")));
        }
    }

    @Test
    void retryAfterAppliesWhateverElseTheResponseSays() throws Exception {
        for (String head : List.of("HTTP/1.1 429 x\r\nRetry-After: 0.5\r\nContent-Length: 9\r\n\r\nshort",
                "HTTP/1.1 429 x\r\nretry-after:0.50 \r\nX-Endless: ", "HTTP/1.1 503 x\r\nRetry-After: 0.5\r\n\r\n",
                "HTTP/1.1 200 x\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\nRetry-After: 7\r\n\r\nHTTP/1.1 500 x\r\nRetry-After: 0.5\r\n\r\n")) {
            stub.setScript((request, socket) -> StubServer.write(socket, head));
            start(new byte[1], LONG_TIMEOUT_MS);
            assertEquals(500, retryAfterWaits.poll(30, TimeUnit.SECONDS), head);
            assertTrue(nextResult() != null);
        }
        stub.setScript(batchResponse("Retry-After: 2\r\n", "not a line\r\n"));
        startTogether("a", "b");
        expectResults(resultOf(Outcome.BROKEN), resultOf(Outcome.BROKEN));
        assertEquals(2000, retryAfterWaits.poll(30, TimeUnit.SECONDS));
        assertTrue(retryAfterWaits.isEmpty(), "each wait is reported once");
    }

    /** The response was still unread when its call was cancelled. */
    @Test
    void retryAfterIsReadFromAResponseThatCrossesTheCancellation() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        CountDownLatch responseWritten = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            mayRespond.await();
            StubServer.status(429, "Retry-After: 0.5\r\n").handle(request, socket);
            responseWritten.countDown();
        });
        EndpointClient.OutboundAttempt attempt = start(new byte[1], LONG_TIMEOUT_MS);
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> {
            mayRespond.countDown();
            responseWritten.await();
            client.cancel(attempt);
            return null;
        }).sync();
        assertEquals(new Result(Outcome.CANCELLED, false, 0), nextResult());
        assertEquals(500, retryAfterWaits.poll(30, TimeUnit.SECONDS));
        StubServer.await("the connection is closed", () -> stub.endedConnections() == 1);
        assertEquals(0, idleConnectionCount());
    }

    /**
     * After a delay of the event loop by 0.4 s, a call that was decided before was written while the response with a
     * Retry-After wait was still unread.
     */
    @Test
    void callIsWrittenOnlyAfterEarlierResponsesAreRead() throws Exception {
        leaveTwoIdle();
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch responseWritten = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            loopBlocked.await();
            StubServer.status(429, "Retry-After: 5\r\n").handle(request, socket);
            responseWritten.countDown();
        });
        startTogether("a");
        StubServer.await("the call is in flight", () -> stub.requests.size() == 3);
        suppressedAfterWaitId = "b";
        loop.submit(() -> {
            client.startAttempt(message("b"), 0, 1, LONG_TIMEOUT_MS, System.nanoTime());
            loopBlocked.countDown();
            responseWritten.await();
            return null;
        }).syncUninterruptibly();
        expectResults(new Result(Outcome.FULL, false, 5000), resultOf(Outcome.NOT_SENT));
        assertEquals(3, stub.requests.size());
    }

    /** As above, but the event loop is delayed by its own reading, and the response arrives in that time. */
    @Test
    void responsesThatArriveDuringASlowReadAreReadBeforeACallIsWritten() throws Exception {
        leaveTwoIdle();
        CountDownLatch attemptStarted = new CountDownLatch(1);
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch otherResponseWritten = new CountDownLatch(1);
        CountDownLatch responseWritten = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            loopBlocked.await();
            StubServer.status(429, "Retry-After: 5\r\n").handle(request, socket);
            responseWritten.countDown();
        });
        StubServer.Script otherResponse = (request, socket) -> {
            attemptStarted.await();
            StubServer.status(429, "Retry-After: 1\r\n").handle(request, socket);
            otherResponseWritten.countDown();
        };
        try (StubServer other = new StubServer(otherResponse)) {
            loop.submit(() -> client.updateEndpoint(OTHER_ENDPOINT, other.address(), true, MAX_BATCH_SIZE))
                    .syncUninterruptibly();
            startTogether("a");
            loop.submit(() -> client.startAttempt(message("c"), 0, OTHER_ENDPOINT, LONG_TIMEOUT_MS, System.nanoTime()))
                    .syncUninterruptibly();
            StubServer.await("both calls are in flight", () -> stub.requests.size() + other.requests.size() == 4);
            onOtherRetryAfter = () -> {
                loopBlocked.countDown();
                awaitUnchecked(responseWritten);
                long startNanos = System.nanoTime();
                while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(60)) {
                    Thread.onSpinWait();
                }
            };
            suppressedAfterWaitId = "b";
            loop.submit(() -> {
                client.startAttempt(message("b"), 0, 1, LONG_TIMEOUT_MS, System.nanoTime());
                attemptStarted.countDown();
                otherResponseWritten.await();
                return null;
            }).syncUninterruptibly();
            List<Result> threeResults = List.of(nextResult(), nextResult(), nextResult());
            assertTrue(threeResults.contains(resultOf(Outcome.NOT_SENT)), threeResults.toString());
            assertEquals(3, stub.requests.size());
        }
    }

    /** Leaves two idle connections to the endpoint. */
    private void leaveTwoIdle() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        stub.setScript((request, socket) -> {
            both.countDown();
            both.await();
            StubServer.status(200, "").handle(request, socket);
        });
        for (String id : List.of("one", "two")) {
            startTogether(id);
        }
        expectResults(resultOf(Outcome.DELIVERED), resultOf(Outcome.DELIVERED));
        StubServer.await("both connections are idle", () -> idleConnectionCount() == 2);
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void requestThatCantBeBuiltHasAResult() throws Exception {
        AcceptedMessage message = new AcceptedMessage(1, "no\r\nheader", "order", "t", Optional.empty(), 7, 0,
                new byte[1]);
        start(message, 600_000, 0);
        assertEquals(new Result(Outcome.UNREACHABLE, false, 0), nextResult());
        assertTrue(stub.requests.isEmpty());
    }

    @Test
    void removedEndpointLeavesNoConnections() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        expectResult(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitIdle();
        stub.setScript((request, socket) -> {
            mayRespond.await();
            StubServer.status(200, "").handle(request, socket);
        });
        start(new byte[1], LONG_TIMEOUT_MS);
        start(new byte[1], LONG_TIMEOUT_MS);
        StubServer.await("the calls are in flight", () -> stub.requests.size() == 3);
        loop.submit(() -> client.removeEndpoint(1)).syncUninterruptibly();
        mayRespond.countDown();
        assertEquals(new Result(Outcome.DELIVERED, false, 0), nextResult(), "a call in flight is still completed");
        assertEquals(new Result(Outcome.DELIVERED, false, 0), nextResult());
        StubServer.await("its connections are closed", () -> stub.endedConnections() == 2);
        assertEquals(0, idleConnectionCount());
        assertEquals(0, loop.submit(() -> client.endpointCount()).get());
    }

    @Test
    void connectionToTheOldAddressOfAMovedEndpointIsNotReused() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            mayRespond.await();
            StubServer.status(200, "").handle(request, socket);
        });
        start(new byte[1], LONG_TIMEOUT_MS);
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        try (StubServer moved = new StubServer(StubServer.status(500, ""))) {
            setAddress(moved.address());
            mayRespond.countDown();
            assertEquals(new Result(Outcome.DELIVERED, false, 0), nextResult());
            StubServer.await("the old connection is closed", () -> stub.endedConnections() == 1);
            start(new byte[1], LONG_TIMEOUT_MS);
            assertEquals(new Result(Outcome.ERROR, false, 0), nextResult());
        }
    }

    @Test
    void nothingIsWrittenToTheOldAddressOfAnEndpointThatMovedDuringTheConnect() throws Exception {
        Result result = resultOf(Outcome.DELIVERED);
        // If the event loop was slow, it connected to the new address, and the try shows nothing.
        while (result.equals(resultOf(Outcome.DELIVERED))) {
            try (StubServer old = StubServer.withFullAcceptQueue(StubServer.status(200, "")); StubServer moved
                    = new StubServer(StubServer.status(200, ""))) {
                EndpointClient patientClient = new EndpointClient(loop, 20_000, 15_000, 4, listener());
                loop.submit(() -> patientClient.updateEndpoint(1, old.address(), true, MAX_BATCH_SIZE))
                        .syncUninterruptibly();
                startOn(patientClient, "a");
                awaitLoopPasses();
                loop.submit(() -> patientClient.updateEndpoint(1, moved.address(), true, MAX_BATCH_SIZE))
                        .syncUninterruptibly();
                old.startAccepting();
                result = nextResult();
                assertEquals(List.of(), old.requests);
            }
        }
        assertEquals(resultOf(Outcome.NOT_SENT), result);
    }

    /** A connection that was taken for a call which was then not written is still idle to its endpoint. */
    @Test
    void idleTimeGoesOnIfAConnectionIsTakenButNotUsed() throws Exception {
        EndpointClient shortKeepAlive = new EndpointClient(loop, 1000, 2000, 4, listener());
        loop.submit(() -> shortKeepAlive.updateEndpoint(1, stub.address(), true, MAX_BATCH_SIZE)).syncUninterruptibly();
        startOn(shortKeepAlive, "a");
        assertEquals(resultOf(Outcome.DELIVERED), nextResult());
        long lastUseNanos = System.nanoTime();
        awaitTime(lastUseNanos, 1000);
        suppressedId = "b";
        startOn(shortKeepAlive, "b");
        assertEquals(resultOf(Outcome.NOT_SENT), nextResult());
        awaitTime(lastUseNanos, 1700);
        startOn(shortKeepAlive, "c");
        assertEquals(resultOf(Outcome.DELIVERED), nextResult());
        assertEquals(1, stub.requests.get(1).connection(),
                "the first connection was idle for more than 80% of the 2 s keep-alive timeout");
    }

    private static void awaitTime(long sinceNanos, long ms) throws Exception {
        StubServer.await("the time has come",
                () -> System.nanoTime() - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private void startOn(EndpointClient target, String id) {
        loop.submit(() -> target.startAttempt(message(id), 0, 1, LONG_TIMEOUT_MS, System.nanoTime()))
                .syncUninterruptibly();
    }

    /** Waits until the event loop has read its sockets and run its due tasks a few times. */
    private void awaitLoopPasses() throws Exception {
        for (int i = 0; i < 5; i++) {
            loop.schedule(() -> { }, 0, TimeUnit.NANOSECONDS).sync();
        }
    }

    /** Connections were dropped while idle, which went unnoticed behind others that were in use. */
    @Test
    void newConnectionsAreUsedWhereIdleOnesBreak() throws Exception {
        Set<Integer> used = ConcurrentHashMap.newKeySet();
        stub.setScript((request, socket) -> {
            if (used.add(request.connection())) {
                StubServer.status(200, "").handle(request, socket);
            } else {
                socket.close();
            }
        });
        int deliveredInARow = 0;
        for (int calls = 0; deliveredInARow < 2; calls++) {
            assertTrue(calls < 200, "idle connections are still reused although they break");
            start(new byte[1], LONG_TIMEOUT_MS);
            deliveredInARow = nextResult().outcome() == Outcome.DELIVERED ? deliveredInARow + 1 : 0;
            if (deliveredInARow == 1) {
                awaitIdle();
            }
        }
    }

    // ---- calls with several messages ----

    private static AcceptedMessage message(String id) {
        return AcceptedMessage.withTimeLeft(1, id, "order", "t", id.equals("c") ? Optional.empty()
                : Optional.of("key-" + id), 7,
                3_600_000, id.getBytes(StandardCharsets.ISO_8859_1), MachineClock.system());
    }

    /** Starts attempts for these messages in one turn. */
    private List<EndpointClient.OutboundAttempt> startTogether(String... ids) throws Exception {
        return startTogether(Arrays.stream(ids).map(EndpointClientTest::message).toArray(AcceptedMessage[]::new));
    }

    private List<EndpointClient.OutboundAttempt> startTogether(AcceptedMessage... messages) throws Exception {
        return loop.submit(() -> Arrays.stream(messages)
                .map(message -> client.startAttempt(message, 0, 1, LONG_TIMEOUT_MS, System.nanoTime())).toList()).get();
    }

    private static StubServer.Script batchResponse(String headers, String body) {
        return (request, socket) -> StubServer.write(socket, "HTTP/1.1 200 x\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private void expectResults(Result... expected) throws Exception {
        for (Result result : expected) {
            assertEquals(result, nextResult());
        }
    }

    private static Result resultOf(Outcome outcome) {
        return new Result(outcome, false, 0);
    }

    @Test
    void attemptsOfOneTurnToOneEndpointShareACall() throws Exception {
        stub.setScript(batchResponse("X-Load-Report: TEXT x0=0.5, x1=4\r\n", "a accepted\r\nc accepted\r\n"));
        startTogether("a", "c");
        expectResults(resultOf(Outcome.DELIVERED), resultOf(Outcome.DELIVERED));
        assertEquals(1, stub.requests.size());
        StubServer.Message request = stub.requests.get(0);
        assertEquals("POST /v1/messages:batch HTTP/1.1", request.line());
        assertEquals("a key-a 1\r\na\r\nc - 1\r\nc\r\n", request.body());
        assertNull(request.header("X-Call-Id"));
        assertEquals(List.of(4.0, 4.0), List.copyOf(reportedRates));
    }

    @Test
    void callCarriesAtMostTheMaxBatchSize() throws Exception {
        stub.setScript((request, socket) -> {
            boolean isBatch = request.line().contains(":batch");
            (isBatch ? batchResponse("", "a accepted\nb accepted\nc accepted\n") : StubServer.status(200, ""))
                    .handle(request, socket);
        });
        startTogether("a", "b", "c", "d");
        for (int i = 0; i < 4; i++) {
            assertEquals(resultOf(Outcome.DELIVERED), nextResult());
        }
        assertEquals(List.of("POST /v1/messages HTTP/1.1", "POST /v1/messages:batch HTTP/1.1"),
                stub.requests.stream().map(StubServer.Message::line).sorted().toList());
    }

    @Test
    void eachMessageOfABatchHasItsOwnResult() throws Exception {
        stub.setScript(batchResponse("Retry-After: 0.5\r\n", "c deferred\r\nb fault\r\na accepted\r\n"));
        startTogether("a", "b", "c");
        expectResults(new Result(Outcome.DELIVERED, false, 500), new Result(Outcome.ERROR, false, 500),
                new Result(Outcome.FULL, false, 500));
        stub.setScript(batchResponse("", "a expired\nb no_more\n"));
        startTogether("a", "b");
        expectResults(new Result(Outcome.NOT_SENT, true, 0), resultOf(Outcome.NOT_SENT));
    }

    @Test
    void statusCodeOfABatchAppliesToAllItsMessages() throws Exception {
        stub.setScript(StubServer.status(429, "Retry-After: 1.5\r\n"));
        startTogether("a", "b");
        expectResults(new Result(Outcome.FULL, false, 1500), new Result(Outcome.FULL, false, 1500));
        stub.setScript(StubServer.status(500, ""));
        startTogether("a", "b");
        expectResults(resultOf(Outcome.ERROR), resultOf(Outcome.ERROR));
        stub.setScript(StubServer.status(413, ""));
        startTogether("a", "b");
        expectResults(resultOf(Outcome.NOT_SENT), resultOf(Outcome.NOT_SENT));
    }

    /** The status line says nothing about a single message of a batch: each may have been processed. */
    @Test
    void malformedBatchResponseIsBrokenForAllMessages() throws Exception {
        for (String responseBody : List.of("", "a accepted\n", "a accepted\nb perhaps\n", "a accepted\na accepted\n")) {
            stub.setScript(batchResponse("", responseBody));
            startTogether("a", "b");
            expectResults(resultOf(Outcome.BROKEN), resultOf(Outcome.BROKEN));
        }
        stub.setScript((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: 99\r\n\r\na accepted\n");
            socket.close();
        });
        startTogether("a", "b");
        expectResults(resultOf(Outcome.BROKEN), resultOf(Outcome.BROKEN));
    }

    /** Messages were sent again, or reported as failed, after a response that came past the budget of another one. */
    @Test
    void wholeBatchResponseCountsAlsoAfterTheBudgetOfOneMessage() throws Exception {
        ManualClock clock = new ManualClock();
        EndpointClient slowClient = new EndpointClient(loop, 1000, 15_000, 4, listener(), NioSocketChannel::new, clock);
        loop.submit(() -> slowClient.updateEndpoint(1, stub.address(), true, MAX_BATCH_SIZE)).syncUninterruptibly();
        stub.setScript((request, socket) -> {
            loop.submit(() -> clock.advance(2 * BUDGET_MS)).sync();
            batchResponse("", "a accepted\nb accepted\n").handle(request, socket);
        });
        loop.submit(() -> {
            for (String id : List.of("a", "b")) {
                long timeLeftMs = id.equals("a") ? BUDGET_MS : 10 * BUDGET_MS;
                slowClient.startAttempt(AcceptedMessage.withTimeLeft(1, id, "order", "t", Optional.of("key-" + id), 7,
                        timeLeftMs, new byte[1], clock), 0, 1, 10 * BUDGET_MS, clock.nanos());
            }
        }).syncUninterruptibly();
        expectResults(resultOf(Outcome.DELIVERED), resultOf(Outcome.DELIVERED));
    }

    /** As above: such a response is not awaited, since it could be that of a message which is over. */
    @Test
    void callWithSeveralMessagesEndsBeforeTheBudgetOfOneDoes() throws Exception {
        stub.setScript(StubServer.silent());
        AcceptedMessage late = AcceptedMessage.withTimeLeft(1, "a", "order", "t", Optional.of("key-a"), 7, 500,
                new byte[1], MachineClock.system());
        startTogether(late, message("b"));
        expectResults(resultOf(Outcome.TIMED_OUT), resultOf(Outcome.TIMED_OUT));
        StubServer.await("the connection is closed", () -> stub.endedConnections() == 1);
        assertTrue(late.timeLeftMs(MachineClock.system()) > -LONG_TIMEOUT_MS / 2, "the call waited for its timeout");
    }

    /** A message was sent again because its own timeout had passed, while its call went on and then delivered it. */
    @Test
    void attemptsOfOneCallTimeOutTogether() throws Exception {
        CountDownLatch firstTimeoutPassed = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            firstTimeoutPassed.await();
            batchResponse("", "a accepted\nb accepted\n").handle(request, socket);
        });
        loop.submit(() -> {
            client.startAttempt(message("a"), 0, 1, LONG_TIMEOUT_MS, System.nanoTime());
            client.startAttempt(message("b"), 0, 1, 50, System.nanoTime());
        }).syncUninterruptibly();
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.schedule(firstTimeoutPassed::countDown, 100, TimeUnit.MILLISECONDS);
        expectResults(resultOf(Outcome.DELIVERED), resultOf(Outcome.DELIVERED));
    }

    @Test
    void cancellingOneAttemptLeavesTheOthersInFlight() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            mayRespond.await();
            batchResponse("", "a accepted\nb accepted\n").handle(request, socket);
        });
        List<EndpointClient.OutboundAttempt> attempts = startTogether("a", "b");
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> client.cancel(attempts.get(0))).syncUninterruptibly();
        assertEquals(resultOf(Outcome.CANCELLED), nextResult());
        mayRespond.countDown();
        assertEquals(resultOf(Outcome.DELIVERED), nextResult());
    }

    /** A message was sent again after the response to its cancelled attempt: one message can't be cancelled alone. */
    @Test
    void resultOfACancelledAttemptInABatchIsReportedLate() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            mayRespond.await();
            batchResponse("", "a accepted\nb fault\nc deferred\n").handle(request, socket);
        });
        List<EndpointClient.OutboundAttempt> attempts = startTogether("a", "b", "c");
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> client.cancel(attempts.get(0))).syncUninterruptibly();
        loop.submit(() -> client.cancel(attempts.get(2))).syncUninterruptibly();
        expectResults(resultOf(Outcome.CANCELLED), resultOf(Outcome.CANCELLED));
        mayRespond.countDown();
        assertEquals(resultOf(Outcome.ERROR), nextResult());
        assertEquals(Outcome.DELIVERED, lateResults.poll(30, TimeUnit.SECONDS).outcome());
        assertEquals(Outcome.FULL, lateResults.poll(30, TimeUnit.SECONDS).outcome());
    }

    /** A message was lost: a batch response was believed although it had no line for another, cancelled message. */
    @Test
    void batchResponseWithoutTheLineOfACancelledMessageIsMalformed() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            mayRespond.await();
            batchResponse("", "b accepted\n").handle(request, socket);
        });
        List<EndpointClient.OutboundAttempt> attempts = startTogether("a", "b");
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> client.cancel(attempts.get(0))).syncUninterruptibly();
        assertEquals(resultOf(Outcome.CANCELLED), nextResult());
        mayRespond.countDown();
        assertEquals(resultOf(Outcome.BROKEN), nextResult());
    }

    /** As above, with a response that crosses the cancellation of the whole call. */
    @Test
    void deliveryThatCrossesTheCancellationIsReportedLate() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        CountDownLatch responseWritten = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            mayRespond.await();
            StubServer.status(200, "").handle(request, socket);
            responseWritten.countDown();
        });
        EndpointClient.OutboundAttempt attempt = start(new byte[1], LONG_TIMEOUT_MS);
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> {
            mayRespond.countDown();
            responseWritten.await();
            client.cancel(attempt);
            return null;
        }).sync();
        assertEquals(resultOf(Outcome.CANCELLED), nextResult());
        assertEquals(Outcome.DELIVERED, lateResults.poll(30, TimeUnit.SECONDS).outcome());
    }

    /** A delivered message was reported as failed: its response had arrived in time, but the event loop was delayed. */
    @Test
    void responseThatArrivedBeforeTheTimeoutIsReadBeforeItTimesOut() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        CountDownLatch responseWritten = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            mayRespond.await();
            StubServer.status(200, "").handle(request, socket);
            responseWritten.countDown();
        });
        long startNanos = System.nanoTime();
        start(new byte[1], 1000);
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> {
            mayRespond.countDown();
            responseWritten.await();
            while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(1100)) {
                Thread.onSpinWait();
            }
            return null;
        }).sync();
        assertEquals(resultOf(Outcome.DELIVERED), nextResult());
    }

    /** After a restart a message was delivered twice: an attempt that was decided in time was written too late. */
    @Test
    void attemptThatIsNoLongerAllowedIsNotWritten() throws Exception {
        suppressedId = "a";
        startTogether("a", "b");
        assertEquals(resultOf(Outcome.NOT_SENT), nextResult());
        assertEquals(resultOf(Outcome.DELIVERED), nextResult());
        startTogether("a");
        assertEquals(resultOf(Outcome.NOT_SENT), nextResult());
        assertEquals(List.of("b"), stub.requests.stream().map(m -> m.header("X-Call-Id")).toList());
    }

    /** A message was taken for delivered, and lost, by the response to the other message of a call. */
    @Test
    void responseSaysNothingAboutAMessageThatWasNotWritten() throws Exception {
        suppressedId = "a";
        for (int status : List.of(200, 410, 429, 503, 504)) {
            stub.setScript(StubServer.status(status, ""));
            startTogether("a", "b");
            assertEquals(resultOf(Outcome.NOT_SENT), nextResult());
            assertTrue(nextResult() != null);
            awaitLoopPasses();
            assertEquals(List.of(), List.copyOf(lateResults), "status " + status);
        }
        stub.setScript(batchResponse("", "a accepted\r\nb accepted\r\nc accepted\r\n"));
        startTogether("a", "b", "c");
        expectResults(resultOf(Outcome.NOT_SENT), resultOf(Outcome.DELIVERED), resultOf(Outcome.DELIVERED));
        awaitLoopPasses();
        assertEquals(List.of(), List.copyOf(lateResults), "a line for a message that was not in the call");
    }

    /** An id or key with a blank, or the key that marks a missing one, would be misread in the body of a batch. */
    @Test
    void messageThatDoesNotFitTheBatchFormatIsSentAlone() throws Exception {
        loop.submit(() -> {
            for (String key : List.of("two words", "-", "plain")) {
                client.startAttempt(new AcceptedMessage(1, "id-" + key.length(), "order", "t", Optional.of(key), 7,
                        0, new byte[1]), 0, 1, LONG_TIMEOUT_MS, System.nanoTime());
            }
        }).syncUninterruptibly();
        expectResults(resultOf(Outcome.DELIVERED), resultOf(Outcome.DELIVERED), resultOf(Outcome.DELIVERED));
        assertEquals(List.of("-", "plain", "two words"),
                stub.requests.stream().map(m -> m.header("Idempotency-Key")).sorted().toList());
    }

    private void awaitIdle() throws Exception {
        StubServer.await("the connection is idle", () -> idleConnectionCount() == 1);
    }

    /** A second copy of a response came after the next call was written, and was taken for the response to that one. */
    @Test
    void connectionRestsForAShareOfTheFastestResponseTime() throws Exception {
        long responseMs = 100;
        stub.setScript((request, socket) -> {
            Thread.sleep(responseMs);
            StubServer.status(200, "").handle(request, socket);
        });
        start(new byte[1], LONG_TIMEOUT_MS);
        StubServer.await("the connection is idle", () -> idleConnectionCount() == 1);
        double idleAfterMs = (System.nanoTime() - stub.requests.get(0).receivedNanos()) / 1e6;
        assertTrue(idleAfterMs >= responseMs * (1 + ReuseDelay.RESPONSE_TIME_SHARE), idleAfterMs + " ms");
    }

    private int idleConnectionCount() {
        return loop.submit(() -> client.idleConnectionCount()).syncUninterruptibly().getNow();
    }
}
