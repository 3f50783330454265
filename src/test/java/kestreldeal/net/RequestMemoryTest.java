package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the program with the memory limits of its deployment, and clients that stop in the middle of a request. */
class RequestMemoryTest {
    private static final int CLIENTS = 300;
    private static final int MESSAGES = 5;
    /** The time that a bad client is owed its error or close within. */
    private static final long BAD_CLIENT_LIMIT_MS = 3000;

    @TempDir
    private Path folder;
    private final List<SocketChannel> stopped = new ArrayList<>();
    private StubServer endpoint;
    private SenderTestEnvironment environment;
    private Process process;
    private InetSocketAddress address;

    @AfterEach
    void close() throws Exception {
        for (SocketChannel client : stopped) {
            client.close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        environment.close();
        endpoint.close();
    }

    private void start(int sockets) throws Exception {
        endpoint = new StubServer(StubServer.status(200, ""));
        environment = new SenderTestEnvironment(folder, endpoint);
        environment.socketLimit = sockets;
        process = environment.startProcess(sockets, "@deploy/java.options");
        StubServer.await("the sender is ready", () -> {
            address = environment.listeningAddress().orElse(null);
            return address != null && SenderTestEnvironment.requestStatus(address, SenderTestEnvironment.HEALTH) == 200;
        });
    }

    /** Each client sends these bytes, as far as the sender reads them, and then stays connected. */
    private void stopInTheMiddle(int clients, String sent) throws Exception {
        for (int i = 0; i < clients; i++) {
            SocketChannel client = SocketChannel.open();
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            client.connect(address);
            client.configureBlocking(false);
            client.write(ByteBuffer.wrap(sent.getBytes(StandardCharsets.ISO_8859_1)));
            stopped.add(client);
        }
    }

    private static boolean isAnswered(SocketChannel client) {
        try {
            return client.read(ByteBuffer.allocate(4096)) != 0;
        } catch (IOException reset) {
            return true;
        }
    }

    private void expectServiceAsUsual() throws Exception {
        long startNanos = System.nanoTime();
        for (int i = 0; i < MESSAGES; i++) {
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                client.setSoTimeout((int) BAD_CLIENT_LIMIT_MS);
                assertEquals(202, SenderTestEnvironment.requestStatus(client,
                        SenderTestEnvironment.submitRequest("m-" + i, "order", 0, "body")));
            }
        }
        StubServer.await("the messages are delivered", () -> endpoint.requests.size() == MESSAGES);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(tookMs < BAD_CLIENT_LIMIT_MS, "accepted and delivered after " + tookMs + " ms");
        StubServer.await("the bad clients have their answers",
                () -> stopped.stream().allMatch(RequestMemoryTest::isAnswered));
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < BAD_CLIENT_LIMIT_MS);
        assertTrue(!Files.readString(environment.logFile()).contains("OutOfMemoryError"));
    }

    /** Bodies that stopped short used up the direct memory, and the sender stood still for 14 s. */
    @Test
    void manyUnfinishedBodiesDelayNoMessage() throws Exception {
        start(1024);
        stopInTheMiddle(CLIENTS, "POST /order HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + "x".repeat(60_000));
        expectServiceAsUsual();
    }

    /** The same with as many short header fields as a head may have. */
    @Test
    void manyUnfinishedHeadsDelayNoMessage() throws Exception {
        start(1024);
        stopInTheMiddle(CLIENTS, "POST /order HTTP/1.1\r\n" + "a:b\r\n".repeat(1600));
        expectServiceAsUsual();
    }

    /** The limit holds with the fewest descriptors of a deployment, too. */
    @Test
    void unfinishedBodiesOnAllConnectionsDelayNoMessage() throws Exception {
        start(256);
        stopInTheMiddle(80, "POST /order HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + "x".repeat(60_000));
        expectServiceAsUsual();
    }
}
