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
 * The platform's agent, over one kept connection that carries one request at a time. It may go silent
 * without a sign, so each request has time limits, after which its connection is given up. Its answers may be of any
 * length: they are handed on in pieces.
 */
final class AgentClient {
    static final int CONNECT_MS = 1000;
    /**
     * Within each such time a body that has begun has to come by {@link #LEAST_BYTES} or to end. One that trickles is as
     * good as silent: what it tells would be in force too late.
     */
    static final long SILENT_MS = 500;
    /** Less than is read at once: a loop that is late has still read so much when it looks. */
    static final int LEAST_BYTES = 16 * 1024;
    /** From a body's first byte to its last: beyond that the list would not be in force 6 s after the question. */
    static final long BODY_MS = 5000;
    /** Read at once, before all else that is at hand on the loop gets its turn. */
    private static final int PIECE_BYTES = 32 * 1024;

    /** Told of one answer, on the loop's thread. */
    interface ResponseHandler {
        /** The answer's status. */
        void begins(int status);

        /** A piece of its body, which is only lent; a fault that is told gives up the rest. */
        Optional<String> piece(ByteBuf content);

        /** The end, once for each question: nothing, or what kept the answer from being whole. */
        void ends(Optional<String> fault);
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
            asker.begins(answer.status().code());
        }

        void piece(ByteBuf content) {
            if (bytes == 0) {
                firstByteNanos = System.nanoTime();
                lookAfter(silentMs);
            }
            bytes += content.readableBytes();
            asker.piece(content).ifPresent(this::fail);
        }

        private void lookAfter(long delayMs) {
            timer.cancel(false);
            timer = loop.schedule(this::look, delayMs, TimeUnit.MILLISECONDS);
        }

        private void look() {
            long leftMs = bodyMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - firstByteNanos);
            if (bytes - bytesAtLook < LEAST_BYTES) {
                fail("falls silent in its answer, after " + bytes + " bytes");
            } else if (leftMs <= 0) {
                fail("takes over " + bodyMs + " ms for its answer, of which " + bytes + " bytes have come");
            } else {
                bytesAtLook = bytes;
                lookAfter(Math.min(silentMs, leftMs));
            }
        }

        void fail(String fault) {
            disconnect();
            end(Optional.of(fault));
        }

        /** Answers once; what comes later is nobody's. */
        void end(Optional<String> fault) {
            if (current == this) {
                current = null;
                timer.cancel(false);
                asker.ends(fault);
            }
        }
    }

    AgentClient(EventLoop loop, InetSocketAddress address) {
        this(loop, address, SILENT_MS, BODY_MS);
    }

    /** One with other limits on its answers' bodies: for silence, and for the whole. */
    AgentClient(EventLoop loop, InetSocketAddress address, long silentMs, long bodyMs) {
        this.loop = loop;
        this.address = address;
        this.silentMs = silentMs;
        this.bodyMs = bodyMs;
        this.connector = new Connector(loop, CONNECT_MS, fresh -> {
            fresh.config().setOption(ChannelOption.RECVBUF_ALLOCATOR,
                    new FixedRecvByteBufAllocator(PIECE_BYTES).maxMessagesPerRead(1));
            fresh.pipeline().addLast(new HttpClientCodec(), new Answers());
        });
    }

    /** Sends a request; its answer's body has to begin within the limit, and then to come as it should. */
    void ask(FullHttpRequest request, long limitMs, ResponseHandler asker) {
        request.headers().set(HttpHeaderNames.HOST, EndpointClient.hostPort(address))
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        Request mine = new Request(asker);
        current = mine;
        mine.timer = loop.schedule(() -> mine.fail("does not answer"), limitMs, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(request);
            return;
        }
        connector.connect(address, fresh -> {
            if (current != mine || fresh.isEmpty()) {
                request.release();
                fresh.ifPresent(Channel::close);
                mine.end(Optional.of("can't be reached"));
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

    /** Gives up what is out, without an answer: its asker has turned to another agent. */
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
                request.fail("answers what is no HTTP");
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
                            ? "breaks off in its answer, after " + current.bytes + " bytes" : "ends the connection"));
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
