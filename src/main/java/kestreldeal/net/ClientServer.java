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
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
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
 * can't be accepted are rejected; malformed requests get a 4xx response and have no other effect.
 *
 * <p>Each connection takes a file descriptor, so there are timeouts after which it is closed: for completing the first
 * request, counted from connecting; for completing a later request, counted from its first byte; and for being idle.
 * When there are too many connections, some are closed in the order of {@link State}, but none that is in a request.
 */
final class ClientServer {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** The id is written to the journal and passed on to endpoints, so its length is limited. */
    private static final int MAX_ID_LENGTH = 256;
    /**
     * From connecting, or from the first byte of a later request, until the request is complete; also the time limit
     * for the answer to a forwarded request.
     */
    private static final long REQUEST_TIMEOUT_MS = 2000;
    /** Time after which an idle connection is closed, so that it does not keep other clients from connecting. */
    private static final long IDLE_TIMEOUT_MS = 2500;
    /**
     * Idle timeout during an evacuation, so that all clients are gone well within the four seconds that it may take.
     */
    private static final long EVACUATION_IDLE_TIMEOUT_MS = 1000;
    /**
     * Time that a client has to read the last response, and then again to close its side after the half-close, before
     * the connection is closed. Closing a socket with unread bytes resets the connection, and the last response could
     * be lost with it.
     */
    private static final long CLOSING_TIMEOUT_MS = 500;
    /**
     * Limit on the bytes that are read and discarded while a connection is closing, so that a flood is not read to its
     * end.
     */
    private static final int MAX_DISCARDED_BYTES = MAX_BODY_BYTES;
    private static final String SENDER_ENDS = "the sender ends";
    /** Interval between checks for connections that have timed out. */
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 200;
    /** Maximum number of reads from one connection before other connections are served. */
    private static final int MAX_READS_PER_LOOP_ITERATION = 16;
    /** Sizes of the buffer for one read, which adapts to what arrives. */
    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 8 * 1024;
    /** Pause after a failed accept; it doubles with each further failure, up to the maximum. */
    private static final long MIN_ACCEPT_PAUSE_MS = 5;
    private static final long MAX_ACCEPT_PAUSE_MS = 160;
    /** Minimum time between two log lines about failed accepts. */
    private static final long ACCEPT_LOG_INTERVAL_MS = 10_000;

    /**
     * A message as submitted by a client. {@code budgetMs}: the time from the request's last byte within which the
     * client wants a final result.
     */
    record Submission(String id, String messageClass, String tenant, Optional<String> key, long destination,
                      long budgetMs, byte[] body) {
    }

    /** The part of the sender that accepts or rejects submissions. */
    interface SubmissionHandler {
        /** Whether /healthz reports this process as healthy, so that new clients are sent to it. */
        boolean isHealthy();

        /** Whether this message class is configured. The first segment of a request's path is its message class. */
        boolean knowsClass(String name);

        boolean knowsTenant(String name);

        boolean needsKey(String messageClass);

        /**
         * Whether an endpoint list has ever named this destination, even if none of its endpoints is left. If not, this
         * counts as a rejection of the submission.
         */
        boolean checkDestination(long destination);

        /** Whether submissions must be forwarded to another process, which decides on them. */
        default boolean forwardsSubmissions() {
            return false;
        }

        /** Forwards a submission; the answer of the other process arrives later. */
        default void forward(Submission submission, Consumer<HttpResponseStatus> answer) {
        }

        /** The answer to an earlier submission with this id, if that message is pending or finished recently. */
        Optional<HttpResponseStatus> previousAnswer(String id);

        /** Accepts a message and writes it to the journal; empty if it is rejected. */
        Optional<AcceptedMessage> accept(Submission submission);

        /**
         * This process begins to close a connection, or closes it at once. It may report a connection again, above all
         * as LINGERED if the client does not close it in time.
         */
        default void connectionClosing(CloseReason reason) {
        }

        /** This process closes a connection although a request read from it has no answer. */
        default void requestLeftUnanswered(CloseReason reason) {
        }

        /** A submission of this class was rejected. */
        default void submissionRejected(String messageClass) {
        }

        /** The 202 response for an accepted message was written, or writing it failed. */
        void responseWritten(AcceptedMessage message, boolean success);
    }

