package kestreldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for the platform's agent, over one persistent connection that carries one request at a time. The agent
 * may stop responding without closing the connection, so each request has time limits, after which the connection is
 * closed. Responses may be of any length; they are passed on in chunks.
 */
final class AgentClient {
    static final int CONNECT_TIMEOUT_MS = 1000;
    /**
     * Interval in which a body that has begun has to advance by {@link #MIN_PROGRESS_BYTES} or to end. A body that
     * trickles counts as stalled: the list in it would be applied too late.
     */
    static final long STALL_CHECK_MS = 500;
    /** Less than one read of the socket, so that one read before the check is enough even if the event loop is late. */
    static final int MIN_PROGRESS_BYTES = 16 * 1024;
    /** Time limit from the first to the last byte of a body: a list has to be applied within 6 s of the request. */
    static final long BODY_TIMEOUT_MS = 5000;
    /** Max bytes of one read, after which other tasks of the event loop run. */
    private static final int PIECE_BYTES = 32 * 1024;

    /** Receives the response to one request, on the event loop's thread. */
    interface ResponseHandler {
        /** The head of the response has arrived, with this status code. */
        void responseStarted(int status);

        /** Reads a chunk of the body, which is valid only during this call. A returned error fails the request. */
        Optional<String> bodyChunk(ByteBuf content);

        /** Called once for each request: empty after a complete response, else what went wrong. */
        void responseEnded(Optional<String> fault);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long silentMs;
    private final long bodyMs;
    private final Connector connector;
    private Channel channel;
    private Request current;

    private final class Request {
        private final ResponseHandler asker;
        private Future<?> timer;
        private boolean keepAlive;
        private boolean begun;
        private long firstByteNanos;
        private long bytes;
        private long bytesAtLook;

        Request(ResponseHandler asker) {
            this.asker = asker;
        }

        void head(HttpResponse answer) {
            begun = true;
            keepAlive = HttpUtil.isKeepAlive(answer);
            asker.responseStarted(answer.status().code());
        }

        void piece(ByteBuf content) {
            if (bytes == 0) {
                firstByteNanos = System.nanoTime();
                lookAfter(silentMs);
            }
            bytes += content.readableBytes();
            asker.bodyChunk(content).ifPresent(this::fail);
        }

        private void lookAfter(long delayMs) {
            timer.cancel(false);
            timer = loop.schedule(this::look, delayMs, TimeUnit.MILLISECONDS);
        }

        private void look() {
            long leftMs = bodyMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - firstByteNanos);
            if (bytes - bytesAtLook < MIN_PROGRESS_BYTES) {
                fail("response stalled after " + bytes + " bytes");
            } else if (leftMs <= 0) {
                fail("response body incomplete after " + bodyMs + " ms, with " + bytes + " bytes received");
            } else {
                bytesAtLook = bytes;
                lookAfter(Math.min(silentMs, leftMs));
            }
        }

        void fail(String fault) {
            disconnect();
            end(Optional.of(fault));
        }

        /** Ends the request, unless it has ended already. */
        void end(Optional<String> fault) {
            if (current == this) {
                current = null;
                timer.cancel(false);
                asker.responseEnded(fault);
            }
        }
    }

    AgentClient(EventLoop loop, InetSocketAddress address) {
        this(loop, address, STALL_CHECK_MS, BODY_TIMEOUT_MS);
    }

    /** Creates a client with its own limits for response bodies: for stalls, and for the whole body. */
    AgentClient(EventLoop loop, InetSocketAddress address, long silentMs, long bodyMs) {
        this.loop = loop;
        this.address = address;
        this.silentMs = silentMs;
        this.bodyMs = bodyMs;
        this.connector = new Connector(loop, CONNECT_TIMEOUT_MS, fresh -> {
            fresh.config().setOption(ChannelOption.RECVBUF_ALLOCATOR,
                    new FixedRecvByteBufAllocator(PIECE_BYTES).maxMessagesPerRead(1));
            fresh.pipeline().addLast(new HttpClientCodec(), new Answers());
        });
    }

    /** Sends a request. The response body has to begin within the limit; then the limits for bodies apply. */
    void send(FullHttpRequest request, long limitMs, ResponseHandler asker) {
        request.headers().set(HttpHeaderNames.HOST, EndpointClient.hostPort(address))
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        Request mine = new Request(asker);
        current = mine;
        mine.timer = loop.schedule(() -> mine.fail("no response in time"), limitMs, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(request);
            return;
        }
        connector.connect(address, fresh -> {
            if (current != mine || fresh.isEmpty()) {
                request.release();
                fresh.ifPresent(Channel::close);
                mine.end(Optional.of("connect to the agent failed"));
            } else {
                channel = fresh.get();
                channel.writeAndFlush(request);
            }
        });
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** Drops the current request without calling its handler, and closes the connection. */
    void close() {
        if (current != null) {
            current.timer.cancel(false);
            current = null;
        }
        disconnect();
    }

    private final class Answers extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (ctx.channel() != channel || current == null) {
                ctx.close();
                return;
            }
            Request request = current;
            if (part.decoderResult().isFailure()) {
                request.fail("response is not valid HTTP");
                return;
            }
            if (part instanceof HttpResponse head) {
                request.head(head);
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                request.piece(content.content());
            }
            if (part instanceof LastHttpContent && request == current) {
                if (!request.keepAlive) {
                    disconnect();
                }
                request.end(Optional.empty());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                if (current != null) {
                    current.end(Optional.of(current.begun
                            ? "connection closed during the response, after " + current.bytes + " bytes"
                            : "connection closed before a response"));
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
