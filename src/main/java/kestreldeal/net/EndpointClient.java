package kestreldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kestreldeal.Params;
import kestreldeal.Relay.Outcome;
import kestreldeal.Relay.LoadReport;

/**
 * Sends attempts to endpoints as HTTP/1.1 requests and reports their results. All attempts of one turn to one endpoint
 * share a {@link Call}, up to the batch size of the endpoint. Connections are kept open for reuse; the most recently
 * used idle one is taken first. Each attempt gets exactly one result, which is never reported from within
 * {@link #startAttempt} or {@link #cancel}.
 */
final class EndpointClient {
    /** Idle connections are closed after this share of the endpoint's keep-alive timeout. */
    private static final double IDLE_LIMIT_SHARE = 0.8;
    private static final long IDLE_SWEEP_INTERVAL_MS = 500;
    /** The protocol's limit for the body of a request and of a response. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Time limit from the first to the last byte of a response; one that takes longer counts as malformed. */
    private static final long RESPONSE_READ_TIMEOUT_MS = 1000;
    /** A line in the response to a batch: a message id and the result for that message. */
    private static final Pattern BATCH_RESULT_LINE =
            Pattern.compile("([!-~]+) (accepted|fault|deferred|expired|no_more)");
    /** Upper bound of a Retry-After wait: a corrupted value must not block a destination for good. */
    private static final double MAX_RETRY_AFTER_MS = TimeUnit.DAYS.toMillis(1);
    /** How long the connection of an abandoned call is still read, for a response that is already on its way. */
    private static final long LATE_RESPONSE_MS = 100;
    /**
     * Max time between the last read of the sockets and the write of a call. A Retry-After wait must be observed within
     * 100 ms of being sent, so a call must not be written while such a response is still unread.
     */
    private static final long MAX_READ_AGE_MS = 50;
    /** Shared by all endpoints without idle connections; always empty. */
    private static final Deque<Connection> NO_CONNECTIONS = new ArrayDeque<>(0);

    /** Receives the results of attempts, and decides at the last moment whether an attempt may be written. */
    interface AttemptListener {
        /**
         * Reports the only result of an attempt. {@code messageFinished}: the endpoint reported the message as expired,
         * so that it needs no further attempt, whatever the outcome.
         */
        void attemptCompleted(OutboundAttempt attempt, Outcome outcome, boolean messageExpired, double retryAfterMs,
                LoadReport report);

        /**
         * The response to an attempt was read after the attempt had been reported as timed out or cancelled. The result
         * ends the message, or tells that the attempt never ran.
         */
        default void lateResultRead(OutboundAttempt attempt, EndpointResult result) {
        }

        /** A call has been written completely; it carries this number of messages. */
        default void callWritten(int messages) {
        }

        /** Whether an attempt may still be written: a turn and a connect may have passed since it was started. */
        default boolean sendAllowed(OutboundAttempt attempt) {
            return true;
        }

        /**
         * A response carries a Retry-After wait. It is reported as soon as its header line is read, and applies even if
         * the rest of the response is malformed or its attempts have completed already.
         */
        default void retryAfterReceived(long endpoint, double retryAfterMs) {
        }

        /** A complete response has a result for this attempt. It is not reported if there is a reason to discard it. */
        default void resultRead(OutboundAttempt attempt, EndpointResult result, Optional<DiscardReason> discarded) {
        }
    }

    /** Why a result that was read is not reported. */
    enum DiscardReason {
        /** Another part of the response is malformed. */
        MALFORMED_RESPONSE,
        /** The attempt had timed out before. */
        ATTEMPT_TIMED_OUT,
        /** The attempt had been cancelled before. */
        ATTEMPT_CANCELLED,
        /** The attempt had another result before. */
        ATTEMPT_ENDED
    }

    private final EventLoop loop;
    private final MachineClock clock;
    private final AttemptListener listener;
    private final Connector connector;
    private final long maxIdleNanos;
    private final int maxIdleConnections;
    private final LongObjectMap<Peer> peers = new LongObjectHashMap<>();
    /**
     * By endpoint, the shortest time in milliseconds from the write of a call to its response, of first calls on
     * connections: only these can't have been answered by what an earlier response brought along.
     */
    private final LongObjectMap<Double> fastestResponses = new LongObjectHashMap<>();
    /** The few peers that have idle connections, so that the sweep need not visit all listed endpoints. */
    private final Set<Peer> peersWithIdleConnections = new LinkedHashSet<>();
    private final IdleConnectionPolicy idlePolicy = new IdleConnectionPolicy();
    private int idleConnectionCount;
    private long lastCallId;

