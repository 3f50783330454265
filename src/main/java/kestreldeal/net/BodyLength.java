package kestreldeal.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Checks how a message tells the length of its body. */
final class BodyLength {
    private BodyLength() {
    }

    /**
     * Whether the length is ambiguous or undefined: one reader may take for the body what is the next message to
     * another. Nothing in such a message can be relied on.
     */
    static boolean isAmbiguous(HttpMessage message) {
        List<String> transferEncodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunkedOnly = transferEncodings.size() == 1
                && transferEncodings.get(0).equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString())
                && message.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        return !transferEncodings.isEmpty() && !chunkedOnly;
    }
}
