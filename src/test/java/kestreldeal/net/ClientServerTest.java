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
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the client server without a sender: connection limit, fairness between clients, and shutdown. */
class ClientServerTest {
    private static final int MOST = 10;

    /** Knows every class and destination, rejects every submission, and records the ids submitted. */
    private static final class NotingDesk extends AcceptingSubmissionHandler {
        private final List<String> asked = new CopyOnWriteArrayList<>();
        /** Runs when the server asks whether the sender is ready. */
        private volatile Runnable asking = () -> { };
        /** Runs when a message is submitted. */
        private volatile Runnable taking = () -> { };

        @Override
        public boolean ready() {
            asking.run();
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
        public boolean knowsDestination(long destination) {
            return true;
        }

        @Override
        public Optional<AcceptedMessage> accept(ClientServer.Submission submission) {
            taking.run();
            asked.add(submission.id());
            return Optional.empty();
        }
    }

    private static void submit(Socket socket, String id) throws Exception {
        StubServer.write(socket, "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 9000\r\n"
                + "X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi");
    }

    /** When CPU time is scarce, the clients of most requests have disconnected before their request is read. */
    @Test
    void aClientThatLeftBeforeItsRequestWasReadIsNotTakenOn() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> sockets = new ArrayList<>();
        try {
            EventLoop loop = group.next();
            NotingDesk desk = new NotingDesk();
            ClientServer intake = new ClientServer(loop, MOST, desk);
            InetSocketAddress address = listen(intake);
            CountDownLatch written = new CountDownLatch(1);
            keepBusy(loop, written);
            for (int i = 0; i < 5; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
                submit(sockets.get(i), "id-" + i);
                if (i < 4) {
                    sockets.get(i).close();
                }
            }
            written.countDown();
            StubServer.Message answer = StubServer.read(new BufferedInputStream(sockets.get(4).getInputStream()), 0);
            assertEquals("HTTP/1.1 503 Service Unavailable", answer.line());
            assertEquals(List.of("id-4"), desk.asked);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static InetSocketAddress listen(ClientServer intake) {
        return (InetSocketAddress) intake.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly().channel().localAddress();
    }

    /** Blocks the event loop until the latch opens; the loop is blocked when this returns. */
    private static void keepBusy(EventLoop loop, CountDownLatch until) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        loop.execute(() -> {
            held.countDown();
            awaitUnchecked(until);
        });
        held.await();
    }

