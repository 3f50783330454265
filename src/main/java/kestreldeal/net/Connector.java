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
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Opens connections, and tells how each went on the loop's thread: where the descriptors are used up there is no channel
 * and so no loop of its own, and Netty would tell it on another thread, to parts that are not made for two.
 */
final class Connector {
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
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(f -> {
            Optional<Channel> open = f.isSuccess() ? Optional.of(connecting.channel()) : Optional.empty();
            Runnable tell = f.cause() instanceof ChannelException ? notTried : () -> then.accept(open);
            if (loop.inEventLoop()) {
                tell.run();
            } else {
                loop.execute(tell);
            }
        });
    }
}
