package kestreldeal.scale.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** What the stand-ins for the platform and for endpoints have in common. */
final class Http {
    private static final int LONGEST = 1 << 20;
    private static final int BACKLOG = 256;

    private Http() {
    }

    /** Listens on loopback, at a port of the system's choice if none is given; each connection has a handler of its own. */
    static ChannelFuture listen(EventLoop loop, int port, Supplier<ChannelHandler> handler) {
        return new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LONGEST),
                                handler.get());
                    }
                }).bind("127.0.0.1", port);
    }

    static int port(Channel listening) {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    static ChannelFuture answer(Channel to, HttpResponseStatus status, String body, String... headers) {
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        for (int i = 0; i < headers.length; i += 2) {
            answer.headers().set(headers[i], headers[i + 1]);
        }
        return to.writeAndFlush(answer);
    }

    /** Ends a connection as a crash would: the other side sees a reset. */
    static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
