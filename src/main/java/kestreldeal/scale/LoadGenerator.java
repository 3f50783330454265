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
    static final int BODY_BYTES = 212;
    private static final int LONGEST_ANSWER = 1 << 16;
    private static final int MOST_CONNECTIONS = 300;
    private static final long TICK_MICROS = 500;
    /** Highest response time that the histogram records; longer ones count as this. */
    private static final long LONGEST_NANOS = 60_000_000_000L;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final InetSocketAddress sender;
    private final Random random;
    /** A stack: the most recently used connection is reused first, so that the sender closes the surplus as idle. */
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Long> overdue = new ArrayDeque<>();
    private int connections;
    private int opening;
    private long number;
    private Run run;

    /**
     * The result of one run; messages are counted by their response.
     *
     * @param nanos response times of accepted messages
     * @param taken messages that were accepted, with status 200 or 202
     * @param refused messages with another response
     * @param broken messages whose connection closed before a response
     * @param unanswered messages without a response at the end of the run
     */
    record LoadResult(Histogram nanos, long taken, long refused, long broken, long unanswered) {
    }

    private final class Run {
        final Histogram nanos = new Histogram(LONGEST_NANOS, 3);
        final IntSupplier destination;
        final byte[] body;
        final long begun = System.nanoTime();
        final double perSecond;
        final long messages;
        long due;
        long taken;
        long refused;
        long broken;

        Run(double perSecond, long messages, IntSupplier destination, int bodyBytes) {
            this.body = new byte[bodyBytes];
            random.nextBytes(body);
            this.perSecond = perSecond;
            this.messages = messages;
            this.destination = destination;
        }

        boolean isOver() {
            return taken + refused + broken >= messages;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private long dueNanos = -1;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            idle.push(this);
            sendOverdue();
        }

        void send(long due) {
            dueNanos = due;
            String id = String.format("%016x", random.nextLong());
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/" + SenderProcess.CLASS, Unpooled.wrappedBuffer(run.body));
            request.headers().set("Host", "app.svc").set("X-Call-Id", id).set("X-Call-Class", SenderProcess.CLASS)
                    .set("X-Budget-Ms", SenderProcess.GIVE_UP_MS)
                    .set("Idempotency-Key", String.format("%016x%016x", number++, random.nextLong()))
                    .set("X-Envelope", "dest=" + run.destination.getAsInt()).set("Content-Length", run.body.length);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            int status = answer.status().code();
            if (status == 200 || status == 202) {
                run.nanos.recordValue(Math.min(LONGEST_NANOS, System.nanoTime() - dueNanos));
                run.taken++;
            } else {
                run.refused++;
            }
            dueNanos = -1;
            idle.push(this);
            sendOverdue();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
            idle.remove(this);
            if (dueNanos >= 0) {
                dueNanos = -1;
                run.broken++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    LoadGenerator(InetSocketAddress sender, long seed) {
        this.sender = sender;
        this.random = new Random(seed);
    }

    /** Submits messages at a rate, and waits for the responses until at most the timeout after the last one is due. */
    LoadResult handIn(double perSecond, long messages, IntSupplier destination, int bodyBytes, long patienceMs)
            throws Exception {
        Run mine = loop.submit(() -> {
            run = new Run(perSecond, messages, destination, bodyBytes);
            overdue.clear();
            return run;
        }).get();
        var ticks = loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
        try {
            long until = System.nanoTime() + (long) (messages / perSecond * 1e9) + patienceMs * 1_000_000;
            while (System.nanoTime() < until && !loop.submit(mine::isOver).get()) {
                Thread.sleep(2);
            }
            return loop.submit(() -> new LoadResult(mine.nanos, mine.taken, mine.refused, mine.broken,
                    mine.messages - mine.taken - mine.refused - mine.broken)).get();
        } finally {
            ticks.cancel(false);
        }
    }

    private void tick() {
        long now = System.nanoTime();
        while (run.due < run.messages && now - run.begun >= run.due / run.perSecond * 1e9) {
            overdue.add(run.begun + (long) (run.due / run.perSecond * 1e9));
            run.due++;
        }
        sendOverdue();
    }

    private void sendOverdue() {
        while (!overdue.isEmpty() && !idle.isEmpty()) {
            idle.pop().send(overdue.remove());
        }
        while (opening < overdue.size() && connections < MOST_CONNECTIONS) {
            connections++;
            opening++;
            open();
        }
    }

    private void open() {
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LONGEST_ANSWER),
                                new Connection());
                    }
                }).connect(sender).addListener(connected -> {
                    opening--;
                    if (!connected.isSuccess()) {
                        connections--;
                    }
                });
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
