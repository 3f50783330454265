package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Notices to an agent that rejects one of them. */
class NoticeClientTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<String> delivered = new CopyOnWriteArrayList<>();
    private static final String ACKNOWLEDGEMENT = "HTTP/1.1 204 x\r\n\r\n";

    private final AtomicBoolean secondAnswered = new AtomicBoolean();
    private final AtomicReference<Socket> firstSocket = new AtomicReference<>();
    private StubServer agent;
    private NoticeClient notices;

    @BeforeEach
    void setUp() throws Exception {
        agent = new StubServer((request, socket) -> StubServer.write(socket, "HTTP/1.1 "
                + (request.body().contains("unreadable") ? 400 : 204) + " x\r\nContent-Length: 0\r\n\r\n"));
        notices = new NoticeClient(loop, new AgentClient(loop, agent.address()), message -> delivered.add(message.id));
    }

    @AfterEach
    void tearDown() throws Exception {
        agent.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void enqueue(String... ids) {
        loop.execute(() -> {
            for (String id : ids) {
                AcceptedMessage message = AcceptedMessage.withTimeLeft(1, id, "order", "", Optional.empty(), 7, 1000,
                        new byte[0], MachineClock.system());
                message.pendingNotice = Optional.of(new AcceptedMessage.Notice(false, 0));
                notices.enqueue(message);
            }
        });
    }

    private int pendingCount() {
        return loop.submit(notices::pendingCount).syncUninterruptibly().getNow();
    }

    @Test
    void rejectedNoticeDoesNotBlockOthers() throws Exception {
        enqueue("a", "b", "unreadable", "c", "d");
        StubServer.await("all others are delivered", () -> delivered.containsAll(List.of("a", "b", "c", "d")));
        assertEquals(0, delivered.indexOf("a"));
        StubServer.await("the rejected notice is dropped", () -> pendingCount() == 0);
        assertEquals(5, delivered.size());
        long requestsWithRejected = agent.requests.stream().filter(r -> r.body().contains("unreadable")).count();
        assertEquals(5, requestsWithRejected);
        assertEquals(4, agent.requests.stream().filter(r -> r.body().contains("unreadable"))
                .filter(r -> r.body().lines().count() == 1).count());
    }

    /** What may follow a good answer: a second copy, another answer, noise with and without a line end. */
    private static final List<String> SURPLUS = List.of("HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", "noise", "noise\r\n\r\n", "\r\n", "HTTP/1.1 2");

    /** A second copy acknowledged the next notice, and noise failed it, as it followed on the same connection. */
    @Test
    void surplusInTheSameReadBelongsToNoOtherNotice() throws Exception {
        for (String surplus : SURPLUS) {
            int requestsBefore = agent.requests.size();
            delivered.clear();
            CountDownLatch secondQueued = new CountDownLatch(1);
            agent.setScript((request, socket) -> {
                if (request.body().contains("first")) {
                    secondQueued.await();
                    StubServer.write(socket, ACKNOWLEDGEMENT + surplus);
                } else {
                    secondAnswered.set(true);
                    StubServer.write(socket, ACKNOWLEDGEMENT);
                }
            });
            secondAnswered.set(false);
            enqueue("first");
            enqueue("second");
            assertEquals(2, pendingCount());
            secondQueued.countDown();
            StubServer.await("both are delivered", () -> pendingCount() == 0);
            expectEachSentOnce(surplus, requestsBefore);
        }
    }

    /** As above, but the surplus arrives while nothing is waiting. */
    @Test
    void surplusOnAnIdleConnectionBelongsToNoOtherNotice() throws Exception {
        for (String surplus : SURPLUS) {
            int requestsBefore = agent.requests.size();
            int endedBefore = agent.endedConnections();
            delivered.clear();
            agent.setScript((request, socket) -> {
                secondAnswered.set(request.body().contains("second"));
                StubServer.write(socket, ACKNOWLEDGEMENT);
                if (request.body().contains("first")) {
                    firstSocket.set(socket);
                }
            });
            enqueue("first");
            StubServer.await("the first is delivered", () -> pendingCount() == 0 && firstSocket.get() != null);
            StubServer.write(firstSocket.getAndSet(null), surplus);
            StubServer.await("the connection is closed", () -> agent.endedConnections() > endedBefore);
            enqueue("second");
            StubServer.await("the second is delivered", () -> pendingCount() == 0);
            expectEachSentOnce(surplus, requestsBefore);
        }
    }

    private void expectEachSentOnce(String surplus, int requestsBefore) {
        assertEquals(List.of("first", "second"), delivered, surplus);
        assertEquals(requestsBefore + 2, agent.requests.size(), "no notice is sent again: " + surplus);
        assertTrue(secondAnswered.get(), "the second notice is delivered by its own answer: " + surplus);
        assertNotEquals(agent.requests.get(requestsBefore).connection(),
                agent.requests.get(requestsBefore + 1).connection(), surplus);
    }
}
