package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the client server without a sender: connection limit, fairness between clients, and shutdown. */
class ClientServerTest {
    private static final int MAX_CLIENTS = 10;
    private static final long MAX_REQUEST_BYTES = 1 << 20;

    /** Knows every class and destination, rejects every submission, and records the ids submitted. */
    private static final class RecordingHandler extends ReadySubmissionHandler {
        private final List<String> submittedIds = new CopyOnWriteArrayList<>();
        /** Runs when the server asks whether the sender is ready. */
        private volatile Runnable onReady = () -> { };
        /** Runs when a message is submitted. */
        private volatile Runnable onSubmission = () -> { };

        @Override
        public boolean isHealthy() {
            onReady.run();
            return true;
        }

        @Override
        public boolean knowsClass(String name) {
            return true;
        }

        @Override
        public boolean knowsTenant(String name) {
            return true;
        }

        @Override
        public boolean checkDestination(long destination) {
            return true;
        }

        @Override
        public Optional<AcceptedMessage> accept(ClientServer.Submission submission) {
            onSubmission.run();
            submittedIds.add(submission.id());
            return Optional.empty();
        }
    }

    private static void submit(Socket socket, String id) throws Exception {
        StubServer.write(socket, "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 9000\r\n"
                + "X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi");
    }

    /** When CPU time is scarce, the clients of most requests have disconnected before their request is read. */
    @Test
    void requestOfADisconnectedClientIsNotAccepted() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> sockets = new ArrayList<>();
        try {
            EventLoop loop = group.next();
            RecordingHandler handler = new RecordingHandler();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, MAX_REQUEST_BYTES, handler);
            InetSocketAddress address = listen(server);
            CountDownLatch releaseLoop = new CountDownLatch(1);
            blockLoop(loop, releaseLoop);
            for (int i = 0; i < 5; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
                submit(sockets.get(i), "id-" + i);
                if (i < 4) {
                    sockets.get(i).close();
                }
            }
            releaseLoop.countDown();
            StubServer.Message answer = StubServer.read(new BufferedInputStream(sockets.get(4).getInputStream()), 0);
            assertEquals("HTTP/1.1 503 Service Unavailable", answer.line());
            assertEquals(List.of("id-4"), handler.submittedIds);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static InetSocketAddress listen(ClientServer server) {
        return (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly().channel().localAddress();
    }

    /** Blocks the event loop until the latch opens; the loop is blocked when this returns. */
    private static void blockLoop(EventLoop loop, CountDownLatch release) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            awaitUnchecked(release);
        });
        blocked.await();
    }

    /** The fault: hundreds of clients that connected in one turn all replaced the same connection. */
    @Test
    void manyClientsConnectingAtOnceStayWithinTheLimit() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> sockets = new ArrayList<>();
        try {
            EventLoop loop = group.next();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, MAX_REQUEST_BYTES, new ReadySubmissionHandler());
            InetSocketAddress address = listen(server);
            CountDownLatch releaseLoop = new CountDownLatch(1);
            blockLoop(loop, releaseLoop);
            for (int i = 0; i < 200; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
            }
            releaseLoop.countDown();
            Socket last = sockets.get(199);
            StubServer.write(last, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", StubServer.read(new BufferedInputStream(last.getInputStream()), 0).line());
            int connectionCount = loop.submit(server::connectionCount).get();
            assertTrue(connectionCount <= MAX_CLIENTS, "connections: " + connectionCount);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** A connection whose request has been read in part must not be closed without an answer. */
    @Test
    void connectionWithAPartialRequestIsNotClosedForANewClient() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket first = new Socket(); Socket second = new Socket(); Socket newClient = new Socket()) {
            InetSocketAddress address = listen(new ClientServer(group.next(), 2, MAX_REQUEST_BYTES, new ReadySubmissionHandler()));
            for (Socket client : List.of(first, second)) {
                client.connect(address);
                // The partial request is read together with the one before it, so it is known once that is answered.
                assertEquals("HTTP/1.1 200 OK", exchange(client, HEALTH + HEALTH.substring(0, 10)).line());
            }
            newClient.connect(address);
            assertEquals(-1, newClient.getInputStream().read());
            for (Socket client : List.of(first, second)) {
                assertEquals("HTTP/1.1 200 OK", exchange(client, HEALTH.substring(10)).line());
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** A partial first request is answered with 503 before its connection is closed. */
    @Test
    void partialFirstRequestIsAnsweredWhenItsConnectionIsClosed() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket slow = new Socket(); Socket newClient = new Socket()) {
            EventLoop loop = group.next();
            ClientServer server = new ClientServer(loop, 1, MAX_REQUEST_BYTES, new ReadySubmissionHandler());
            InetSocketAddress address = listen(server);
            slow.connect(address);
            StubServer.write(slow, HEALTH.substring(0, 10));
            StubServer.await("the first bytes are read",
                    () -> loop.submit(server::partialRequestCount).syncUninterruptibly().getNow() == 1);
            newClient.connect(address);
            assertEquals("HTTP/1.1 200 OK", exchange(newClient, HEALTH).line());
            assertEquals("HTTP/1.1 503 Service Unavailable",
                    StubServer.read(new BufferedInputStream(slow.getInputStream()), 0).line());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** Decoding all requests that one client sent at once in one go delayed everything else by 0.4 s. */
    @Test
    void clientThatSendsManyRequestsAtOnceDoesNotStarveOthers() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket flood = new Socket(); Socket other = new Socket()) {
            EventLoop loop = group.next();
            RecordingHandler handler = new RecordingHandler();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, MAX_REQUEST_BYTES, handler);
            InetSocketAddress address = listen(server);
            flood.connect(address);
            other.connect(address);
            assertEquals("HTTP/1.1 200 OK", exchange(other, HEALTH).line());
            CountDownLatch releaseLoop = new CountDownLatch(1);
            blockLoop(loop, releaseLoop);
            for (int i = 0; i < 300; i++) {
                submit(flood, "flood-" + i);
            }
            CountDownLatch firstSubmission = new CountDownLatch(1);
            CountDownLatch otherSubmitted = new CountDownLatch(1);
            handler.onSubmission = () -> {
                firstSubmission.countDown();
                awaitUnchecked(otherSubmitted);
            };
            releaseLoop.countDown();
            firstSubmission.await();
            submit(other, "other");
            otherSubmitted.countDown();
            StubServer.read(new BufferedInputStream(other.getInputStream()), 0);
            int requestsBefore = handler.submittedIds.indexOf("other");
            assertTrue(requestsBefore >= 1 && requestsBefore <= 3, "requests answered before: " + requestsBefore);
            BufferedInputStream in = new BufferedInputStream(flood.getInputStream());
            for (int i = 0; i < 300; i++) {
                assertEquals("HTTP/1.1 503 Service Unavailable", StubServer.read(in, 0).line());
            }
            assertEquals(301, handler.submittedIds.size());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

    private static StubServer.Message exchange(Socket socket, String request) throws Exception {
        StubServer.write(socket, request);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    /** Closes all connections, and blocks the event loop after it has read its sockets once more. */
    private static void shutDownAndBlock(EventLoop loop, ClientServer server, CountDownLatch blocked,
            CountDownLatch release) {
        loop.execute(() -> {
            server.shutDown();
            loop.schedule(() -> {
                blocked.countDown();
                awaitUnchecked(release);
            }, 0, TimeUnit.NANOSECONDS);
        });
    }

    /** A request may arrive while its connection is being closed: the connection must not be reset then. */
    @Test
    void requestThatCrossesTheShutdownIsNeitherAcceptedNorReset() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch release = new CountDownLatch(1);
        try (Socket idle = new Socket()) {
            EventLoop loop = group.next();
            RecordingHandler handler = new RecordingHandler();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, MAX_REQUEST_BYTES, handler);
            idle.connect(listen(server));
            assertEquals("HTTP/1.1 200 OK", exchange(idle, HEALTH).line());
            CountDownLatch releaseLoop = new CountDownLatch(1);
            CountDownLatch blocked = new CountDownLatch(1);
            blockLoop(loop, releaseLoop);
            shutDownAndBlock(loop, server, blocked, release);
            submit(idle, "crossing");
            releaseLoop.countDown();
            blocked.await();
            for (int i = 0; i < 5; i++) {
                // If the connection is reset, one of the first two writes fails.
                submit(idle, "later-" + i);
            }
            assertEquals(-1, idle.getInputStream().read());
            release.countDown();
            loop.submit(() -> { }).syncUninterruptibly();
            assertEquals(List.of(), handler.submittedIds);
        } finally {
            release.countDown();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** The rest of a request that is answered before it is complete must not cause a reset either. */
    @Test
    void lastResponseIsFollowedByTheEndDespiteFurtherInput() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch release = new CountDownLatch(1);
        try (Socket client = new Socket(); Socket other = new Socket()) {
            EventLoop loop = group.next();
            RecordingHandler handler = new RecordingHandler();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, MAX_REQUEST_BYTES, handler);
            InetSocketAddress address = listen(server);
            client.connect(address);
            other.connect(address);
            StubServer.write(client, "POST /order HTTP/1.1\r\nContent-Length: 50000\r\n");
            assertEquals("HTTP/1.1 200 OK", exchange(other, HEALTH).line(), "earlier input is read");
            CountDownLatch blocked = new CountDownLatch(1);
            shutDownAndBlock(loop, server, blocked, release);
            blocked.await();
            for (int i = 0; i < 5; i++) {
                StubServer.write(client, "\r\n" + "x".repeat(1000));
            }
            BufferedInputStream in = new BufferedInputStream(client.getInputStream());
            assertEquals("HTTP/1.1 503 Service Unavailable", StubServer.read(in, 0).line());
            assertEquals(-1, in.read());
            assertEquals(List.of(), handler.submittedIds);
        } finally {
            release.countDown();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** A request that was read completely is answered even if the sender stops before handling it. */
    @Test
    void requestReadDuringShutdownIsAnswered() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket first = new Socket(); Socket second = new Socket()) {
            EventLoop loop = group.next();
            RecordingHandler handler = new RecordingHandler();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, MAX_REQUEST_BYTES, handler);
            InetSocketAddress address = listen(server);
            for (Socket socket : List.of(first, second)) {
                socket.connect(address);
                assertEquals("HTTP/1.1 200 OK", exchange(socket, HEALTH).line());
            }
            CountDownLatch releaseLoop = new CountDownLatch(1);
            blockLoop(loop, releaseLoop);
            // Both are read in one turn; handling the first one shuts the server down before the second is handled.
            handler.onReady = server::shutDown;
            StubServer.write(first, HEALTH);
            StubServer.write(second, HEALTH);
            releaseLoop.countDown();
            List<String> answers = new ArrayList<>();
            for (Socket socket : List.of(first, second)) {
                socket.setSoTimeout(30_000);
                StubServer.Message answer = StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
                answers.add(answer == null ? "none" : answer.line());
            }
            assertTrue(answers.contains("HTTP/1.1 503 Service Unavailable"), answers.toString());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** Clients that stop in the middle of their bodies used up the memory that all reads need. */
    @Test
    void unfinishedBodiesStayWithinTheMemoryLimitAndTheirClientsAreAnswered() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> stopped = new ArrayList<>();
        try (Socket small = new Socket()) {
            EventLoop loop = group.next();
            int clients = 40;
            ClientServer server = new ClientServer(loop, clients + 1, MAX_REQUEST_BYTES, new ReadySubmissionHandler());
            InetSocketAddress address = listen(server);
            small.connect(address);
            StubServer.write(small, HEALTH.substring(0, 10));
            for (int i = 0; i < clients; i++) {
                stopped.add(new Socket(address.getAddress(), address.getPort()));
                StubServer.write(stopped.get(i), "POST /order HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"
                        + "x".repeat(60_000));
                long heldBytes = loop.submit(server::requestMemoryBytes).get();
                assertTrue(heldBytes <= MAX_REQUEST_BYTES, "bytes held: " + heldBytes);
            }
            assertEquals("HTTP/1.1 200 OK", exchange(small, HEALTH.substring(10)).line(),
                    "a request that holds less than its share is not refused");
            Set<String> answers = new HashSet<>();
            for (Socket socket : stopped) {
                answers.add(StubServer.read(new BufferedInputStream(socket.getInputStream()), 0).line());
            }
            assertEquals(Set.of("HTTP/1.1 503 Service Unavailable", "HTTP/1.1 408 Request Timeout"), answers);
            StubServer.await("all memory is free",
                    () -> loop.submit(server::requestMemoryBytes).syncUninterruptibly().getNow() < 1000);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
            for (Socket socket : stopped) {
                socket.close();
            }
        }
    }

    /** Complete requests that arrive together count as well: they are handled sooner, and none is refused. */
    @Test
    void completeRequestsBeyondTheMemoryLimitAreAllHandled() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> sockets = new ArrayList<>();
        try {
            EventLoop loop = group.next();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, 100_000, new ReadySubmissionHandler());
            InetSocketAddress address = listen(server);
            CountDownLatch releaseLoop = new CountDownLatch(1);
            blockLoop(loop, releaseLoop);
            for (int i = 0; i < MAX_CLIENTS; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
                StubServer.write(sockets.get(i), "GET /healthz HTTP/1.1\r\nContent-Length: 50000\r\n\r\n"
                        + "x".repeat(50_000));
            }
            releaseLoop.countDown();
            for (Socket socket : sockets) {
                assertEquals("HTTP/1.1 200 OK",
                        StubServer.read(new BufferedInputStream(socket.getInputStream()), 0).line());
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Short header fields take far more memory than their bytes, so their number is limited. */
    @Test
    void requestWithTooManyHeaderFieldsIsRejected() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket few = new Socket(); Socket many = new Socket()) {
            InetSocketAddress address = listen(
                    new ClientServer(group.next(), MAX_CLIENTS, MAX_REQUEST_BYTES, new ReadySubmissionHandler()));
            few.connect(address);
            many.connect(address);
            String field = "a:b\r\n";
            String head = "GET /healthz HTTP/1.1\r\n";
            int max = SequentialRequestDecoder.MAX_HEADER_FIELDS;
            assertEquals("HTTP/1.1 200 OK", exchange(few, head + field.repeat(max) + "\r\n").line());
            assertEquals("HTTP/1.1 400 Bad Request", exchange(many, head + field.repeat(max + 1) + "\r\n").line());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** Of ten requests that were read at once, nine got no answer, as the first response closed the connection. */
    @Test
    void requestsReadBehindTheLastOneAreAnsweredBeforeTheConnectionCloses() throws Exception {
        List<Consumer<ClientServer>> closings = List.of(ClientServer::closeAfterNextResponse,
                server -> server.setEvacuating(true), ClientServer::handOver);
        for (Consumer<ClientServer> closing : closings) {
            List<String> answers = answersToTenAtOnce(closing, server -> { });
            assertEquals(10, answers.size(), answers.toString());
            assertEquals(Set.of("keep", "close"), Set.copyOf(answers));
            assertEquals(9, answers.indexOf("close"), "only the last one ends the connection");
        }
    }

    /** The same when the process is about to exit: requests that have been read are refused, not dropped. */
    @Test
    void requestsReadWhenTheServerShutsDownAreAllAnswered() throws Exception {
        List<String> answers = answersToTenAtOnce(server -> { }, ClientServer::shutDown);
        assertEquals(10, answers.size(), answers.toString());
        assertEquals(9, answers.indexOf("close"));
    }

    /** Sends ten requests at once; returns for each answer whether it keeps or closes the connection. */
    private static List<String> answersToTenAtOnce(Consumer<ClientServer> before, Consumer<ClientServer> onFirst)
            throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket client = new Socket()) {
            EventLoop loop = group.next();
            RecordingHandler handler = new RecordingHandler();
            ClientServer server = new ClientServer(loop, MAX_CLIENTS, MAX_REQUEST_BYTES, handler);
            client.connect(listen(server));
            client.setSoTimeout(30_000);
            loop.submit(() -> before.accept(server)).sync();
            CountDownLatch releaseLoop = new CountDownLatch(1);
            blockLoop(loop, releaseLoop);
            handler.onSubmission = () -> {
                handler.onSubmission = () -> { };
                onFirst.accept(server);
            };
            for (int i = 0; i < 10; i++) {
                submit(client, "id-" + i);
            }
            releaseLoop.countDown();
            BufferedInputStream in = new BufferedInputStream(client.getInputStream());
            List<String> answers = new ArrayList<>();
            for (StubServer.Message answer = StubServer.read(in, 0); answer != null; answer = StubServer.read(in, 0)) {
                assertEquals("HTTP/1.1 503 Service Unavailable", answer.line());
                answers.add("close".equals(answer.header("Connection")) ? "close" : "keep");
            }
            return answers;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
