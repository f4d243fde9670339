package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.BodyBuffer;
import loadbalancer.transport.BodyLimits;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.UpstreamResponse;

/**
 * Puts together the responses on one connection to an upstream, one for each request, and trusts nothing that arrives:
 * a response that can't be read for certain is none, and what was not asked for makes the connection invalid. Stands
 * behind {@link UpstreamResponseDecoder} in the pipeline; one object for each connection, not sharable.
 */
final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
    private static final long STREAMING_DELAY_MILLIS = 20; // for the rest of a response of unknown length
    private static final int MAX_INFORMATIONAL = 8; // 1xx responses ahead of one
    private static final byte[] NO_BODY = new byte[0];

    /** Gets what is read, on the event loop's thread. */
    interface Listener {
        /** A response has arrived whole; {@code reusable}: the connection may carry another request. */
        void onResponse(UpstreamResponse response, boolean reusable);

        /** Nothing more can be read here. */
        void onInvalidResponse();

        /** Returns whether a response may be forwarded before it is whole. */
        boolean acceptsStreaming();

        /** A response has begun that is too large or too slow to be buffered; the rest of its body is streamed. */
        void onResponseStarted(UpstreamResponse response);

        /** The last byte of a streamed response has arrived. */
        void onResponseComplete(boolean reusable);
    }

    private final Listener listener;
    private final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(this);
    private boolean responseExpected; // for a request that has been sent
    private boolean invalid;
    private boolean abnormalEnd; // the connection did not end in order
    private HttpResponse head;
    private final BodyBuffer body = new BodyBuffer();
    private int informationalCount;
    private boolean informational; // within a 1xx response
    private UpstreamResponse completeResponse; // passed on at the end of the read
    private long declaredLengthBytes; // -1: not known beforehand
    private boolean endsWithConnection;
    private BodyStream stream; // of the response that is being forwarded
    private long streamedBytes;
    private boolean streamComplete; // all of it has arrived
    private Future<?> streamingTimer;

    ResponseReader(Listener listener) {
        this.listener = listener;
    }

    ChannelHandler decoder() {
        return decoder;
    }

    /** A request is about to be sent. */
    void expectResponse() {
        responseExpected = true;
        informationalCount = 0;
    }

    /** Returns whether what arrives now may belong to a response. */
    boolean expectsData() {
        return !invalid && responseExpected;
    }

    /** Something arrived while {@link #expectsData} was false. */
    void onUnexpectedData() {
        if (!invalid) {
            invalidate();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (invalid) {
            return;
        }
        if (completeResponse != null || streamComplete || !part.decoderResult().isSuccess()) {
            invalidate(); // a second response, or one that can't be read
            return;
        }
        if (part instanceof HttpResponse response) {
            readHead(response);
        }
        if (!invalid && part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            if (informational) {
                informational = !last; // the final response is still to come
            } else if (stream != null) {
                readStreamed(content.content(), last);
            } else {
                readBuffered(context, content.content(), last);
            }
        }
    }

    private void readHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            informational = true;
            if (++informationalCount > MAX_INFORMATIONAL
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                invalidate();
            }
            return;
        }
        head = response;
        body.clear();
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).strip().equalsIgnoreCase("chunked");
        declaredLengthBytes = codings.isEmpty() ? HttpUtil.getContentLength(response, -1L) : -1;
        endsWithConnection = codings.isEmpty() && declaredLengthBytes < 0;
        // A response that ends with its connection is accepted where it says so, and where that end is in order;
        // otherwise it can't be told from one that was cut short.
        boolean delimited = codings.isEmpty() ? declaredLengthBytes >= 0 || !HttpUtil.isKeepAlive(response) : chunked;
        long maxBytes = mayStream() ? BodyLimits.MAX_STREAMED_BYTES : BodyLimits.MAX_BUFFERED_BYTES;
        if (!delimited || declaredLengthBytes > maxBytes) {
            invalidate();
        }
    }

    private boolean mayStream() {
        return head.status().code() == HttpResponseStatus.OK.code() && listener.acceptsStreaming();
    }

    private void readStreamed(ByteBuf more, boolean last) {
        streamedBytes += more.readableBytes();
        if (streamedBytes > BodyLimits.MAX_STREAMED_BYTES || endsWithConnection && last && abnormalEnd) {
            invalidate();
        } else {
            stream.write(more.retain());
            streamComplete = last;
        }
    }

    private void readBuffered(ChannelHandlerContext context, ByteBuf more, boolean last) {
        boolean streamable = mayStream();
        boolean fits = body.fits(more.readableBytes());
        boolean tooLarge = declaredLengthBytes > BodyLimits.MAX_BUFFERED_BYTES && more.isReadable() || !fits;
        if (streamable && !last && tooLarge) {
            startStreaming(context, more);
            return;
        }
        if (!fits) {
            invalidate();
            return;
        }
        body.append(more);
        if (last) {
            completeBuffered();
        } else if (streamable && declaredLengthBytes < 0 && body.lengthBytes() > 0 && streamingTimer == null) {
            streamingTimer = context.executor()
                    .schedule(() -> streamIfIncomplete(context), STREAMING_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void completeBuffered() {
        if (endsWithConnection && abnormalEnd) {
            invalidate();
            return;
        }
        completeResponse = new UpstreamResponse(head.status().code(), head.headers(), body.takeArray(), null);
        cancelStreamingTimer();
    }

    private void streamIfIncomplete(ChannelHandlerContext context) {
        if (stream == null && completeResponse == null && !invalid) {
            startStreaming(context, Unpooled.EMPTY_BUFFER);
        }
    }

    private void startStreaming(ChannelHandlerContext context, ByteBuf more) {
        cancelStreamingTimer();
        stream = new BodyStream(context.channel(), declaredLengthBytes);
        streamedBytes = body.lengthBytes() + more.readableBytes();
        if (body.lengthBytes() > 0) {
            stream.write(body.takeByteBuf());
        }
        if (more.isReadable()) {
            stream.write(more.retain());
        }
        listener.onResponseStarted(new UpstreamResponse(head.status().code(), head.headers(), NO_BODY, stream));
    }

    private void cancelStreamingTimer() {
        if (streamingTimer != null) {
            streamingTimer.cancel(false);
            streamingTimer = null;
        }
    }

    // Only at the end of a read is it known whether anything came behind the response. With the connection in use again
    // before that, a duplicate right behind it would be taken for the response to the next request.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (streamComplete && !invalid) {
            boolean reusable = isReusable();
            BodyStream ending = stream;
            stream = null;
            streamComplete = false;
            responseExpected = false;
            ending.complete();
            listener.onResponseComplete(reusable);
        } else if (completeResponse != null) {
            UpstreamResponse response = completeResponse;
            completeResponse = null;
            responseExpected = false;
            listener.onResponse(response, !invalid && isReusable());
        }
        context.fireChannelReadComplete();
    }

    private boolean isReusable() {
        return !decoder.hasUndecodedBytes() && HttpUtil.isKeepAlive(head) && !endsWithConnection;
    }

    // The end of the connection may be the end of a response.
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        channelReadComplete(context);
        if (stream != null) {
            invalidate();
        }
        super.channelInactive(context);
    }

    private void invalidate() {
        invalid = true;
        body.clear();
        cancelStreamingTimer();
        if (stream != null) {
            stream.abort();
        }
        if (completeResponse == null) {
            listener.onInvalidResponse();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        abnormalEnd = true;
        invalidate();
    }
}
