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

/** The program as a process under a limit of descriptors, and a crowd of idle clients that takes all it can get. */
class FileDescriptorsTest {
    private static final int CROWD = 300;
    private static final int MESSAGES = 150;
    /** So much that the journal has to be compacted, which opens a file. */
    private static final String BODY = "x".repeat(30_000);

    @TempDir
    private Path folder;
    private final List<SocketChannel> crowd = new ArrayList<>();
    private StubServer endpoint;
    private SenderTestEnvironment world;
    private Process process;
    private InetSocketAddress address;
    private Thread crowding;
    private volatile boolean crowded;
    private volatile long mostOpen;

    @AfterEach
    void close() throws Exception {
        if (crowding != null) {
            crowding.interrupt();
            crowding.join();
        }
        for (SocketChannel client : crowd) {
            client.close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        if (world != null) {
            world.close();
            endpoint.close();
        }
    }

    private void start(int sockets, int limit, int endpoints) throws Exception {
        endpoint = new StubServer((request, socket) -> StubServer.status(
                "unlucky".equals(request.header("X-Call-Id")) ? 500 : 200, "").come(request, socket));
        world = new SenderTestEnvironment(folder, endpoint);
        world.endpoints = endpoints;
        world.sockets = sockets;
        world.slots = 40;
        process = world.process(limit);
        StubServer.await("it is ready", () -> {
            address = world.listening().orElse(null);
            return address != null && SenderTestEnvironment.ask(address, SenderTestEnvironment.HEALTH) == 200;
        });
    }

    /** Fills every place that there is, and again each that is taken back. */
    private void startCrowd() throws InterruptedException {
        crowding = new Thread(() -> {
            try {
                while (!Thread.interrupted()) {
                    crowd.removeIf(FileDescriptorsTest::isClosed);
                    while (crowd.size() < CROWD) {
                        SocketChannel client = SocketChannel.open(address);
                        client.configureBlocking(false);
                        crowd.add(client);
                    }
                    crowded = true;
                    try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
                        mostOpen = Math.max(mostOpen, open.count());
                    }
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException over) {
                // The process has ended, or the test has.
            }
        });
        crowding.start();
        StubServer.await("the crowd has come", () -> crowded);
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

    /** By a usual client, which comes again if its connection was shut unread. */
    private void handIn(String id, String messageClass, long destination, String body) throws Exception {
        StubServer.await(id + " is taken", () -> {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(400);
                return SenderTestEnvironment.ask(socket,
                        SenderTestEnvironment.message(id, messageClass, destination, body)) == 202;
            } catch (SocketTimeoutException | SocketException shutUnread) {
                return false;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    private void allGetTheirs(int limit) throws Exception {
        world.agent.script(StubServer.silent());
        startCrowd();
        handIn("unlucky", "once", 1, "");
        for (int i = 0; i < MESSAGES; i++) {
            handIn("m-" + i, "order", i % world.endpoints, BODY);
        }
        StubServer.await("all are delivered",
                () -> endpoint.requests.stream().map(r -> r.header("X-Call-Id")).distinct()
                .count() == MESSAGES + 1);
        assertTrue(Files.size(world.state().resolve("journal")) < (long) MESSAGES * BODY.length(), "it was compacted");
        world.firstState = "DRAINING";
        world.agent.script(world::answer);
        StubServer.await("the change is known", () -> world.agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + world.generation())));
        StubServer.await("the notice is heard", () -> !world.notices.isEmpty());
        handIn("last", "order", 2, BODY);
        StubServer.await("the last one is delivered", () -> endpoint.requests.stream()
                .anyMatch(r -> r.header("X-Call-Id").equals("last")));
        String log = Files.readString(world.log());
        assertFalse(log.contains("journal:"), log);
        assertFalse(log.contains("journal can't"), log);
        System.out.println("at most " + mostOpen + " of " + limit + " descriptors were seen in use");
    }

    @Test
    void aCrowdOfIdleClientsLeavesAllElseItsDescriptors() throws Exception {
        start(256, 256, MESSAGES);
        allGetTheirs(256);
        String log = Files.readString(world.log());
        assertFalse(log.contains("no descriptor is left"), log);
    }

    /** The configuration allows more than the system does, so that the crowd does get the last one. */
    @Test
    void whoeverTakesTheLastDescriptorHasToLeaveSome() throws Exception {
        start(1024, 150, 5);
        allGetTheirs(150);
        assertTrue(Files.readString(world.log()).contains("no descriptor is left"));
    }

    /** That none is left here is no word of the endpoint: one that counted as unreachable would be down for long. */
    @Test
    void aCallWithoutADescriptorWasNotSent() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        CompletableFuture<Relay.Outcome> end = new CompletableFuture<>();
        try {
            AcceptedMessage held = new AcceptedMessage(1, "id", "order", "", Optional.of("key"), 7, Long.MAX_VALUE,
                    new byte[0]);
            held.attempts.add(AcceptedMessage.Attempt.sentAgo("e", 0, MachineClock.system()));
            loop.execute(() -> {
                EndpointClient endpoints = new EndpointClient(loop, 1000, 15_000, 10,
                        (call, outcome, gone, waitMs, report) -> end.complete(outcome), () -> {
                    throw new ChannelException("too many open files");
                }, MachineClock.system());
                endpoints.updateEndpoint(1, new InetSocketAddress("127.0.0.1", 1), true, 1);
                endpoints.startAttempt(held, 0, 1, 20_000, System.nanoTime());
            });
            assertEquals(Relay.Outcome.NOT_SENT, end.get(30, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
