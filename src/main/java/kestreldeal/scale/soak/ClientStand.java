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

/** Clients of one sender: messages at random times over kept connections, and clients that do not behave. */
final class ClientStand {
    /** So long does a client wait for an answer. */
    private static final int PATIENCE_MS = 400;
    private static final int LONGEST = 1 << 16;
    private static final int MOST_BODY = 600;
    /** So long is one that sends no proper request owed an error or a close. */
    private static final int BAD_CLIENT_MS = 3000;
    private static final int SLACK_MS = 250;
    private static final double LITTLE_TIME = 0.02;
    private static final double PAYMENTS = 0.35;

    private final int sender;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Ledger ledger;
    private final Ledger.Clock clock;
    private final Random random;
    private final int destinations;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private BooleanSupplier isFaulty = () -> false;
    private boolean over;
    private long number;
    private long refused;
    private long unanswered;

    ClientStand(int sender, InetSocketAddress address, EventLoop loop, Ledger ledger, Ledger.Clock clock, Random random,
            int destinations) {
        this.sender = sender;
        this.address = address;
        this.loop = loop;
        this.ledger = ledger;
        this.clock = clock;
        this.random = random;
        this.destinations = destinations;
    }

    long refused() {
        return refused;
    }

    /** Requests whose client gave up, or found no connection. */
    long unanswered() {
        return unanswered;
    }

    /** Hands in messages at this rate, at random times, until {@link #stop}. */
    void start(double perSecond) {
        if (over) {
            return;
        }
        long waitMicros = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
        loop.schedule(() -> {
            handIn(random.nextDouble() < PAYMENTS ? MessageClass.PAYMENT : MessageClass.ORDER, Long.toHexString(
                    random.nextLong()), random.nextInt(destinations), 1);
            start(perSecond);
        }, waitMicros, TimeUnit.MICROSECONDS);
    }

    /** Hands in no more. */
    void stop() {
        over = true;
    }

    /** A message under a new id; where it is refused it comes once more. */
    private void handIn(MessageClass type, String key, int destination, int triesLeft) {
        double budgetMs = random.nextDouble() < LITTLE_TIME ? 1 + random.nextInt(PATIENCE_MS) : type.deadlineMs;
        String id = String.format("%02x-%x-%08x", sender, number++, random.nextInt());
        Request request = new Request(id, key, type, destination, budgetMs, triesLeft);
        Connection kept = idle.pollLast();
        if (kept != null) {
            kept.send(request);
        } else {
            connect(request);
        }
    }

    private void connect(Request request) {
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PATIENCE_MS).handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LONGEST),
                                new Connection(channel));
                    }
                }).connect(address).addListener(connected -> {
                    if (connected.isSuccess()) {
                        ((ChannelFuture) connected).channel().pipeline().get(Connection.class).send(request);
                    } else {
                        unanswered++;
                    }
                });
    }

    private record Request(String id, String key, MessageClass type, int destination, double budgetMs, int triesLeft) {
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private Request request;
        private Ledger.Message message;
        private Future<?> patience;
        private boolean used;
        private boolean wasUp;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void send(Request next) {
            if (!channel.isActive()) {
                connect(next);
                return;
            }
            request = next;
            wasUp = ledger.isUp(sender);
            byte[] body = new byte[random.nextInt(MOST_BODY)];
            random.nextBytes(body);
            DefaultFullHttpRequest http = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/" + next.type.wireName, Unpooled.wrappedBuffer(body));
            http.headers().set("Host", "app.svc").set("X-Call-Id", next.id).set("X-Call-Class", next.type.wireName)
                    .set("X-Budget-Ms", (long) next.budgetMs).set("Idempotency-Key", next.key)
                    .set("X-Envelope", "dest=" + next.destination).set("Content-Length", body.length);
            message = new Ledger.Message(next.id, next.key, next.type, next.destination, sender, clock.nowMs(),
                    next.budgetMs);
            ledger.handedIn(message);
            channel.writeAndFlush(http);
            patience = loop.schedule(() -> {
                unanswered++;
                request = null;
                channel.close();
            }, PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (request == null) {
                channel.close();
                return;
            }
            Request answered = request;
            request = null;
            patience.cancel(false);
            used = true;
            int status = answer.status().code();
            if (status == 202 || status == 200) {
                ledger.taken(message);
            } else {
                refused++;
                if (answered.triesLeft > 0 && (status == 503 || status == 429)) {
                    // Handing it in again is harmless: so it must not have run.
                    loop.schedule(() -> handIn(answered.type, answered.key, answered.destination,
                            answered.triesLeft - 1), random.nextInt(1000), TimeUnit.MILLISECONDS);
                }
            }
            if (HttpUtil.isKeepAlive(answer)) {
                idle.addLast(this);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            if (request == null) {
                return;
            }
            patience.cancel(false);
            Request crossed = request;
            request = null;
            if (used) {
                // It crossed the end of a resting connection: it is sent once more, on a new one.
                connect(crossed);
                return;
            }
            unanswered++;
            if (wasUp && ledger.isUp(sender) && !isFaulty.getAsBoolean()) {
                ledger.breach(Ledger.Rule.UNANSWERED_REQUEST, sender, crossed.id, "its new connection was ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Whether the sender's own system calls fail just now, so that its connections may break. */
    void faultyWhile(BooleanSupplier faulty) {
        isFaulty = faulty;
    }

    /** What a client sends that is no proper request. */
    enum Bad {
        SILENT(""), HALF_A_LINE("POST /ord"), HALF_A_BODY("POST /order HTTP/1.1\r\nX-Call-Id: bad\r\nContent-Length: 90\r\n\r\nx"),
        NOISE("\u0001\u0002\u0003\u0004\r\n\r\n"), NO_HEADERS("POST /order HTTP/1.1\r\nContent-Length: 0\r\n\r\n");

        private final String text;

        Bad(String text) {
            this.text = text;
        }
    }

    /** One that sends this and stays: it is owed an error or a close. */
    void misbehave(Bad kind) {
        new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new Misbehaving(kind));
            }
        }).connect(address);
    }

    private final class Misbehaving extends ChannelInboundHandlerAdapter {
        private final Bad kind;
        private Future<?> owed;

        Misbehaving(Bad kind) {
            this.kind = kind;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(kind.text, StandardCharsets.ISO_8859_1));
            boolean wasUp = ledger.isUp(sender);
            owed = loop.schedule(() -> {
                if (wasUp && ledger.isUp(sender)) {
                    ledger.breach(Ledger.Rule.BAD_CLIENT_LEFT, sender, kind.name(), "neither an error nor a close");
                }
                ctx.close();
            }, (long) (BAD_CLIENT_MS + SLACK_MS + clock.lateMs()), TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            ReferenceCountUtil.release(read);
            owed.cancel(false);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (owed != null) {
                owed.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
