package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Replaces {@link ClientRequestDecoder} after a client's request has been rejected: reads and discards a limited amount
 * of the data that the client still sends. One object for each connection, not sharable.
 */
final class DiscardingHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_BYTES_AFTER_RESPONSE = 64 * 1024;

    private final ClientConnection connection;
    private long discardedBytes;

    DiscardingHandler(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        discardedBytes += part instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        ReferenceCountUtil.release(part);
        if (connection.isEnding() && discardedBytes > MAX_BYTES_AFTER_RESPONSE) {
            connection.close();
        }
    }
}