    EndpointClient(EventLoop loop, double connectTimeoutMs, double keepAliveMs, int maxIdleConnections,
            AttemptListener listener) {
        this(loop, connectTimeoutMs, keepAliveMs, maxIdleConnections, listener, NioSocketChannel::new,
                MachineClock.system());
    }

    /** Creates a client with its own channel factory, which may throw, and its own clock. */
    EndpointClient(EventLoop loop, double connectTimeoutMs, double keepAliveMs, int maxIdleConnections,
            AttemptListener listener, ChannelFactory<NioSocketChannel> channelFactory, MachineClock clock) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.maxIdleNanos = (long) (keepAliveMs * IDLE_LIMIT_SHARE * 1e6);
        this.maxIdleConnections = maxIdleConnections;
        this.connector = new Connector(loop, connectTimeoutMs, channel -> {
            Connection connection = new Connection(channel);
            channel.pipeline().addLast(ReceivedBytesCopier.INSTANCE, new ResponseHeadReader(connection),
                    connection.decoder, new HttpRequestEncoder(), connection);
        }, channelFactory);
        loop.scheduleWithFixedDelay(this::closeExpiredConnections, IDLE_SWEEP_INTERVAL_MS, IDLE_SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the address of an endpoint, and the max number of messages in one call to it. Idle connections are closed if
     * the address changed or the endpoint no longer serves.
     */
    void updateEndpoint(long endpoint, InetSocketAddress address, boolean serving, int maxBatchSize) {
        Peer peer = peers.computeIfAbsent(endpoint, Peer::new);
        boolean moved = !address.equals(peer.address);
        if (!serving || moved) {
            closeIdleConnections(endpoint);
        }
        if (moved) {
            fastestResponses.remove(endpoint);
        }
        peer.address = address;
        peer.maxBatchSize = maxBatchSize;
    }

    /** Removes an endpoint: closes its idle connections now, and those of calls in flight when these complete. */
    void removeEndpoint(long endpoint) {
        closeIdleConnections(endpoint);
        fastestResponses.remove(endpoint);
        Peer peer = peers.remove(endpoint);
        if (peer != null) {
            peer.address = null;
        }
    }

    int endpointCount() {
        return peers.size();
    }

    /**
     * Starts an attempt; its result is reported once. The attempts of a call time out together: at the last of their
     * timeouts or, if there are several, before the budget of any of their messages may be used up. The timeout counts
     * from the decision, not from this method call: after a long turn an attempt whose timeout ends at the deadline of
     * its message would otherwise complete after the deadline, and the notice of the final result would be late.
     */
    OutboundAttempt startAttempt(AcceptedMessage message, int attemptNumber, long endpoint, double timeoutMs,
            long decidedNanos) {
        double timeLeftMs = Math.max(0, timeoutMs - (clock.nanos() - decidedNanos) / 1e6);
        Call call = peers.get(endpoint).callFor(message);
        OutboundAttempt attempt = new OutboundAttempt(message, attemptNumber, call, timeLeftMs);
        call.add(attempt);
        return attempt;
    }

    /** Cancels an attempt, and closes its connection unless other attempts of the same call are in flight on it. */
    void cancel(OutboundAttempt attempt) {
        attempt.complete(Outcome.CANCELLED);
        attempt.call.abandonIfCompleted();
    }

    void closeIdleConnections(long endpoint) {
        Peer peer = peers.get(endpoint);
        if (peer != null) {
            peer.closeIdle();
        }
    }

    /** Closes all idle connections; used when another process takes over the calls to endpoints. */
    void closeAllIdleConnections() {
        List.copyOf(peersWithIdleConnections).forEach(Peer::closeIdle);
    }

    int idleConnectionCount() {
        return idleConnectionCount;
    }

    /**
     * Runs a task once the event loop has read everything that had arrived before. A Retry-After wait applies from when
     * the endpoint writes it, not from when the loop reads it. The loop runs a timer only after it has read the
     * sockets; if that read took long, more may have arrived meanwhile, and the task is delayed once more.
     */
    private void afterPendingReads(Runnable task) {
        long requestedNanos = System.nanoTime();
        loop.schedule(() -> {
            if (System.nanoTime() - requestedNanos > TimeUnit.MILLISECONDS.toNanos(MAX_READ_AGE_MS)) {
                afterPendingReads(task);
            } else {
                task.run();
            }
        }, 0, TimeUnit.NANOSECONDS);
    }

    /** Closes connections that the endpoint would soon close itself, since a call written just then is lost. */
    private void closeExpiredConnections() {
        for (Peer peer : List.copyOf(peersWithIdleConnections)) {
            List<Connection> expired = peer.idleConnections.stream().filter(c -> c.idleNanos() > maxIdleNanos).toList();
            expired.forEach(Connection::close);
        }
    }

    /** An endpoint: its address, its idle connections, and the call that is being filled. */
    private final class Peer {
        final long endpoint;
        InetSocketAddress address;
        int maxBatchSize = 1;
        /** Allocated with the first idle connection: most endpoints of a long list never have one. */
        private Deque<Connection> idleConnections = NO_CONNECTIONS;
        /** The call of the current turn to which attempts may still be added; null if there is none. */
        private Call openCall;

        Peer(long endpoint) {
            this.endpoint = endpoint;
        }

        /** Returns a call that has room for the message. It starts after the turn, with the attempts of that turn. */
        Call callFor(AcceptedMessage message) {
            if (openCall == null || !openCall.canAdd(message)) {
                Call call = new Call(this);
                openCall = call;
                loop.execute(() -> {
                    if (openCall == call) {
                        openCall = null;
                    }
                    afterPendingReads(call::start);
                });
            }
            return openCall;
        }

        void addIdle(Connection connection) {
            if (idleConnections == NO_CONNECTIONS) {
                idleConnections = new ArrayDeque<>(2);
            }
            idleConnections.addLast(connection);
            peersWithIdleConnections.add(this);
            EndpointClient.this.idleConnectionCount++;
        }

        /** Removes a connection from the idle ones, if it is one of them. */
        void removeIdle(Connection connection) {
            if (idleConnections.removeLastOccurrence(connection)) {
                EndpointClient.this.idleConnectionCount--;
                if (idleConnections.isEmpty()) {
                    peersWithIdleConnections.remove(this);
                    idleConnections = NO_CONNECTIONS;
                }
            }
        }

        void closeIdle() {
            new ArrayList<>(idleConnections).forEach(Connection::close);
        }

        Connection takeNewestIdle() {
            while (!idleConnections.isEmpty()) {
                Connection newest = idleConnections.peekLast();
                removeIdle(newest);
                if (newest.isOpen() && newest.idleNanos() <= maxIdleNanos
                        && idlePolicy.mayReuse(nowMs(), newest.idleMs())) {
                    return newest;
                }
                newest.close();
            }
            return null;
        }
    }

    /** An attempt that has been started; it is completed by its only result. */
    final class OutboundAttempt {
        final AcceptedMessage message;
        final int attemptNumber;
        final long startedNanos = clock.nanos();
        private final Call call;
        private final double timeoutMs;
        private boolean completed;
        /** The result, once the attempt is completed. */
        private EndpointResult result;
        /** Whether the result was read from a response. */
        private boolean resultRead;
        private boolean reported;

        private OutboundAttempt(AcceptedMessage message, int attemptNumber, Call call, double timeoutMs) {
            this.message = message;
            this.attemptNumber = attemptNumber;
            this.call = call;
            this.timeoutMs = timeoutMs;
        }

        /** The id of the call that carries this attempt; attempts in the same call have the same id. */
        long callId() {
            return call.id;
        }

        long endpoint() {
            return call.peer.endpoint;
        }

        /** Completes the attempt without a response, unless it is completed already. */
        private void complete(Outcome outcome) {
            if (!completed) {
                complete(new EndpointResult(outcome, false, 0), false);
            }
        }

        /**
         * Completes the attempt by its result in a response. If it was completed without one, the result still counts
         * as far as it ends the message or tells that the attempt never ran.
         */
        private void complete(EndpointResult read) {
            if (resultRead) {
                return;
            }
            boolean counts = !completed || read.endsMessage() || !read.outcome().mayHaveRun();
            recordRead(read, counts ? Optional.empty() : Optional.of(discardReason()));
            if (!completed) {
                complete(read, true);
            } else if (counts && reported) {
                resultRead = true;
                loop.execute(() -> listener.lateResultRead(this, read));
            } else if (counts) {
                resultRead = true;
                result = read;
            }
        }

        private void complete(EndpointResult finalResult, boolean read) {
            completed = true;
            result = finalResult;
            resultRead = read;
            call.cancelTimeoutIfCompleted();
            // Deferred: the result may be found while the decision module is running, and must not call back into it.
            loop.execute(() -> {
                reported = true;
                listener.attemptCompleted(this, result.outcome(), result.messageExpired(), result.retryAfterMs(),
                        call.report);
            });
        }

        private void discard(EndpointResult read, DiscardReason reason) {
            recordRead(read, Optional.of(reason));
        }

        private void recordRead(EndpointResult read, Optional<DiscardReason> discarded) {
            // A malformed response counts for none of its messages: by the protocol, each may or may not have run.
            boolean malformed = discarded.filter(DiscardReason.MALFORMED_RESPONSE::equals).isPresent();
            if (read.endsMessage() && !malformed) {
                message.endWasRead();
            }
            listener.resultRead(this, read, discarded);
        }

        private DiscardReason discardReason() {
            return switch (result.outcome()) {
                case TIMED_OUT, UNREACHABLE -> DiscardReason.ATTEMPT_TIMED_OUT;
                case CANCELLED -> DiscardReason.ATTEMPT_CANCELLED;
                default -> DiscardReason.ATTEMPT_ENDED;
            };
        }
    }

    /** A call: one HTTP request on one connection, in one slot, with the attempts of one turn to one endpoint. */
    private final class Call {
        final long id = ++lastCallId;
        /** The ids and keys that a batch body can hold, where fields are separated by blanks. */
        private static final Pattern TOKEN = Pattern.compile("[!-~]+");
        /** Stands for a missing key in a batch body. */
        private static final String NO_KEY = "-";

        private final Peer peer;
        private final List<OutboundAttempt> attempts = new ArrayList<>();
        private int batchBodyBytes;
        private Future<?> timeoutTimer;
        private Connection connection;
        /** Whether it was written as a batch, that is, with more than one message. */
        private boolean isBatch;
        /**
         * The attempts whose messages were written; the others had ended before. A response has results for these only.
         */
        private List<OutboundAttempt> written = List.of();
        /** The last byte has been written: from here on the endpoint may have processed the messages. */
        private boolean fullyWritten;
        private LoadReport report = LoadReport.NONE;
        /** The Retry-After wait of the response, or 0. */
        private double retryAfterMs;

        Call(Peer peer) {
            this.peer = peer;
        }

        private void add(OutboundAttempt attempt) {
            attempts.add(attempt);
            batchBodyBytes += encodeBatchItem(attempt.message).length;
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            // The response may have arrived in time and not be read yet: the sockets are read once more before.
            timeoutTimer = loop.schedule(() -> loop.schedule(this::timedOut, 0, TimeUnit.NANOSECONDS),
                    (long) Math.ceil(timeLeftMs() * 1000), TimeUnit.MICROSECONDS);
        }

        private double timeLeftMs() {
            double lastTimeoutMs = attempts.stream().mapToDouble(a -> a.timeoutMs).max().orElseThrow();
            double sharedTimeLeftMs = attempts.size() == 1 ? lastTimeoutMs : attempts.stream()
                    .mapToDouble(a -> Math.min(a.message.timeLeftMs(clock), a.message.budgetLeftMs(clock))).min()
                    .orElseThrow();
            return Math.max(0, Math.min(lastTimeoutMs, sharedTimeLeftMs));
        }

        private void timedOut() {
            if (attemptsInFlight().isEmpty()) {
                return;
            }
            completeAll(fullyWritten ? Outcome.TIMED_OUT : Outcome.UNREACHABLE);
            abandonIfCompleted();
        }

        private void cancelTimeoutIfCompleted() {
            if (attemptsInFlight().isEmpty()) {
                timeoutTimer.cancel(false);
            }
        }

        /** Whether a message can be added: the batch has room, and all its messages can be written in a batch body. */
        boolean canAdd(AcceptedMessage message) {
            return attempts.size() < peer.maxBatchSize
                    && batchBodyBytes + encodeBatchItem(message).length <= MAX_BODY_BYTES && fitsBatchFormat(message)
                    && attempts.stream().allMatch(a -> fitsBatchFormat(a.message) && !a.message.id.equals(message.id));
        }

        private boolean fitsBatchFormat(AcceptedMessage message) {
            return TOKEN.matcher(message.id).matches()
                    && message.key.filter(k -> !TOKEN.matcher(k).matches() || k.equals(NO_KEY)).isEmpty();
        }

        private List<OutboundAttempt> attemptsInFlight() {
            return attempts.stream().filter(a -> !a.completed).toList();
        }

        private void start() {
            if (attemptsInFlight().isEmpty()) {
                return;
            }
            Connection idleConnection = peer.takeNewestIdle();
            if (idleConnection != null) {
                writeOn(idleConnection);
            } else {
                InetSocketAddress address = peer.address;
                // A local failure, such as no free file descriptor, says nothing about the endpoint's health.
                connector.connect(address, channel -> connected(channel, address),
                        () -> completeAll(Outcome.NOT_SENT));
            }
        }

        private void connected(Optional<Channel> channel, InetSocketAddress address) {
            if (channel.isEmpty()) {
                completeAll(Outcome.UNREACHABLE);
                return;
            }
            Connection newConnection = channel.get().pipeline().get(Connection.class);
            newConnection.connected(peer, address);
            afterPendingReads(() -> writeOn(newConnection));
        }

        private void writeOn(Connection target) {
            if (!target.address.equals(peer.address)) {
                // The endpoint moved during the connect: another endpoint may listen at the old address now.
                completeAll(Outcome.NOT_SENT);
                target.close();
                return;
            }
            attemptsInFlight().stream().filter(a -> !listener.sendAllowed(a))
                    .forEach(a -> a.complete(Outcome.NOT_SENT));
            if (attemptsInFlight().isEmpty()) {
                target.scheduleReuse();
                return;
            }
            FullHttpRequest request;
            try {
                request = buildRequest(attemptsInFlight());
            } catch (IllegalArgumentException e) {
                // A value is not valid in a header. No byte was written, and the attempts still need a result.
                Log.write("a request to an endpoint can't be built: " + e.getMessage());
                completeAll(Outcome.UNREACHABLE);
                target.close();
                return;
            }
            connection = target;
            written = attemptsInFlight();
            target.beginCall(this);
            int messages = written.size();
            target.channel.writeAndFlush(request).addListener(f -> {
                fullyWritten |= f.isSuccess();
                if (f.isSuccess()) {
                    listener.callWritten(messages);
                } else {
                    connectionLost();
                    abandonIfCompleted();
                }
            });
        }

        private FullHttpRequest buildRequest(List<OutboundAttempt> batch) {
            isBatch = batch.size() > 1;
            AcceptedMessage first = batch.get(0).message;
            byte[] body = isBatch ? encodeBatch(batch) : first.body;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    isBatch ? "/v1/messages:batch" : "/v1/messages", Unpooled.wrappedBuffer(body));
            request.headers()
                    .set(HttpHeaderNames.HOST, hostPort(peer.address))
                    .set("X-Budget-Ms", Math.max(1, (long) timeLeftMs()))
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (!isBatch) {
                request.headers().set("X-Call-Id", first.id);
                first.key.ifPresent(key -> request.headers().set("Idempotency-Key", key));
            }
            return request;
        }

        private byte[] encodeBatch(List<OutboundAttempt> batch) {
            ByteArrayOutputStream body = new ByteArrayOutputStream(batchBodyBytes);
            batch.forEach(a -> body.writeBytes(encodeBatchItem(a.message)));
            return body.toByteArray();
        }

        private byte[] encodeBatchItem(AcceptedMessage message) {
            ByteArrayOutputStream item = new ByteArrayOutputStream(message.body.length + 128);
            item.writeBytes((message.id + " " + message.key.orElse(NO_KEY) + " " + message.body.length + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            item.writeBytes(message.body);
            item.writeBytes(new byte[] {'\r', '\n'});
            return item.toByteArray();
        }

        /** The connection closed. The messages may have been processed only if the last byte was written. */
        private void connectionLost() {
            completeAll(fullyWritten ? Outcome.BROKEN : Outcome.UNREACHABLE);
        }

        private void completeAll(Outcome outcome) {
            attempts.forEach(a -> a.complete(outcome));
        }

        /** Abandons the call if all attempts are completed; a connection that carries another call by now is kept. */
        private void abandonIfCompleted() {
            if (connection != null && connection.call == this && attemptsInFlight().isEmpty()) {
                connection.abandon();
            }
        }

        /** Status 200 completes a single attempt at once, whatever follows; a batch needs the whole response. */
        private void statusCodeReceived(int statusCode) {
            if (statusCode == 200 && !isBatch) {
                written.forEach(a -> a.complete(EndpointResult.ofStatus(statusCode, 0, false)));
            }
        }

        /** The response is malformed, so the messages may have been processed. Attempts that are completed stay so. */
        private void responseMalformed() {
            completeAll(Outcome.BROKEN);
        }

        /** Whether the body of this response has a meaning: only that to a batch has results. */
        private boolean readsBody(HttpResponse response) {
            return isBatch && response.status().code() == 200;
        }

        private void responseReceived(HttpResponse response, String body) {
            int statusCode = response.status().code();
            if (readsBody(response)) {
                batchResponseReceived(body);
            } else if (isBatch && (statusCode == 400 || statusCode == 413)) {
                // The endpoint could not parse the batch, or it was too large: no message was processed.
                completeAll(Outcome.NOT_SENT);
            } else if (statusCode != 200) {
                EndpointResult result = EndpointResult.ofStatus(statusCode, retryAfterMs,
                        response.headers().contains("X-No-Slot"));
                written.forEach(a -> a.complete(result));
            }
        }

        /**
         * Completes the attempts by the body of a batch response, which has one line for each message. The whole
         * response counts as malformed if a line can't be parsed or is missing, be it that of a cancelled attempt.
         */
        private void batchResponseReceived(String body) {
            boolean malformed = false;
            Map<String, EndpointResult> results = new HashMap<>();
            for (String line : body.split("\r?\n")) {
                Matcher word = BATCH_RESULT_LINE.matcher(line);
                malformed |= !word.matches() || results.put(word.group(1),
                        EndpointResult.ofBatchWord(word.group(2), retryAfterMs)) != null;
            }
            malformed |= written.stream().anyMatch(a -> !results.containsKey(a.message.id));
            if (malformed) {
                Log.write("ignored the malformed response to a batch of " + written.size() + " messages");
                written.stream().filter(a -> results.containsKey(a.message.id))
                        .forEach(a -> a.discard(results.get(a.message.id), DiscardReason.MALFORMED_RESPONSE));
                responseMalformed();
                return;
            }
            written.stream().filter(a -> results.containsKey(a.message.id))
                    .forEach(a -> a.complete(results.get(a.message.id)));
        }
    }

    /** Parses a Retry-After value in seconds, integer or decimal; 0 if it can't be parsed or is not positive. */
    private static double parseRetryAfterMs(String seconds) {
        try {
            double retryAfterMs = Double.parseDouble(seconds) * 1000;
            return retryAfterMs > 0 ? Math.min(retryAfterMs, MAX_RETRY_AFTER_MS) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Parses the load report of a response, such as {@code TEXT x0=0.4, x1=25}. */
    private static LoadReport parseLoadReport(HttpResponse response) {
        String[] values = response.headers().get("X-Load-Report", "").split("[,\\s]+");
        return new LoadReport(reportValue(values, Params.REPORTED_RATE_FIELD, LoadReport.NONE.rate()),
                reportValue(values, Params.REPORTED_SHARE_LEFT_FIELD, LoadReport.NONE.left()));
    }

    /** Returns one value of a report, or the default if it is missing or can't be parsed. */
    private static double reportValue(String[] values, String name, double defaultValue) {
        for (String value : values) {
            if (value.startsWith(name + "=")) {
                try {
                    return Double.parseDouble(value.substring(name.length() + 1));
                } catch (NumberFormatException e) {
                    return defaultValue;
                }
            }
        }
        return defaultValue;
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    static String hostPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Reads the head of each response ahead of Netty's codec, which reports a head only when it is complete, and which
     * accepts header lines without a colon or with blanks in the name. Status
     * 200 completes a single attempt at once, as nothing that follows can change the result. A malformed status line
     * ends the call at once, since a head that never ends would otherwise hold it until its timeout. A Retry-After wait
     * applies even if the rest of the response is malformed. Heads of 1xx responses are skipped; everything else is
     * left to the codec.
     */
    private static final class ResponseHeadReader extends ChannelInboundHandlerAdapter {
        /** The codec's limit for a whole head. */
        private static final int MAX_LINE_CHARS = 8192;
        private static final String PROTOCOL_PREFIX = "HTTP/1.";
        private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?");
        private static final Pattern HEADER_LINE = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:.*");
        private static final Pattern RETRY_AFTER_LINE = Pattern.compile("retry-after:(.*)", Pattern.CASE_INSENSITIVE);

        private final Connection connection;
        private final StringBuilder line = new StringBuilder();
        private boolean inInterimHead;

        ResponseHeadReader(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) {
            ByteBuf bytes = (ByteBuf) data;
            if (connection.call == null) {
                // Bytes that belong to no request: they could be taken for the response to the next one.
                connection.close();
            }
            for (int i = bytes.readerIndex(); i < bytes.writerIndex() && connection.awaitsHead(); i++) {
                connection.responseBegins();
                readChar((char) (bytes.getByte(i) & 0xff));
            }
            ctx.fireChannelRead(data);
        }

        private void readChar(char c) {
            if (c != '\n') {
                line.append(c);
                // Garbage may come without a line end, so the prefix is checked with each character.
                boolean garbage = !inInterimHead && !connection.statusLineRead
                        && line.length() <= PROTOCOL_PREFIX.length() && !PROTOCOL_PREFIX.startsWith(line.toString());
                if (garbage || line.length() > MAX_LINE_CHARS) {
                    connection.failMalformed();
                }
                return;
            }
            String text = line.toString().stripTrailing();
            line.setLength(0);
            if (inInterimHead) {
                inInterimHead = !text.isEmpty();
                if (!inInterimHead) {
                    connection.interimResponseEnds();
                }
            } else if (connection.statusLineRead) {
                readHeaderLine(text);
            } else {
                readStatusLine(text);
            }
        }

        private void readHeaderLine(String headerLine) {
            Matcher retryAfter = RETRY_AFTER_LINE.matcher(headerLine);
            if (headerLine.isEmpty()) {
                connection.headRead = true;
            } else if (!HEADER_LINE.matcher(headerLine).matches()) {
                connection.failMalformed();
            } else if (retryAfter.matches()) {
                connection.retryAfterReceived(parseRetryAfterMs(retryAfter.group(1)));
            }
        }

        private void readStatusLine(String statusLine) {
            Matcher status = STATUS_LINE.matcher(statusLine);
            if (!status.matches() || status.group(1).equals("101")) {
                connection.failMalformed();
            } else if (status.group(1).startsWith("1")) {
                inInterimHead = true;
            } else {
                connection.statusCodeReceived(Integer.parseInt(status.group(1)));
            }
        }
    }

    /** A connection to an endpoint; it carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final ResponseDecoder decoder = new ResponseDecoder();
        private Peer peer;
        /** The address that it is connected to; the peer may have moved to another one since. */
        private InetSocketAddress address;
        private Call call;
        /** The head of the response, once it has been read. */
        private HttpResponse head;
        private boolean statusLineRead;
        private boolean headRead;
        /** Its call was abandoned: it is not reused. */
        private boolean abandoned;
        private int bodyBytes;
        /** The body, if the call reads it; else empty. */
        private StringBuilder body = new StringBuilder(0);
        private Future<?> responseTimer;
        /** It has neither carried a call nor been idle yet. */
        private boolean fresh = true;
        private long idleSinceNanos;
        /** How long it was idle before its current call; -1 for a fresh connection. */
        private long idleBeforeCallMs;
        private long callBegunNanos;

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** Starts to count the idle time, as the endpoint does, also if no call is written on it after all. */
        private void connected(Peer connectedPeer, InetSocketAddress connectedAddress) {
            peer = connectedPeer;
            address = connectedAddress;
            idleSinceNanos = System.nanoTime();
        }

        private void beginCall(Call newCall) {
            call = newCall;
            idleBeforeCallMs = fresh ? -1 : idleMs();
            fresh = false;
            callBegunNanos = System.nanoTime();
            head = null;
            statusLineRead = false;
            headRead = false;
            bodyBytes = 0;
            responseTimer = null;
        }

        /** The first byte of a response has arrived; the rest has to follow within a time limit. */
        private void responseBegins() {
            if (responseTimer == null) {
                idlePolicy.recordUse(nowMs(), idleBeforeCallMs, false);
                if (idleBeforeCallMs < 0) {
                    fastestResponses.merge(peer.endpoint, (System.nanoTime() - callBegunNanos) / 1e6, Math::min);
                }
                responseTimer = loop.schedule(this::failMalformed, RESPONSE_READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** A 1xx response has ended; the time limit starts again with the first byte of the final response. */
        private void interimResponseEnds() {
            responseTimer.cancel(false);
            responseTimer = null;
        }

        private boolean awaitsHead() {
            return call != null && !headRead;
        }

        private void statusCodeReceived(int statusCode) {
            statusLineRead = true;
            call.statusCodeReceived(statusCode);
        }

        private void retryAfterReceived(double retryAfterMs) {
            if (retryAfterMs > 0) {
                call.retryAfterMs = retryAfterMs;
                listener.retryAfterReceived(peer.endpoint, retryAfterMs);
            }
        }

        /**
         * Abandons the call by closing the sending side. The receiving side stays open for a moment: a response that is
         * on its way may still carry a Retry-After wait.
         */
        private void abandon() {
            if (!abandoned) {
                abandoned = true;
                ((DuplexChannel) channel).shutdownOutput();
                loop.schedule(this::close, LATE_RESPONSE_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** The response is malformed or did not end in time: ends the call and closes the connection. */
        private void failMalformed() {
            if (call != null) {
                call.responseMalformed();
                detachCall();
            }
            close();
        }

        /** Detaches the call from this connection. */
        private void detachCall() {
            if (responseTimer != null) {
                responseTimer.cancel(false);
            }
            call = null;
            body = new StringBuilder(0);
            idleSinceNanos = System.nanoTime();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (call == null || part.decoderResult().isFailure()) {
                failMalformed();
                return;
            }
            if (part instanceof HttpResponse response) {
                head = response;
                call.report = parseLoadReport(response);
                if (BodyLength.isAmbiguous(response) || HttpUtil.getContentLength(response, 0L) > MAX_BODY_BYTES) {
                    failMalformed();
                    return;
                }
            }
            if (part instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                if (bodyBytes > MAX_BODY_BYTES) {
                    failMalformed();
                    return;
                }
                if (call.readsBody(head)) {
                    body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                }
            }
            if (part instanceof LastHttpContent && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                call.responseReceived(head, body.toString());
                // If the response came before its request was fully written, the connection can't take another one.
                boolean reusable = HttpUtil.isKeepAlive(head) && call.fullyWritten && !abandoned
                        && !decoder.hasUnreadBytes();
                detachCall();
                if (reusable && idleConnectionCount < maxIdleConnections && channel.isActive()) {
                    scheduleReuse();
                } else {
                    close();
                }
            }
        }

        /** Makes the connection available for reuse after a delay, unless unexpected bytes arrive before. */
        private void scheduleReuse() {
            double fastestMs = fastestResponses.getOrDefault(peer.endpoint, Double.POSITIVE_INFINITY);
            loop.schedule(this::makeIdle, ReuseDelay.ofFastestResponse(fastestMs), TimeUnit.MILLISECONDS);
        }

        private void makeIdle() {
            if (channel.isActive() && idleConnectionCount < maxIdleConnections && address.equals(peer.address)) {
                fresh = false;
                peer.addIdle(this);
            } else {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peer != null) {
                peer.removeIdle(this);
            }
            if (call != null) {
                if (responseTimer == null && !call.attemptsInFlight().isEmpty()) {
                    idlePolicy.recordUse(nowMs(), idleBeforeCallMs, true);
                }
                call.connectionLost();
                detachCall();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        boolean isOpen() {
            return channel.isActive();
        }

        long idleNanos() {
            return System.nanoTime() - idleSinceNanos;
        }

        long idleMs() {
            return TimeUnit.NANOSECONDS.toMillis(idleNanos());
        }

        void close() {
            if (peer != null) {
                peer.removeIdle(this);
            }
            channel.close();
        }
    }
}
