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
 * Opens connections, and tells how each went on the loop's thread: where the descriptors are used up there is no channel
 * and so no loop of its own, and Netty would tell it on another thread, to parts that are not made for two.
 *
 * <p>What this machine could not do for a moment (no descriptor, no port, no buffer, no route) says nothing of the other
 * side, and is tried again a few times after pauses that grow.
 */
final class Connector {
    /** Connects that are tried where the machine fails, and the pause after the first. */
    private static final int MOST_ATTEMPTS = 6;
    private static final long FIRST_PAUSE_MS = 5;
    /** A failure that may be either side's is this machine's if it comes so soon: nothing was asked of the other. */
    private static final long AT_ONCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** How the system words what a connect fails with for the machine's sake; other words may mean the other side. */
    private static final List<String> MACHINE_WORDS = List.of("network is unreachable", "no buffer space available",
            "cannot allocate memory", "too many open files", "resource temporarily unavailable", "network is down");

    /** Whose fault a failed connect is. */
    private enum Fault {
        MACHINE, OTHER_SIDE, EITHER
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;

    Connector(EventLoop loop, double limitMs, Consumer<Channel> init) {
        this(loop, limitMs, init, NioSocketChannel::new);
    }

    /** The same with a way of its own to make a channel, which may fail. */
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

    /** Tells of the open connection, or of none. */
    void connect(InetSocketAddress address, Consumer<Optional<Channel>> then) {
        connect(address, then, () -> then.accept(Optional.empty()));
    }

    /** The same, and tells apart that no channel could be made here, which says nothing of that address. */
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
        // Netty names the address in an exception of its own.
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
