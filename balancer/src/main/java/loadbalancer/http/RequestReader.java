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
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import loadbalancer.transport.BodyBuffer;
import loadbalancer.transport.BodyLimits;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.ConnectionMemory;
import loadbalancer.transport.HeadMemory;
import loadbalancer.transport.HeadMemoryException;
import loadbalancer.transport.MemoryBudget;

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

        /** A complete request has arrived, whose head takes {@code headBytes} of the heap. */
        void onRequest(HttpRequest head, int headBytes, byte[] body);

        /**
         * A request has started whose body is too large to be buffered; the body is streamed. Its head takes {@code
         * headBytes} of the heap.
         */
        void onStreamedRequest(HttpRequest head, int headBytes, BodyStream body);

        /** The last byte of a streamed request has arrived. */
        void onStreamedRequestComplete();

        /** A request is invalid or too large, or there is no memory for it; {@code reason} is sent to the client. */
        void onInvalidRequest(HttpResponseStatus status, String reason);
    }

    private final Listener listener;
    private final MemoryBudget memory;
    private final HeadMemory headMemory;
    private final ConnectionMemory connectionMemory;
    private final BodyBuffer body = new BodyBuffer();
    private HttpRequest head; // the head of a request whose body is being buffered
    private int headBytes; // heap that the head takes
    private BodyStream stream; // the body of a request that is being streamed
    private long streamedBytes;
    private boolean closed;

    /**
     * Creates a reader.
     *
     * @param memory limits the memory for bodies
     * @param headMemory counts the head that the decoder is decoding
     * @param connectionMemory the account that {@code headMemory} counts against
     */
    RequestReader(Listener listener, MemoryBudget memory, HeadMemory headMemory, ConnectionMemory connectionMemory) {
        this.listener = listener;
        this.memory = memory;
        this.headMemory = headMemory;
        this.connectionMemory = connectionMemory;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (closed) {
            return;
        }
        if (!part.decoderResult().isSuccess()) {
            rejectMalformed(part.decoderResult().cause());
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

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "too large a head");
        } else {
            reject(HttpResponseStatus.BAD_REQUEST, "malformed request");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause.getCause() instanceof HeadMemoryException)) {
            context.fireExceptionCaught(cause);
        } else if (!closed) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for heads: trying again is harmless");
        }
    }

    private void readHead(HttpRequest request) {
        RequestValidator.Problem problem = RequestValidator.findFramingProblem(request);
        if (problem != null) {
            reject(problem.status(), problem.reason());
            return;
        }
        head = request;
        headBytes = headMemory.take();
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
        connectionMemory.release(headMemory.take()); // trailers are not kept
        if (stream != null) {
            BodyStream ending = stream;
            stream = null;
            ending.complete();
            listener.onStreamedRequestComplete();
        } else if (head != null) {
            HttpRequest request = head;
            head = null;
            memory.release(body.capacityBytes());
            listener.onRequest(request, headBytes, body.takeArray());
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
        if (!memory.tryReserve(body.growthBytes(count))) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for bodies: trying again is harmless");
            return;
        }
        body.append(more);
    }

    private void startStreaming(ChannelHandlerContext context, ByteBuf more) {
        HttpRequest request = head;
        head = null;
        memory.release(body.capacityBytes());
        stream = new BodyStream(context.channel(), HttpUtil.getContentLength(request, -1L), memory);
        streamedBytes = body.lengthBytes();
        stream.write(body.takeByteBuf());
        writeToStream(more);
        listener.onStreamedRequest(request, headBytes, stream);
    }

    private void writeToStream(ByteBuf more) {
        streamedBytes += more.readableBytes();
        if (streamedBytes > BodyLimits.MAX_STREAMED_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
        } else if (more.isReadable()) {
            stream.write(more.retain());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (stream != null) {
            stream.flush();
        }
        context.fireChannelReadComplete();
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
        connectionMemory.release(headMemory.take());
        if (head != null) {
            memory.release(body.capacityBytes());
            connectionMemory.release(headBytes);
        }
        head = null;
        body.clear();
    }
}
