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
import loadbalancer.transport.ConnectionMemory;
import loadbalancer.transport.HeadMemory;
import loadbalancer.transport.MemoryBudget;
import loadbalancer.transport.ReadPacer;
import loadbalancer.transport.UpstreamResponse;

/**
 * Assembles the responses on one connection to an upstream, one for each request. It does not trust the upstream: a
 * response that is malformed or ambiguous, and data that belongs to no request, make the connection invalid. Placed
 * after {@link UpstreamResponseDecoder} in the pipeline; one object for each connection, not sharable.
 */
final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
    private static final long STREAMING_DELAY_MILLIS = 20; // how long a response of unknown length is buffered
    private static final int MAX_INFORMATIONAL_RESPONSES = 8; // 1xx responses before a final response
    private static final byte[] NO_BODY = new byte[0];

    /** Receives the responses, on the event loop's thread. */
    interface Listener {
        /** A complete response has arrived; {@code reusable}: the connection may be used for another request. */
        void onResponse(UpstreamResponse response, boolean reusable);

        /** The connection is invalid: no further response can be read from it. */
        void onInvalidResponse();

        /** The head of a successful response has arrived; its body follows, perhaps slowly. */
        void onSuccessfulHead();

        /** Returns whether a response may be forwarded before it is complete. */
        boolean acceptsStreaming();

        /** A response has started that is too large or too slow to be buffered; its body is streamed. */
        void onResponseStarted(UpstreamResponse response);

        /** The last byte of a streamed response has arrived, whose body had {@code bodyBytes}. */
        void onResponseComplete(UpstreamResponse response, long bodyBytes, boolean reusable);
    }

    private final Listener listener;
    private final ConnectionMemory memory; // of the response that is being read
    private final HeadMemory headMemory;
    private final UpstreamResponseDecoder decoder;
    private boolean responseExpected; // a request has been sent and has no complete response yet
    private boolean invalid;
    private boolean abnormalEnd; // the connection ended with an error
    private HttpResponse head;
    private final BodyBuffer body = new BodyBuffer();
    private int informationalCount;
    private boolean inInformationalResponse; // a 1xx response is being read
    private UpstreamResponse completeResponse; // passed to the listener at the end of the read
    private long declaredLengthBytes; // -1: not declared
    private boolean closeDelimited; // the end of the connection is the end of the response
    private BodyStream stream; // the body of a response that is being streamed
    private long streamedBytes;
    private boolean streamComplete; // the last byte of the stream has arrived
    private Future<?> streamingTimer;

    /** Creates a reader; what it holds of a response is counted against {@code memory}, its work by {@code pacer}. */
    ResponseReader(Listener listener, MemoryBudget memory, ReadPacer pacer) {
        this.listener = listener;
        this.memory = new ConnectionMemory(memory);
        headMemory = new HeadMemory(this.memory);
        decoder = new UpstreamResponseDecoder(this, headMemory, pacer);
    }

    ChannelHandler decoder() {
        return decoder;
    }

    /** Called before a request is sent, so that the next data is its response. */
    void expectResponse() {
        responseExpected = true;
        informationalCount = 0;
    }

    /** Returns whether data that arrives now may belong to a response. */
    boolean expectsData() {
        return !invalid && responseExpected;
    }

    /** Called for data that arrives while {@link #expectsData} is false. */
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
            invalidate(); // a second response, or a malformed one
            return;
        }
        if (part instanceof HttpResponse response) {
            readHead(context, response);
        }
        if (!invalid && part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            if (inInformationalResponse) {
                readInformational(last);
            } else if (stream != null) {
                readStreamed(content.content(), last);
            } else {
                readBuffered(context, content.content(), last);
            }
        }
    }

    // The final response is still to come.
    private void readInformational(boolean last) {
        inInformationalResponse = !last;
        if (last) {
            headMemory.take();
            memory.releaseAll();
        }
    }

    private void readHead(ChannelHandlerContext context, HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            inInformationalResponse = true;
            if (++informationalCount > MAX_INFORMATIONAL_RESPONSES
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                invalidate();
            }
            return;
        }
        head = response;
        headMemory.take(); // held until the response ends
        body.clear();
        List<String> transferCodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                transferCodings.size() == 1 && transferCodings.get(0).strip().equalsIgnoreCase("chunked");
        declaredLengthBytes = transferCodings.isEmpty() ? HttpUtil.getContentLength(response, -1L) : -1;
        closeDelimited = transferCodings.isEmpty() && declaredLengthBytes < 0;
        // A close-delimited response is accepted only if it announces the close and the connection ends without an
        // error; otherwise it can't be distinguished from a truncated one.
        boolean delimited =
                transferCodings.isEmpty() ? declaredLengthBytes >= 0 || !HttpUtil.isKeepAlive(response) : chunked;
        long maxBytes = mayStream() ? BodyLimits.MAX_STREAMED_BYTES : BodyLimits.MAX_BUFFERED_BYTES;
        if (!delimited || declaredLengthBytes > maxBytes) {
            invalidate();
        } else if (isSuccessful()) {
            listener.onSuccessfulHead();
            streamAsSoonAsPossible(context);
        }
    }

    // A large response is forwarded from its head on, as its body may come late. Whether a response of unknown length
    // is
    // large shows only later: it is forwarded if it does not arrive completely within a short time.
    private void streamAsSoonAsPossible(ChannelHandlerContext context) {
        if (!mayStream()) {
            return;
        }
        if (declaredLengthBytes > BodyLimits.MAX_BUFFERED_BYTES) {
            startStreaming(context, Unpooled.EMPTY_BUFFER);
        } else if (declaredLengthBytes < 0) {
            streamingTimer = context.executor()
                    .schedule(() -> streamIfIncomplete(context), STREAMING_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isSuccessful() {
        return head.status().code() == HttpResponseStatus.OK.code();
    }

    private boolean mayStream() {
        return isSuccessful() && listener.acceptsStreaming();
    }

    private void readStreamed(ByteBuf more, boolean last) {
        streamedBytes += more.readableBytes();
        if (streamedBytes > BodyLimits.MAX_STREAMED_BYTES || closeDelimited && last && abnormalEnd) {
            invalidate();
        } else {
            stream.write(more.retain());
            streamComplete = last;
        }
    }

    private void readBuffered(ChannelHandlerContext context, ByteBuf more, boolean last) {
        if (tryBuffer(more)) {
            if (last) {
                completeBuffered();
            }
        } else if (mayStream()) {
            startStreaming(context, more);
            streamComplete = last;
        } else {
            invalidate();
        }
    }

    private boolean tryBuffer(ByteBuf more) {
        int count = more.readableBytes();
        if (!body.fits(count) || !memory.tryReserve(body.growthBytes(count))) {
            return false;
        }
        body.append(more);
        return true;
    }

    private void completeBuffered() {
        if (closeDelimited && abnormalEnd) {
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
        memory.releaseAll(); // the client's connection holds what it has not written
    }

    private void cancelStreamingTimer() {
        if (streamingTimer != null) {
            streamingTimer.cancel(false);
            streamingTimer = null;
        }
    }

    // Only at the end of a read is it known whether data followed the response. If the connection were reused before,
    // a duplicate of the response right behind it would be taken for the response to the next request.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (stream != null && (streamComplete || !invalid)) {
            stream.flush();
        }
        if (streamComplete) {
            boolean reusable = !invalid && isReusable();
            BodyStream ending = stream;
            stream = null;
            streamComplete = false;
            UpstreamResponse ended = new UpstreamResponse(head.status().code(), head.headers(), NO_BODY, ending);
            endResponse();
            ending.complete();
            listener.onResponseComplete(ended, streamedBytes, reusable);
        } else if (completeResponse != null) {
            UpstreamResponse response = completeResponse;
            completeResponse = null;
            boolean reusable = !invalid && isReusable();
            endResponse();
            listener.onResponse(response, reusable);
        }
        context.fireChannelReadComplete();
    }

    // An idle connection must not hold the head of its last response.
    private void endResponse() {
        responseExpected = false;
        head = null;
        headMemory.take();
        memory.releaseAll();
    }

    private boolean isReusable() {
        return !decoder.hasUndecodedBytes() && HttpUtil.isKeepAlive(head) && !closeDelimited;
    }

    // The end of the connection may be the end of a close-delimited response.
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        channelReadComplete(context);
        if (stream != null) {
            invalidate();
        }
        memory.releaseAll();
        super.channelInactive(context);
    }

    // A complete response is passed on whatever follows it; only its connection is not used again.
    private void invalidate() {
        invalid = true;
        if (completeResponse != null || streamComplete) {
            return;
        }
        body.clear();
        cancelStreamingTimer();
        if (stream != null) {
            stream.abort();
        }
        memory.releaseAll();
        listener.onInvalidResponse();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        abnormalEnd = true;
        invalidate();
    }
}
