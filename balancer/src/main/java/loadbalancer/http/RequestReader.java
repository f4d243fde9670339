package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.transport.BodyBuffer;
import loadbalancer.transport.BodyLimits;
import loadbalancer.transport.BodyMemoryBudget;
import loadbalancer.transport.BodyStream;

/**
 * Assembles a client's requests. A body is buffered completely, copied from the buffers of the socket; a body that is
 * too large for that is streamed. A request that is too large, or framed so that another parser may read it
 * differently, is rejected as soon as this is known, and its data is discarded. Placed after
 * {@link ClientRequestDecoder} in the pipeline; one object for each connection, not sharable.
 */
final class RequestReader extends SimpleChannelInboundHandler<HttpObject> {
    /** Receives the requests, on the event loop's thread. No call follows {@link #onInvalidRequest}. */
    interface Listener {
        /** A valid head has arrived; the body follows. */
        void onHead(HttpRequest head);

        /** A complete request has arrived. */
        void onRequest(HttpRequest head, byte[] body);

        /** A request has started whose body is too large to be buffered; the body is streamed. */
        void onStreamedRequest(HttpRequest head, BodyStream body);

        /** The last byte of a streamed request has arrived. */
        void onStreamedRequestComplete();

        /** A request is invalid or too large, or there is no memory for it; {@code reason} is sent to the client. */
        void onInvalidRequest(HttpResponseStatus status, String reason);
    }

    private final Listener listener;
    private final BodyMemoryBudget memory;
    private final BodyBuffer body = new BodyBuffer();
    private HttpRequest head; // the head of a request whose body is being buffered
    private BodyStream stream; // the body of a request that is being streamed
    private long streamedBytes;
    private boolean closed;

    RequestReader(Listener listener, BodyMemoryBudget memory) {
        this.listener = listener;
        this.memory = memory;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (closed) {
            return;
        }
        if (!part.decoderResult().isSuccess()) {
            reject(HttpResponseStatus.BAD_REQUEST, "malformed request");
        } else if (part instanceof HttpRequest request) {
            readHead(request);
        }
        if (!closed && part instanceof HttpContent content) {
            readBody(context, content.content());
        }
        if (!closed && part instanceof LastHttpContent) {
            endRequest();
        }
    }

    private void readHead(HttpRequest request) {
        RequestValidator.Problem problem = RequestValidator.findFramingProblem(request);
        if (problem != null) {
            reject(problem.status(), problem.reason());
            return;
        }
        head = request;
        body.clear();
        listener.onHead(request);
    }

    private void readBody(ChannelHandlerContext context, ByteBuf more) {
        if (stream != null) {
            writeToStream(more);
        } else if (head != null) {
            buffer(context, more);
        }
    }

    // The last piece of a body may be the one that makes it too large to be buffered, so whether the body is streamed
    // is known only after that piece has been read.
    private void endRequest() {
        if (stream != null) {
            BodyStream ending = stream;
            stream = null;
            ending.complete();
            listener.onStreamedRequestComplete();
        } else if (head != null) {
            HttpRequest request = head;
            head = null;
            memory.release(body.lengthBytes());
            listener.onRequest(request, body.takeArray());
        }
    }

    private void buffer(ChannelHandlerContext context, ByteBuf more) {
        int count = more.readableBytes();
        if (count == 0) {
            return;
        }
        if (!body.fits(count)) {
            startStreaming(context, more);
            return;
        }
        if (!memory.tryReserve(count)) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for bodies: trying again is harmless");
            return;
        }
        body.append(more);
    }

    private void startStreaming(ChannelHandlerContext context, ByteBuf more) {
        HttpRequest request = head;
        head = null;
        memory.release(body.lengthBytes());
        stream = new BodyStream(context.channel(), HttpUtil.getContentLength(request, -1L), memory);
        streamedBytes = body.lengthBytes();
        stream.write(body.takeByteBuf());
        writeToStream(more);
        listener.onStreamedRequest(request, stream);
    }

    private void writeToStream(ByteBuf more) {
        streamedBytes += more.readableBytes();
        if (streamedBytes > BodyLimits.MAX_STREAMED_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
        } else if (more.isReadable()) {
            stream.write(more.retain());
        }
    }

    private void reject(HttpResponseStatus status, String reason) {
        close();
        listener.onInvalidRequest(status, reason);
    }

    /** Discards the request that is being read and all further data. */
    void close() {
        closed = true;
        if (stream != null) {
            stream.abort();
            stream = null;
        }
        if (head != null) {
            memory.release(body.lengthBytes());
        }
        head = null;
        body.clear();
    }
}
