package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the operator server without a sender. */
class OperatorServerTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean serves = true;
    private volatile boolean away;
    private InetSocketAddress address;

    @BeforeEach
    void open() {
        OperatorServer ops = new OperatorServer(group.next(), new OperatorServer.CommandHandler() {
            @Override
            public boolean canServe() {
                return serves;
            }

            @Override
            public String metrics() {
                return "edge_gw_pending 14\n";
            }

            @Override
            public void evacuate(boolean clientsAway) {
                away = clientsAway;
            }
        });
        address = (InetSocketAddress) ops.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly().channel().localAddress();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Socket caller() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        sockets.add(socket);
        return socket;
    }

    private static String rest(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String call(String bytes) throws IOException {
        Socket socket = caller();
        StubServer.write(socket, bytes);
        return rest(socket);
    }

    @Test
    void eachCallIsAnsweredAndClosed() throws Exception {
        assertEquals("YES\n", call("readyz\n"));
        assertEquals("edge_gw_pending 14\nEND\n", call("telemetry\r\n"));
        serves = false;
        assertTrue(call("readyz\n").startsWith("NO"));
    }

    @Test
    void aDrainMayBeToldTwiceAndEnded() throws Exception {
        for (int i = 0; i < 2; i++) {
            assertEquals("YES\n", call("evacuate\n"));
            assertTrue(away);
        }
        for (int i = 0; i < 2; i++) {
            assertEquals("YES\n", call("activate\n"));
            assertFalse(away);
        }
    }

    @Test
    void whatIsNoCallIsAnsweredNo() throws Exception {
        for (String noise : List.of("\n", "reboot\n", "GET / HTTP/1.1\r\n\r\n", "x".repeat(5000), "\0\u0001\n")) {
            assertTrue(call(noise).startsWith("NO"), noise);
        }
    }

    @Test
    void aLineMayComeInPieces() throws Exception {
        Socket socket = caller();
        for (String piece : "readyz\n".split("")) {
            StubServer.write(socket, piece);
            Thread.sleep(1);
        }
        assertEquals("YES\n", rest(socket));
    }

    @Test
    void aCallerMayEndItsSendingBeforeTheAnswer() throws Exception {
        Socket whole = caller();
        StubServer.write(whole, "readyz\n");
        whole.shutdownOutput();
        assertEquals("YES\n", rest(whole));
        Socket half = caller();
        StubServer.write(half, "ready");
        half.shutdownOutput();
        assertTrue(rest(half).startsWith("NO"));
    }

    @Test
    void callersThatSayNothingAreEndedAndKeepNobodyOut() throws Exception {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 3 * OperatorServer.MAX_CONNECTIONS; i++) {
            silent.add(caller());
        }
        assertEquals("YES\n", call("readyz\n"));
        // The first was closed to make room; the last one times out.
        assertEquals("", rest(silent.get(0)));
        assertTrue(rest(silent.get(silent.size() - 1)).startsWith("NO"));
    }
}
