package kestreldeal.scale.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import kestreldeal.scale.soak.SoakSettings.MessageClass;

/**
 * The clients of one sender: a load generator that submits messages at random times over persistent connections, and
 * clients that send invalid requests.
 */
final class SoakClients {
    /** Time that a client waits for a connection or for a response. */
    private static final int RESPONSE_TIMEOUT_MS = 400;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final int MAX_BODY_BYTES = 600;
    /** Time in which the sender must respond to an invalid request, or close its connection. */
    private static final int INVALID_REQUEST_TIMEOUT_MS = 3000;
    /** Tolerance on that time. */
    private static final int INVALID_REQUEST_SLACK_MS = 250;
    /** Share of the messages with a deadline of at most the response timeout. */
    private static final double SHORT_DEADLINE_SHARE = 0.02;
    /** Share of the messages with any longer deadline up to that of their class. */
    private static final double VARIED_DEADLINE_SHARE = 0.3;
    private static final double PAYMENT_SHARE = 0.35;
    /** Share of the times at which several messages are submitted at once for one destination, and their number. */
    private static final double BURST_SHARE = 0.15;
    private static final int BURST_SIZE = 4;

    private final int senderNumber;
    private final InetSocketAddress senderAddress;
    private final EventLoop eventLoop;
    private final Ledger ledger;
    private final Ledger.Clock clock;
    private final Random random;
    private final int destinationCount;
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private BooleanSupplier areSocketsFaulty = () -> false;
    private boolean isStopped;
    private long nextMessageNumber;
    private long rejectedCount;
    private long unansweredCount;

    SoakClients(int senderNumber, InetSocketAddress senderAddress, EventLoop eventLoop, Ledger ledger,
            Ledger.Clock clock, Random random, int destinationCount) {
        this.senderNumber = senderNumber;
        this.senderAddress = senderAddress;
        this.eventLoop = eventLoop;
        this.ledger = ledger;
        this.clock = clock;
        this.random = random;
        this.destinationCount = destinationCount;
    }

    /** Requests with a response that the message is not accepted. */
    long rejectedCount() {
        return rejectedCount;
    }

    /** Requests without a response: the client timed out, could not connect, or its connection was closed. */
    long unansweredCount() {
        return unansweredCount;
    }

    /** Submits messages at this mean rate, as a Poisson process, until {@link #stop}. */
    void start(double messagesPerSecond) {
        if (isStopped) {
            return;
        }
        long waitMicros = (long) (-Math.log(1 - random.nextDouble()) / messagesPerSecond * 1e6);
        eventLoop.schedule(() -> {
            int destination = random.nextInt(destinationCount);
            int count = random.nextDouble() < BURST_SHARE ? BURST_SIZE : 1;
            for (int i = 0; i < count; i++) {
                submit(random.nextDouble() < PAYMENT_SHARE ? MessageClass.PAYMENT : MessageClass.ORDER,
                        Long.toHexString(random.nextLong()), destination, 1);
            }
            start(messagesPerSecond);
        }, waitMicros, TimeUnit.MICROSECONDS);
    }

    /** Submits no more new messages. */
    void stop() {
        isStopped = true;
    }

    /** Submits a message under a new id; if it is rejected, it is submitted again until no tries are left. */
    private void submit(MessageClass messageClass, String key, int destination, int triesLeft) {
        double budgetMs = drawBudgetMs(messageClass);
        String id = String.format("%02x-%x-%08x", senderNumber, nextMessageNumber++, random.nextInt());
        Submission submission = new Submission(id, key, messageClass, destination, budgetMs, triesLeft);
        Connection connection = idleConnections.pollLast();
        if (connection != null) {
            connection.send(submission);
        } else {
            connect(submission);
        }
    }

    private double drawBudgetMs(MessageClass messageClass) {
        double draw = random.nextDouble();
        if (draw < SHORT_DEADLINE_SHARE) {
            return 1 + random.nextInt(RESPONSE_TIMEOUT_MS);
        }
        return draw >= SHORT_DEADLINE_SHARE + VARIED_DEADLINE_SHARE ? messageClass.deadlineMs
                : RESPONSE_TIMEOUT_MS + random.nextInt(messageClass.deadlineMs - RESPONSE_TIMEOUT_MS);
    }

    /** Opens connections and closes them after some time, without sending anything. */
    void openIdleConnections(int count, long durationMs) {
        for (int i = 0; i < count; i++) {
            new Bootstrap().group(eventLoop).channel(NioSocketChannel.class)
                    .handler(new IdleConnectionHandler()).connect(senderAddress).addListener(connected -> {
                        if (connected.isSuccess()) {
                            eventLoop.schedule(() -> ((ChannelFuture) connected).channel().close(), durationMs,
                                    TimeUnit.MILLISECONDS);
                        }
                    });
        }
    }