    private final EventLoop loop;
    private final SubmissionHandler handler;
    private final FileDescriptors fileDescriptors;
    private final ClientConnectionLimit connectionLimit;
    private final RequestMemory requestMemory;
    /** The connections in each state, ordered by the time when they entered it. */
    private final Map<State, Set<ClientConnection>> connectionsByState = new EnumMap<>(State.class);
    private final ServerBootstrap bootstrap;
    /** Whether each connection is closed with its next response. */
    private boolean closesAfterNextResponse;
    /** Whether clients are being evacuated; messages that they submit nevertheless are still accepted. */
    private boolean evacuating;
    /** Whether another process has taken over, or is about to. */
    private boolean handedOver;

    /** Creates a server; unfinished requests of all its clients may take {@code maxRequestBytes} of memory. */
    ClientServer(EventLoop loop, int maxClientConnections, long maxRequestBytes, SubmissionHandler handler) {
        this(loop, maxClientConnections, maxRequestBytes, handler, NioServerSocketChannel::new,
                FileDescriptors.system());
    }

    /** Creates a server with another factory for the listening channel; tests use one whose accepts fail. */
    ClientServer(EventLoop loop, int maxClientConnections, long maxRequestBytes, SubmissionHandler handler,
            ChannelFactory<NioServerSocketChannel> listenerFactory, FileDescriptors fileDescriptors) {
        this.loop = loop;
        this.fileDescriptors = fileDescriptors;
        this.handler = handler;
        this.connectionLimit = new ClientConnectionLimit(maxClientConnections);
        this.requestMemory = new RequestMemory(maxRequestBytes);
        for (State state : State.values()) {
            connectionsByState.put(state, new LinkedHashSet<>());
        }
        bootstrap = new ServerBootstrap().group(loop, loop)
                .channelFactory(listenerFactory)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // A new handler for each attempt to bind, since it can be added to one channel only.
                        channel.pipeline().addLast(new AcceptFailureHandler());
                    }
                })
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until the socket is empty, so that if a client disconnects right after a request, that is
                // noticed before the request is handled.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_PER_LOOP_ITERATION))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ClientConnection connection = new ClientConnection(channel);
                        channel.pipeline().addLast(ReceivedBytesCopier.INSTANCE, connection.decoder,
                                new HttpResponseEncoder(), connection.collector, connection);
                    }
                });
        loop.scheduleWithFixedDelay(this::closeTimedOut, TIMEOUT_CHECK_INTERVAL_MS, TIMEOUT_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Binds to the address; another process may be bound to it at the same time. */
    ChannelFuture listen(InetSocketAddress address) {
        return bootstrap.bind(address);
    }

    /**
     * Closes each open connection with the response to its next request. No connection is closed between requests: a
     * request that is already on its way would get no answer.
     */
    void closeAfterNextResponse() {
        closesAfterNextResponse = true;
    }

    /**
     * Closes all client connections because this process is about to exit. No further message is accepted, since the
     * process could exit before the response is written. Requests already read get a 503. A request that arrives after
     * the half-close gets no answer, and its client submits it again. A connection is closed once its client has closed
     * it, or after a timeout.
     */
    void shutDown() {
        connections().toList().forEach(ClientConnection::shutDown);
    }

    /**
     * Starts or ends an evacuation of the clients. The front-end proxy learns of it from {@code /healthz}, for
     * which the listener stays open; a client learns of it from the response that closes its connection. Only
     * connections that were idle for a while are closed without a response: a client whose request arrives during such
     * a close must repeat it on a new connection.
     */
    void setEvacuating(boolean active) {
        evacuating = active;
    }

    /**
     * Another process accepts clients from now on: each connection here is closed with its next response, and idle ones
     * time out.
     */
    void handOver() {
        handedOver = true;
        evacuating = false;
    }

    /** Sets the limit on client connections; it is lower while another process shares the descriptors. */
    void setConnectionLimit(int limit) {
        connectionLimit.setConfigured(limit);
    }

    /** For tests: the number of connections on which a part of a request has arrived. */
    long partialRequestCount() {
        return connections().filter(connection -> connection.requestStarted).count();
    }

    /** For tests: the memory that requests take until they are handled. */
    long requestMemoryBytes() {
        return requestMemory.heldBytes();
    }

    /** The number of open client connections. */
    int connectionCount() {
        return connectionsByState.values().stream().mapToInt(Set::size).sum();
    }

    /**
     * Closes idle connections because this process has no free descriptor for calls, the agent and the journal. The
     * connection limit left too few descriptors for everything else, so it is lowered for a while.
     *
     * @return whether any connection could be closed without interrupting a request
     */
    private boolean freeDescriptors() {
        long nowNanos = System.nanoTime();
        connectionLimit.lower(connectionCount(), nowNanos);
        List<ClientConnection> idle = evictionCandidates().limit(ClientConnectionLimit.SPARE_DESCRIPTORS).toList();
        idle.forEach(ClientConnection::evict);
        Log.write("out of file descriptors; closing " + idle.size() + " idle client connections, and allowing "
                + connectionLimit.current(nowNanos) + " client connections for now");
        return !idle.isEmpty();
    }

    /** Connections that may be closed to make room for others, in the order in which to close them. */
    private Stream<ClientConnection> evictionCandidates() {
        return connectionsByState.entrySet().stream().filter(e -> e.getKey() != State.IN_REQUEST)
                .flatMap(e -> e.getValue().stream());
    }

    /**
     * Frees memory if the requests of all connections hold too much: complete requests are handled at once, and then the
     * incomplete ones that hold the most are refused. A request that holds less than its share of the limit, divided by
     * the number of connections, is never refused.
     */
    private void limitRequestMemory() {
        if (requestMemory.isExceeded()) {
            connections().filter(c -> c.waitingRequest != null).toList()
                    .forEach(ClientConnection::handleWaitingRequest);
        }
        while (requestMemory.isExceeded()) {
            Optional<ClientConnection> largest = connections()
                    .filter(c -> c.state != State.CLOSING && c.countedBytes > 0)
                    .max(Comparator.comparingLong(c -> c.countedBytes));
            if (largest.isEmpty()) {
                return;
            }
            largest.get().refuseForMemory();
        }
    }

    private Stream<ClientConnection> connections() {
        return connectionsByState.values().stream().flatMap(Set::stream);
    }

    /** Handles failures to accept a connection. */
    private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        private long pauseMs = MIN_ACCEPT_PAUSE_MS;
        private long lastLogNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ACCEPT_LOG_INTERVAL_MS);

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            pauseMs = MIN_ACCEPT_PAUSE_MS;
            ctx.fireChannelRead(accepted);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                ctx.fireExceptionCaught(cause);
            } else if (fileDescriptors.available() || !freeDescriptors()) {
                pauseAccepting(ctx.channel());
            }
        }

        /** Stops accepting for a short time, to avoid a busy loop. Netty's own handler would pause for a second. */
        private void pauseAccepting(Channel listener) {
            long nowNanos = System.nanoTime();
            if (nowNanos - lastLogNanos >= TimeUnit.MILLISECONDS.toNanos(ACCEPT_LOG_INTERVAL_MS)) {
                lastLogNanos = nowNanos;
                Log.write("can't accept client connections at the moment; retrying");
            }
            listener.config().setAutoRead(false);
            loop.schedule(() -> {
                listener.config().setAutoRead(true);
            }, pauseMs, TimeUnit.MILLISECONDS);
            pauseMs = Math.min(MAX_ACCEPT_PAUSE_MS, 2 * pauseMs);
        }
    }

    private void closeTimedOut() {
        long nowNanos = System.nanoTime();
        connectionsByState.forEach((state, connections) -> {
            long limitMs = switch (state) {
                case CLOSING -> CLOSING_TIMEOUT_MS;
                case NEW, IN_REQUEST -> REQUEST_TIMEOUT_MS;
                // While the server is closing, a connection is closed only with a response: closeAfterNextResponse().
                case IDLE -> closesAfterNextResponse ? Long.MAX_VALUE
                        : evacuating ? EVACUATION_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
            };
            connections.stream()
                    .takeWhile(c -> TimeUnit.NANOSECONDS.toMillis(nowNanos - c.stateEnteredNanos) >= limitMs).toList()
                    .forEach(ClientConnection::timeOut);
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
        /** No request arrived for a while, or the answer to a forwarded request did not arrive in time. */
        IDLE,
        /** The response to its last request is being written. */
        LAST_ANSWER,
        /** The unfinished requests of all clients took too much memory, and this one took the most. */
        NO_MEMORY,
        /** This process is stopping. */
        SHUTDOWN,
        /** The client did not close it in time after the half-close. */
        LINGERED
    }

    /** State of a connection, in the order in which connections are closed to make room for others. */
    private enum State {
        /** The last response is being written, or the output has been shut down; further input is discarded. */
        CLOSING,
        /** No complete request has arrived yet. */
        NEW,
        /** Waiting for the next request. */
        IDLE,
        /** A later request has arrived in part, or a request is waiting for its answer. */
        IN_REQUEST
    }

    /** One client connection. */
    private final class ClientConnection extends ChannelInboundHandlerAdapter
            implements SequentialRequestDecoder.Connection, RequestCollector.Connection {
        private final Channel channel;
        private final SequentialRequestDecoder decoder = new SequentialRequestDecoder(this);
        private final RequestCollector collector = new RequestCollector(this, MAX_BODY_BYTES);
        private State state = State.NEW;
        /** When the connection entered its state, by {@link System#nanoTime}. */
        private long stateEnteredNanos = System.nanoTime();
        /** Whether the first bytes of the next request have arrived. */
        private boolean requestStarted;
        /**
         * The complete request that waits for {@link #handleRequest}, or null. A request that waits for the answer of
         * the successor is not kept here.
         */
        private FullHttpRequest waitingRequest;
        /** Whether this process is about to exit: complete requests are answered with 503, and the rest is dropped. */
        private boolean stopping;
        /** Whether the connection has ended, which frees its buffers. */
        private boolean ended;
        /** The memory that this connection counts for in {@link #requestMemory}. */
        private long countedBytes;
        /** Bytes that arrived while the connection was being closed. */
        private int discardedBytes;

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connectionsByState.get(state).add(this);
            if (connectionCount() > connectionLimit.current(System.nanoTime())) {
                evictionCandidates().filter(c -> c != this).findFirst().orElse(this).evict();
            }
        }

        /**
         * Closes this connection in favour of another. It is removed from the map at once, so that several clients that
         * connect in one iteration of the event loop each replace a different connection.
         */
        private void evict() {
            reportClose(CloseReason.MAKES_ROOM);
            connectionsByState.get(state).remove(this);
            if (state == State.NEW && requestStarted) {
                channel.writeAndFlush(response(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many clients"));
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connectionsByState.get(state).remove(this);
            ended = true;
            countMemory();
        }

        private void enterState(State next) {
            if (connectionsByState.get(state).remove(this)) {
                connectionsByState.get(next).add(this);
            }
            state = next;
            stateEnteredNanos = System.nanoTime();
            if (next == State.CLOSING) {
                collector.drop();
                decoder.dropInput();
                countMemory();
            }
        }

        @Override
        public boolean isClosing() {
            return state == State.CLOSING;
        }

        /** Bytes have arrived; the timeout of a request starts with its first byte. */
        @Override
        public void bytesReceived() {
            requestStarted = true;
            if (state == State.IDLE) {
                enterState(State.IN_REQUEST);
            }
        }

        private void timeOut() {
            if (state == State.CLOSING || state == State.NEW && !requestStarted) {
                reportClose(state == State.CLOSING ? CloseReason.LINGERED : CloseReason.SILENT);
                channel.close();
            } else if (requestStarted) {
                reportClose(CloseReason.REQUEST_TIMEOUT);
                respondAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");
            } else {
                // Idle, or waiting for the answer to a forwarded request.
                reportClose(CloseReason.IDLE);
                halfClose();
            }
        }

        private void reportClose(CloseReason reason) {
            handler.connectionClosing(reason);
            if (waitingRequest != null && state != State.CLOSING) {
                handler.requestLeftUnanswered(reason);
            }
        }

        private void shutDown() {
            if (state == State.CLOSING) {
                return;
            }
            handler.connectionClosing(CloseReason.SHUTDOWN);
            stopping = true;
            if (waitingRequest == null && !decoder.hasUndecodedInput()) {
                endInput();
            }
        }

        /** Ends the connection of a stopping server once all complete requests at hand are answered. */
        private void endInput() {
            if (requestStarted) {
                respondAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, SENDER_ENDS);
            } else {
                halfClose();
            }
        }

        /** Answers a request that is incomplete, malformed or too late to be accepted, and closes the connection. */
        private void respondAndClose(HttpResponseStatus status, String text) {
            writeLastResponse(response(status, text));
        }

        /** Shuts the output down; the connection is closed when the client closes it, or after a timeout. */
        private void halfClose() {
            enterState(State.CLOSING);
            ((DuplexChannel) channel).shutdownOutput();
        }

        @Override
        public void refuse(HttpResponseStatus status, String text) {
            respondAndClose(status, text);
        }

        /** Refuses the request that is being received, to free the memory that it takes. */
        private void refuseForMemory() {
            reportClose(CloseReason.NO_MEMORY);
            respondAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many unfinished requests");
        }

        private long heldBytes() {
            long waitingBytes = waitingRequest == null ? 0 : waitingRequest.content().capacity();
            return ended ? waitingBytes : waitingBytes + decoder.heldBytes() + collector.heldBytes();
        }

        /** Updates what this connection counts for in the memory of all requests. */
        private void countMemory() {
            long nowHeld = heldBytes();
            requestMemory.change(nowHeld - countedBytes);
            countedBytes = nowHeld;
        }

        @Override
        public void inputChanged() {
            countMemory();
            limitRequestMemory();
            if (stopping && canDecodeNext()) {
                endInput();
            }
            updateAutoRead();
        }

        @Override
        public void discard(ByteBuf bytes) {
            discardedBytes += bytes.readableBytes();
            bytes.release();
            updateAutoRead();
        }

        @Override
        public void requestComplete(FullHttpRequest request) {
            requestStarted = decoder.hasMoreInput();
            // In this state the connection is not closed to make room for others before the answer.
            enterState(State.IN_REQUEST);
            waitingRequest = request;
            // Deferred until all input at hand has been read: see handleRequest.
            loop.execute(this::handleWaitingRequest);
        }

        /** Handles the complete request, unless it has been handled already to free its memory. */
        private void handleWaitingRequest() {
            if (waitingRequest == null) {
                return;
            }
            FullHttpRequest request = waitingRequest;
            waitingRequest = null;
            try {
                handleRequest(request);
            } finally {
                request.release();
                decoder.requestHandled();
                countMemory();
                decoder.decodeNextLater();
            }
        }

        @Override
        public boolean canDecodeNext() {
            return waitingRequest == null && state != State.CLOSING;
        }

        /**
         * Applies backpressure: stops reading if the client does not read its responses, or has sent more while a
         * request of it waits.
         */
        private void updateAutoRead() {
            boolean reads = state == State.CLOSING ? discardedBytes < MAX_DISCARDED_BYTES
                    : channel.isWritable() && !(waitingRequest != null && decoder.hasMoreInput());
            channel.config().setAutoRead(reads);
        }

        /**
         * Answers a request after all input of its connection has been read, unless the client has disconnected in the
         * meantime. Such a client has given up and submits its message again under another id. Its request is skipped
         * to prevent a congestion collapse: when requests are read late, each would otherwise cost a delivery that is
         * of no use, and be submitted again. The drawback is that a client that half-closes its connection and still
         * waits for the response gets none, but HTTP clients don't do that.
         */
        private void handleRequest(FullHttpRequest request) {
            if (state == State.CLOSING || !channel.isActive()) {
                return;
            }
            enterState(requestStarted ? State.IN_REQUEST : State.IDLE);
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                respondAndClose(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            } else if (stopping) {
                respond(request, HttpResponseStatus.SERVICE_UNAVAILABLE, SENDER_ENDS);
            } else if (path.equals("/healthz")) {
                respond(request, handler.isHealthy() && !evacuating ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else if (!handler.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
                respond(request, HttpResponseStatus.NOT_FOUND, "no such path");
            } else if (!request.method().equals(HttpMethod.POST)) {
                respond(request, HttpResponseStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST");
            } else {
                submit(request, path);
            }
        }

        private void submit(FullHttpRequest request, String path) {
            Submission submission;
            try {
                submission = parseSubmission(request, path.split("/", 3)[1]);
            } catch (InvalidInputException invalid) {
                respond(request, HttpResponseStatus.BAD_REQUEST, invalid.getMessage());
                return;
            }
            if (handler.forwardsSubmissions()) {
                // In this state the connection is not closed to make room for others before the answer.
                enterState(State.IN_REQUEST);
                handler.forward(submission, this::respondForwarded);
                return;
            }
            Optional<HttpResponseStatus> previousAnswer = handler.previousAnswer(submission.id());
            if (previousAnswer.isPresent()) {
                respond(request, previousAnswer.get(), "");
                return;
            }
            if (!handler.checkDestination(submission.destination())) {
                reject(request, submission, "no list names this dest");
                return;
            }
            Optional<AcceptedMessage> accepted = handler.accept(submission);
            if (accepted.isEmpty()) {
                reject(request, submission, "no room, or too little time");
                return;
            }
            respond(request, HttpResponseStatus.ACCEPTED, "")
                    .addListener(f -> handler.responseWritten(accepted.get(), f.isSuccess()));
        }

        private void reject(FullHttpRequest request, Submission submission, String reason) {
            handler.submissionRejected(submission.messageClass());
            respond(request, HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        }

        private ChannelFuture respond(FullHttpRequest request, HttpResponseStatus status, String text) {
            FullHttpResponse response = response(status, request.method().equals(HttpMethod.HEAD) ? "" : text);
            // Requests that have been read behind this one are answered too; the last response ends the connection.
            boolean closes = closesAfterNextResponse || evacuating || handedOver || stopping;
            if (HttpUtil.isKeepAlive(request) && (!closes || decoder.hasUndecodedInput())) {
                return channel.writeAndFlush(response);
            }
            handler.connectionClosing(CloseReason.LAST_ANSWER);
            return writeLastResponse(response);
        }

        /**
         * Responds with the successor's status and closes the connection, unless that has timed out in the meantime.
         */
        private void respondForwarded(HttpResponseStatus status) {
            if (state != State.CLOSING) {
                writeLastResponse(response(status, ""));
            }
        }

        private ChannelFuture writeLastResponse(FullHttpResponse response) {
            enterState(State.CLOSING);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            updateAutoRead();
            return channel.writeAndFlush(response).addListener(f -> halfClose());
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

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        return response;
    }

    private Submission parseSubmission(FullHttpRequest request, String pathClass) throws InvalidInputException {
        HttpHeaders headers = request.headers();
        String id = requiredHeader(headers, "X-Call-Id");
        if (id.length() > MAX_ID_LENGTH) {
            throw new InvalidInputException("X-Call-Id is too long");
        }
        String messageClass = headers.get("X-Call-Class", pathClass);
        if (!messageClass.equals(pathClass)) {
            throw new InvalidInputException("the class in the path is another than in X-Call-Class");
        }
        String tenant = headers.get("X-Caller", "");
        if (!handler.knowsTenant(tenant)) {
            throw new InvalidInputException("X-Caller names no tenant");
        }
        Optional<String> key = Optional.ofNullable(headers.get("Idempotency-Key")).filter(k -> !k.isBlank());
        if (key.isEmpty() && handler.needsKey(messageClass)) {
            throw new InvalidInputException("Idempotency-Key is missing");
        }
        long budgetMs = parseNonNegative(requiredHeader(headers, "X-Budget-Ms"), "X-Budget-Ms");
        if (budgetMs < 1) {
            throw new InvalidInputException("X-Budget-Ms leaves no time");
        }
        String destination = Arrays.stream(requiredHeader(headers, "X-Envelope").split("[,;\\s]+"))
                .filter(part -> part.startsWith("dest=")).findFirst()
                .orElseThrow(() -> new InvalidInputException("X-Envelope names no dest")).substring("dest=".length());
        return new Submission(id, messageClass, tenant, key, parseNonNegative(destination, "dest"), budgetMs,
                ByteBufUtil.getBytes(request.content()));
    }

    private static String requiredHeader(HttpHeaders headers, String name) throws InvalidInputException {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw new InvalidInputException(name + " is missing");
        }
        return value;
    }

    private static long parseNonNegative(String value, String name) throws InvalidInputException {
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
