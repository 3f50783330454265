package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
    private static final double LONG_MS = 20_000;
    private static final int BATCH = 3;
    /** A second endpoint, where a test has one. */
    private static final long OTHER = 2;

    private record End(Outcome outcome, boolean gone, double waitMs) {
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final BlockingQueue<Double> told = new LinkedBlockingQueue<>();
    private final BlockingQueue<Double> waits = new LinkedBlockingQueue<>();
    private EndpointClient endpoints;
    private StubServer stub;
    /** The id of the message whose attempts must not be written. */
    private volatile String tooLate = "";
    /** The id of the message whose attempts must not be written once a Retry-After wait was received. */
    private volatile String waiting = "";
    private volatile Runnable othersWaitTold = () -> { };

    @BeforeEach
    void open() throws Exception {
        stub = new StubServer(StubServer.status(200, ""));
        endpoints = new EndpointClient(loop, 1000, 15_000, 4, ends());
        at(stub.address());
    }

    private EndpointClient.CallListener ends() {
        return new EndpointClient.CallListener() {
        @Override
        public void completed(EndpointClient.OutboundAttempt call, Outcome outcome, boolean gone, double waitMs,
                LoadReport report) {
            told.add(report.rate());
            ends.add(new End(outcome, gone, waitMs));
        }

        @Override
        public void retryAfterReceived(long endpoint, double waitMs) {
            if (endpoint == OTHER) {
                othersWaitTold.run();
                return;
            }
            assertEquals(1, endpoint);
            waits.add(waitMs);
        }

        @Override
        public boolean sendAllowed(EndpointClient.OutboundAttempt call) {
            return !call.message.id.equals(tooLate) && !(call.message.id.equals(waiting) && !waits.isEmpty());
        }
    };
    }

    @AfterEach
    void close() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void at(InetSocketAddress address) {
        loop.submit(() -> endpoints.updateEndpoint(1, address, true, BATCH)).syncUninterruptibly();
    }

    private EndpointClient.OutboundAttempt start(byte[] body, double timeoutMs) throws Exception {
        AcceptedMessage held = new AcceptedMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, body);
        return start(held, timeoutMs, 0);
    }

    private EndpointClient.OutboundAttempt start(AcceptedMessage held, double timeoutMs, long decidedAgoMs)
            throws Exception {
        return loop.submit(() -> endpoints.startAttempt(held, 0, 1, timeoutMs,
                System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(decidedAgoMs))).get();
    }

    private End end() throws Exception {
        return ends.poll(30, TimeUnit.SECONDS);
    }

    private End call(StubServer.Script script) throws Exception {
        stub.setScript(script);
        start(new byte[] {'b', 'o', 'd', 'y'}, LONG_MS);
        return end();
    }

    private void expect(Outcome outcome, StubServer.Script script) throws Exception {
        assertEquals(new End(outcome, false, 0), call(script));
    }

    @Test
    void idKeyBodyAndBudgetGoOn() throws Exception {
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        StubServer.Message m = stub.requests.get(0);
        assertEquals("POST /v1/messages HTTP/1.1", m.line());
        assertEquals("id-1", m.header("X-Call-Id"));
        assertEquals("key-1", m.header("Idempotency-Key"));
        long budgetMs = Long.parseLong(m.header("X-Budget-Ms"));
        assertTrue(budgetMs > 0 && budgetMs <= 20_000, budgetMs + " ms");
        assertEquals("body", m.body());
    }

    /** After a restart messages were lost: attempts that were decided in a turn of one second ended a second late. */
    @Test
    void aTimeOutCountsFromTheDecisionHoweverLateTheCall() throws Exception {
        stub.setScript(StubServer.silent());
        AcceptedMessage held = new AcceptedMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, new byte[0]);
        start(held, 600_000, 600_000);
        assertTrue(end() != null, "the attempt times out at once, not after ten minutes");
    }

    @Test
    void statusesMeanWhatTheTableSays() throws Exception {
        expect(Outcome.ERROR, StubServer.status(500, ""));
        assertEquals(new End(Outcome.FULL, false, 1250), call(StubServer.status(429, "Retry-After: 1.25\r\n")));
        expect(Outcome.FULL, StubServer.status(503, ""));
        expect(Outcome.NOT_SENT, StubServer.status(503, "X-No-Slot: 1\r\n"));
        expect(Outcome.NOT_SENT, StubServer.status(504, ""));
        assertEquals(new End(Outcome.NOT_SENT, true, 0), call(StubServer.status(410, "")));
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteIsBroken() throws Exception {
        expect(Outcome.BROKEN, (request, socket) -> socket.close());
        expect(Outcome.BROKEN, (request, socket) -> socket.shutdownOutput());
        expect(Outcome.BROKEN, (request, socket) -> StubServer.write(socket, "not HTTP at all\r\n\r\n"));
        assertEquals(3, stub.requests.size(), "each request was sent once");
    }

    @Test
    void aRefusedConnectionIsUnreachable() throws Exception {
        ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = (InetSocketAddress) unused.getLocalSocketAddress();
        unused.close();
        at(address);
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
    }

    @Test
    void aConnectionThatBreaksBeforeTheLastByteIsUnreachable() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at((InetSocketAddress) full.getLocalSocketAddress());
            start(new byte[64 << 20], LONG_MS);
            try (Socket socket = full.accept()) {
                socket.getInputStream().read();
                socket.setSoLinger(true, 0);
            }
            assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
        }
    }

    @Test
    void silenceIsATimeOutAndClosesTheConnection() throws Exception {
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitKept();
        stub.setScript(StubServer.silent());
        start(new byte[1], 30);
        assertEquals(new End(Outcome.TIMED_OUT, false, 0), end());
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(stub.requests.size() - 1).connection(),
                "a late response must not be read by the next call");
    }

    /** An incomplete status line leaves the result open, and what arrives after the timeout is ignored. */
    @Test
    void halfALineIsNoAnswer() throws Exception {
        CountDownLatch timedOut = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 2");
            timedOut.await();
            StubServer.write(socket, "00 OK\r\nContent-Length: 0\r\n\r\n");
        });
        start(new byte[1], 200);
        assertEquals(plain(Outcome.TIMED_OUT), end());
        timedOut.countDown();
        expect(Outcome.BROKEN, (request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 20");
            socket.close();
        });
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
    }

    @Test
    void aCancelledCallEndsOnceAndClosesTheConnection() throws Exception {
        stub.setScript(StubServer.silent());
        EndpointClient.OutboundAttempt call = start(new byte[1], LONG_MS);
        StubServer.await("the call has arrived", () -> !stub.requests.isEmpty());
        loop.submit(() -> endpoints.cancel(call)).syncUninterruptibly();
        assertEquals(new End(Outcome.CANCELLED, false, 0), end());
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    @Test
    void aConnectionIsKeptForTheNextCallAfterAnyWholeAnswer() throws Exception {
        expect(Outcome.DELIVERED, (request, socket) -> {
            for (char c : "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .toCharArray()) {
                StubServer.write(socket, String.valueOf(c));
            }
            StubServer.write(socket, "3\r\nabc\r\n0\r\n\r\n");
        });
        awaitKept();
        expect(Outcome.ERROR, StubServer.status(500, ""));
        awaitKept();
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(0, stub.requests.get(2).connection());
    }

    @Test
    void aConnectionThatTheEndpointClosedIsNotUsedAgain() throws Exception {
        expect(Outcome.DELIVERED, (request, socket) -> {
            StubServer.status(200, "").handle(request, socket);
            socket.close();
        });
        StubServer.await("the client notices the close", () -> kept() == 0);
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        expect(Outcome.DELIVERED, StubServer.status(200, "Connection: close\r\n"));
        StubServer.await("the client closes after Connection: close", () -> kept() == 0);
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
    }

    @Test
    void aDrainingOrMovedEndpointsIdleConnectionsAreClosed() throws Exception {
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitKept();
        loop.submit(() -> endpoints.updateEndpoint(1, stub.address(), false, BATCH)).syncUninterruptibly();
        assertEquals(0, kept());
    }

    private static StubServer.Script raw(String answer) {
        return (request, socket) -> StubServer.write(socket, answer);
    }

    /** None of these responses closes the connection, and the timeout of the calls is too long to end them. */
    @Test
    void aSpoiltAnswerIsBrokenAtOnceAndItsConnectionClosed() throws Exception {
        List<String> spoilt = List.of(
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
        for (String answer : spoilt) {
            stub.setScript(raw(answer));
            start(new byte[1], 600_000);
            assertEquals(new End(Outcome.BROKEN, false, 0), end(), answer);
        }
        assertEquals(spoilt.size(), stub.requests.stream().map(StubServer.Message::connection).distinct().count(),
                "no connection is reused");
    }

    @Test
    void aFirstLineWith200IsADeliveryWhateverFollows() throws Exception {
        for (String rest : List.of("", "X-More: more", "\u0001\u0002\r\n\r\n", "Content-Length: many\r\n\r\n",
                "Content-Length: 10\r\n\r\nfour", "Content-Length: 3000000000\r\n\r\nxxx",
                "X-More: more\r\n".repeat(2000))) {
            int before = stub.endedConnections();
            stub.setScript(raw("HTTP/1.1 200 OK\r\n" + rest));
            start(new byte[1], 600_000);
            assertEquals(new End(Outcome.DELIVERED, false, 0), end(), rest);
            StubServer.await("the connection is closed", () -> stub.endedConnections() == before + 1);
        }
    }

    @Test
    void whatComesBehindAnAnswerIsNotTakenForTheNext() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (String behind : List.of(ok, "noise", "\r\n")) {
            int before = stub.endedConnections();
            stub.setScript((request, socket) -> {
                StubServer.write(socket, ok);
                StubServer.write(socket, behind);
            });
            start(new byte[1], LONG_MS);
            assertEquals(new End(Outcome.DELIVERED, false, 0), end());
            stub.setScript(StubServer.status(500, ""));
            start(new byte[1], LONG_MS);
            assertEquals(new End(Outcome.ERROR, false, 0), end(), "the next call gets its own response");
            StubServer.await("the connection is closed", () -> stub.endedConnections() > before);
        }
    }

    @Test
    void interimAnswersAheadAreSkippedHoweverLongTheRealOneTakes() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
            go.await();
            StubServer.write(socket, "HTTP/1.1 429 x\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n");
        });
        start(new byte[1], LONG_MS);
        // Longer than the time limit for reading a response.
        assertNull(ends.poll(1500, TimeUnit.MILLISECONDS));
        go.countDown();
        assertEquals(new End(Outcome.FULL, false, 500), end());
    }

    @Test
    void theRateThatAReportTellsIsReadWhereItCanBe() throws Exception {
        for (int status : List.of(200, 429)) {
            for (String report : List.of("TEXT x0=0.4, x1=25", "TEXT x1=25,x0=0", "\u0001\u00ff x1=", "TEXT x1=many",
                    "TEXT")) {
                call(StubServer.status(status, "X-Load-Report: " + report + "\r\n"));
                double rate = report.contains("25") ? 25 : 0;
                assertEquals(rate, told.take(), report);
            }
        }
    }

    @Test
    void aToldWaitIsANumberWithinBounds() throws Exception {
        for (String none : List.of("NaN", "-Infinity", "-5", "soon")) {
            assertEquals(new End(Outcome.FULL, false, 0),
                    call(StubServer.status(429, "Retry-After: " + none + "\r\n")));
        }
        assertTrue(waits.isEmpty());
        for (String most : List.of("Infinity", "1e300", "99999999")) {
            assertEquals(new End(Outcome.FULL, false, TimeUnit.DAYS.toMillis(1)),
                    call(StubServer.status(429, "Retry-After: " + most + "\r\n")));
        }
    }

    @Test
    void aWaitBindsWhateverElseItsAnswerSays() throws Exception {
        for (String head : List.of("HTTP/1.1 429 x\r\nRetry-After: 0.5\r\nContent-Length: 9\r\n\r\nshort",
                "HTTP/1.1 429 x\r\nretry-after:0.50 \r\nX-Endless: ", "HTTP/1.1 503 x\r\nRetry-After: 0.5\r\n\r\n",
                "HTTP/1.1 200 x\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\nRetry-After: 7\r\n\r\nHTTP/1.1 500 x\r\nRetry-After: 0.5\r\n\r\n")) {
            stub.setScript((request, socket) -> StubServer.write(socket, head));
            start(new byte[1], LONG_MS);
            assertEquals(500, waits.poll(30, TimeUnit.SECONDS), head);
            assertTrue(end() != null);
        }
        stub.setScript(answer("Retry-After: 2\r\n", "not a line\r\n"));
        startTogether("a", "b");
        expectEnds(plain(Outcome.BROKEN), plain(Outcome.BROKEN));
        assertEquals(2000, waits.poll(30, TimeUnit.SECONDS));
        assertTrue(waits.isEmpty(), "each wait is reported once");
    }

    /** The response was still unread when its call was cancelled. */
    @Test
    void aWaitIsHeardInAnAnswerThatCrossesTheEndOfItsCall() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            go.await();
            StubServer.status(429, "Retry-After: 0.5\r\n").handle(request, socket);
            written.countDown();
        });
        EndpointClient.OutboundAttempt call = start(new byte[1], LONG_MS);
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> {
            go.countDown();
            written.await();
            endpoints.cancel(call);
            return null;
        }).sync();
        assertEquals(new End(Outcome.CANCELLED, false, 0), end());
        assertEquals(500, waits.poll(30, TimeUnit.SECONDS));
        StubServer.await("the connection is closed", () -> stub.endedConnections() == 1);
        assertEquals(0, kept());
    }

    /**
     * After a delay of the event loop by 0.4 s, a call that was decided before was written while the response with a
     * Retry-After wait was still unread.
     */
    @Test
    void aCallIsWrittenOnlyOnceWhatCameBeforeIsRead() throws Exception {
        keepTwo();
        CountDownLatch heldUp = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            heldUp.await();
            StubServer.status(429, "Retry-After: 5\r\n").handle(request, socket);
            written.countDown();
        });
        startTogether("a");
        StubServer.await("the call is in flight", () -> stub.requests.size() == 3);
        waiting = "b";
        loop.submit(() -> {
            endpoints.startAttempt(message("b"), 0, 1, LONG_MS, System.nanoTime());
            heldUp.countDown();
            written.await();
            return null;
        }).syncUninterruptibly();
        expectEnds(new End(Outcome.FULL, false, 5000), plain(Outcome.NOT_SENT));
        assertEquals(3, stub.requests.size());
    }

    /** As above, but the event loop is delayed by its own reading, and the response arrives in that time. */
    @Test
    void whereReadingTakesLongWhatCameMeanwhileIsReadBeforeACallIsWritten() throws Exception {
        keepTwo();
        CountDownLatch decided = new CountDownLatch(1);
        CountDownLatch heldUp = new CountDownLatch(1);
        CountDownLatch otherWritten = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            heldUp.await();
            StubServer.status(429, "Retry-After: 5\r\n").handle(request, socket);
            written.countDown();
        });
        StubServer.Script othersAnswer = (request, socket) -> {
            decided.await();
            StubServer.status(429, "Retry-After: 1\r\n").handle(request, socket);
            otherWritten.countDown();
        };
        try (StubServer other = new StubServer(othersAnswer)) {
            loop.submit(() -> endpoints.updateEndpoint(OTHER, other.address(), true, BATCH)).syncUninterruptibly();
            startTogether("a");
            loop.submit(() -> endpoints.startAttempt(message("c"), 0, OTHER, LONG_MS, System.nanoTime()))
                    .syncUninterruptibly();
            StubServer.await("both calls are in flight", () -> stub.requests.size() + other.requests.size() == 4);
            othersWaitTold = () -> {
                heldUp.countDown();
                awaitUnchecked(written);
                long from = System.nanoTime();
                while (System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(60)) {
                    Thread.onSpinWait();
                }
            };
            waiting = "b";
            loop.submit(() -> {
                endpoints.startAttempt(message("b"), 0, 1, LONG_MS, System.nanoTime());
                decided.countDown();
                otherWritten.await();
                return null;
            }).syncUninterruptibly();
            List<End> all = List.of(end(), end(), end());
            assertTrue(all.contains(plain(Outcome.NOT_SENT)), all.toString());
            assertEquals(3, stub.requests.size());
        }
    }

    /** Leaves two idle connections to the endpoint. */
    private void keepTwo() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        stub.setScript((request, socket) -> {
            both.countDown();
            both.await();
            StubServer.status(200, "").handle(request, socket);
        });
        for (String id : List.of("one", "two")) {
            startTogether(id);
        }
        expectEnds(plain(Outcome.DELIVERED), plain(Outcome.DELIVERED));
        StubServer.await("both connections are idle", () -> kept() == 2);
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aCallThatCantBeWrittenHasAnEnd() throws Exception {
        AcceptedMessage held = new AcceptedMessage(1, "no\r\nheader", "order", "t", Optional.empty(), 7, 0,
                new byte[1]);
        start(held, 600_000, 0);
        assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
        assertTrue(stub.requests.isEmpty());
    }

    @Test
    void anEndpointThatIsForgottenLeavesNothingBehind() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitKept();
        stub.setScript((request, socket) -> {
            go.await();
            StubServer.status(200, "").handle(request, socket);
        });
        start(new byte[1], LONG_MS);
        start(new byte[1], LONG_MS);
        StubServer.await("the calls are in flight", () -> stub.requests.size() == 3);
        loop.submit(() -> endpoints.removeEndpoint(1)).syncUninterruptibly();
        go.countDown();
        assertEquals(new End(Outcome.DELIVERED, false, 0), end(), "a call in flight is still completed");
        assertEquals(new End(Outcome.DELIVERED, false, 0), end());
        StubServer.await("its connections are closed", () -> stub.endedConnections() == 2);
        assertEquals(0, kept());
        assertEquals(0, loop.submit(() -> endpoints.endpointCount()).get());
    }

    @Test
    void aConnectionToTheOldAddressOfAMovedEndpointIsNotUsedAgain() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            go.await();
            StubServer.status(200, "").handle(request, socket);
        });
        start(new byte[1], LONG_MS);
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        try (StubServer moved = new StubServer(StubServer.status(500, ""))) {
            at(moved.address());
            go.countDown();
            assertEquals(new End(Outcome.DELIVERED, false, 0), end());
            StubServer.await("the old connection is closed", () -> stub.endedConnections() == 1);
            start(new byte[1], LONG_MS);
            assertEquals(new End(Outcome.ERROR, false, 0), end());
        }
    }

    @Test
    void nothingIsWrittenToTheOldAddressOfAnEndpointThatMovedWhileItsConnectWasOut() throws Exception {
        End end = plain(Outcome.DELIVERED);
        // If the event loop was slow, it connected to the new address, and the try shows nothing.
        while (end.equals(plain(Outcome.DELIVERED))) {
            try (StubServer old = StubServer.withFullAcceptQueue(StubServer.status(200, "")); StubServer moved
                    = new StubServer(StubServer.status(200, ""))) {
                EndpointClient patient = new EndpointClient(loop, 20_000, 15_000, 4, ends());
                loop.submit(() -> patient.updateEndpoint(1, old.address(), true, BATCH)).syncUninterruptibly();
                call(patient, "a");
                awaitPasses();
                loop.submit(() -> patient.updateEndpoint(1, moved.address(), true, BATCH)).syncUninterruptibly();
                old.startAccepting();
                end = end();
                assertEquals(List.of(), old.requests);
            }
        }
        assertEquals(plain(Outcome.NOT_SENT), end);
    }

    /** A connection that was taken for a call which was then not written is still idle to its endpoint. */
    @Test
    void aConnectionThatWasNotUsedAfterAllHasIdledOn() throws Exception {
        EndpointClient hasty = new EndpointClient(loop, 1000, 2000, 4, ends());
        loop.submit(() -> hasty.updateEndpoint(1, stub.address(), true, BATCH)).syncUninterruptibly();
        call(hasty, "a");
        assertEquals(plain(Outcome.DELIVERED), end());
        long used = System.nanoTime();
        awaitTime(used, 1000);
        tooLate = "b";
        call(hasty, "b");
        assertEquals(plain(Outcome.NOT_SENT), end());
        awaitTime(used, 1700);
        call(hasty, "c");
        assertEquals(plain(Outcome.DELIVERED), end());
        assertEquals(1, stub.requests.get(1).connection(),
                "the first connection was idle for more than 80% of the 2 s keep-alive timeout");
    }

    private static void awaitTime(long sinceNanos, long ms) throws Exception {
        StubServer.await("the time has come",
                () -> System.nanoTime() - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private void call(EndpointClient to, String id) {
        loop.submit(() -> to.startAttempt(message(id), 0, 1, LONG_MS, System.nanoTime())).syncUninterruptibly();
    }

    /** Waits until the event loop has read its sockets and run its due tasks a few times. */
    private void awaitPasses() throws Exception {
        for (int i = 0; i < 5; i++) {
            loop.schedule(() -> { }, 0, TimeUnit.NANOSECONDS).sync();
        }
    }

    /** Connections were dropped while idle, which went unnoticed behind others that were in use. */
    @Test
    void whereKeptConnectionsAreLostTheNextCallGoesOverAFreshOne() throws Exception {
        Set<Integer> used = ConcurrentHashMap.newKeySet();
        stub.setScript((request, socket) -> {
            if (used.add(request.connection())) {
                StubServer.status(200, "").handle(request, socket);
            } else {
                socket.close();
            }
        });
        int inARow = 0;
        for (int calls = 0; inARow < 2; calls++) {
            assertTrue(calls < 200, "idle connections are still reused although they break");
            start(new byte[1], LONG_MS);
            inARow = end().outcome() == Outcome.DELIVERED ? inARow + 1 : 0;
            if (inARow == 1) {
                awaitKept();
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
                .map(held -> endpoints.startAttempt(held, 0, 1, LONG_MS, System.nanoTime())).toList()).get();
    }

    private static StubServer.Script answer(String headers, String body) {
        return (request, socket) -> StubServer.write(socket, "HTTP/1.1 200 x\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private void expectEnds(End... expected) throws Exception {
        for (End end : expected) {
            assertEquals(end, end());
        }
    }

    private static End plain(Outcome outcome) {
        return new End(outcome, false, 0);
    }

    @Test
    void theCallsOfATurnToOneEndpointTravelAsOne() throws Exception {
        stub.setScript(answer("X-Load-Report: TEXT x0=0.5, x1=4\r\n", "a accepted\r\nc accepted\r\n"));
        startTogether("a", "c");
        expectEnds(plain(Outcome.DELIVERED), plain(Outcome.DELIVERED));
        assertEquals(1, stub.requests.size());
        StubServer.Message m = stub.requests.get(0);
        assertEquals("POST /v1/messages:batch HTTP/1.1", m.line());
        assertEquals("a key-a 1\r\na\r\nc - 1\r\nc\r\n", m.body());
        assertNull(m.header("X-Call-Id"));
        assertEquals(List.of(4.0, 4.0), List.copyOf(told));
    }

    @Test
    void noCallCarriesMoreThanTheEndpointTakesInOne() throws Exception {
        stub.setScript((request, socket) -> {
            boolean several = request.line().contains(":batch");
            (several ? answer("", "a accepted\nb accepted\nc accepted\n") : StubServer.status(200, ""))
                    .handle(request, socket);
        });
        startTogether("a", "b", "c", "d");
        for (int i = 0; i < 4; i++) {
            assertEquals(plain(Outcome.DELIVERED), end());
        }
        assertEquals(List.of("POST /v1/messages HTTP/1.1", "POST /v1/messages:batch HTTP/1.1"),
                stub.requests.stream().map(StubServer.Message::line).sorted().toList());
    }

    @Test
    void eachOfSeveralEndsAsItsLineSays() throws Exception {
        stub.setScript(answer("Retry-After: 0.5\r\n", "c deferred\r\nb fault\r\na accepted\r\n"));
        startTogether("a", "b", "c");
        expectEnds(new End(Outcome.DELIVERED, false, 500), new End(Outcome.ERROR, false, 500),
                new End(Outcome.FULL, false, 500));
        stub.setScript(answer("", "a expired\nb no_more\n"));
        startTogether("a", "b");
        expectEnds(new End(Outcome.NOT_SENT, true, 0), plain(Outcome.NOT_SENT));
    }

    @Test
    void severalMayFareAlike() throws Exception {
        stub.setScript(StubServer.status(429, "Retry-After: 1.5\r\n"));
        startTogether("a", "b");
        expectEnds(new End(Outcome.FULL, false, 1500), new End(Outcome.FULL, false, 1500));
        stub.setScript(StubServer.status(500, ""));
        startTogether("a", "b");
        expectEnds(plain(Outcome.ERROR), plain(Outcome.ERROR));
        stub.setScript(StubServer.status(413, ""));
        startTogether("a", "b");
        expectEnds(plain(Outcome.NOT_SENT), plain(Outcome.NOT_SENT));
    }

    /** The status line says nothing about a single message of a batch: each may have been processed. */
    @Test
    void ofAnUnreadableAnswerToSeveralNothingIsBelieved() throws Exception {
        for (String body : List.of("", "a accepted\n", "a accepted\nb perhaps\n", "a accepted\na accepted\n")) {
            stub.setScript(answer("", body));
            startTogether("a", "b");
            expectEnds(plain(Outcome.BROKEN), plain(Outcome.BROKEN));
        }
        stub.setScript((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: 99\r\n\r\na accepted\n");
            socket.close();
        });
        startTogether("a", "b");
        expectEnds(plain(Outcome.BROKEN), plain(Outcome.BROKEN));
    }

    /**
     * A response to a batch of four arrived after the deadline of one of them and said that all were accepted, but none
     * of the others had been delivered.
     */
    @Test
    void anAnswerToSeveralAfterTheTimeOfOneIsNotBelieved() throws Exception {
        stub.setScript(answer("", "a accepted\nb accepted\n"));
        AcceptedMessage late = AcceptedMessage.withTimeLeft(1, "a", "order", "t", Optional.of("key-a"), 7, 0,
                new byte[1], MachineClock.system());
        startTogether(late, message("b"));
        expectEnds(plain(Outcome.BROKEN), plain(Outcome.BROKEN));
        assertEquals(1, stub.requests.size());
    }

    @Test
    void oneThatIsCalledOffLeavesTheOthersOut() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stub.setScript((request, socket) -> {
            go.await();
            answer("", "a accepted\nb accepted\n").handle(request, socket);
        });
        List<EndpointClient.OutboundAttempt> calls = startTogether("a", "b");
        StubServer.await("the call is in flight", () -> stub.requests.size() == 1);
        loop.submit(() -> endpoints.cancel(calls.get(0))).syncUninterruptibly();
        assertEquals(plain(Outcome.CANCELLED), end());
        go.countDown();
        assertEquals(plain(Outcome.DELIVERED), end());
    }

    /** After a restart a message was delivered twice: an attempt that was decided in time was written too late. */
    @Test
    void whatMayNotGoAnyMoreIsNotWrittenOnceConnected() throws Exception {
        tooLate = "a";
        startTogether("a", "b");
        assertEquals(plain(Outcome.NOT_SENT), end());
        assertEquals(plain(Outcome.DELIVERED), end());
        startTogether("a");
        assertEquals(plain(Outcome.NOT_SENT), end());
        assertEquals(List.of("b"), stub.requests.stream().map(m -> m.header("X-Call-Id")).toList());
    }

    /** An id or key with a blank, or the key that marks a missing one, would be misread in the body of a batch. */
    @Test
    void aMessageWithoutAFormAmongSeveralTravelsAlone() throws Exception {
        loop.submit(() -> {
            for (String key : List.of("two words", "-", "plain")) {
                endpoints.startAttempt(new AcceptedMessage(1, "id-" + key.length(), "order", "t", Optional.of(key), 7,
                        0, new byte[1]), 0, 1, LONG_MS, System.nanoTime());
            }
        }).syncUninterruptibly();
        expectEnds(plain(Outcome.DELIVERED), plain(Outcome.DELIVERED), plain(Outcome.DELIVERED));
        assertEquals(List.of("-", "plain", "two words"),
                stub.requests.stream().map(m -> m.header("Idempotency-Key")).sorted().toList());
    }

    private void awaitKept() throws Exception {
        StubServer.await("the connection is idle", () -> kept() == 1);
    }

    private int kept() {
        return loop.submit(() -> endpoints.idleConnectionCount()).syncUninterruptibly().getNow();
    }
}
