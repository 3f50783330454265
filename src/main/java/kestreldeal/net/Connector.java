package kestreldeal.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Opens connections and reports each result on the event loop's thread. If a channel can't be created, as when no file
 * descriptor is free, Netty has no event loop for it and reports the failure on another thread; the callers are not
 * thread-safe.
 *
 * <p>A temporary failure of this machine (no file descriptor, port, buffer or route) says nothing about the remote
 * side; such a connect is retried a few times with exponential backoff.
 */
final class Connector {
    private static final int MAX_CONNECT_ATTEMPTS = 6;
    private static final long INITIAL_RETRY_DELAY_MS = 5;
    /** An ambiguous failure may be local if it comes within this time: no packet can have been answered yet. */
    private static final long MAX_LOCAL_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Beginnings of the system's messages for local failures; any other message may mean the remote side. */
    private static final List<String> LOCAL_FAILURE_MESSAGES = List.of(
            "network is unreachable", "no buffer space available", "cannot allocate memory", "too many open files",
            "resource temporarily unavailable", "network is down");

    /** Which side a failed connect is attributed to. */
    private enum FailureSide {
        LOCAL, REMOTE, AMBIGUOUS
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;

    Connector(EventLoop loop, double timeoutMs, Consumer<Channel> initializer) {
        this(loop, timeoutMs, initializer, NioSocketChannel::new);
    }

    /** Creates a connector with its own channel factory, which may throw. */
    Connector(EventLoop loop, double timeoutMs, Consumer<Channel> initializer,
            ChannelFactory<NioSocketChannel> channelFactory) {
        this.loop = loop;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channelFactory)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(timeoutMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                });
    }

    /** Connects, and passes the open channel to the callback, or an empty value after any failure. */
    void connect(InetSocketAddress address, Consumer<Optional<Channel>> callback) {
        connect(address, callback, () -> callback.accept(Optional.empty()));
    }

    /** Like the above, but runs {@code onLocalFailure} instead if the last failure was local to this machine. */
    void connect(InetSocketAddress address, Consumer<Optional<Channel>> callback, Runnable onLocalFailure) {
        connect(address, callback, onLocalFailure, 1);
    }

    private void connect(InetSocketAddress address, Consumer<Optional<Channel>> callback, Runnable onLocalFailure,
            int attempt) {
        long startNanos = System.nanoTime();
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(f -> {
            Runnable handleResult = () -> {
                FailureSide side = f.isSuccess() ? FailureSide.REMOTE
                        : classify(f.cause(), System.nanoTime() - startNanos);
                if (f.isSuccess()) {
                    callback.accept(Optional.of(connecting.channel()));
                } else if (side != FailureSide.REMOTE && attempt < MAX_CONNECT_ATTEMPTS) {
                    loop.schedule(() -> connect(address, callback, onLocalFailure, attempt + 1),
                            INITIAL_RETRY_DELAY_MS << attempt - 1, TimeUnit.MILLISECONDS);
                } else if (side == FailureSide.LOCAL) {
                    onLocalFailure.run();
                } else {
                    callback.accept(Optional.empty());
                }
            };
            if (loop.inEventLoop()) {
                handleResult.run();
            } else {
                loop.execute(handleResult);
            }
        });
    }

    private static FailureSide classify(Throwable cause, long durationNanos) {
        // Netty wraps the system's exception in one of its own that adds the address.
        Throwable root = cause.getCause() instanceof SocketException ? cause.getCause() : cause;
        if (root instanceof ChannelException || root instanceof BindException) {
            return FailureSide.LOCAL;
        }
        if (root instanceof NoRouteToHostException) {
            return durationNanos < MAX_LOCAL_FAILURE_NANOS ? FailureSide.AMBIGUOUS : FailureSide.REMOTE;
        }
        String message = String.valueOf(root.getMessage()).toLowerCase(Locale.ROOT);
        return LOCAL_FAILURE_MESSAGES.stream().anyMatch(message::startsWith) ? FailureSide.LOCAL : FailureSide.REMOTE;
    }
}
