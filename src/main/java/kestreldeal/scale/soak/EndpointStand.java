package kestreldeal.scale.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToDoubleFunction;

/** A stand-in for one endpoint of a partner, on a port of its own. */
final class EndpointStand {
    private static final int LEAST_WORK_MS = 20;
    private static final int WORK_MS = 150;
    private static final double TELLS_WAIT = 0.7;
    private static final int LEAST_WAIT_MS = 200;
    private static final int WAIT_MS = 1500;
    private static final double MAY_RUN = 0.5;

    /** What it is like. */
    enum State {
        SERVING,
        /** Nobody listens. */
        REFUSING,
        /** It takes calls and never answers. */
        HUNG,
        /** It answers with errors, of which some have run. */
        FAILING,
        /** It turns all away. */
        SHUT,
        /** It resets connections under calls. */
        RESETTING
    }

    final String id;
    final int destination;
    private final EventLoop loop;
    private final Ledger ledger;
    private final Random random;
    private final Set<Channel> connections = new LinkedHashSet<>();
    /** Since when it drains or is gone, as far as that sender was told. */
    private IntToDoubleFunction closedSinceMs = sender -> Double.POSITIVE_INFINITY;
    private Channel listening;
    private int port;
    private State state = State.SERVING;
    private long accepted;

    EndpointStand(String id, int destination, EventLoop loop, Ledger ledger, Random random) {
        this.id = id;
        this.destination = destination;
        this.loop = loop;
        this.ledger = ledger;
        this.random = random;
    }

    /** Begins to listen, and waits until it does; not on the loop. */
    void open() {
        listening = Http.listen(loop, 0, Call::new).syncUninterruptibly().channel();
        port = Http.port(listening);
    }

    String hostPort() {
        return "127.0.0.1:" + port;
    }

    /** Connections that were made to it. */
    long accepted() {
        return accepted;
    }

    /** From now on it is like this. */
    void become(State next) {
        if (state == State.REFUSING && next != State.REFUSING) {
            listening = Http.listen(loop, port, Call::new).channel();
        }
        if (next == State.REFUSING && state != State.REFUSING) {
            listening.close();
            List.copyOf(connections).forEach(Http::reset);
        }
        state = next;
    }

    /** Word is out that it takes nothing new: when each sender was told. */
    void closes(IntToDoubleFunction toldAtMs) {
        closedSinceMs = toldAtMs;
    }

    /** Closes connections that rest. */
    void closeSome() {
        List.copyOf(connections).stream().filter(c -> random.nextBoolean()).forEach(Channel::close);
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            accepted++;
            connections.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean several = request.uri().equals("/v1/messages:batch");
            List<String> ids = several ? ids(request.content().toString(StandardCharsets.ISO_8859_1))
                    : List.of(request.headers().get("X-Call-Id", ""));
            List<Ledger.Message> messages = new ArrayList<>();
            for (String each : ids) {
                Ledger.Message message = ledger.message(each);
                if (message == null) {
                    ledger.breach(Ledger.Rule.UNKNOWN_MESSAGE, -1, each, "called at " + id);
                } else {
                    ledger.called(message, destination, closedSinceMs.applyAsDouble(message.sender));
                    messages.add(message);
                }
            }
            if (!messages.isEmpty()) {
                take(ctx.channel(), messages, several);
            }
        }

        private void take(Channel channel, List<Ledger.Message> messages, boolean several) {
            switch (state) {
                case SERVING -> serve(channel, messages, several);
                case FAILING -> {
                    mayRun(messages);
                    Http.answer(channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
                }
                case SHUT -> turnAway(channel, messages.get(0).sender);
                case RESETTING -> {
                    mayRun(messages);
                    Http.reset(channel);
                }
                default -> mayRun(messages);
            }
        }

        private void serve(Channel channel, List<Ledger.Message> messages, boolean several) {
            messages.forEach(ledger::ran);
            loop.schedule(() -> {
                if (!channel.isActive() || state == State.HUNG) {
                    return;
                }
                StringBuilder body = new StringBuilder();
                messages.forEach(message -> body.append(message.id).append(" accepted\r\n"));
                Http.answer(channel, HttpResponseStatus.OK, several ? body.toString() : "");
                messages.forEach(ledger::delivered);
            }, LEAST_WORK_MS + random.nextInt(WORK_MS), TimeUnit.MILLISECONDS);
        }

        private void mayRun(List<Ledger.Message> messages) {
            messages.stream().filter(message -> random.nextDouble() < MAY_RUN).forEach(ledger::ran);
        }

        private void turnAway(Channel channel, int sender) {
            if (random.nextDouble() >= TELLS_WAIT) {
                Http.answer(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                return;
            }
            double waitMs = LEAST_WAIT_MS + random.nextInt(WAIT_MS);
            ledger.waitTold(sender, destination, waitMs);
            Http.answer(channel, HttpResponseStatus.TOO_MANY_REQUESTS, "", "Retry-After",
                    String.format(Locale.ROOT, "%.3f", waitMs / 1000));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** The ids in the body of several: each line of id, key and length is followed by so many bytes and a line's end. */
    private static List<String> ids(String body) {
        List<String> ids = new ArrayList<>();
        for (int at = 0; at < body.length();) {
            int end = body.indexOf("\r\n", at);
            String[] words = body.substring(at, end).split(" ");
            ids.add(words[0]);
            at = end + 2 + Integer.parseInt(words[2]) + 2;
        }
        return ids;
    }

    /** Lets go of its port and connections. */
    void close() {
        listening.close();
        List.copyOf(connections).forEach(Channel::close);
    }
}
