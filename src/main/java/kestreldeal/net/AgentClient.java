package kestreldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
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
    /**
     * Delay before a connection is used for the next request. Unexpected bytes that follow a response arrive in this
     * time, and are not taken for the next response.
     */
    static final long REUSE_DELAY_MS = 10;
    /** Max bytes of one read, after which other tasks of the event loop run. */
    private static final int MAX_READ_BYTES = 32 * 1024;

    /** Receives the response to one request, on the event loop's thread. */
    interface ResponseHandler {
        /** The head of the response has arrived, with this status code. */
        void responseStarted(int status);

        /** Reads a chunk of the body, which is valid only during this call. A returned error fails the request. */
        Optional<String> bodyChunk(ByteBuf content);

        /** Called once for each request: empty after a complete response, else what went wrong. */
        void responseEnded(Optional<String> error);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long stallCheckMs;
    private final long bodyTimeoutMs;
    private final Connector connector;
    private Channel channel;
    private PendingRequest current;
    private long lastResponseEndNanos;

    private final class PendingRequest {
        private final ResponseHandler handler;
        private Future<?> timer;
        /** Whether it was written: only then a response can belong to it. */
        private boolean written;
        private boolean keepAlive;
        private boolean responseStarted;
        private long firstByteNanos;
        private long bodyBytes;
        private long bodyBytesAtCheck;

        PendingRequest(ResponseHandler handler) {
            this.handler = handler;
        }

        void headReceived(HttpResponse response) {
            responseStarted = true;
            keepAlive = HttpUtil.isKeepAlive(response);
            handler.responseStarted(response.status().code());
        }

        void chunkReceived(ByteBuf content) {
            if (bodyBytes == 0) {
                firstByteNanos = System.nanoTime();
                scheduleProgressCheck(stallCheckMs);
            }
            bodyBytes += content.readableBytes();
            handler.bodyChunk(content).ifPresent(this::fail);
        }

        private void scheduleProgressCheck(long delayMs) {
            timer.cancel(false);
            timer = loop.schedule(this::checkProgress, delayMs, TimeUnit.MILLISECONDS);
        }

        private void checkProgress() {
            long leftMs = bodyTimeoutMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - firstByteNanos);
            if (bodyBytes - bodyBytesAtCheck < MIN_PROGRESS_BYTES) {
                fail("response stalled after " + bodyBytes + " bytes");
            } else if (leftMs <= 0) {
                fail("response body incomplete after " + bodyTimeoutMs + " ms, with " + bodyBytes + " bytes received");
            } else {
                bodyBytesAtCheck = bodyBytes;
                scheduleProgressCheck(Math.min(stallCheckMs, leftMs));
            }
        }

        void fail(String error) {
            disconnect();
            end(Optional.of(error));
        }

        /** Ends the request, unless it has ended already. */
        void end(Optional<String> error) {
            if (current == this) {
                current = null;
                timer.cancel(false);
                handler.responseEnded(error);
            }
        }
    }

    AgentClient(EventLoop loop, InetSocketAddress address) {
        this(loop, address, STALL_CHECK_MS, BODY_TIMEOUT_MS);
    }

    /** Creates a client with its own limits for response bodies: for stalls, and for the whole body. */
    AgentClient(EventLoop loop, InetSocketAddress address, long stallCheckMs, long bodyTimeoutMs) {
        this.loop = loop;
        this.address = address;
        this.stallCheckMs = stallCheckMs;
        this.bodyTimeoutMs = bodyTimeoutMs;
        this.connector = new Connector(loop, CONNECT_TIMEOUT_MS, newChannel -> {
            newChannel.config().setOption(ChannelOption.RECVBUF_ALLOCATOR,
                    new FixedRecvByteBufAllocator(MAX_READ_BYTES).maxMessagesPerRead(1));
            ResponseDecoder decoder = new ResponseDecoder();
            newChannel.pipeline().addLast(ReceivedBytesCopier.INSTANCE, new UnexpectedBytesCheck(), decoder,
                    new HttpRequestEncoder(), new ResponseReader(decoder));
        });
    }

    /** Sends a request. The response body has to begin within the limit; then the limits for bodies apply. */
    void send(FullHttpRequest request, long responseTimeoutMs, ResponseHandler handler) {
        request.headers().set(HttpHeaderNames.HOST, EndpointClient.hostPort(address))
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        PendingRequest pending = new PendingRequest(handler);
        current = pending;
        pending.timer = loop.schedule(() -> pending.fail("no response in time"), responseTimeoutMs,
                TimeUnit.MILLISECONDS);
        long reuseDelayNanos = channel == null ? 0
                : lastResponseEndNanos + TimeUnit.MILLISECONDS.toNanos(REUSE_DELAY_MS) - System.nanoTime();
        if (reuseDelayNanos > 0) {
            loop.schedule(() -> write(pending, request), reuseDelayNanos, TimeUnit.NANOSECONDS);
        } else {
            write(pending, request);
        }
    }

    /** Writes a request on the open connection, or on a new one. */
    private void write(PendingRequest pending, FullHttpRequest request) {
        if (current != pending) {
            request.release();
        } else if (channel != null && channel.isActive()) {
            pending.written = true;
            channel.writeAndFlush(request);
        } else {
            connector.connect(address, newChannel -> connected(newChannel, pending, request));
        }
    }

    private void connected(Optional<Channel> newChannel, PendingRequest pending, FullHttpRequest request) {
        if (current != pending || newChannel.isEmpty()) {
            request.release();
            newChannel.ifPresent(Channel::close);
            pending.end(Optional.of("connect to the agent failed"));
        } else {
            channel = newChannel.get();
            pending.written = true;
            channel.writeAndFlush(request);
        }
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

    /** Closes the connection if bytes arrive that belong to no request: they could be taken for the next response. */
    private final class UnexpectedBytesCheck extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) {
            if (ctx.channel() == channel && current != null && current.written) {
                ctx.fireChannelRead(data);
                return;
            }
            ReferenceCountUtil.release(data);
            if (ctx.channel() == channel) {
                disconnect();
            } else {
                ctx.close();
            }
        }
    }

    private final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
        private final ResponseDecoder decoder;

        ResponseReader(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (ctx.channel() != channel || current == null) {
                ctx.close();
                return;
            }
            PendingRequest request = current;
            if (part.decoderResult().isFailure()) {
                request.fail("response is not valid HTTP");
                return;
            }
            if (part instanceof HttpResponse head) {
                request.headReceived(head);
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                request.chunkReceived(content.content());
            }
            if (part instanceof LastHttpContent && request == current) {
                lastResponseEndNanos = System.nanoTime();
                if (!request.keepAlive || decoder.hasUnreadBytes()) {
                    disconnect();
                }
                request.end(Optional.empty());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                if (current != null && current.written) {
                    current.end(Optional.of(current.responseStarted
                            ? "connection closed during the response, after " + current.bodyBytes + " bytes"
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
