package kestreldeal.scale.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
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

/** HTTP server functions that the stubs of agents and endpoints share. */
final class StubHttpServer {
    private static final int MAX_REQUEST_BYTES = 1 << 20;
    private static final int ACCEPT_BACKLOG = 256;

    private StubHttpServer() {
    }

    /** Listens on loopback, on an ephemeral port if the port is 0; each connection gets a new handler. */
    static ChannelFuture listen(EventLoop eventLoop, int port, Supplier<ChannelHandler> newHandler) {
        return new ServerBootstrap().group(eventLoop, eventLoop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                newHandler.get());
                    }
                }).bind("127.0.0.1", port);
    }

    static int localPort(Channel serverChannel) {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Sends a response; headers alternate between names and values. */
    static ChannelFuture respond(Channel channel, HttpResponseStatus status, String body, String... headers) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        for (int i = 0; i < headers.length; i += 2) {
            response.headers().set(headers[i], headers[i + 1]);
        }
        return channel.writeAndFlush(response);
    }

    /** Sends text as it is, such as a part of a response. */
    static ChannelFuture writeRaw(Channel channel, String text) {
        ChannelHandlerContext belowCodec = channel.pipeline().firstContext();
        return belowCodec.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Closes a connection with a TCP reset, as after a crash. */
    static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