    /** Incident r0b62c9: hundreds of clients that connected in one turn all replaced the same connection. */
    @Test
    void aCrowdThatConnectsAtOnceStaysWithinTheBound() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> sockets = new ArrayList<>();
        try {
            EventLoop loop = group.next();
            ClientServer intake = new ClientServer(loop, MOST, new AcceptingSubmissionHandler());
            InetSocketAddress address = listen(intake);
            CountDownLatch connected = new CountDownLatch(1);
            keepBusy(loop, connected);
            for (int i = 0; i < 200; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
            }
            connected.countDown();
            Socket last = sockets.get(199);
            StubServer.write(last, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", StubServer.read(new BufferedInputStream(last.getInputStream()), 0).line());
            int clients = loop.submit(intake::connectionCount).get();
            assertTrue(clients <= MOST, "connections: " + clients);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** A connection whose request has been read in part must not be closed without an answer. */
    @Test
    void nobodyInTheMiddleOfARequestMakesRoomForANewcomer() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket first = new Socket(); Socket second = new Socket(); Socket newcomer = new Socket()) {
            InetSocketAddress address = listen(new ClientServer(group.next(), 2, new AcceptingSubmissionHandler()));
            for (Socket asking : List.of(first, second)) {
                asking.connect(address);
                // The partial request is read together with the one before it, so it is known once that is answered.
                assertEquals("HTTP/1.1 200 OK", ask(asking, HEALTH + HEALTH.substring(0, 10)).line());
            }
            newcomer.connect(address);
            assertEquals(-1, newcomer.getInputStream().read());
            for (Socket asking : List.of(first, second)) {
                assertEquals("HTTP/1.1 200 OK", ask(asking, HEALTH.substring(10)).line());
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** A partial first request is answered with 503 before its connection is closed. */
    @Test
    void whoMakesRoomInTheMiddleOfAFirstRequestGetsAnAnswer() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket slow = new Socket(); Socket newcomer = new Socket()) {
            EventLoop loop = group.next();
            ClientServer intake = new ClientServer(loop, 1, new AcceptingSubmissionHandler());
            InetSocketAddress address = listen(intake);
            slow.connect(address);
            StubServer.write(slow, HEALTH.substring(0, 10));
            StubServer.await("the first bytes are read",
                    () -> loop.submit(intake::partialRequests).syncUninterruptibly().getNow() == 1);
            newcomer.connect(address);
            assertEquals("HTTP/1.1 200 OK", ask(newcomer, HEALTH).line());
            assertEquals("HTTP/1.1 503 Service Unavailable",
                    StubServer.read(new BufferedInputStream(slow.getInputStream()), 0).line());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** Decoding all requests that one client sent at once in one go delayed everything else by 0.4 s. */
    @Test
    void aClientThatSendsMuchAtOnceHasOneTurnAtATime() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket flood = new Socket(); Socket other = new Socket()) {
            EventLoop loop = group.next();
            NotingDesk desk = new NotingDesk();
            ClientServer intake = new ClientServer(loop, MOST, desk);
            InetSocketAddress address = listen(intake);
            flood.connect(address);
            other.connect(address);
            assertEquals("HTTP/1.1 200 OK", ask(other, HEALTH).line());
            CountDownLatch written = new CountDownLatch(1);
            keepBusy(loop, written);
            for (int i = 0; i < 300; i++) {
                submit(flood, "flood-" + i);
            }
            CountDownLatch begun = new CountDownLatch(1);
            CountDownLatch asked = new CountDownLatch(1);
            desk.taking = () -> {
                begun.countDown();
                awaitUnchecked(asked);
            };
            written.countDown();
            begun.await();
            submit(other, "other");
            asked.countDown();
            StubServer.read(new BufferedInputStream(other.getInputStream()), 0);
            int ahead = desk.asked.indexOf("other");
            assertTrue(ahead >= 1 && ahead <= 3, "requests answered before: " + ahead);
            BufferedInputStream in = new BufferedInputStream(flood.getInputStream());
            for (int i = 0; i < 300; i++) {
                assertEquals("HTTP/1.1 503 Service Unavailable", StubServer.read(in, 0).line());
            }
            assertEquals(301, desk.asked.size());
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

    private static StubServer.Message ask(Socket socket, String request) throws Exception {
        StubServer.write(socket, request);
        return StubServer.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    /** Closes all connections, and blocks the event loop after it has read its sockets once more. */
    private static void endAndHold(EventLoop loop, ClientServer intake, CountDownLatch held, CountDownLatch until) {
        loop.execute(() -> {
            intake.shutDown();
            loop.schedule(() -> {
                held.countDown();
                awaitUnchecked(until);
            }, 0, TimeUnit.NANOSECONDS);
        });
    }

    /** A request may arrive while its connection is being closed: the connection must not be reset then. */
    @Test
    void aRequestThatCrossesTheEndIsNotTakenNorIsItsConnectionReset() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch until = new CountDownLatch(1);
        try (Socket resting = new Socket()) {
            EventLoop loop = group.next();
            NotingDesk desk = new NotingDesk();
            ClientServer intake = new ClientServer(loop, MOST, desk);
            resting.connect(listen(intake));
            assertEquals("HTTP/1.1 200 OK", ask(resting, HEALTH).line());
            CountDownLatch written = new CountDownLatch(1);
            CountDownLatch held = new CountDownLatch(1);
            keepBusy(loop, written);
            endAndHold(loop, intake, held, until);
            submit(resting, "crossing");
            written.countDown();
            held.await();
            for (int i = 0; i < 5; i++) {
                // If the connection is reset, one of the first two writes fails.
                submit(resting, "later-" + i);
            }
            assertEquals(-1, resting.getInputStream().read());
            until.countDown();
            loop.submit(() -> { }).syncUninterruptibly();
            assertEquals(List.of(), desk.asked);
        } finally {
            until.countDown();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** The rest of a request that is answered before it is complete must not cause a reset either. */
    @Test
    void theLastAnswerIsFollowedByAnEndHoweverMuchStillComes() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch until = new CountDownLatch(1);
        try (Socket client = new Socket(); Socket other = new Socket()) {
            EventLoop loop = group.next();
            NotingDesk desk = new NotingDesk();
            ClientServer intake = new ClientServer(loop, MOST, desk);
            InetSocketAddress address = listen(intake);
            client.connect(address);
            other.connect(address);
            StubServer.write(client, "POST /order HTTP/1.1\r\nContent-Length: 50000\r\n");
            assertEquals("HTTP/1.1 200 OK", ask(other, HEALTH).line(), "earlier input is read");
            CountDownLatch held = new CountDownLatch(1);
            endAndHold(loop, intake, held, until);
            held.await();
            for (int i = 0; i < 5; i++) {
                StubServer.write(client, "\r\n" + "x".repeat(1000));
            }
            BufferedInputStream in = new BufferedInputStream(client.getInputStream());
            assertEquals("HTTP/1.1 503 Service Unavailable", StubServer.read(in, 0).line());
            assertEquals(-1, in.read());
            assertEquals(List.of(), desk.asked);
        } finally {
            until.countDown();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** A request that was read completely is answered even if the sender stops before handling it. */
    @Test
    void aRequestThatWasReadAsTheSenderEndsIsAnswered() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket first = new Socket(); Socket second = new Socket()) {
            EventLoop loop = group.next();
            NotingDesk desk = new NotingDesk();
            ClientServer intake = new ClientServer(loop, MOST, desk);
            InetSocketAddress address = listen(intake);
            for (Socket each : List.of(first, second)) {
                each.connect(address);
                assertEquals("HTTP/1.1 200 OK", ask(each, HEALTH).line());
            }
            CountDownLatch written = new CountDownLatch(1);
            keepBusy(loop, written);
            // Both are read in one turn; handling the first one shuts the server down before the second is handled.
            desk.asking = intake::shutDown;
            StubServer.write(first, HEALTH);
            StubServer.write(second, HEALTH);
            written.countDown();
            List<String> answers = new ArrayList<>();
            for (Socket each : List.of(first, second)) {
                each.setSoTimeout(30_000);
                StubServer.Message answer = StubServer.read(new BufferedInputStream(each.getInputStream()), 0);
                answers.add(answer == null ? "none" : answer.line());
            }
            assertTrue(answers.contains("HTTP/1.1 503 Service Unavailable"), answers.toString());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
