package kestreldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import kestreldeal.InvalidInputException;

/**
 * Collects each request with its body, in one buffer that grows with what arrives. A request whose body will not be
 * read is refused, which ends its connection: nothing that follows may be taken for another request.
 */
final class RequestCollector extends SimpleChannelInboundHandler<HttpObject> {
    /** The connection that the requests belong to. */
    interface Connection {
        boolean isClosing();

        /** Answers a request of which a part is not read, and closes the connection. */
        void refuse(HttpResponseStatus status, String text);

        /** Takes over a complete request, or one whose decoder result is a failure. */
        void requestComplete(FullHttpRequest request);
    }

    private final Connection connection;
    private final int maxBodyBytes;
    /** The head of the request whose body is being read; null between requests. */
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    RequestCollector(Connection connection, int maxBodyBytes) {
        this.connection = connection;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (connection.isClosing()) {
            // What follows the last request may be a part of its body, so it is not taken for a request.
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(ctx, request);
        }
        if (part instanceof HttpContent content && head != null) {
            add(content);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        if (request.decoderResult().isSuccess() && BodyLength.isAmbiguous(request)) {
            request.setDecoderResult(
                    DecoderResult.failure(new InvalidInputException("the body length is ambiguous")));
        }
        if (request.decoderResult().isFailure()) {
            complete();
        } else if (!expectationIsKnown(request)) {
            refuse(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        } else if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            refuseTooLarge();
        } else if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Whether the request expects nothing but perhaps a 100 response; HTTP/1.0 has no expectations. */
    private static boolean expectationIsKnown(HttpRequest request) {
        return request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0
                || request.headers().getAll(HttpHeaderNames.EXPECT).stream()
                        .allMatch(HttpHeaderValues.CONTINUE.toString()::equalsIgnoreCase);
    }

    private void add(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            head.setDecoderResult(content.decoderResult());
            complete();
            return;
        }
        ByteBuf bytes = content.content();
        if (body.readableBytes() + bytes.readableBytes() > maxBodyBytes) {
            refuseTooLarge();
            return;
        }
        if (bytes.isReadable()) {
            body = body.capacity() == 0 ? Unpooled.buffer(bytes.readableBytes()) : body;
            body.writeBytes(bytes);
        }
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        FullHttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body,
                head.headers(), EmptyHttpHeaders.INSTANCE);
        request.setDecoderResult(head.decoderResult());
        head = null;
        body = Unpooled.EMPTY_BUFFER;
        connection.requestComplete(request);
    }

    private void refuseTooLarge() {
        refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over " + maxBodyBytes + " bytes");
    }

    private void refuse(HttpResponseStatus status, String text) {
        drop();
        connection.refuse(status, text);
    }

    /** Frees what has been read of a request. */
    void drop() {
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        drop();
    }

    /** Whether the body of a request is being read. */
    boolean isCollecting() {
        return head != null;
    }

    long heldBytes() {
        return body.capacity();
    }
}
