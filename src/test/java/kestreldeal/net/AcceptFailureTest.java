package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests accepts that fail because the machine or this process has no file descriptor left. */
class AcceptFailureTest {
    private static final int MOST = 100;
    private static final int BEFORE = 10;
    /** More clients than the minimum that the connection limit falls to when descriptors run out. */
    private static final int BEHIND = 40;
    private static final int FAILURES = 3;
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger failures = new AtomicInteger();
    private final List<Socket> clients = new ArrayList<>();
    private volatile boolean descriptorsLeft = true;
    private InetSocketAddress address;

    /** A listening channel whose next accepts fail as if the whole machine had no file descriptor left. */
    private final class FailingListener extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (failures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IOException("Too many open files in system");
            }
            return super.doReadMessages(accepted);
        }
    }

    @BeforeEach
    void open() {
        ClientServer intake = new ClientServer(group.next(), MOST, new AcceptingSubmissionHandler(),
                FailingListener::new, () -> descriptorsLeft);
        address = (InetSocketAddress) intake.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly().channel().localAddress();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static void assertServed(Socket client) throws IOException {
        StubServer.write(client, HEALTH);
        StubServer.Message answer = StubServer.read(new BufferedInputStream(client.getInputStream()), 0);
        assertEquals("HTTP/1.1 200 OK", answer == null ? "closed" : answer.line());
    }

    private void connect(int many) throws IOException {
        for (int i = 0; i < many; i++) {
            Socket client = new Socket(address.getAddress(), address.getPort());
            clients.add(client);
            assertServed(client);
        }
    }

    @Test
    void theyCostNobodyTheConnectionAndLowerNoBound() throws Exception {
        connect(BEFORE);
        failures.set(FAILURES);
        connect(BEHIND);
        assertEquals(0, failures.get());
        for (Socket client : clients) {
            assertServed(client);
        }
    }

    /** Idle clients are disconnected to free descriptors for calls, the agent and the journal. */
    @Test
    void whereThisProcessHasNoneLeftTheIdleOnesMakeRoom() throws Exception {
        connect(BEFORE);
        descriptorsLeft = false;
        failures.set(1);
        clients.add(new Socket(address.getAddress(), address.getPort()));
        assertServed(clients.get(BEFORE));
        for (Socket idle : clients.subList(0, BEFORE)) {
            assertEquals(-1, idle.getInputStream().read(), "the idle client is disconnected");
        }
    }
}
