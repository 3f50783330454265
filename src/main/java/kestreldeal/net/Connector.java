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
    private static final int MOST_ATTEMPTS = 6;
    private static final long FIRST_PAUSE_MS = 5;
    /** An ambiguous failure may be local if it comes within this time: no packet can have been answered yet. */
    private static final long AT_ONCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Beginnings of the system's messages for local failures; any other message may mean the remote side. */
    private static final List<String> MACHINE_WORDS = List.of("network is unreachable", "no buffer space available",
            "cannot allocate memory", "too many open files", "resource temporarily unavailable", "network is down");

    /** Which side a failed connect is attributed to. */
    private enum Fault {
        MACHINE, OTHER_SIDE, EITHER
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;

    Connector(EventLoop loop, double limitMs, Consumer<Channel> init) {
        this(loop, limitMs, init, NioSocketChannel::new);
    }

    /** Creates a connector with its own channel factory, which may throw. */
    Connector(EventLoop loop, double limitMs, Consumer<Channel> init, ChannelFactory<NioSocketChannel> channels) {
        this.loop = loop;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(limitMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        init.accept(channel);
                    }
                });
    }

    /** Connects, and passes the open channel to the callback, or an empty value after any failure. */
    void connect(InetSocketAddress address, Consumer<Optional<Channel>> then) {
        connect(address, then, () -> then.accept(Optional.empty()));
    }

    /** Like the above, but runs {@code onLocalFailure} instead if the last failure was local to this machine. */
    void connect(InetSocketAddress address, Consumer<Optional<Channel>> then, Runnable notTried) {
        connect(address, then, notTried, 1);
    }

    private void connect(InetSocketAddress address, Consumer<Optional<Channel>> then, Runnable notTried, int attempt) {
        long begun = System.nanoTime();
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(f -> {
            Runnable tell = () -> {
                Fault fault = f.isSuccess() ? Fault.OTHER_SIDE : fault(f.cause(), System.nanoTime() - begun);
                if (f.isSuccess()) {
                    then.accept(Optional.of(connecting.channel()));
                } else if (fault != Fault.OTHER_SIDE && attempt < MOST_ATTEMPTS) {
                    loop.schedule(() -> connect(address, then, notTried, attempt + 1), FIRST_PAUSE_MS << attempt - 1,
                            TimeUnit.MILLISECONDS);
                } else if (fault == Fault.MACHINE) {
                    notTried.run();
                } else {
                    then.accept(Optional.empty());
                }
            };
            if (loop.inEventLoop()) {
                tell.run();
            } else {
                loop.execute(tell);
            }
        });
    }

    private static Fault fault(Throwable cause, long tookNanos) {
        // Netty wraps the system's exception in one of its own that adds the address.
        Throwable root = cause.getCause() instanceof SocketException ? cause.getCause() : cause;
        if (root instanceof ChannelException || root instanceof BindException) {
            return Fault.MACHINE;
        }
        if (root instanceof NoRouteToHostException) {
            return tookNanos < AT_ONCE_NANOS ? Fault.EITHER : Fault.OTHER_SIDE;
        }
        String words = String.valueOf(root.getMessage()).toLowerCase(Locale.ROOT);
        return MACHINE_WORDS.stream().anyMatch(words::startsWith) ? Fault.MACHINE : Fault.OTHER_SIDE;
    }
}
