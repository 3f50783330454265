package kestreldeal.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import kestreldeal.InvalidInputException;

/**
 * The HTTP server that clients submit messages to. It validates requests and answers them. A message is written to the
 * journal before its 202 response, and passed to the decision module once the response has been written. Messages that
 * can't be accepted are rejected; malformed requests are answered and affect nothing else.
 *
 * <p>Each connection takes a file descriptor, so its time is limited: there are timeouts for completing the first
 * request after connecting, for completing a later request after its first byte, and for being idle. When there are too
 * many connections, those without any complete request are closed first.
 */
final class ClientServer {
    private static final int LONGEST_BODY = 64 * 1024;
    /** The id is written to the journal and passed on to endpoints, so its length is limited. */
    private static final int LONGEST_ID = 256;
    /** From connecting, or from the first byte of a later request, until the request is complete. */
    private static final long REQUEST_MS = 2000;
    /** Idle connections are closed after this time, so that clients with a single request don't block others. */
    private static final long IDLE_MS = 2500;
    /** The same during an evacuation, so that all clients are gone well within the four seconds allowed for it. */
    private static final long AWAY_IDLE_MS = 1000;
    /**
     * From the half-close after the last response until the close, unless the client closes first. Closing a socket
     * with unread bytes resets the connection, and the last response could be lost with it.
     */
    private static final long LINGER_MS = 500;
    /** Limit on the bytes that are read and discarded during that time, so that a flood is not read to its end. */
    private static final int MOST_DISCARDED = LONGEST_BODY;
    private static final long SWEEP_MS = 200;
    /** Reads from one connection before the others are served. */
    private static final int READS = 16;
    /** Pause after a failed accept; it doubles with each further failure, up to the maximum. */
    private static final long FIRST_ACCEPT_PAUSE_MS = 5;
    private static final long MOST_ACCEPT_PAUSE_MS = 160;
    /** Minimum time between two log lines about failed accepts. */
    private static final long ACCEPT_LINE_MS = 10_000;

    /** A message that a client asks to have delivered. */
    record Submission(String id, String messageClass, String tenant, Optional<String> key, long destination,
                      long budgetMs, byte[] body) {
    }

    /** The part of the sender that accepts or rejects submissions. */
    interface SubmissionHandler {
        /** Whether messages can be accepted now. */
        boolean ready();

        /** Whether this message class is configured; it is also the path of the request. */
        boolean knowsClass(String name);

        boolean knowsTenant(String name);

        boolean needsKey(String messageClass);

        /** Whether an endpoint list has ever named this destination, even if none of its endpoints is left. */
        boolean knowsDestination(long destination);

        /** Whether submissions must be forwarded to another process, which decides on them. */
        default boolean handsOn() {
            return false;
        }

        /** Forwards a submission; the answer of the other process arrives later. */
        default void handOn(Submission submission, Consumer<HttpResponseStatus> answer) {
        }

        /** The answer to an earlier submission with this id, if that message is pending or finished recently. */
        Optional<HttpResponseStatus> answeredBefore(String id);

        /** Writes a message to the journal, or returns empty to reject it. */
        Optional<AcceptedMessage> take(Submission submission);

        /** This process closes a connection, for this reason. */
        default void closes(CloseReason reason) {
        }

        /** This process closes a connection although a request read from it has no answer. */
        default void leavesUnanswered(CloseReason reason) {
        }

        /** A submission of this class was rejected. */
        default void turnedAway(String messageClass) {
        }

        /** The 202 response for an accepted message was written, or writing it failed. */
        void answered(AcceptedMessage held, boolean heard);
    }

    private final EventLoop loop;
    private final SubmissionHandler desk;
    private final FileDescriptors descriptors;
    private final ClientConnectionLimit bound;
    /** The connections in each state, ordered by the time when they entered it. */
    private final Map<State, Set<Client>> clients = new EnumMap<>(State.class);
    private final ServerBootstrap bootstrap;
    private boolean closing;
    /** Whether clients are being evacuated; messages that they submit nevertheless are still accepted. */
    private boolean away;
    /** Whether another process has taken over, or is about to. */
    private boolean leaving;

    ClientServer(EventLoop loop, int mostClients, SubmissionHandler desk) {
        this(loop, mostClients, desk, NioServerSocketChannel::new, FileDescriptors.system());
    }

