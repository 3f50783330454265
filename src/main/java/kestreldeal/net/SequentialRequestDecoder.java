package kestreldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Netty's request decoder, extended to report first bytes and to decode one request at a time. Bytes after a complete
 * request are decoded only once that request is handled, and only a limited number is buffered: otherwise a client that
 * sends many requests at once would delay all others.
 */
final class SequentialRequestDecoder extends HttpRequestDecoder {
    /** Maximum number of header fields of one request. */
    static final int MAX_HEADER_FIELDS = 100;

    /** The connection that the decoded requests belong to. */
    interface Connection {
        /** Whether further input is discarded. */
        boolean isClosing();

        /** Whether the next request may be decoded: the one before has been handled. */
        boolean canDecodeNext();

        /** Bytes have arrived on a connection that is not closing. */
        void bytesReceived();

        /** Takes over bytes that arrived on a closing connection. */
        void discard(ByteBuf bytes);

        /** The amount of buffered input has changed. */
        void inputChanged();
    }

    /** Stands for the headers between two requests; no field is added to it. */
    private static final CountedHeaders NO_HEADERS = new CountedHeaders();

    private final Connection connection;
    private final RequestHeadersFactory headersFactory;
    private final Deque<ByteBuf> backlog = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int backlogBytes;
    /** Whether the decoder needs more bytes than it has been given so far. */
    private boolean needsInput = true;
    private boolean decoding;

    SequentialRequestDecoder(Connection connection) {
        this(connection, new RequestHeadersFactory());
    }

    private SequentialRequestDecoder(Connection connection, RequestHeadersFactory headersFactory) {
        super(new HttpDecoderConfig().setHeadersFactory(headersFactory).setTrailersFactory(headersFactory));
        this.connection = connection;
        this.headersFactory = headersFactory;
        setSingleDecode(true);
    }

    /** Creates the headers of each request, and remembers the current ones to count their memory. */
    private static final class RequestHeadersFactory implements HttpHeadersFactory {
        private CountedHeaders current = NO_HEADERS;

        @Override
        public HttpHeaders newHeaders() {
            current = new CountedHeaders();
            return current;
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    /** Headers that count the memory of their fields, and limit their number. */
    private static final class CountedHeaders extends DefaultHttpHeaders {
        /** Memory that a field takes beside the characters of its name and value. */
        private static final int FIELD_OVERHEAD_BYTES = 128;

        private int fields;
        private long heldBytes;

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            if (++fields > MAX_HEADER_FIELDS) {
                throw new IllegalArgumentException("more than " + MAX_HEADER_FIELDS + " header fields");
            }
            heldBytes += FIELD_OVERHEAD_BYTES + name.length() + value.toString().length();
            return super.add(name, value);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object data) throws Exception {
        ByteBuf bytes = (ByteBuf) data;
        if (connection.isClosing()) {
            connection.discard(bytes);
            return;
        }
        connection.bytesReceived();
        backlog.add(bytes);
        backlogBytes += bytes.readableBytes();
        decodeNext();
    }

    /** Decodes up to the next complete request, unless the one before is still to be handled. */
    private void decodeNext() throws Exception {
        decoding = true;
        try {
            while (connection.canDecodeNext() && !(needsInput && backlog.isEmpty())) {
                ByteBuf input = needsInput ? backlog.remove() : Unpooled.EMPTY_BUFFER;
                backlogBytes -= input.readableBytes();
                int bytesBefore = actualReadableBytes() + input.readableBytes();
                super.channelRead(context, input);
                needsInput = actualReadableBytes() == 0 || actualReadableBytes() == bytesBefore;
            }
        } finally {
            decoding = false;
        }
        if (connection.isClosing()) {
            dropInput();
        }
        connection.inputChanged();
    }

    /** Resumes decoding after a request was handled, but only after other pending events have been processed. */
    void decodeNextLater() {
        if (context.isRemoved() || !hasMoreInput()) {
            return;
        }
        // Scheduled, since a task added by execute() may run before the event loop handles I/O again.
        context.executor().schedule(() -> {
            try {
                decodeNext();
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }, 0, TimeUnit.NANOSECONDS);
    }

    /** Frees all buffered input of a connection that is closing; during decoding, this follows at its end. */
    void dropInput() {
        if (decoding) {
            return;
        }
        releaseBacklog();
        requestHandled();
        if (internalBuffer().capacity() > 0) {
            internalBuffer().clear().capacity(0);
        }
    }

    /** A request was handled: its headers are no longer held. */
    void requestHandled() {
        headersFactory.current = NO_HEADERS;
    }

    private void releaseBacklog() {
        backlog.forEach(ByteBuf::release);
        backlog.clear();
        backlogBytes = 0;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        releaseBacklog();
    }

    /** Leaves a chunked request with a Content-Length unchanged, because {@link RequestCollector} rejects it. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    }

    /** Whether there is input in which a further complete request may be found. */
    boolean hasUndecodedInput() {
        return !backlog.isEmpty() || !needsInput && actualReadableBytes() > 0;
    }

    boolean hasMoreInput() {
        return actualReadableBytes() > 0 || !backlog.isEmpty();
    }

    /** Memory of the input that is not decoded yet, and of the headers of the current request. */
    long heldBytes() {
        return backlogBytes + internalBuffer().capacity() + headersFactory.current.heldBytes;
    }
}
