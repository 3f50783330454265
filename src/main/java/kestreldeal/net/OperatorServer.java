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
 * The server for operators' commands. Each connection carries one command line, and is closed after the answer. A
 * connection without a complete line gets an answer after a timeout. When there are too many connections, the oldest
 * one that has not sent a command is closed.
 */
final class OperatorServer {
    /** Maximum number of connections, and so of descriptors used here. */
    static final int MAX_CONNECTIONS = 24;
    /** From connecting until the command line is complete. */
    private static final long COMMAND_TIMEOUT_MS = 2000;
    /** Time after which a connection is closed even if its answer could not be written completely. */
    private static final long CLOSE_TIMEOUT_MS = 1000;
    private static final int MAX_COMMAND_LENGTH = 256;

    /** The part of the sender that carries out commands. */
    interface CommandHandler {
        /** Whether this process accepts messages, or is a follower that can take over without a gap. */
        boolean isReady();

        /** All metrics, one per line. */
        String metrics();

        /** Starts or ends an evacuation of the clients; repeating it does no harm. */
        void setEvacuating(boolean active);
    }

    private final CommandHandler handler;
    private final ServerBootstrap bootstrap;
    /** Connections that have not sent a command yet, the oldest first. */
    private final Set<Channel> awaitingCommand = new LinkedHashSet<>();
    private int openConnections;

    OperatorServer(EventLoop loop, CommandHandler handler) {
        this.handler = handler;
        bootstrap = new ServerBootstrap().group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 128)
                .option(ChannelOption.SO_REUSEADDR, true)
                // An operator's tool may shut its output down after the line and still wait for the answer.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(ReceivedBytesCopier.INSTANCE,
                                new LineBasedFrameDecoder(MAX_COMMAND_LENGTH, true, true),
                                new StringDecoder(StandardCharsets.US_ASCII), new OperatorConnection());
                    }
                });
    }

    ChannelFuture listen(InetSocketAddress address) {
        return bootstrap.bind(address);
    }

    private String execute(String command) {
        return switch (command.strip()) {
            case "readyz" -> handler.isReady() ? "YES\n" : "NO not serving\n";
            case "telemetry" -> handler.metrics() + "END\n";
            case "evacuate" -> {
                handler.setEvacuating(true);
                yield "YES\n";
            }
            case "activate" -> {
                handler.setEvacuating(false);
                yield "YES\n";
            }
            default -> "NO unknown call\n";
        };
    }

    private final class OperatorConnection extends SimpleChannelInboundHandler<String> {
        private Future<?> timeout;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            awaitingCommand.add(ctx.channel());
            timeout = ctx.executor().schedule(() -> respond(ctx, "NO no whole line in time\n"), COMMAND_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
            if (++openConnections > MAX_CONNECTIONS) {
                // Not empty: it contains this connection at least.
                awaitingCommand.iterator().next().close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String command) {
            respond(ctx, OperatorServer.this.execute(command));
        }

        private void respond(ChannelHandlerContext ctx, String text) {
            if (answered) {
                return;
            }
            answered = true;
            awaitingCommand.remove(ctx.channel());
            timeout.cancel(false);
            timeout = ctx.executor().schedule(() -> ctx.close(), CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        /** Answers with an error when the input ends: a complete line would have been answered before. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                respond(ctx, "NO no whole line\n");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openConnections--;
            awaitingCommand.remove(ctx.channel());
            timeout.cancel(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                respond(ctx, "NO line too long\n");
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.write("closing an operator connection after an unexpected error: " + cause);
            }
            ctx.close();
        }
    }
}
