package loadbalancer.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The last handler in the pipeline of a connection to an upstream, after {@link ResponseReader}. Notifies the
 * connection when it becomes active or inactive and when its writability changes. One object for each connection, not
 * sharable.
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
