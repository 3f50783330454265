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
    private static final int MAX_CLIENTS = 100;
    private static final int CLIENTS_BEFORE_FAILURE = 10;
    /** More clients than the minimum that the connection limit falls to when descriptors run out. */
    private static final int CLIENTS_AFTER_FAILURE = 40;
    private static final int FAILURES = 3;
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger remainingFailures = new AtomicInteger();
    private final List<Socket> clients = new ArrayList<>();
    private volatile boolean descriptorsAvailable = true;
    private InetSocketAddress address;

    /** A listening channel whose next accepts fail as if the whole machine had no file descriptor left. */
    private final class FailingListener extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (remainingFailures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IOException("Too many open files in system");
            }
            return super.doReadMessages(accepted);
        }
    }

    @BeforeEach
    void open() {
        ClientServer server = new ClientServer(group.next(), MAX_CLIENTS, 1 << 20, new ReadySubmissionHandler(),
                FailingListener::new, () -> descriptorsAvailable);
        address = (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
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

    private void connect(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket client = new Socket(address.getAddress(), address.getPort());
            clients.add(client);
            assertServed(client);
        }
    }

    @Test
    void failedAcceptsCloseNoConnectionAndLowerNoLimit() throws Exception {
        connect(CLIENTS_BEFORE_FAILURE);
        remainingFailures.set(FAILURES);
        connect(CLIENTS_AFTER_FAILURE);
        assertEquals(0, remainingFailures.get());
        for (Socket client : clients) {
            assertServed(client);
        }
    }

    /** Idle clients are disconnected to free descriptors for calls, the agent and the journal. */
    @Test
    void idleClientsAreClosedWhenThisProcessIsOutOfDescriptors() throws Exception {
        connect(CLIENTS_BEFORE_FAILURE);
        descriptorsAvailable = false;
        remainingFailures.set(1);
        clients.add(new Socket(address.getAddress(), address.getPort()));
        assertServed(clients.get(CLIENTS_BEFORE_FAILURE));
        for (Socket idle : clients.subList(0, CLIENTS_BEFORE_FAILURE)) {
            assertEquals(-1, idle.getInputStream().read(), "the idle client is disconnected");
        }
    }
}
