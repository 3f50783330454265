package kestreldeal.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The operators' address: each connection carries one line, is answered, and closed. One that brings no whole
 * line is answered in time too, and when there are too many, the oldest that has not asked makes room.
 */
final class OperatorServer {
    /** Connections at most; more descriptors than these are never used here. */
    static final int MOST = 24;
    /** From connecting until the line is whole. */
    private static final long CALL_MS = 2000;
    /** From the answer until the close, if the caller does not read it. */
    private static final long LINGER_MS = 1000;
    private static final int LONGEST_CALL = 256;

    /** The sender's side of a call. */
    interface CommandHandler {
        /** Whether this process can serve. */
        boolean serves();

        /** The figures, a line each. */
        String figures();

        /** Sends the clients away, or takes them back; telling it twice does no harm. */
        void evacuate(boolean away);
    }

    private final CommandHandler desk;
    private final ServerBootstrap bootstrap;
    /** Connections that have not asked yet, the oldest first. */
    private final Set<Channel> asking = new LinkedHashSet<>();
    private int open;

    OperatorServer(EventLoop loop, CommandHandler desk) {
        this.desk = desk;
        bootstrap = new ServerBootstrap().group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 128)
                .option(ChannelOption.SO_REUSEADDR, true)
                // A caller may end its sending with the line and still wait for the answer.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_CALL, true, true),
                                new StringDecoder(StandardCharsets.US_ASCII), new Caller());
                    }
                });
    }

    /** Begins to listen. */
    ChannelFuture listen(InetSocketAddress address) {
        return bootstrap.bind(address);
    }

    private String answer(String call) {
        return switch (call.strip()) {
            case "readyz" -> desk.serves() ? "YES\n" : "NO not serving\n";
            case "telemetry" -> desk.figures() + "END\n";
            case "evacuate" -> {
                desk.evacuate(true);
                yield "YES\n";
            }
            case "activate" -> {
                desk.evacuate(false);
                yield "YES\n";
            }
            default -> "NO unknown call\n";
        };
    }

    /** One connection. */
    private final class Caller extends SimpleChannelInboundHandler<String> {
        private Future<?> timer;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            asking.add(ctx.channel());
            timer = ctx.executor().schedule(() -> answer(ctx, "NO no whole line in time\n"), CALL_MS,
                    TimeUnit.MILLISECONDS);
            if (++open > MOST) {
                asking.iterator().next().close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String call) {
            answer(ctx, OperatorServer.this.answer(call));
        }

        private void answer(ChannelHandlerContext ctx, String text) {
            if (answered) {
                return;
            }
            answered = true;
            asking.remove(ctx.channel());
            timer.cancel(false);
            timer = ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        /** Nothing more will come; what came whole was read before. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                answer(ctx, "NO no whole line\n");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            asking.remove(ctx.channel());
            timer.cancel(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                answer(ctx, "NO line too long\n");
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.write("an operator's connection is closed: " + cause);
            }
            ctx.close();
        }
    }
}
