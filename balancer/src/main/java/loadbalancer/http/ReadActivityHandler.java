package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * First in a client's pipeline: notes that a request has begun to arrive, so that its connection is not idle and its
 * receive time-out runs. One object for each connection, not sharable.
 */
final class ReadActivityHandler extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;

    ReadActivityHandler(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        connection.onRead(part instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
        context.fireChannelRead(part);
    }
}
