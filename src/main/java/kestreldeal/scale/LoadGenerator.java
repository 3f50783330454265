package kestreldeal.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.HdrHistogram.Histogram;

/**
 * Open-loop load generator for one sender: submits messages at a constant rate, whether or not earlier ones have got a
 * response, over as many persistent connections as that needs. A response time is measured from the time at which its
 * message was due, which avoids coordinated omission. Everything runs on one event loop.
 */
final class LoadGenerator implements AutoCloseable {
    /** Length of the example body in the protocol description. */
    static final int DEFAULT_BODY_BYTES = 212;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final int MAX_CONNECTIONS = 300;
    private static final long TICK_INTERVAL_MICROS = 500;
    /** Highest response time that the histogram records; longer ones count as this. */
    private static final long MAX_RESPONSE_NANOS = 60_000_000_000L;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoops.next();
    private final InetSocketAddress senderAddress;
    private final Random random;
    /** A stack: the most recently used connection is reused first, so that the sender closes the surplus as idle. */
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    /** The due times of messages that wait for a connection. */
    private final Deque<Long> overdueNanos = new ArrayDeque<>();
    private int connectionCount;
    private int connectingCount;
    private long nextMessageNumber;
    private Run currentRun;

    /**
     * The result of one run; messages are counted by their response.
     *
     * @param responseNanos response times of accepted messages
     * @param accepted messages that were accepted, with status 200 or 202
     * @param rejected messages with another response
     * @param disconnected messages whose connection closed before a response
     * @param unanswered messages without a response at the end of the run
     */
    record LoadResult(Histogram responseNanos, long accepted, long rejected, long disconnected, long unanswered) {
    }

    private final class Run {
        final Histogram responseNanos = new Histogram(MAX_RESPONSE_NANOS, 3);
        final IntSupplier destination;
        final byte[] body;
        final long startNanos = System.nanoTime();
        final double messagesPerSecond;
        final long messageCount;
        long dueCount;
        long accepted;
        long rejected;
        long disconnected;

        Run(double messagesPerSecond, long messageCount, IntSupplier destination, int bodyBytes) {
            this.body = new byte[bodyBytes];
            random.nextBytes(body);
            this.messagesPerSecond = messagesPerSecond;
            this.messageCount = messageCount;
            this.destination = destination;
        }

        boolean isComplete() {
            return accepted + rejected + disconnected >= messageCount;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private long requestDueNanos = -1;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            idleConnections.push(this);
            sendOverdue();
        }

        void send(long dueNanos) {
            requestDueNanos = dueNanos;
            String id = String.format("%016x", random.nextLong());
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/" + SenderProcess.MESSAGE_CLASS, Unpooled.wrappedBuffer(currentRun.body));
            request.headers().set("Host", "app.svc").set("X-Call-Id", id)
                    .set("X-Call-Class", SenderProcess.MESSAGE_CLASS)
                    .set("X-Budget-Ms", SenderProcess.DEADLINE_MS)
                    .set("Idempotency-Key", String.format("%016x%016x", nextMessageNumber++, random.nextLong()))
                    .set("X-Envelope", "dest=" + currentRun.destination.getAsInt())
                    .set("Content-Length", currentRun.body.length);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            int status = response.status().code();
            if (status == 200 || status == 202) {
                currentRun.responseNanos.recordValue(Math.min(MAX_RESPONSE_NANOS, System.nanoTime() - requestDueNanos));
                currentRun.accepted++;
            } else {
                currentRun.rejected++;
            }
            requestDueNanos = -1;
            idleConnections.push(this);
            sendOverdue();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connectionCount--;
            idleConnections.remove(this);
            if (requestDueNanos >= 0) {
                requestDueNanos = -1;
                currentRun.disconnected++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    LoadGenerator(InetSocketAddress senderAddress, long seed) {
        this.senderAddress = senderAddress;
        this.random = new Random(seed);
    }

    /** Submits messages at a rate, and waits for the responses until at most the timeout after the last one is due. */
    LoadResult submit(double messagesPerSecond, long messageCount, IntSupplier destination, int bodyBytes,
            long responseTimeoutMs) throws Exception {
        Run thisRun = eventLoop.submit(() -> {
            currentRun = new Run(messagesPerSecond, messageCount, destination, bodyBytes);
            overdueNanos.clear();
            return currentRun;
        }).get();
        var ticks = eventLoop.scheduleAtFixedRate(this::addDueMessages, 0, TICK_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
        try {
            long deadlineNanos = System.nanoTime() + (long) (messageCount / messagesPerSecond * 1e9)
                    + responseTimeoutMs * 1_000_000;
            while (System.nanoTime() < deadlineNanos && !eventLoop.submit(thisRun::isComplete).get()) {
                Thread.sleep(2);
            }
            return eventLoop.submit(() -> new LoadResult(thisRun.responseNanos, thisRun.accepted, thisRun.rejected,
                    thisRun.disconnected,
                    thisRun.messageCount - thisRun.accepted - thisRun.rejected - thisRun.disconnected)).get();
        } finally {
            ticks.cancel(false);
        }
    }

    private void addDueMessages() {
        long nowNanos = System.nanoTime();
        while (currentRun.dueCount < currentRun.messageCount
                && nowNanos - currentRun.startNanos >= currentRun.dueCount / currentRun.messagesPerSecond * 1e9) {
            overdueNanos.add(currentRun.startNanos + (long) (currentRun.dueCount / currentRun.messagesPerSecond * 1e9));
            currentRun.dueCount++;
        }
        sendOverdue();
    }

    private void sendOverdue() {
        while (!overdueNanos.isEmpty() && !idleConnections.isEmpty()) {
            idleConnections.pop().send(overdueNanos.remove());
        }
        while (connectingCount < overdueNanos.size() && connectionCount < MAX_CONNECTIONS) {
            connectionCount++;
            connectingCount++;
            openConnection();
        }
    }

    private void openConnection() {
        new Bootstrap().group(eventLoop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                new Connection());
                    }
                }).connect(senderAddress).addListener(connected -> {
                    connectingCount--;
                    if (!connected.isSuccess()) {
                        connectionCount--;
                    }
                });
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
