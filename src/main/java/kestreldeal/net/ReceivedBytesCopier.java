package kestreldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Passes received bytes on in a heap buffer of their exact size, and releases the buffer that they were read into. That
 * one is direct memory and as large as the next read may be, and all connections read into the same direct memory:
 * handlers that keep bytes until a message is complete would otherwise use it up, and every read would stall.
 */
@Sharable
final class ReceivedBytesCopier extends ChannelInboundHandlerAdapter {
    static final ReceivedBytesCopier INSTANCE = new ReceivedBytesCopier();

    private ReceivedBytesCopier() {
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object data) {
        ByteBuf received = (ByteBuf) data;
        ByteBuf copy;
        try {
            copy = Unpooled.copiedBuffer(received);
        } finally {
            received.release();
        }
        ctx.fireChannelRead(copy);
    }
}
