package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The first handler in the pipeline of a client connection. Reports each read to the connection, so that it is not idle
 * while a request arrives and the receive timeout starts. One object for each connection, not sharable.
 */
final class ReadActivityHandler extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;

    ReadActivityHandler(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        ByteBuf bytes = (ByteBuf) part;
        boolean drained = bytes.isWritable(); // the socket had fewer bytes than the buffer has room for
        connection.onRead(bytes.readableBytes());
        context.fireChannelRead(part);
        if (drained) {
            connection.onDrained();
        }
    }
}
