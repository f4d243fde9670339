package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.transport.BodyStream;

/**
 * Writes the body of one request to an upstream as it arrives from the client. Data that arrives after the call has
 * been abandoned is discarded.
 */
final class RequestBodyWriter implements BodyStream.Sink {
    private final UpstreamConnection connection;
    private final UpstreamCall call;
    private final Channel channel;

    RequestBodyWriter(UpstreamConnection connection, UpstreamCall call, Channel channel) {
        this.connection = connection;
        this.call = call;
        this.channel = channel;
    }

    @Override
    public void onData(ByteBuf bytes) {
        if (connection.isProcessing(call)) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        } else {
            bytes.release();
        }
    }

    @Override
    public void onComplete() {
        if (connection.isProcessing(call)) {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(done -> connection.onRequestWritten(call, done.isSuccess()));
        }
    }

    @Override
    public void onAborted() {
        connection.close();
    }

    @Override
    public boolean isWritable() {
        return !connection.isProcessing(call) || channel.isWritable();
    }
}
