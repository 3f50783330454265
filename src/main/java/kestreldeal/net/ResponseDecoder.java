package kestreldeal.net;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Netty's decoder, extended to tell whether bytes follow a complete response. */
final class ResponseDecoder extends HttpResponseDecoder {
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    /** Leaves a chunked response with a Content-Length unchanged, so that {@link BodyLength} can tell it. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    }
}
