package loadbalancer.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Last in the pipeline of a connection to an upstream, behind {@link ResponseReader}: notifies the connection of its
 * beginning, its end and its writability. One object for each connection, not sharable.
 */
final class UpstreamConnectionHandler extends ChannelInboundHandlerAdapter {
    private final UpstreamConnection connection;

    UpstreamConnectionHandler(UpstreamConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connection.onActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.onInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        connection.onWritabilityChanged();
    }
}
