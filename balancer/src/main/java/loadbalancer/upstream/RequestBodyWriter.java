package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.transport.BodyStream;

/**
 * Writes the body of one request to an upstream as its client sends it. What still arrives of it once its call has been
 * abandoned is dropped.
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
        if (connection.carries(call)) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        } else {
            bytes.release();
        }
    }

    @Override
    public void onComplete() {
        if (connection.carries(call)) {
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
        return !connection.carries(call) || channel.isWritable();
    }
}