    /** Creates a server with another factory for the listening channel; tests use one whose accepts fail. */
    ClientServer(EventLoop loop, int mostClients, SubmissionHandler desk,
            ChannelFactory<NioServerSocketChannel> listeners, FileDescriptors descriptors) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.desk = desk;
        this.bound = new ClientConnectionLimit(mostClients);
        for (State state : State.values()) {
            clients.put(state, new LinkedHashSet<>());
        }
        bootstrap = new ServerBootstrap().group(loop, loop)
                .channelFactory(listeners)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // A new one for each attempt to bind.
                        channel.pipeline().addLast(new AcceptFailures());
                    }
                })
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until the socket is empty, so that a close right after a request is noticed with it.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Client client = new Client(channel);
                        channel.pipeline().addLast(client.requests, new HttpResponseEncoder(), new Framing(),
                                new Bodies(client), client);
                    }
                });
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Binds to the address; another process may be bound to it at the same time. */
    ChannelFuture listen(InetSocketAddress address) {
        return bootstrap.bind(address);
    }

    /**
     * Closes each open connection with the response to its next request. No connection is closed between requests: a
     * request that is already on its way would get no answer.
     */
    void close() {
        closing = true;
    }

    /**
     * Closes all client connections because this process is about to exit. No further message is accepted, since the
     * process could exit before the response is written. Requests already read are answered with 503, and clients
     * submit again what crosses the half-close. The connections close when their clients close them, or soon after.
     */
    void shut() {
        clients.values().stream().flatMap(Set::stream).toList().forEach(Client::letGo);
    }

    /**
     * Starts or ends an evacuation of the clients. The front-end proxy learns of it from {@code /healthz}, for
     * which the listener stays open; a client learns of it from the response that closes its connection. Only
     * connections that were idle for a while are closed without a response: the client must repeat a request that
     * crosses such a close, on a new connection.
     */
    void evacuate(boolean clientsAway) {
        away = clientsAway;
    }

    /**
     * Another process accepts clients from now on: each connection here is closed with its next response, and idle ones
     * time out.
     */
    void handOver() {
        leaving = true;
        away = false;
    }

    /** Sets the limit on client connections; it is lower while another process shares the descriptors. */
    void bound(int most) {
        bound.set(most);
    }

    /** The number of connections on which a part of a request has arrived. */
    long begun() {
        return clients.values().stream().flatMap(Set::stream).filter(c -> c.begun).count();
    }

    /** The number of open client connections. */
    int clients() {
        return clients.values().stream().mapToInt(Set::size).sum();
    }

    /**
     * Closes idle connections because this process has no free descriptor for calls, the agent and the journal. The
     * connection limit was too high for what this process has open besides, so it is lowered for a while.
     *
     * @return whether any connection could be closed without interrupting a request
     */
    private boolean leaveSpare() {
        long now = System.nanoTime();
        bound.lower(clients(), now);
        List<Client> idle = withoutLaterRequest().limit(ClientConnectionLimit.SPARE).toList();
        idle.forEach(Client::makeRoom);
        Log.write("out of file descriptors; closing " + idle.size() + " idle client connections and limiting them to "
                + bound.most(now) + " for now");
        return !idle.isEmpty();
    }

    /** Connections that may be closed to make room for others, in the order in which to close them. */
    private Stream<Client> withoutLaterRequest() {
        return clients.entrySet().stream().filter(e -> e.getKey() != State.ASKING).flatMap(e -> e.getValue().stream());
    }

    /** Handles failures to accept a connection. */
    private final class AcceptFailures extends ChannelInboundHandlerAdapter {
        private long pauseMs = FIRST_ACCEPT_PAUSE_MS;
        private long loggedNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ACCEPT_LINE_MS);

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            pauseMs = FIRST_ACCEPT_PAUSE_MS;
            ctx.fireChannelRead(accepted);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                ctx.fireExceptionCaught(cause);
            } else if (descriptors.anyLeft() || !leaveSpare()) {
                pause(ctx.channel());
            }
        }

        /** Stops accepting for a short time, to avoid a busy loop. Netty's own handler would pause for a second. */
        private void pause(Channel listening) {
            long now = System.nanoTime();
            if (now - loggedNanos >= TimeUnit.MILLISECONDS.toNanos(ACCEPT_LINE_MS)) {
                loggedNanos = now;
                Log.write("can't accept client connections at the moment; retrying");
            }
            listening.config().setAutoRead(false);
            loop.schedule(() -> {
                listening.config().setAutoRead(true);
            }, pauseMs, TimeUnit.MILLISECONDS);
            pauseMs = Math.min(MOST_ACCEPT_PAUSE_MS, 2 * pauseMs);
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        clients.forEach((state, members) -> {
            long limitMs = switch (state) {
                case ENDING -> LINGER_MS;
                case SILENT, ASKING -> REQUEST_MS;
                case IDLE -> closing ? Long.MAX_VALUE : away ? AWAY_IDLE_MS : IDLE_MS;
            };
            members.stream().takeWhile(c -> TimeUnit.NANOSECONDS.toMillis(now - c.since) >= limitMs).toList()
                    .forEach(Client::outOfTime);
        });
    }

    /** Why this process ends a client's connection. */
    enum CloseReason {
        /** Closed to make room for another client. */
        MAKES_ROOM,
        /** The client sent nothing. */
        SILENT,
        /** A request was not complete in time. */
        REQUEST_TIMEOUT,
        /** No request arrived for a while. */
        IDLE,
        /** The response to its last request was written. */
        LAST_ANSWER,
        /** This process is stopping. */
        SHUTDOWN,
        /** The client did not close it in time after the half-close. */
        LINGERED
    }

    /** State of a connection, in the order in which connections are closed to make room for others. */
    private enum State {
        /** The last response is being written, or none is due; further input is discarded. */
        ENDING,
        /** No complete request has arrived yet. */
        SILENT,
        /** Waiting for the next request. */
        IDLE,
        /** A later request has arrived in part, or a request is waiting for its answer. */
        ASKING
    }

    /**
     * Netty's request decoder, extended to report first bytes and to decode one request at a time. Bytes after a
     * complete request are decoded only once that request is answered, and only a limited number is buffered: otherwise
     * a client that sends many requests at once would delay all others.
     */
    private static final class Requests extends HttpRequestDecoder {
        private final Client client;
        private final Deque<ByteBuf> backlog = new ArrayDeque<>();
        private int backlogBytes;
        /** Whether decoding can't continue with the bytes that the decoder has buffered itself. */
        private boolean starved = true;

        Requests(Client client) {
            this.client = client;
            setSingleDecode(true);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) throws Exception {
            ByteBuf bytes = (ByteBuf) read;
            if (client.state == State.ENDING) {
                client.discard(bytes);
                return;
            }
            client.begun();
            backlog.add(bytes);
            backlogBytes += bytes.readableBytes();
            decodeNext(ctx);
        }

        /** Decodes up to the next complete request, unless the one before still waits for its answer. */
        private void decodeNext(ChannelHandlerContext ctx) throws Exception {
            while (client.takesNext() && !(starved && backlog.isEmpty())) {
                ByteBuf next = starved ? backlog.remove() : Unpooled.EMPTY_BUFFER;
                backlogBytes -= next.readableBytes();
                int before = actualReadableBytes() + next.readableBytes();
                super.channelRead(ctx, next);
                starved = actualReadableBytes() == 0 || actualReadableBytes() == before;
            }
            client.updateAutoRead();
        }

        /** Resumes decoding after a response, but only after other pending events have been processed. */
        void answered() {
            ChannelHandlerContext ctx = client.channel.pipeline().context(this);
            if (ctx == null || !holdsMore()) {
                return;
            }
            ctx.channel().eventLoop().schedule(() -> {
                try {
                    decodeNext(ctx);
                } catch (Exception e) {
                    ctx.fireExceptionCaught(e);
                }
            }, 0, TimeUnit.NANOSECONDS);
        }

        @Override
        protected void handlerRemoved0(ChannelHandlerContext ctx) {
            backlog.forEach(ByteBuf::release);
            backlog.clear();
        }

        /** Leaves such a request unchanged, because {@link Framing} rejects it. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        }

        boolean holdsMore() {
            return actualReadableBytes() > 0 || !backlog.isEmpty();
        }
    }

    /**
     * Rejects requests whose body length is ambiguous or undefined, to prevent request smuggling: what one server takes
     * for the body may be another request to the next server.
     */
    private static final class Framing extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object part) {
            if (part instanceof HttpRequest request) {
                List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
                boolean plain = codings.isEmpty() || codings.size() == 1
                        && codings.get(0).equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString())
                        && request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
                if (!plain && request.decoderResult().isSuccess()) {
                    request.setDecoderResult(
                            DecoderResult.failure(new InvalidInputException("the body length is ambiguous")));
                }
            }
            ctx.fireChannelRead(part);
        }
    }

    /** Collects request bodies; a body over the limit is answered with 413, and the rest of it is not read. */
    private static final class Bodies extends HttpObjectAggregator {
        private final Client client;

        Bodies(Client client) {
            super(LONGEST_BODY);
            this.client = client;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            client.last(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB");
        }
    }

    /** One client connection. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final Requests requests = new Requests(this);
        private State state = State.SILENT;
        /** When the connection entered its state, by {@link System#nanoTime}. */
        private long since = System.nanoTime();
        /** Whether the first bytes of the next request have arrived. */
        private boolean begun;
        /** Complete requests that wait for {@link #take}. */
        private int unanswered;
        /** Bytes that arrived while the connection was being closed. */
        private int discarded;

        Client(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            clients.get(state).add(this);
            if (clients() > bound.most(System.nanoTime())) {
                withoutLaterRequest().filter(c -> c != this).findFirst().orElse(this).makeRoom();
            }
        }

        /**
         * Closes this connection in favour of another. It is removed from the map at once, so that several clients that
         * connect in one turn of the event loop each replace a different connection.
         */
        private void makeRoom() {
            closes(CloseReason.MAKES_ROOM);
            clients.get(state).remove(this);
            if (state == State.SILENT && begun) {
                channel.writeAndFlush(answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many clients"));
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            clients.get(state).remove(this);
        }

        private void enter(State next) {
            if (clients.get(state).remove(this)) {
                clients.get(next).add(this);
            }
            state = next;
            since = System.nanoTime();
        }

        /** Bytes have arrived; the timeout of a request starts with its first byte. */
        private void begun() {
            begun = true;
            if (state == State.IDLE) {
                enter(State.ASKING);
            }
        }

        private void outOfTime() {
            if (state == State.ENDING || state == State.SILENT && !begun) {
                closes(state == State.ENDING ? CloseReason.LINGERED : CloseReason.SILENT);
                channel.close();
            } else if (begun) {
                closes(CloseReason.REQUEST_TIMEOUT);
                last(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");
            } else {
                closes(CloseReason.IDLE);
                halfClose();
            }
        }

        private void closes(CloseReason reason) {
            desk.closes(reason);
            if (unanswered > 0 && state != State.ENDING) {
                desk.leavesUnanswered(reason);
            }
        }

        private void letGo() {
            if (state == State.ENDING) {
                return;
            }
            desk.closes(CloseReason.SHUTDOWN);
            if (begun || unanswered > 0) {
                last(HttpResponseStatus.SERVICE_UNAVAILABLE, "the sender ends");
            } else {
                halfClose();
            }
        }

        /** Answers a request that is incomplete, malformed or too late to be accepted, and closes the connection. */
        private void last(HttpResponseStatus status, String text) {
            endWith(answer(status, text));
        }

        /** Shuts the output down; the connection is closed when the client closes it, or after a timeout. */
        private void halfClose() {
            enter(State.ENDING);
            ((DuplexChannel) channel).shutdownOutput();
        }

        private void discard(ByteBuf bytes) {
            discarded += bytes.readableBytes();
            bytes.release();
            updateAutoRead();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (state == State.ENDING) {
                // What follows the last request may be a part of its body, so it is not taken for a request.
                return;
            }
            begun = requests.holdsMore();
            // In this state the connection is not closed to make room for others before the answer.
            enter(State.ASKING);
            unanswered++;
            request.retain();
            loop.execute(() -> {
                unanswered--;
                try {
                    take(request);
                } finally {
                    request.release();
                    requests.answered();
                }
            });
        }

        private boolean takesNext() {
            return unanswered == 0 && state != State.ENDING;
        }

        /** Applies backpressure: stops reading if the client does not read its responses or sends too far ahead. */
        private void updateAutoRead() {
            boolean reads = state == State.ENDING ? discarded < MOST_DISCARDED
                    : channel.isWritable() && requests.backlogBytes <= LONGEST_BODY;
            channel.config().setAutoRead(reads);
        }

        /**
         * Answers a request after all input of its connection has been read, unless the client has disconnected in the
         * meantime. Such a client has stopped waiting and submits its message again under another id. Skipping its
         * request prevents a congestion collapse: whatever delays the reading of requests, each of them would otherwise
         * cost a whole delivery that counts for nothing, and be submitted again. The drawback is that a client that
         * half-closes its connection and still waits for the response gets none, but HTTP clients don't do that.
         */
        private void take(FullHttpRequest request) {
            if (state == State.ENDING || !channel.isActive()) {
                return;
            }
            enter(begun ? State.ASKING : State.IDLE);
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                last(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            } else if (path.equals("/healthz")) {
                end(request, desk.ready() && !away ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else if (!desk.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
                end(request, HttpResponseStatus.NOT_FOUND, "no such path");
            } else if (!request.method().equals(HttpMethod.POST)) {
                end(request, HttpResponseStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST");
            } else {
                handIn(request, path);
            }
        }

        private void handIn(FullHttpRequest request, String path) {
            Submission submission;
            try {
                submission = read(request, path.split("/", 3)[1]);
            } catch (InvalidInputException bad) {
                end(request, HttpResponseStatus.BAD_REQUEST, bad.getMessage());
                return;
            }
            if (desk.handsOn()) {
                // In this state the connection is not closed to make room for others before the answer.
                enter(State.ASKING);
                desk.handOn(submission, this::lastOf);
                return;
            }
            Optional<HttpResponseStatus> before = desk.answeredBefore(submission.id());
            if (before.isPresent()) {
                end(request, before.get(), "");
                return;
            }
            if (!desk.knowsDestination(submission.destination())) {
                turnAway(request, submission, "no list names this dest");
                return;
            }
            Optional<AcceptedMessage> taken = desk.take(submission);
            if (taken.isEmpty()) {
                turnAway(request, submission, "no room, or too little time");
                return;
            }
            end(request, HttpResponseStatus.ACCEPTED, "")
                    .addListener(f -> desk.answered(taken.get(), f.isSuccess()));
        }

        private void turnAway(FullHttpRequest request, Submission submission, String why) {
            desk.turnedAway(submission.messageClass());
            end(request, HttpResponseStatus.SERVICE_UNAVAILABLE, why);
        }

        private ChannelFuture end(FullHttpRequest request, HttpResponseStatus status, String text) {
            FullHttpResponse answer = answer(status, request.method().equals(HttpMethod.HEAD) ? "" : text);
            if (!closing && !away && !leaving && HttpUtil.isKeepAlive(request)) {
                return channel.writeAndFlush(answer);
            }
            desk.closes(CloseReason.LAST_ANSWER);
            return endWith(answer);
        }

        /** Passes on the answer of the other process, unless the connection has timed out before. */
        private void lastOf(HttpResponseStatus status) {
            if (state != State.ENDING) {
                endWith(answer(status, ""));
            }
        }

        private ChannelFuture endWith(FullHttpResponse answer) {
            enter(State.ENDING);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            updateAutoRead();
            return channel.writeAndFlush(answer).addListener(f -> halfClose());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            updateAutoRead();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof CodecException)) {
                Log.write("closing a client connection after an unexpected error: " + cause);
            }
            ctx.close();
        }
    }

    private static FullHttpResponse answer(HttpResponseStatus status, String text) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        return answer;
    }

    private Submission read(FullHttpRequest request, String inPath) throws InvalidInputException {
        HttpHeaders headers = request.headers();
        String id = required(headers, "X-Call-Id");
        if (id.length() > LONGEST_ID) {
            throw new InvalidInputException("X-Call-Id is too long");
        }
        String messageClass = headers.get("X-Call-Class", inPath);
        if (!messageClass.equals(inPath)) {
            throw new InvalidInputException("the class in the path is another than in X-Call-Class");
        }
        String tenant = headers.get("X-Caller", "");
        if (!desk.knowsTenant(tenant)) {
            throw new InvalidInputException("X-Caller names no tenant");
        }
        Optional<String> key = Optional.ofNullable(headers.get("Idempotency-Key")).filter(k -> !k.isBlank());
        if (key.isEmpty() && desk.needsKey(messageClass)) {
            throw new InvalidInputException("Idempotency-Key is missing");
        }
        long budgetMs = whole(required(headers, "X-Budget-Ms"), "X-Budget-Ms");
        if (budgetMs < 1) {
            throw new InvalidInputException("X-Budget-Ms leaves no time");
        }
        String destination = Arrays.stream(required(headers, "X-Envelope").split("[,;\\s]+"))
                .filter(part -> part.startsWith("dest=")).findFirst()
                .orElseThrow(() -> new InvalidInputException("X-Envelope names no dest")).substring("dest=".length());
        return new Submission(id, messageClass, tenant, key, whole(destination, "dest"), budgetMs,
                ByteBufUtil.getBytes(request.content()));
    }

    private static String required(HttpHeaders headers, String name) throws InvalidInputException {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw new InvalidInputException(name + " is missing");
        }
        return value;
    }

    private static long whole(String value, String name) throws InvalidInputException {
        try {
            long number = Long.parseLong(value.trim());
            if (number < 0) {
                throw new InvalidInputException(name + " is negative");
            }
            return number;
        } catch (NumberFormatException e) {
            throw new InvalidInputException(name + " is not a whole number");
        }
    }
}
