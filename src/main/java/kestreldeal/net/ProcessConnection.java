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
    private static final int LENGTH_BYTES = 4;
    private static final int LONGEST = 16 << 20;
    private static final JsonMapper JSON = JsonMapper.builder().build();

    /** Handles the events of a connection. */
    interface MessageHandler {
        void opened(ProcessConnection link);

        void heard(ProcessConnection link, JsonNode told) throws IOException;

        void closed(ProcessConnection link);
    }

    private final MessageHandler ear;
    private Channel channel;

    private ProcessConnection(MessageHandler ear) {
        this.ear = ear;
    }

    /** Listens for connections at a path where no socket file exists. */
    static ChannelFuture listen(EventLoop loop, Path path, MessageHandler ear) {
        return new ServerBootstrap().group(loop, loop).channel(NioServerDomainSocketChannel.class)
                .childHandler(initializer(ear)).bind(UnixDomainSocketAddress.of(path));
    }

    /** Connects to the process that listens at a path; the future fails if there is none. */
    static ChannelFuture connect(EventLoop loop, Path path, MessageHandler ear) {
        return new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
                .handler(initializer(ear)).connect(UnixDomainSocketAddress.of(path));
    }

    private static ChannelInitializer<Channel> initializer(MessageHandler ear) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(
                        new LengthFieldBasedFrameDecoder(LONGEST, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new LengthFieldPrepender(LENGTH_BYTES), new ProcessConnection(ear));
            }
        };
    }

    void tell(ObjectNode what) {
        try {
            channel.writeAndFlush(Unpooled.wrappedBuffer(JSON.writeValueAsBytes(what)));
        } catch (IOException e) {
            throw new IllegalArgumentException("the message can't be written as JSON: " + what, e);
        }
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        ear.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
        try (InputStream in = new ByteBufInputStream(frame)) {
            ear.heard(this, JSON.readTree(in));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ear.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.write("the handover connection to the other process is closed after an error: " + cause);
        }
        ctx.close();
    }
}
