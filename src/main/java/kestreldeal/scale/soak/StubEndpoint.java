package kestreldeal.scale.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToDoubleFunction;

/** A stub of one endpoint of a destination, on a port of its own. */
final class StubEndpoint {
    private static final int MIN_PROCESSING_MS = 20;
    private static final int PROCESSING_RANGE_MS = 150;
    /** Share of the calls that take longer, and how much longer; all calls do in state {@link State#SLOW}. */
    private static final double SLOW_SHARE = 0.08;
    private static final int MIN_SLOW_PROCESSING_MS = 300;
    private static final int SLOW_PROCESSING_RANGE_MS = 2500;
    /** Share of the responses that are sent in pieces, and the longest time between two pieces. */
    private static final double PIECEWISE_SHARE = 0.2;
    private static final int MAX_PIECE_DELAY_MS = 40;
    /** Share of the responses to batches that lack a line or have a malformed one. */
    private static final double MALFORMED_SHARE = 0.03;
    /** A sender may not read a response if its connection is reset this soon after. */
    private static final double UNREAD_BEFORE_RESET_MS = 200;
    /** Share of the rejected calls whose response has Retry-After. */
    private static final double RETRY_AFTER_SHARE = 0.7;
    private static final int MIN_RETRY_AFTER_MS = 200;
    private static final int RETRY_AFTER_RANGE_MS = 1500;
    /** Share of the messages in failed calls that are processed all the same. */
    private static final double PROCESSED_SHARE = 0.5;

    /** How the endpoint handles calls. */
    enum State {
        SERVING,
        /** It responds late. */
        SLOW,
        /** It does not listen, so connections are refused. */
        REFUSING,
        /** It never responds; some messages are processed. */
        HUNG,
        /** It responds with an error; some messages are processed all the same. */
        FAILING,
        /** It rejects all calls, most of them with Retry-After. */
        SHUT,
        /** It resets the connection on each call; some messages are processed all the same. */
        RESETTING
    }

    final String id;
    final int destination;
    private final EventLoop eventLoop;
    private final Ledger ledger;
    private final Ledger.Clock clock;
    private final Random random;
    private final Map<Channel, RequestHandler> connections = new LinkedHashMap<>();
    /** By sender number: when that sender was notified that this endpoint drains; infinite if it does not drain. */
    private IntToDoubleFunction drainingSinceMs = senderNumber -> Double.POSITIVE_INFINITY;
    private Channel serverChannel;
    private int port;
    private State state = State.SERVING;
    private long acceptedConnectionCount;

    StubEndpoint(String id, int destination, EventLoop eventLoop, Ledger ledger, Ledger.Clock clock, Random random) {
        this.id = id;
        this.destination = destination;
        this.eventLoop = eventLoop;
        this.ledger = ledger;
        this.clock = clock;
        this.random = random;
    }

    /** Starts to listen, and waits until it does; must not be called on the event loop. */
    void open() {
        serverChannel = StubHttpServer.listen(eventLoop, 0, RequestHandler::new).syncUninterruptibly().channel();
        port = StubHttpServer.localPort(serverChannel);
    }

    String hostPort() {
        return "127.0.0.1:" + port;
    }

    /** Number of connections accepted so far. */
    long acceptedConnectionCount() {
        return acceptedConnectionCount;
    }

    void changeState(State newState) {
        if (state == State.REFUSING && newState != State.REFUSING) {
            serverChannel = StubHttpServer.listen(eventLoop, port, RequestHandler::new).channel();
        }
        if (newState == State.REFUSING && state != State.REFUSING) {
            serverChannel.close();
            List.copyOf(connections.values()).forEach(RequestHandler::reset);
        }
        state = newState;
    }

    /** Marks the endpoint as draining. The function returns when the sender of that number counts as notified. */
    void startDraining(IntToDoubleFunction notifiedAtMs) {
        drainingSinceMs = notifiedAtMs;
    }

    /** Closes half of the connections, chosen at random. */
    void closeSomeConnections() {
        List.copyOf(connections.values()).stream().filter(handler -> random.nextBoolean())
                .forEach(RequestHandler::close);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Channel connection;
        private List<Ledger.Message> lastDelivered = List.of();
        private double lastDeliveredAtMs;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            acceptedConnectionCount++;
            connection = ctx.channel();
            connections.put(connection, this);
        }

        private void reset() {
            markUnreadResponse();
            StubHttpServer.reset(connection);
        }

        /** Closes the connection, which resets it if a request has not been read. */
        private void close() {
            markUnreadResponse();
            connection.close();
        }

