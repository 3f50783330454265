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
final class StubEndpoint {
    private static final int MIN_PROCESSING_MS = 20;
    private static final int PROCESSING_RANGE_MS = 150;
    private static final double RETRY_AFTER_SHARE = 0.7;
    private static final int MIN_RETRY_AFTER_MS = 200;
    private static final int RETRY_AFTER_RANGE_MS = 1500;
    private static final double PROCESSED_SHARE = 0.5;

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
    private final EventLoop eventLoop;
    private final Ledger ledger;
    private final Random random;
    private final Set<Channel> connections = new LinkedHashSet<>();
    /** Since when it drains or is gone, as far as that sender was told. */
    private IntToDoubleFunction drainingSinceMs = sender -> Double.POSITIVE_INFINITY;
    private Channel serverChannel;
    private int port;
    private State state = State.SERVING;
    private long acceptedConnections;

    StubEndpoint(String id, int destination, EventLoop eventLoop, Ledger ledger, Random random) {
        this.id = id;
        this.destination = destination;
        this.eventLoop = eventLoop;
        this.ledger = ledger;
        this.random = random;
    }

    /** Begins to listen, and waits until it does; not on the loop. */
    void open() {
        serverChannel = StubHttpServer.listen(eventLoop, 0, RequestHandler::new).syncUninterruptibly().channel();
        port = StubHttpServer.localPort(serverChannel);
    }

    String hostPort() {
        return "127.0.0.1:" + port;
    }

    /** Connections that were made to it. */
    long acceptedConnections() {
        return acceptedConnections;
    }

    /** From now on it is like this. */
    void changeState(State newState) {
        if (state == State.REFUSING && newState != State.REFUSING) {
            serverChannel = StubHttpServer.listen(eventLoop, port, RequestHandler::new).channel();
        }
        if (newState == State.REFUSING && state != State.REFUSING) {
            serverChannel.close();
            List.copyOf(connections).forEach(StubHttpServer::reset);
        }
        state = newState;
    }

    /** Word is out that it takes nothing new: when each sender was told. */
    void startDraining(IntToDoubleFunction notifiedAtMs) {
        drainingSinceMs = notifiedAtMs;
    }

    /** Closes connections that rest. */
    void closeSomeConnections() {
        List.copyOf(connections).stream().filter(channel -> random.nextBoolean()).forEach(Channel::close);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            acceptedConnections++;
            connections.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean isBatch = request.uri().equals("/v1/messages:batch");
            List<String> ids = isBatch ? parseBatchIds(request.content().toString(StandardCharsets.ISO_8859_1))
                    : List.of(request.headers().get("X-Call-Id", ""));
            List<Ledger.Message> messages = new ArrayList<>();
            for (String messageId : ids) {
                Ledger.Message message = ledger.findMessage(messageId);
                if (message == null) {
                    ledger.recordBreach(Ledger.Rule.UNKNOWN_MESSAGE, -1, messageId, "called at " + id);
                } else {
                    ledger.callReceived(message, destination, drainingSinceMs.applyAsDouble(message.sender));
                    messages.add(message);
                }
            }
            if (!messages.isEmpty()) {
                respondByState(ctx.channel(), messages, isBatch);
            }
        }

        private void respondByState(Channel channel, List<Ledger.Message> messages, boolean isBatch) {
            switch (state) {
                case SERVING -> processAndRespond(channel, messages, isBatch);
                case FAILING -> {
                    processSome(messages);
                    StubHttpServer.respond(channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
                }
                case SHUT -> rejectCall(channel, messages.get(0).sender);
                case RESETTING -> {
                    processSome(messages);
                    StubHttpServer.reset(channel);
                }
                default -> processSome(messages);
            }
        }

        private void processAndRespond(Channel channel, List<Ledger.Message> messages, boolean isBatch) {
            messages.forEach(ledger::messageProcessed);
            eventLoop.schedule(() -> {
                if (!channel.isActive() || state == State.HUNG) {
                    return;
                }
                StringBuilder body = new StringBuilder();
                messages.forEach(message -> body.append(message.id).append(" accepted\r\n"));
                StubHttpServer.respond(channel, HttpResponseStatus.OK, isBatch ? body.toString() : "");
                messages.forEach(ledger::messageDelivered);
            }, MIN_PROCESSING_MS + random.nextInt(PROCESSING_RANGE_MS), TimeUnit.MILLISECONDS);
        }

        private void processSome(List<Ledger.Message> messages) {
            messages.stream().filter(message -> random.nextDouble() < PROCESSED_SHARE).forEach(ledger::messageProcessed);
        }

        private void rejectCall(Channel channel, int sender) {
            if (random.nextDouble() >= RETRY_AFTER_SHARE) {
                StubHttpServer.respond(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                return;
            }
            double retryAfterMs = MIN_RETRY_AFTER_MS + random.nextInt(RETRY_AFTER_RANGE_MS);
            ledger.retryAfterSent(sender, destination, retryAfterMs);
            StubHttpServer.respond(channel, HttpResponseStatus.TOO_MANY_REQUESTS, "", "Retry-After",
                    String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** The ids in the body of several: each line of id, key and length is followed by so many bytes and a line's end. */
    private static List<String> parseBatchIds(String body) {
        List<String> ids = new ArrayList<>();
        for (int position = 0; position < body.length();) {
            int lineEnd = body.indexOf("\r\n", position);
            String[] fields = body.substring(position, lineEnd).split(" ");
            ids.add(fields[0]);
            position = lineEnd + 2 + Integer.parseInt(fields[2]) + 2;
        }
        return ids;
    }

    /** Lets go of its port and connections. */
    void close() {
        serverChannel.close();
        List.copyOf(connections).forEach(Channel::close);
    }
}
