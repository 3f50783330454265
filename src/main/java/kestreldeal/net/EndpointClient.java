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
import io.netty.handler.codec.http.HttpResponseDecoder;
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
 * share a {@link Post}, up to the batch size of the endpoint. Connections are kept open for reuse; the most recently
 * used idle one is taken first. Each attempt gets exactly one result, which is never reported from within
 * {@link #startAttempt} or {@link #cancel}.
 */
final class EndpointClient {
    /** Idle connections are closed after this share of the endpoint's keep-alive timeout. */
    private static final double IDLE_SHARE = 0.8;
    private static final long SWEEP_MS = 500;
    /** The protocol's limit for the body of a request and of a response. */
    private static final int LONGEST_BODY = 64 * 1024;
    /** Time limit from the first to the last byte of a response; one that takes longer counts as malformed. */
    private static final long ANSWER_MS = 1000;
    /**
     * Delay before a connection is reused. Unexpected bytes that follow a response arrive in this time, and are not
     * taken for the response to the next call.
     */
    private static final long REST_MS = 10;
    /** A line in the response to a batch: a message id and the result for that message. */
    private static final Pattern END_LINE = Pattern.compile("([!-~]+) (accepted|fault|deferred|expired|no_more)");
    /** Upper bound of a Retry-After wait: a corrupted value must not block a destination for good. */
    private static final double LONGEST_WAIT_MS = TimeUnit.DAYS.toMillis(1);
    /** How long the connection of an abandoned call is still read, for a response that is already on its way. */
    private static final long CROSSING_MS = 100;
    /**
     * Max time between the last read of the sockets and the write of a call. A Retry-After wait must be observed within
     * 100 ms of being sent, so a call must not be written while such a response is still unread.
     */
    private static final long READ_MS = 50;
    /** Shared by all endpoints without idle connections; always empty. */
    private static final Deque<Connection> NONE = new ArrayDeque<>(0);

    /** Receives the results of attempts, and decides at the last moment whether an attempt may be written. */
    interface CallListener {
        /**
         * Reports the only result of an attempt. {@code messageFinished}: the endpoint reported the message as expired,
         * so that it needs no further attempt, whatever the outcome.
         */
        void completed(OutboundAttempt call, Outcome outcome, boolean gone, double waitMs, LoadReport report);

        /** A call has been written completely; it carries this number of messages. */
        default void callWritten(int messages) {
        }

        /** Whether an attempt may still be written: a turn and a connect may have passed since it was decided. */
        default boolean sendAllowed(OutboundAttempt call) {
            return true;
        }

        /**
         * A response carries a Retry-After wait. It is reported as soon as its header line is read, and applies even if
         * the rest of the response is malformed or its attempts have completed already.
         */
        default void retryAfterReceived(long endpoint, double waitMs) {
        }
    }

    private final EventLoop loop;
    private final MachineClock clock;
    private final CallListener ends;
    private final Connector connector;
    private final long idleNanos;
    private final int mostIdle;
    private final LongObjectMap<Peer> peers = new LongObjectHashMap<>();
    /** The few peers that have idle connections, so that the sweep need not visit all listed endpoints. */
    private final Set<Peer> resting = new LinkedHashSet<>();
    private final IdleConnectionPolicy trust = new IdleConnectionPolicy();
    private int idle;
    private long posts;

    EndpointClient(EventLoop loop, double dialMs, double keepAliveMs, int mostIdle, CallListener ends) {
        this(loop, dialMs, keepAliveMs, mostIdle, ends, NioSocketChannel::new, MachineClock.system());
    }

    /** Creates a client with its own channel factory, which may throw, and its own clock. */
    EndpointClient(EventLoop loop, double dialMs, double keepAliveMs, int mostIdle, CallListener ends,
            ChannelFactory<NioSocketChannel> channels, MachineClock clock) {
        this.loop = loop;
        this.clock = clock;
        this.ends = ends;
        this.idleNanos = (long) (keepAliveMs * IDLE_SHARE * 1e6);
        this.mostIdle = mostIdle;
        this.connector = new Connector(loop, dialMs, channel -> {
            Connection connection = new Connection(channel);
            channel.pipeline().addLast(new HeadLines(connection), connection.answers, new HttpRequestEncoder(),
                    connection);
        }, channels);
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the address of an endpoint, and the max number of messages in one call to it. Idle connections are closed if
     * the address changed or the endpoint no longer serves.
     */
    void updateEndpoint(long endpoint, InetSocketAddress address, boolean serving, int batch) {
        Peer peer = peers.computeIfAbsent(endpoint, Peer::new);
        if (!serving || !address.equals(peer.address)) {
            closeIdleConnections(endpoint);
        }
        peer.address = address;
        peer.batch = batch;
    }

    /** Removes an endpoint: closes its idle connections now, and those of calls in flight when these complete. */
    void removeEndpoint(long endpoint) {
        closeIdleConnections(endpoint);
        Peer peer = peers.remove(endpoint);
        if (peer != null) {
            peer.address = null;
        }
    }

    int endpointCount() {
        return peers.size();
    }

    /**
     * Starts an attempt; its result is reported once, within the timeout or soon after. The timeout counts from the
     * decision, not from this method call: after a long turn an attempt whose timeout ends at the deadline of its
     * message would otherwise complete after the deadline, and the notice of the final result would be late.
     */
    OutboundAttempt startAttempt(AcceptedMessage held, int attempt, long endpoint, double timeoutMs,
            long decidedNanos) {
        double leftMs = Math.max(0, timeoutMs - (System.nanoTime() - decidedNanos) / 1e6);
        Post post = peers.get(endpoint).postFor(held);
        OutboundAttempt call = new OutboundAttempt(held, attempt, post, leftMs);
        call.timer = loop.schedule(call::timedOut, (long) Math.ceil(leftMs * 1000), TimeUnit.MICROSECONDS);
        post.add(call);
        return call;
    }

    /** Cancels an attempt, and closes its connection unless other attempts of the same call are in flight on it. */
    void cancel(OutboundAttempt call) {
        call.end(Outcome.CANCELLED);
        call.post.closeIfOver();
    }

    void closeIdleConnections(long endpoint) {
        Peer peer = peers.get(endpoint);
        if (peer != null) {
            peer.closeIdle();
        }
    }

    /** Closes all idle connections; used when another process takes over the calls to endpoints. */
    void closeAllIdleConnections() {
        List.copyOf(resting).forEach(Peer::closeIdle);
    }

    int idleConnectionCount() {
        return idle;
    }

    /**
     * Runs a task once the event loop has read everything that had arrived before. A Retry-After wait applies from when
     * the endpoint writes it, not from when the loop reads it. The loop runs a timer only after it has read the
     * sockets; if that read took long, more may have arrived meanwhile, and the task is delayed once more.
     */
    private void afterRead(Runnable then) {
        long asked = System.nanoTime();
        loop.schedule(() -> {
            if (System.nanoTime() - asked > TimeUnit.MILLISECONDS.toNanos(READ_MS)) {
                afterRead(then);
            } else {
                then.run();
            }
        }, 0, TimeUnit.NANOSECONDS);
    }

    /** Closes connections that the endpoint would soon close itself, since a call written just then is lost. */
    private void sweep() {
        for (Peer peer : List.copyOf(resting)) {
            List<Connection> old = peer.idle.stream().filter(c -> c.idledNanos() > idleNanos).toList();
            old.forEach(Connection::close);
        }
    }

    /** An endpoint: its address, its idle connections, and the call that is being filled. */
    private final class Peer {
        final long endpoint;
        InetSocketAddress address;
        int batch = 1;
        /** Allocated with the first idle connection: most endpoints of a long list never have one. */
        private Deque<Connection> idle = NONE;
        /** The call of the current turn to which attempts may still be added; null if there is none. */
        private Post next;

        Peer(long endpoint) {
            this.endpoint = endpoint;
        }

        /** Returns a call that has room for the message. It starts after the turn, with the attempts of that turn. */
        Post postFor(AcceptedMessage held) {
            if (next == null || !next.takes(held)) {
                Post post = new Post(this);
                next = post;
                loop.execute(() -> {
                    if (next == post) {
                        next = null;
                    }
                    afterRead(post::start);
                });
            }
            return next;
        }

        void keep(Connection connection) {
            if (idle == NONE) {
                idle = new ArrayDeque<>(2);
            }
            idle.addLast(connection);
            resting.add(this);
            EndpointClient.this.idle++;
        }

        /** Removes a connection from the idle ones, if it is one of them. */
        void drop(Connection connection) {
            if (idle.removeLastOccurrence(connection)) {
                EndpointClient.this.idle--;
                if (idle.isEmpty()) {
                    resting.remove(this);
                    idle = NONE;
                }
            }
        }

        void closeIdle() {
            new ArrayList<>(idle).forEach(Connection::close);
        }

        Connection newestIdle() {
            while (!idle.isEmpty()) {
                Connection newest = idle.peekLast();
                drop(newest);
                if (newest.isOpen() && newest.idledNanos() <= idleNanos
                        && trust.trusts(nowMs(), newest.idledMs())) {
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
        final long startedNanos = System.nanoTime();
        private final Post post;
        private final double timeoutMs;
        private Future<?> timer;
        private boolean done;

        private OutboundAttempt(AcceptedMessage held, int attempt, Post post, double timeoutMs) {
            this.message = held;
            this.attemptNumber = attempt;
            this.post = post;
            this.timeoutMs = timeoutMs;
        }

        /** The id of the call that carries this attempt; attempts in the same call have the same id. */
        long callId() {
            return post.number;
        }

        long endpoint() {
            return post.peer.endpoint;
        }

        private void timedOut() {
            end(post.mayArrive() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE);
            post.closeIfOver();
        }

        private void end(Outcome outcome) {
            end(outcome, false, 0);
        }

        private void end(Outcome outcome, boolean gone, double waitMs) {
            if (done) {
                return;
            }
            done = true;
            timer.cancel(false);
            // Deferred: the result may be found while the decision module is running, and must not call back into it.
            loop.execute(() -> ends.completed(this, outcome, gone, waitMs, post.report));
        }

        /** Completes the attempt by the status code of the response, as the protocol's table says. */
        private void answered(int code, double waitMs, boolean noSlot) {
            Outcome outcome = switch (code) {
                case 200 -> Outcome.DELIVERED;
                case 429 -> Outcome.FULL;
                case 503 -> noSlot ? Outcome.NOT_SENT : Outcome.FULL;
                case 504, 410 -> Outcome.NOT_SENT;
                default -> Outcome.ERROR;
            };
            end(outcome, code == 410, code == 429 ? waitMs : 0);
        }

        /** Completes one of several attempts by its line in the batch response; a wait comes with any result. */
        private void answered(String word, double waitMs) {
            switch (word) {
                case "accepted" -> end(Outcome.DELIVERED, false, waitMs);
                case "fault" -> end(Outcome.ERROR, false, waitMs);
                case "deferred" -> end(Outcome.FULL, false, waitMs);
                case "expired" -> end(Outcome.NOT_SENT, true, waitMs);
                case "no_more" -> end(Outcome.NOT_SENT, false, waitMs);
                default -> throw new IllegalArgumentException("unknown batch result: " + word);
            }
        }
    }

    /** A call: one HTTP request on one connection, in one slot, with the attempts of one turn to one endpoint. */
    private final class Post {
        final long number = ++posts;
        /** The ids and keys that a batch body can hold, where fields are separated by blanks. */
        private static final Pattern WORD = Pattern.compile("[!-~]+");
        /** Stands for a missing key in a batch body. */
        private static final String NO_KEY = "-";

        private final Peer peer;
        private final List<OutboundAttempt> calls = new ArrayList<>();
        private int bytes;
        private Connection connection;
        /** Whether it was written as a batch, that is, with more than one message. */
        private boolean several;
        private boolean written;
        /** The last byte has been written: from here on the endpoint may have processed the messages. */
        private boolean flushed;
        private LoadReport report = LoadReport.NONE;
        /** The Retry-After wait of the response, or 0. */
        private double waitMs;

        Post(Peer peer) {
            this.peer = peer;
        }

        private void add(OutboundAttempt call) {
            calls.add(call);
            bytes += frame(call.message).length;
        }

        /** Whether a message can be added: the batch has room, and all its messages can be written in a batch body. */
        boolean takes(AcceptedMessage held) {
            return calls.size() < peer.batch && bytes + frame(held).length <= LONGEST_BODY && isWord(held)
                    && calls.stream().allMatch(c -> isWord(c.message) && !c.message.id.equals(held.id));
        }

        private boolean isWord(AcceptedMessage held) {
            return WORD.matcher(held.id).matches()
                    && held.key.filter(k -> !WORD.matcher(k).matches() || k.equals(NO_KEY)).isEmpty();
        }

        private List<OutboundAttempt> waiting() {
            return calls.stream().filter(c -> !c.done).toList();
        }

        private void start() {
            if (waiting().isEmpty()) {
                return;
            }
            Connection kept = peer.newestIdle();
            if (kept != null) {
                write(kept);
            } else {
                InetSocketAddress dialled = peer.address;
                // A local failure, such as no free file descriptor, says nothing about the endpoint's health.
                connector.connect(dialled, channel -> connected(channel, dialled),
                        () -> endAll(Outcome.NOT_SENT));
            }
        }

        private void connected(Optional<Channel> channel, InetSocketAddress dialled) {
            if (channel.isEmpty()) {
                endAll(Outcome.UNREACHABLE);
                return;
            }
            Connection fresh = channel.get().pipeline().get(Connection.class);
            fresh.connected(peer, dialled);
            afterRead(() -> write(fresh));
        }

        private void write(Connection on) {
            if (!on.address.equals(peer.address)) {
                // The endpoint moved during the connect: another endpoint may listen at the old address now.
                endAll(Outcome.NOT_SENT);
                on.close();
                return;
            }
            waiting().stream().filter(c -> !ends.sendAllowed(c)).forEach(c -> c.end(Outcome.NOT_SENT));
            if (waiting().isEmpty()) {
                on.rest();
                return;
            }
            FullHttpRequest request;
            try {
                request = request(waiting());
            } catch (IllegalArgumentException e) {
                // A value is not valid in a header. No byte was written, and the attempts still need a result.
                Log.write("a request to an endpoint can't be built: " + e.getMessage());
                endAll(Outcome.UNREACHABLE);
                on.close();
                return;
            }
            connection = on;
            written = true;
            on.begin(this);
            int messages = waiting().size();
            on.channel.writeAndFlush(request).addListener(f -> {
                flushed |= f.isSuccess();
                if (f.isSuccess()) {
                    ends.callWritten(messages);
                } else {
                    lost();
                    closeIfOver();
                }
            });
        }

        private FullHttpRequest request(List<OutboundAttempt> sent) {
            several = sent.size() > 1;
            AcceptedMessage first = sent.get(0).message;
            byte[] body = several ? frames(sent) : first.body;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    several ? "/v1/messages:batch" : "/v1/messages", Unpooled.wrappedBuffer(body));
            double waitsMs = sent.stream().mapToDouble(c -> c.timeoutMs).max().orElseThrow();
            request.headers()
                    .set(HttpHeaderNames.HOST, hostPort(peer.address))
                    .set("X-Budget-Ms", Math.max(1, (long) waitsMs))
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (!several) {
                request.headers().set("X-Call-Id", first.id);
                first.key.ifPresent(key -> request.headers().set("Idempotency-Key", key));
            }
            return request;
        }

        private byte[] frames(List<OutboundAttempt> sent) {
            ByteArrayOutputStream body = new ByteArrayOutputStream(bytes);
            sent.forEach(c -> body.writeBytes(frame(c.message)));
            return body.toByteArray();
        }

        private byte[] frame(AcceptedMessage held) {
            ByteArrayOutputStream frame = new ByteArrayOutputStream(held.body.length + 128);
            frame.writeBytes((held.id + " " + held.key.orElse(NO_KEY) + " " + held.body.length + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            frame.writeBytes(held.body);
            frame.writeBytes(new byte[] {'\r', '\n'});
            return frame.toByteArray();
        }

        /**
         * Whether the request may still arrive completely although one of its attempts ends now: the connection stays
         * open while other attempts of the call are in flight.
         */
        private boolean mayArrive() {
            return flushed || written && waiting().size() > 1;
        }

        /** The connection closed. The messages may have been processed only if the last byte was written. */
        private void lost() {
            endAll(flushed ? Outcome.BROKEN : Outcome.UNREACHABLE);
        }

        private void endAll(Outcome outcome) {
            calls.forEach(c -> c.end(outcome));
        }

        /** Abandons the call if all attempts are completed; a connection that carries another call by now is kept. */
        private void closeIfOver() {
            if (connection != null && connection.post == this && waiting().isEmpty()) {
                connection.giveUp();
            }
        }

        /** Status 200 completes a single attempt at once, whatever follows; a batch needs the whole response. */
        private void firstLine(int code) {
            if (code == 200 && !several) {
                endAll(Outcome.DELIVERED);
            }
        }

        /** The response is malformed, so the messages may have been processed. Attempts that are completed stay so. */
        private void spoilt() {
            endAll(Outcome.BROKEN);
        }

        private void answered(HttpResponse response, String body) {
            int code = response.status().code();
            if (several && code == 200) {
                answered(body);
            } else if (several && (code == 400 || code == 413)) {
                // The endpoint could not parse the batch, or it was too large: no message was processed.
                endAll(Outcome.NOT_SENT);
            } else {
                boolean noSlot = response.headers().contains("X-No-Slot");
                calls.forEach(c -> c.answered(code, waitMs, noSlot));
            }
        }

        /**
         * Completes the attempts by the body of a batch response, which has one line for each message. The whole
         * response counts as malformed if a line can't be parsed or is missing, and also if the deadline of one of the
         * messages has passed: such a response has said "accepted" for messages that had not been delivered.
         */
        private void answered(String body) {
            if (calls.stream().anyMatch(c -> c.message.mayHaveExpired(clock))) {
                Log.write("ignored the response to a batch of " + calls.size()
                        + " messages: it arrived after the deadline of one of them");
                spoilt();
                return;
            }
            Map<String, String> words = new HashMap<>();
            for (String line : body.split("\r?\n")) {
                Matcher end = END_LINE.matcher(line);
                if (!end.matches() || words.put(end.group(1), end.group(2)) != null) {
                    spoilt();
                    return;
                }
            }
            if (calls.stream().anyMatch(c -> !c.done && !words.containsKey(c.message.id))) {
                spoilt();
                return;
            }
            calls.stream().filter(c -> !c.done).forEach(c -> c.answered(words.get(c.message.id), waitMs));
        }
    }

    /** Parses a Retry-After value in seconds, integer or decimal; 0 if it can't be parsed or is not positive. */
    private static double waitMs(String seconds) {
        try {
            double waitMs = Double.parseDouble(seconds) * 1000;
            return waitMs > 0 ? Math.min(waitMs, LONGEST_WAIT_MS) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Parses the load report of a response, such as {@code TEXT x0=0.4, x1=25}. */
    private static LoadReport report(HttpResponse response) {
        String[] figures = response.headers().get("X-Load-Report", "").split("[,\\s]+");
        return new LoadReport(figure(figures, Params.REPORTED_RATE_FIELD, LoadReport.NONE.rate()),
                figure(figures, Params.REPORTED_SHARE_LEFT_FIELD, LoadReport.NONE.left()));
    }

    /** Returns one value of a report, or the default if it is missing or can't be parsed. */
    private static double figure(String[] figures, String name, double absent) {
        for (String figure : figures) {
            if (figure.startsWith(name + "=")) {
                try {
                    return Double.parseDouble(figure.substring(name.length() + 1));
                } catch (NumberFormatException e) {
                    return absent;
                }
            }
        }
        return absent;
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    static String hostPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Reads the head of each response ahead of Netty's codec, which reports a head only when it is complete. Status
     * 200 completes a single attempt at once, as nothing that follows can change the result. A malformed status line
     * ends the call at once, since a head that never ends would otherwise hold it until its timeout. A Retry-After wait
     * applies even if the rest of the response is malformed. Heads of 1xx responses are skipped; everything else is
     * left to the codec.
     */
    private static final class HeadLines extends ChannelInboundHandlerAdapter {
        /** The codec's limit for a whole head. */
        private static final int LONGEST = 8192;
        private static final String START = "HTTP/1.";
        private static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?");
        private static final Pattern WAIT = Pattern.compile("retry-after:(.*)", Pattern.CASE_INSENSITIVE);

        private final Connection connection;
        private final StringBuilder line = new StringBuilder();
        private boolean inInterimHead;

        HeadLines(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            ByteBuf bytes = (ByteBuf) read;
            if (connection.post == null) {
                // Bytes without a request: the next response on this connection could not be told from them.
                connection.close();
            }
            for (int i = bytes.readerIndex(); i < bytes.writerIndex() && connection.awaitsHead(); i++) {
                connection.answerBegins();
                take((char) (bytes.getByte(i) & 0xff));
            }
            ctx.fireChannelRead(read);
        }

        private void take(char c) {
            if (c != '\n') {
                line.append(c);
                // Garbage may come without a line end, so the prefix is checked with each character.
                boolean noise = !inInterimHead && !connection.lineRead && line.length() <= START.length()
                        && !START.startsWith(line.toString());
                if (noise || line.length() > LONGEST) {
                    connection.spoilt();
                }
                return;
            }
            String text = line.toString().stripTrailing();
            line.setLength(0);
            if (inInterimHead) {
                inInterimHead = !text.isEmpty();
                if (!inInterimHead) {
                    connection.interimEnds();
                }
            } else if (connection.lineRead) {
                header(text);
            } else {
                firstLine(text);
            }
        }

        private void header(String text) {
            Matcher wait = WAIT.matcher(text);
            if (text.isEmpty()) {
                connection.headRead = true;
            } else if (wait.matches()) {
                connection.waitTold(waitMs(wait.group(1)));
            }
        }

        private void firstLine(String text) {
            Matcher status = STATUS.matcher(text);
            if (!status.matches() || status.group(1).equals("101")) {
                connection.spoilt();
            } else if (status.group(1).startsWith("1")) {
                inInterimHead = true;
            } else {
                connection.firstLine(Integer.parseInt(status.group(1)));
            }
        }
    }

    /** Netty's decoder, extended to tell whether bytes follow a complete response. */
    private static final class Answers extends HttpResponseDecoder {
        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }
    }

    /** A connection to an endpoint; it carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final Answers answers = new Answers();
        private Peer peer;
        /** The address that it is connected to; the peer may have moved to another one since. */
        private InetSocketAddress address;
        private Post post;
        /** The head of the response, once it has been read. */
        private HttpResponse head;
        private boolean lineRead;
        private boolean headRead;
        /** Its call was abandoned: it is not reused. */
        private boolean givenUp;
        private final StringBuilder body = new StringBuilder();
        private Future<?> answerTimer;
        /** It has neither carried a call nor been idle yet. */
        private boolean fresh = true;
        private long idleSince;
        /** How long it was idle before its current call; -1 for a fresh connection. */
        private long idledMs;

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** Starts to count the idle time, as the endpoint does, also if no call is written on it after all. */
        private void connected(Peer to, InetSocketAddress dialled) {
            peer = to;
            address = dialled;
            idleSince = System.nanoTime();
        }

        private void begin(Post next) {
            post = next;
            idledMs = fresh ? -1 : idledMs();
            fresh = false;
            head = null;
            lineRead = false;
            headRead = false;
            body.setLength(0);
            answerTimer = null;
        }

        /** The first byte of a response has arrived; the rest has to follow within a time limit. */
        private void answerBegins() {
            if (answerTimer == null) {
                trust.used(nowMs(), idledMs, false);
                answerTimer = loop.schedule(this::spoilt, ANSWER_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** A 1xx response has ended; the time limit starts again with the final response. */
        private void interimEnds() {
            answerTimer.cancel(false);
            answerTimer = null;
        }

        private boolean awaitsHead() {
            return post != null && !headRead;
        }

        private void firstLine(int code) {
            lineRead = true;
            post.firstLine(code);
        }

        private void waitTold(double waitMs) {
            if (waitMs > 0) {
                post.waitMs = waitMs;
                ends.retryAfterReceived(peer.endpoint, waitMs);
            }
        }

        /**
         * Abandons the call by closing the sending side. The receiving side stays open for a moment: a response that is
         * on its way may still carry a Retry-After wait.
         */
        private void giveUp() {
            if (!givenUp) {
                givenUp = true;
                ((DuplexChannel) channel).shutdownOutput();
                loop.schedule(this::close, CROSSING_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** The response is malformed or did not end in time: ends the call and closes the connection. */
        private void spoilt() {
            if (post != null) {
                post.spoilt();
                finish();
            }
            close();
        }

        /** Detaches the call from this connection. */
        private void finish() {
            if (answerTimer != null) {
                answerTimer.cancel(false);
            }
            post = null;
            idleSince = System.nanoTime();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (post == null || part.decoderResult().isFailure()) {
                spoilt();
                return;
            }
            if (part instanceof HttpResponse response) {
                head = response;
                post.report = report(response);
                if (HttpUtil.getContentLength(response, 0L) > LONGEST_BODY) {
                    spoilt();
                    return;
                }
            }
            if (part instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                if (body.length() > LONGEST_BODY) {
                    spoilt();
                    return;
                }
            }
            if (part instanceof LastHttpContent && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                post.answered(head, body.toString());
                // If the response came before the request was written, the rest of the request is still in the way.
                boolean keep = HttpUtil.isKeepAlive(head) && post.flushed && !givenUp
                        && !answers.holdsMore();
                finish();
                if (keep && idle < mostIdle && channel.isActive()) {
                    rest();
                } else {
                    close();
                }
            }
        }

        /** Makes the connection available for reuse after a delay, unless unexpected bytes arrive before. */
        private void rest() {
            loop.schedule(this::rested, REST_MS, TimeUnit.MILLISECONDS);
        }

        private void rested() {
            if (channel.isActive() && idle < mostIdle && address.equals(peer.address)) {
                fresh = false;
                peer.keep(this);
            } else {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peer != null) {
                peer.drop(this);
            }
            if (post != null) {
                if (answerTimer == null && !post.waiting().isEmpty()) {
                    trust.used(nowMs(), idledMs, true);
                }
                post.lost();
                finish();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        boolean isOpen() {
            return channel.isActive();
        }

        long idledNanos() {
            return System.nanoTime() - idleSince;
        }

        long idledMs() {
            return TimeUnit.NANOSECONDS.toMillis(idledNanos());
        }

        void close() {
            if (peer != null) {
                peer.drop(this);
            }
            channel.close();
        }
    }
}
