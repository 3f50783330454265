package kestreldeal.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.io.InputStream;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Path;

/**
 * A connection between two processes of one sender, over a Unix domain socket in their folder. Messages are JSON
 * objects prefixed with their length, and arrive in the order sent. When the other process ends, the connection closes.
 */
final class ProcessConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_MESSAGE_BYTES = 16 << 20;
    private static final JsonMapper JSON = JsonMapper.builder().build();

    /** Handles the events of a connection. */
    interface MessageHandler {
        void opened(ProcessConnection connection);

        void received(ProcessConnection connection, JsonNode message) throws IOException;

        void closed(ProcessConnection connection);
    }

    private final MessageHandler handler;
    private Channel channel;

    private ProcessConnection(MessageHandler handler) {
        this.handler = handler;
    }

    /** Listens for connections at a path where no socket file exists. */
    static ChannelFuture listen(EventLoop loop, Path path, MessageHandler handler) {
        return new ServerBootstrap().group(loop, loop).channel(NioServerDomainSocketChannel.class)
                .childHandler(initializer(handler)).bind(UnixDomainSocketAddress.of(path));
    }

    /** Connects to the process that listens at a path; the future fails if there is none. */
    static ChannelFuture connect(EventLoop loop, Path path, MessageHandler handler) {
        return new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
                .handler(initializer(handler)).connect(UnixDomainSocketAddress.of(path));
    }

    private static ChannelInitializer<Channel> initializer(MessageHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(
                        new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_FIELD_BYTES, 0,
                                LENGTH_FIELD_BYTES),
                        new LengthFieldPrepender(LENGTH_FIELD_BYTES), new ProcessConnection(handler));
            }
        };
    }

    void send(ObjectNode message) {
        try {
            channel.writeAndFlush(Unpooled.wrappedBuffer(JSON.writeValueAsBytes(message)));
        } catch (IOException e) {
            throw new IllegalArgumentException("the message can't be written as JSON: " + message, e);
        }
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        handler.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
        try (InputStream in = new ByteBufInputStream(frame)) {
            handler.received(this, JSON.readTree(in));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        handler.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.write("the handover connection to the other process is closed after an error: " + cause);
        }
        ctx.close();
    }
}
