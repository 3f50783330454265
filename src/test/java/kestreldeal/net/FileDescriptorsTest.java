package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import kestreldeal.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the program as a process with a limit on file descriptors, and many idle clients that use up all they get. */
class FileDescriptorsTest {
    private static final int IDLE_CLIENTS = 300;
    private static final int MESSAGES = 150;
    /** Large enough that the journal has to be compacted, which opens a file. */
    private static final String BODY = "x".repeat(30_000);

    @TempDir
    private Path folder;
    private final List<SocketChannel> idleClients = new ArrayList<>();
    private StubServer endpoint;
    private SenderTestEnvironment environment;
    private Process process;
    private InetSocketAddress address;
    private Thread idleClientThread;
    private volatile boolean idleClientsConnected;
    private volatile long maxOpenDescriptors;

    @AfterEach
    void close() throws Exception {
        if (idleClientThread != null) {
            idleClientThread.interrupt();
            idleClientThread.join();
        }
        for (SocketChannel client : idleClients) {
            client.close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        if (environment != null) {
            environment.close();
            endpoint.close();
        }
    }

    private void start(int socketLimit, int descriptorLimit, int endpointCount) throws Exception {
        endpoint = new StubServer((request, socket) -> StubServer.status(
                "unlucky".equals(request.header("X-Call-Id")) ? 500 : 200, "").handle(request, socket));
        environment = new SenderTestEnvironment(folder, endpoint);
        environment.endpointCount = endpointCount;
        environment.socketLimit = socketLimit;
        environment.slots = 40;
        process = environment.startProcess(descriptorLimit);
        StubServer.await("the sender is ready", () -> {
            address = environment.listeningAddress().orElse(null);
            return address != null && SenderTestEnvironment.requestStatus(address, SenderTestEnvironment.HEALTH) == 200;
        });
    }

    /** Opens idle connections and keeps their number up: each one that the sender closes is replaced. */
    private void startIdleClients() throws InterruptedException {
        idleClientThread = new Thread(() -> {
            try {
                while (!Thread.interrupted()) {
                    idleClients.removeIf(FileDescriptorsTest::isClosed);
                    while (idleClients.size() < IDLE_CLIENTS) {
                        SocketChannel client = SocketChannel.open(address);
                        client.configureBlocking(false);
                        idleClients.add(client);
                    }
                    idleClientsConnected = true;
                    try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
                        maxOpenDescriptors = Math.max(maxOpenDescriptors, open.count());
                    }
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException ended) {
                // The process or the test has ended.
            }
        });
        idleClientThread.start();
        StubServer.await("the idle clients are connected", () -> idleClientsConnected);
    }

    private static boolean isClosed(SocketChannel client) {
        try {
            if (client.read(ByteBuffer.allocate(256)) >= 0) {
                return false;
            }
            client.close();
            return true;
        } catch (IOException reset) {
            return true;
        }
    }

    /** Submits a message as an ordinary client does, which retries if its connection is closed without an answer. */
    private void submit(String id, String messageClass, long destination, String body) throws Exception {
        StubServer.await(id + " is accepted", () -> {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(400);
                return SenderTestEnvironment.requestStatus(socket,
                        SenderTestEnvironment.submitRequest(id, messageClass, destination, body)) == 202;
            } catch (SocketTimeoutException | SocketException closedUnanswered) {
                return false;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    private void deliverDespiteIdleClients(int descriptorLimit) throws Exception {
        environment.agent.setScript(StubServer.silent());
        startIdleClients();
        submit("unlucky", "once", 1, "");
        for (int i = 0; i < MESSAGES; i++) {
            submit("m-" + i, "order", i % environment.endpointCount, BODY);
        }
        StubServer.await("all messages are delivered",
                () -> endpoint.requests.stream().map(r -> r.header("X-Call-Id")).distinct()
                .count() == MESSAGES + 1);
        assertTrue(Files.size(environment.stateFolder().resolve("journal")) < (long) MESSAGES * BODY.length(),
                "the journal was compacted");
        environment.firstLifecycle = "DRAINING";
        environment.agent.setScript(environment::answerAsAgent);
        StubServer.await("the list change is applied", () -> environment.agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + environment.generation())));
        StubServer.await("the notice is delivered", () -> !environment.notices.isEmpty());
        submit("last", "order", 2, BODY);
        StubServer.await("the last message is delivered", () -> endpoint.requests.stream()
                .anyMatch(r -> r.header("X-Call-Id").equals("last")));
        String log = Files.readString(environment.logFile());
        assertFalse(log.contains("journal:"), log);
        assertFalse(log.contains("journal can't"), log);
        System.out.println("at most " + maxOpenDescriptors + " of " + descriptorLimit
                + " file descriptors were in use");
    }

    @Test
    void idleClientsLeaveDescriptorsForEverythingElse() throws Exception {
        start(256, 256, MESSAGES);
        deliverDespiteIdleClients(256);
        String log = Files.readString(environment.logFile());
        assertFalse(log.contains("out of file descriptors"), log);
    }

    /** The configuration allows more descriptors than the system, so that the idle clients do get the last one. */
    @Test
    void idleClientsAreClosedWhenTheyTakeTheLastDescriptor() throws Exception {
        start(1024, 150, 5);
        deliverDespiteIdleClients(150);
        assertTrue(Files.readString(environment.logFile()).contains("out of file descriptors"));
    }

    /**
     * A missing descriptor says nothing about the endpoint: if the endpoint counted as unreachable, it would be
     * considered down for a long time.
     */
    @Test
    void callWithoutADescriptorCountsAsNotSent() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        CompletableFuture<Relay.Outcome> result = new CompletableFuture<>();
        try {
            AcceptedMessage message = new AcceptedMessage(1, "id", "order", "", Optional.of("key"), 7, Long.MAX_VALUE,
                    new byte[0]);
            message.attempts.add(AcceptedMessage.Attempt.startedAgo("e", 0, MachineClock.system()));
            loop.execute(() -> {
                EndpointClient endpoints = new EndpointClient(loop, 1000, 15_000, 10,
                        (call, outcome, messageOver, retryAfterMs, report) -> result.complete(outcome), () -> {
                    throw new ChannelException("too many open files");
                }, MachineClock.system());
                endpoints.updateEndpoint(1, new InetSocketAddress("127.0.0.1", 1), true, 1);
                endpoints.startAttempt(message, 0, 1, 20_000, System.nanoTime());
            });
            assertEquals(Relay.Outcome.NOT_SENT, result.get(30, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
