package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.transport.BodyStream;

/**
 * Writes the body of one request to an upstream as it arrives from the client. Data that arrives after the call has
 * been abandoned is discarded.
 *
 * <p>An upstream may run a request as soon as it has the last byte that the head declares, so for a body of known
 * length that byte is found by counting, not by the end of the body's source.
 */
final class RequestBodyWriter implements BodyStream.Sink {
    private final UpstreamConnection connection;
    private final UpstreamCall call;
    private final Channel channel;
    private final boolean chunked;
    private long remainingBytes; // of the declared length; not used for a chunked body

    RequestBodyWriter(UpstreamConnection connection, UpstreamCall call, Channel channel) {
        this.connection = connection;
        this.call = call;
        this.channel = channel;
        remainingBytes = call.request().streamedBody().lengthBytes();
        chunked = remainingBytes < 0;
    }

    @Override
    public void onData(ByteBuf bytes) {
        if (!connection.isProcessing(call)) {
            bytes.release();
        } else if (chunked) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        } else {
            writeDeclared(bytes);
        }
    }

    // The upstream would take what follows the declared length for another request.
    private void writeDeclared(ByteBuf bytes) {
        int count = bytes.readableBytes();
        if (count > remainingBytes) {
            bytes.release();
            connection.close();
            return;
        }
        remainingBytes -= count;
        ChannelFuture written = channel.writeAndFlush(new DefaultHttpContent(bytes));
        if (remainingBytes == 0) {
            reportWritten(written);
        }
    }

    @Override
    public void onComplete() {
        if (connection.isProcessing(call)) {
            ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            if (chunked) {
                reportWritten(written);
            }
        }
    }

    private void reportWritten(ChannelFuture lastByteWritten) {
        lastByteWritten.addListener(done -> connection.onRequestWritten(call, done.isSuccess()));
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