    /** The sender may reset an idle connection. */
    private static final class IdleConnectionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void connect(Submission submission) {
        new Bootstrap().group(eventLoop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                new Connection(channel));
                    }
                }).connect(senderAddress).addListener(connected -> {
                    if (connected.isSuccess()) {
                        ((ChannelFuture) connected).channel().pipeline().get(Connection.class).send(submission);
                    } else {
                        unansweredCount++;
                    }
                });
    }

    private record Submission(String id, String key, MessageClass messageClass, int destination, double budgetMs,
            int triesLeft) {
    }

    /** A persistent connection to the sender, with at most one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private Submission pendingSubmission;
        private Ledger.Message message;
        private Future<?> responseTimeout;
        private boolean hasServedRequest;
        /** Whether the sender was in service when the request was sent. */
        private boolean wasInService;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void send(Submission submission) {
            if (!channel.isActive()) {
                connect(submission);
                return;
            }
            pendingSubmission = submission;
            wasInService = ledger.isInService(senderNumber);
            byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
            random.nextBytes(body);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/" + submission.messageClass.wireName, Unpooled.wrappedBuffer(body));
            request.headers().set("Host", "app.svc").set("X-Call-Id", submission.id)
                    .set("X-Call-Class", submission.messageClass.wireName)
                    .set("X-Budget-Ms", (long) submission.budgetMs).set("Idempotency-Key", submission.key)
                    .set("X-Envelope", "dest=" + submission.destination).set("Content-Length", body.length);
            message = new Ledger.Message(submission.id, submission.key, submission.messageClass,
                    submission.destination, senderNumber, clock.nowMs(), submission.budgetMs);
            ledger.messageSubmitted(message);
            channel.writeAndFlush(request);
            responseTimeout = eventLoop.schedule(() -> {
                unansweredCount++;
                pendingSubmission = null;
                channel.close();
            }, RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (pendingSubmission == null) {
                channel.close();
                return;
            }
            Submission submission = pendingSubmission;
            pendingSubmission = null;
            responseTimeout.cancel(false);
            hasServedRequest = true;
            int status = response.status().code();
            if (status == 202 || status == 200) {
                ledger.messageAccepted(message);
            } else {
                rejectedCount++;
                if (submission.triesLeft > 0 && (status == 503 || status == 429)) {
                    // A rejected message must not have been processed, so it may be submitted again under its key; the
                    // ledger reports a breach if it was.
                    eventLoop.schedule(() -> submit(submission.messageClass, submission.key, submission.destination,
                            submission.triesLeft - 1), random.nextInt(1000), TimeUnit.MILLISECONDS);
                }
            }
            if (HttpUtil.isKeepAlive(response)) {
                idleConnections.addLast(this);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            if (pendingSubmission == null) {
                return;
            }
            responseTimeout.cancel(false);
            Submission submission = pendingSubmission;
            pendingSubmission = null;
            if (hasServedRequest) {
                // The sender closed the idle connection while the request was on its way: it is sent on a new one.
                connect(submission);
                return;
            }
            unansweredCount++;
            if (wasInService && ledger.isInService(senderNumber) && !areSocketsFaulty.getAsBoolean()) {
                ledger.recordBreach(Ledger.Rule.UNANSWERED_REQUEST, senderNumber, submission.id,
                        "its new connection was closed without a response");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sets the check for whether system calls of the sender fail now, in which case its connections may break. */
    void setSocketsFaulty(BooleanSupplier socketsFaulty) {
        areSocketsFaulty = socketsFaulty;
    }

    /** What clients send instead of a valid request; nothing at all in the case of {@link #SILENT}. */
    enum InvalidRequest {
        SILENT(""), HALF_A_LINE("POST /ord"),
        HALF_A_BODY("POST /order HTTP/1.1\r\nX-Call-Id: bad\r\nContent-Length: 90\r\n\r\nx"),
        NOISE("\u0001\u0002\u0003\u0004\r\n\r\n"), NO_HEADERS("POST /order HTTP/1.1\r\nContent-Length: 0\r\n\r\n");

        private final String text;

        InvalidRequest(String text) {
            this.text = text;
        }
    }

    /** Sends an invalid request and stays connected: the sender must respond or close the connection in time. */
    void sendInvalidRequest(InvalidRequest invalidRequest) {
        new Bootstrap().group(eventLoop).channel(NioSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new InvalidRequestHandler(invalidRequest));
            }
        }).connect(senderAddress);
    }

    private final class InvalidRequestHandler extends ChannelInboundHandlerAdapter {
        private final InvalidRequest invalidRequest;
        private Future<?> responseTimeout;

        InvalidRequestHandler(InvalidRequest invalidRequest) {
            this.invalidRequest = invalidRequest;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(invalidRequest.text, StandardCharsets.ISO_8859_1));
            boolean wasInService = ledger.isInService(senderNumber);
            responseTimeout = eventLoop.schedule(() -> {
                if (wasInService && ledger.isInService(senderNumber)) {
                    ledger.recordBreach(Ledger.Rule.BAD_CLIENT_LEFT, senderNumber, invalidRequest.name(),
                            "neither a response nor a close in time");
                }
                ctx.close();
            }, (long) (INVALID_REQUEST_TIMEOUT_MS + INVALID_REQUEST_SLACK_MS + clock.schedulingDelayMs()),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object received) {
            ReferenceCountUtil.release(received);
            responseTimeout.cancel(false);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (responseTimeout != null) {
                responseTimeout.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
