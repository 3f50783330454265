package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectorTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Boolean> reportedInLoop = new CompletableFuture<>();
    private final CompletableFuture<Optional<Channel>> result = new CompletableFuture<>();

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void connect(Connector connector, StubServer target) {
        loop.execute(() -> connector.connect(target.address(), channel -> {
            reportedInLoop.complete(loop.inEventLoop());
            result.complete(channel);
        }));
    }

    /** As when no file descriptor is free: the callers of the connector run on the event loop's thread only. */
    @Test
    void channelCreationFailureIsReportedOnTheEventLoop() throws Exception {
        try (StubServer stub = new StubServer(StubServer.silent())) {
            connect(new Connector(loop, 1000, channel -> { }, () -> {
                throw new ChannelException("too many open files");
            }), stub);
            assertEquals(Optional.empty(), result.get(30, TimeUnit.SECONDS));
            assertTrue(reportedInLoop.get());
        }
    }

    @Test
    void openConnectionIsReportedOnTheEventLoop() throws Exception {
        try (StubServer stub = new StubServer(StubServer.silent())) {
            connect(new Connector(loop, 1000, channel -> { }), stub);
            assertTrue(result.get(30, TimeUnit.SECONDS).orElseThrow().isActive());
            assertTrue(reportedInLoop.get());
        }
    }
}
