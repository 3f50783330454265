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
    private volatile boolean canServe = true;
    private volatile boolean evacuating;
    private InetSocketAddress address;

    @BeforeEach
    void open() {
        OperatorServer server = new OperatorServer(group.next(), new OperatorServer.CommandHandler() {
            @Override
            public boolean isReady() {
                return canServe;
            }

            @Override
            public String metrics() {
                return "edge_gw_pending 14\n";
            }

            @Override
            public void setEvacuating(boolean active) {
                evacuating = active;
            }
        });
        address = (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly().channel().localAddress();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        sockets.add(socket);
        return socket;
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String command(String text) throws IOException {
        Socket socket = connect();
        StubServer.write(socket, text);
        return readToEnd(socket);
    }

    @Test
    void eachCommandIsAnsweredAndItsConnectionClosed() throws Exception {
        assertEquals("YES\n", command("readyz\n"));
        assertEquals("edge_gw_pending 14\nEND\n", command("telemetry\r\n"));
        canServe = false;
        assertTrue(command("readyz\n").startsWith("NO"));
    }

    @Test
    void evacuationCommandsMayBeRepeated() throws Exception {
        for (int i = 0; i < 2; i++) {
            assertEquals("YES\n", command("evacuate\n"));
            assertTrue(evacuating);
        }
        for (int i = 0; i < 2; i++) {
            assertEquals("YES\n", command("activate\n"));
            assertFalse(evacuating);
        }
    }

    @Test
    void unknownCommandsAreAnsweredNo() throws Exception {
        for (String text : List.of("\n", "reboot\n", "GET / HTTP/1.1\r\n\r\n", "x".repeat(5000), "\0\u0001\n")) {
            assertTrue(command(text).startsWith("NO"), text);
        }
    }

    @Test
    void commandMayArriveInPieces() throws Exception {
        Socket socket = connect();
        for (String piece : "readyz\n".split("")) {
            StubServer.write(socket, piece);
            Thread.sleep(1);
        }
        assertEquals("YES\n", readToEnd(socket));
    }

    @Test
    void operatorMayShutDownOutputBeforeTheAnswer() throws Exception {
        Socket complete = connect();
        StubServer.write(complete, "readyz\n");
        complete.shutdownOutput();
        assertEquals("YES\n", readToEnd(complete));
        Socket incomplete = connect();
        StubServer.write(incomplete, "ready");
        incomplete.shutdownOutput();
        assertTrue(readToEnd(incomplete).startsWith("NO"));
    }

    @Test
    void silentConnectionsAreClosedAndKeepNobodyOut() throws Exception {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 3 * OperatorServer.MAX_CONNECTIONS; i++) {
            silent.add(connect());
        }
        assertEquals("YES\n", command("readyz\n"));
        // The first was closed to make room; the last one times out.
        assertEquals("", readToEnd(silent.get(0)));
        assertTrue(readToEnd(silent.get(silent.size() - 1)).startsWith("NO"));
    }
}
