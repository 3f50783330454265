package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Notices to an agent that rejects one of them. */
class NoticeClientTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<String> delivered = new CopyOnWriteArrayList<>();
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
}
