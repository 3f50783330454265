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
    private final CompletableFuture<Boolean> inLoop = new CompletableFuture<>();
    private final CompletableFuture<Optional<Channel>> told = new CompletableFuture<>();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void connect(Connector connector, StubServer to) {
        loop.execute(() -> connector.connect(to.address(), open -> {
            inLoop.complete(loop.inEventLoop());
            told.complete(open);
        }));
    }

    /** As when no file descriptor is free: the callers of the connector run on the event loop's thread only. */
    @Test
    void aChannelThatCantBeMadeIsToldOnTheLoopsThread() throws Exception {
        try (StubServer stub = new StubServer(StubServer.silent())) {
            connect(new Connector(loop, 1000, channel -> { }, () -> {
                throw new ChannelException("too many open files");
            }), stub);
            assertEquals(Optional.empty(), told.get(30, TimeUnit.SECONDS));
            assertTrue(inLoop.get());
        }
    }

    @Test
    void anOpenConnectionIsTold() throws Exception {
        try (StubServer stub = new StubServer(StubServer.silent())) {
            connect(new Connector(loop, 1000, channel -> { }), stub);
            assertTrue(told.get(30, TimeUnit.SECONDS).orElseThrow().isActive());
            assertTrue(inLoop.get());
        }
    }
}