        private void markUnreadResponse() {
            if (clock.nowMs() < lastDeliveredAtMs + UNREAD_BEFORE_RESET_MS) {
                lastDelivered.forEach(message -> message.endMayBeLost = true);
            }
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
                    ledger.recordBreach(Ledger.Rule.UNKNOWN_MESSAGE, -1, messageId, "a call to endpoint " + id);
                } else {
                    ledger.callReceived(message, destination, drainingSinceMs.applyAsDouble(message.senderNumber));
                    messages.add(message);
                }
            }
            if (!messages.isEmpty()) {
                respondByState(ctx.channel(), messages, isBatch);
            }
        }

        private void respondByState(Channel channel, List<Ledger.Message> messages, boolean isBatch) {
            switch (state) {
                case SERVING -> processAndRespond(messages, isBatch, random.nextDouble() < SLOW_SHARE);
                case SLOW -> processAndRespond(messages, isBatch, true);
                case FAILING -> {
                    processSome(messages);
                    StubHttpServer.respond(channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
                }
                case SHUT -> rejectCall(channel, messages.get(0).senderNumber);
                case RESETTING -> {
                    processSome(messages);
                    StubHttpServer.reset(channel);
                }
                default -> processSome(messages);
            }
        }

        private void processAndRespond(List<Ledger.Message> messages, boolean isBatch, boolean slow) {
            messages.forEach(ledger::messageProcessed);
            double receivedAtMs = clock.nowMs();
            int processingMs = slow ? MIN_SLOW_PROCESSING_MS + random.nextInt(SLOW_PROCESSING_RANGE_MS)
                    : MIN_PROCESSING_MS + random.nextInt(PROCESSING_RANGE_MS);
            eventLoop.schedule(() -> {
                if (connection.isActive() && state != State.HUNG) {
                    respondDelivered(messages, isBatch, receivedAtMs);
                }
            }, processingMs, TimeUnit.MILLISECONDS);
        }

        private void respondDelivered(List<Ledger.Message> messages, boolean isBatch, double receivedAtMs) {
            boolean malformed = isBatch && random.nextDouble() < MALFORMED_SHARE;
            List<String> lines = new ArrayList<>();
            if (isBatch) {
                messages.forEach(message -> lines.add(message.id + " accepted\r\n"));
            }
            if (malformed && random.nextBoolean()) {
                lines.remove(random.nextInt(lines.size()));
            } else if (malformed) {
                lines.set(random.nextInt(lines.size()), "accepted\r\n");
            }
            List<String> pieces = new ArrayList<>();
            pieces.add("HTTP/1.1 200 OK\r\n");
            pieces.add("Content-Length: " + String.join("", lines).length() + "\r\n\r\n");
            pieces.addAll(lines);
            int deliveringPiece = isBatch ? pieces.size() : 1;
            if (random.nextDouble() < PIECEWISE_SHARE) {
                writePieces(pieces, 0, deliveringPiece, malformed ? List.of() : messages, receivedAtMs);
            } else {
                writePieces(List.of(String.join("", pieces)), 0, 1, malformed ? List.of() : messages,
                        receivedAtMs);
            }
        }

        /** Writes the pieces from this index on; the messages are delivered once that many pieces are written. */
        private void writePieces(List<String> pieces, int index, int deliveringPiece, List<Ledger.Message> messages,
                double receivedAtMs) {
            if (index == pieces.size() || !connection.isActive()) {
                return;
            }
            StubHttpServer.writeRaw(connection, pieces.get(index)).addListener(written -> {
                if (written.isSuccess() && index + 1 == deliveringPiece) {
                    messages.forEach(message -> ledger.messageDelivered(message, receivedAtMs));
                    lastDelivered = messages;
                    lastDeliveredAtMs = clock.nowMs();
                }
            });
            if (index + 1 < pieces.size()) {
                eventLoop.schedule(() -> writePieces(pieces, index + 1, deliveringPiece, messages, receivedAtMs),
                        random.nextInt(MAX_PIECE_DELAY_MS), TimeUnit.MILLISECONDS);
            }
        }

        private void processSome(List<Ledger.Message> messages) {
            messages.stream().filter(message -> random.nextDouble() < PROCESSED_SHARE)
                    .forEach(ledger::messageProcessed);
        }

        private void rejectCall(Channel channel, int senderNumber) {
            if (random.nextDouble() >= RETRY_AFTER_SHARE) {
                StubHttpServer.respond(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                return;
            }
            double retryAfterMs = MIN_RETRY_AFTER_MS + random.nextInt(RETRY_AFTER_RANGE_MS);
            ledger.retryAfterSent(senderNumber, destination, retryAfterMs);
            StubHttpServer.respond(channel, HttpResponseStatus.TOO_MANY_REQUESTS, "", "Retry-After",
                    String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * The ids in the body of a batch call. Each message has a line with id, key and length, then as many bytes as the
     * length says and a line break.
     */
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

    /** Stops listening, and closes all connections. */
    void close() {
        serverChannel.close();
        List.copyOf(connections.values()).forEach(RequestHandler::close);
    }
}
