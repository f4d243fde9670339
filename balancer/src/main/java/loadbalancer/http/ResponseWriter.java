package loadbalancer.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.transport.ConnectionMemory;
import loadbalancer.transport.UpstreamResponse;

/** Creates the HTTP messages for responses and writes them to one client. Used on the event loop's thread only. */
final class ResponseWriter {
    /** Heap of a response besides its body. */
    private static final int HEAD_BYTES = 512;

    private final Channel channel;
    private final ConnectionMemory memory;

    /** Creates a writer; responses are counted against {@code memory} until they have been written to the socket. */
    ResponseWriter(Channel channel, ConnectionMemory memory) {
        this.channel = channel;
        this.memory = memory;
    }

    /** Returns whether bytes of responses have not been written to the socket. */
    boolean hasUnwrittenBytes() {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound != null && outbound.totalPendingWriteBytes() > 0;
    }

    /** Writes and flushes a response. */
    ChannelFuture write(BufferedResponse response, boolean keepAlive) {
        FullHttpResponse message =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), response.body());
        int bodyBytes = response.body().readableBytes();
        setContentType(message, response.contentType());
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        if (response.extraValue() != null) {
            message.headers().set(response.extraName(), response.extraValue());
        }
        setConnection(message, keepAlive);
        int heldBytes = HEAD_BYTES + bodyBytes;
        memory.reserve(heldBytes);
        return channel.writeAndFlush(message).addListener(written -> memory.release(heldBytes));
    }

    /** Asks the client to send the body of its request. */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /** Writes the head of a streamed response without flushing it. */
    void writeHead(UpstreamResponse upstreamResponse, boolean chunked, boolean keepAlive) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        setContentType(response, upstreamResponse.contentType());
        long lengthBytes = upstreamResponse.streamedBody().lengthBytes();
        if (lengthBytes >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
        } else if (chunked) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        setConnection(response, keepAlive);
        channel.write(response);
    }

    private static void setContentType(HttpResponse response, String contentType) {
        if (contentType != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
    }

    private static void setConnection(HttpResponse response, boolean keepAlive) {
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
