package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.transport.BodyStream;

/** Writes the body of one streamed response to a client as it arrives from the upstream. */
final class ResponseBodyWriter implements BodyStream.Sink {
    private static final int RESET_ON_CLOSE = 0;
    private static final int ORDINARY_CLOSE = -1;

    private final ClientConnection connection;
    private final Channel channel;
    private final boolean delimited; // the framing shows the client whether the body is complete
    private final boolean keepAlive;

    ResponseBodyWriter(ClientConnection connection, Channel channel, boolean delimited, boolean keepAlive) {
        this.connection = connection;
        this.channel = channel;
        this.delimited = delimited;
        this.keepAlive = keepAlive;
    }

    @Override
    public void onData(ByteBuf bytes) {
        int count = bytes.readableBytes();
        channel.writeAndFlush(new DefaultHttpContent(bytes)).addListener(done -> connection.onWritten(count));
    }

    @Override
    public void onComplete() {
        connection.onStreamEnded();
        connection.onResponseWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepAlive);
    }

    @Override
    public void onAborted() {
        connection.onStreamEnded();
        // If the framing does not show that the body is incomplete, a connection reset has to show it.
        channel.config().setOption(ChannelOption.SO_LINGER, delimited ? ORDINARY_CLOSE : RESET_ON_CLOSE);
        channel.flush();
        connection.close();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }
}
