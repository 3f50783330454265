package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import kestreldeal.Relay.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Connects that fail because of this machine say nothing about the endpoint, and are retried. */
class ConnectFailureTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    /** The failures of the next connects, in order; with {@code repeatFirst} the first one repeats. */
    private final Deque<Supplier<Exception>> failures = new ArrayDeque<>();
    private boolean repeatFirst;
    private int connectCount;
    private StubServer stub;
    private EndpointClient client;

    private final class FailingChannel extends NioSocketChannel {
        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            connectCount++;
            if (!failures.isEmpty()) {
                throw (repeatFirst ? failures.peek() : failures.remove()).get();
            }
            return super.doConnect(remote, local);
        }
    }

    @BeforeEach
    void setUp() throws Exception {
        stub = new StubServer(StubServer.status(200, ""));
        loop.submit(() -> {
            client = new EndpointClient(loop, 1000, 15_000, 4,
                    (attempt, outcome, messageExpired, retryAfterMs, report) -> outcomes.add(outcome),
                    FailingChannel::new, MachineClock.system());
            client.updateEndpoint(1, stub.address(), true, 1);
        }).sync();
    }

    @AfterEach
    void tearDown() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Outcome call() throws Exception {
        AcceptedMessage message = AcceptedMessage.withTimeLeft(1, "id", "order", "", Optional.of("key"), 7, 20_000,
                new byte[1], MachineClock.system());
        loop.execute(() -> client.startAttempt(message, 0, 1, 20_000, System.nanoTime()));
        return outcomes.poll(30, TimeUnit.SECONDS);
    }

    private void failWith(boolean repeat, List<Supplier<Exception>> newFailures) throws Exception {
        loop.submit(() -> {
            failures.addAll(newFailures);
            repeatFirst = repeat;
        }).sync();
    }

    private static Supplier<Exception> failure(Supplier<Exception> failure) {
        return failure;
    }

    /** How Java reports EADDRNOTAVAIL, ENETUNREACH, ENOBUFS and EHOSTUNREACH. */
    private static Stream<Supplier<Exception>> momentary() {
        return Stream.of(failure(() -> new BindException("Cannot assign requested address")),
                failure(() -> new SocketException("Network is unreachable")),
                failure(() -> new SocketException("No buffer space available")),
                failure(() -> new NoRouteToHostException("No route to host")));
    }

    @ParameterizedTest
    @MethodSource("momentary")
    void temporaryFailureIsRetried(Supplier<Exception> failure) throws Exception {
        failWith(false, List.of(failure, failure));
        assertEquals(Outcome.DELIVERED, call());
        assertEquals(3, connectCount);
    }

    @Test
    void lastingLocalFailureIsNotAttributedToTheEndpoint() throws Exception {
        failWith(true, List.of(failure(() -> new BindException("Cannot assign requested address"))));
        assertEquals(Outcome.NOT_SENT, call());
    }

    @Test
    void endpointWithoutARouteForLongIsUnreachable() throws Exception {
        failWith(true, List.of(failure(() -> new NoRouteToHostException("No route to host"))));
        assertEquals(Outcome.UNREACHABLE, call());
    }

    /** The remote side has refused the connection: the connect is not retried. */
    @ParameterizedTest
    @MethodSource("refusals")
    void refusedConnectIsNotRetried(Supplier<Exception> refusal) throws Exception {
        failWith(true, List.of(refusal));
        assertEquals(Outcome.UNREACHABLE, call());
        assertEquals(1, connectCount);
    }

    private static Stream<Supplier<Exception>> refusals() {
        return Stream.of(failure(() -> new ConnectException("Connection refused")),
                failure(() -> new ConnectException("Connection timed out")),
                failure(() -> new SocketException("Connection reset by peer")));
    }
}
