package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import loadbalancer.transport.BodyMemoryBudget;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.UpstreamResponse;

/**
 * One connection of a client: serves its requests one after the other, each one's response in turn, and limits how long
 * the client may take over anything. Last in its pipeline, behind {@link RequestReader}; not sharable. Belongs to the
 * event loop's thread.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestReader.Listener {
    /** What is being done about responses. */
    private enum ResponseState {
        /** No request is being served. */
        IDLE,
        /** The next request, or the refusal of one, is to be served by a task on the event loop. */
        SCHEDULED,
        /** A request is being served. */
        SERVING,
        /** The last response has been written; nothing more is served. */
        ENDING
    }

    static final String STOPPING = "stopping: trying again is harmless";
    private static final byte[] NO_BODY = new byte[0];

    private final ClientRequestHandler requestHandler;
    private final BodyMemoryBudget memory;
    private final Channel channel;
    private final RequestReader reader;
    private final ClientRequestDecoder decoder = new ClientRequestDecoder();
    private final ResponseWriter writer;
    private final ClientTimeouts timeouts = new ClientTimeouts();
    private final PipelinedRequests waiting;
    private ResponseState state = ResponseState.IDLE;
    private RequestValidator.Problem refusal; // the last response, when its turn comes
    private boolean receiving; // part of a request has arrived
    private boolean hasRequested; // a whole request has arrived, or one was refused
    private BodyStream servedBody; // of the request that is being served, where it is streamed
    private int reservedBytes; // for the body of the request that is being served
    private Runnable departureListener; // set while a response is owed
    private BodyStream upload; // of the request that is arriving, where it is streamed
    private BodyStream download; // of a response that is being forwarded

    /** Creates a connection and adds its handlers to the pipeline of {@code channel}. */
    ClientConnection(ClientRequestHandler requestHandler, BodyMemoryBudget memory, Channel channel) {
        this.requestHandler = requestHandler;
        this.memory = memory;
        this.channel = channel;
        this.reader = new RequestReader(this, memory);
        this.writer = new ResponseWriter(channel);
        this.waiting = new PipelinedRequests(memory);
        channel.pipeline().addLast(new ReadActivityHandler(this), decoder, new HttpResponseEncoder(), reader, this);
    }

    // ---- what the connection is doing

    boolean hasRequested() {
        return hasRequested;
    }

    boolean isStreaming() {
        return download != null;
    }

    boolean isEnding() {
        return state == ResponseState.ENDING;
    }

    /** Returns for how long no request has been arriving, waiting or being served; -1 where one is. */
    long idleNanos(long nowNanos) {
        return state != ResponseState.IDLE || receiving || !waiting.isEmpty() ? -1 : timeouts.phaseNanos(nowNanos);
    }

    /** Returns for how long nothing more has arrived of a request that is not whole; 0 where none is arriving. */
    long stuckNanos(long nowNanos) {
        boolean arriving = receiving
                && state == ResponseState.IDLE
                && upload == null
                && channel.config().isAutoRead();
        return arriving ? timeouts.sinceLastReadNanos(nowNanos) : 0;
    }

    /** Returns whether a response is being waited for here, or has yet to leave. */
    boolean hasPendingResponse() {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        boolean serving = state == ResponseState.SCHEDULED || state == ResponseState.SERVING;
        return serving || outbound != null && outbound.totalPendingWriteBytes() > 0;
    }

    // ---- ends

    void close() {
        channel.close();
    }

    /** Refuses a request that is not whole: it may become so just as the process ends, and would be lost. */
    void refuseIncomplete() {
        if (receiving && state == ResponseState.IDLE && upload == null) {
            onInvalidRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, STOPPING);
        }
    }

    /** Ends what takes too long. */
    void checkTimeouts(long nowNanos) {
        if (state == ResponseState.ENDING) {
            if (timeouts.isLingerOver(nowNanos)) {
                close();
            }
        } else if (upload != null && timeouts.isReceiptOverdue(nowNanos, upload.pausedNanos())) {
            if (channel.config().isAutoRead()) {
                close();
            }
        } else if (upload == null
                && receiving
                && channel.config().isAutoRead()
                && timeouts.isReceiptOverdue(nowNanos, 0)) {
            onInvalidRequest(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
        } else if (download != null && timeouts.isStalledTooLong(download.stalledNanos(nowNanos))) {
            close();
        } else if (timeouts.isIdleTooLong(idleNanos(nowNanos), hasRequested)) {
            close();
        }
        if (timeouts.isWriteStalled(nowNanos, channel.bytesBeforeWritable())) {
            close();
        }
    }

    /** The channel has closed: releases all that was kept for it. */
    void onClosed() {
        reader.close();
        releaseServedMemory();
        waiting.clear();
        if (servedBody != null && !servedBody.isConsumed()) {
            servedBody.discard();
        }
        if (download != null) {
            download.discard();
            download.source().close();
        }
        Runnable listener = departureListener;
        departureListener = null;
        if (listener != null) {
            listener.run();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close();
    }

    // ---- requests

    /** Some bytes have arrived; called before they are decoded. */
    void onRead(int bytes) {
        if (!receiving && state != ResponseState.ENDING) {
            receiving = true;
            timeouts.startReceipt();
        }
        timeouts.onRead(bytes);
    }

    @Override
    public void onHead(HttpRequest head) {
        if (HttpUtil.is100ContinueExpected(head) && state == ResponseState.IDLE) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void onStreamedRequest(HttpRequest head, BodyStream body) {
        hasRequested = true;
        upload = body;
        waiting.addStreamed(new PipelinedRequests.Entry(head, NO_BODY, body, latestSentAtNanos()));
        serveNextIfWritable();
    }

    @Override
    public void onStreamedRequestComplete() {
        upload = null;
        receiving = false;
        timeouts.startPhase();
    }

    @Override
    public void onRequest(HttpRequest head, byte[] body) {
        receiving = false;
        hasRequested = true;
        // A client that pipelines too much is refused and still read: with reading turned off nobody would notice that
        // it leaves, and what waits here would be forwarded for nobody.
        if (waiting.isFull(state == ResponseState.SCHEDULED ? 1 : 0)) {
            onInvalidRequest(HttpResponseStatus.BAD_REQUEST, "too many requests sent ahead");
        } else {
            waiting.add(new PipelinedRequests.Entry(head, body, null, latestSentAtNanos()));
            serveNextIfWritable();
        }
    }

    private long latestSentAtNanos() {
        return System.nanoTime() - 1000 * requestHandler.unreadMicros();
    }

    @Override
    public void onInvalidRequest(HttpResponseStatus status, String reason) {
        receiving = false;
        if (refusal == null) {
            refuseFurther(status, reason);
            if (state == ResponseState.IDLE && waiting.isEmpty()) {
                writeText(status, reason, false);
            }
        }
    }

    /** Refuses the request that is being served, and with it all that its client sent behind it. */
    void refuse(HttpResponseStatus status, String reason) {
        waiting.clear();
        if (refusal == null) {
            refuseFurther(status, reason);
        }
        writeText(status, reason, false);
    }

    // What follows is not even decoded: there may be hundreds of requests behind an invalid one.
    private void refuseFurther(HttpResponseStatus status, String reason) {
        hasRequested = true;
        reader.close();
        refusal = new RequestValidator.Problem(status, reason);
        channel.pipeline().replace(decoder, null, new DiscardingHandler(this));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (download != null) {
            download.writabilityChanged();
        }
        serveNextIfWritable();
    }

    private void serveNextIfWritable() {
        if (channel.isWritable()) {
            scheduleNext();
        }
    }

    // In a task of its own: many requests that get their responses at once would fill the stack, and keep all other
    // clients waiting. Also, by then the end of the connection has been read where it came right behind the request, so
    // that
    // nothing is forwarded for a client that left while its request waited to be read.
    private void scheduleNext() {
        if (state == ResponseState.IDLE && (refusal != null || !waiting.isEmpty())) {
            state = ResponseState.SCHEDULED;
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        state = ResponseState.SERVING;
        PipelinedRequests.Entry next = waiting.poll();
        if (!channel.isActive()) {
            return;
        }
        if (next != null) {
            serve(next);
        } else if (refusal != null) {
            writeText(refusal.status(), refusal.reason(), false);
        }
    }

    private void serve(PipelinedRequests.Entry request) {
        reservedBytes = request.body().length;
        servedBody = request.streamedBody();
        long waitedMicros = (System.nanoTime() - request.sentAtNanos()) / 1000;
        requestHandler.handle(this, request.head(), request.body(), request.streamedBody(), waitedMicros);
    }

    // ---- responses

    /** A response is owed from here on; {@code listener} runs if the client leaves before it. */
    void whenDeparted(Runnable listener) {
        departureListener = listener;
    }

    /** Writes a response of one line of text to the request that is being served. */
    void writeText(HttpResponseStatus status, String text, boolean keepAlive) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        write(status, body, "text/plain", null, null, keepAlive);
    }

    /**
     * Writes the response to the request that is being served.
     *
     * @param contentType may be null
     * @param extraName a further header, which is left out where {@code extraValue} is null
     * @param keepAlive whether the client lets its connection be kept open
     */
    void write(
            HttpResponseStatus status,
            ByteBuf body,
            String contentType,
            String extraName,
            String extraValue,
            boolean keepAlive) {
        releaseRequest();
        boolean stays = keepAlive && !requestHandler.isStopping();
        onResponseWritten(writer.write(status, body, contentType, extraName, extraValue, stays), stays);
    }

    /** Forwards a response that has begun, as it arrives; {@code chunked}: its client understands chunks. */
    void stream(UpstreamResponse response, boolean keepAlive, boolean chunked) {
        releaseRequest();
        BodyStream body = response.streamedBody();
        boolean delimited = body.lengthBytes() >= 0 || chunked;
        boolean stays = keepAlive && delimited && !requestHandler.isStopping();
        writer.writeHead(response, chunked, stays);
        download = body;
        body.forwardTo(new ResponseBodyWriter(this, channel, delimited, stays));
    }

    void onStreamEnded() {
        download = null;
    }

    // The request has its response: its memory is free, and what still arrives of it is not wanted.
    private void releaseRequest() {
        departureListener = null;
        releaseServedMemory();
        if (servedBody != null) {
            servedBody.discard();
            servedBody = null;
        }
    }

    private void releaseServedMemory() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    /** The last byte of a response has been given to the channel. */
    void onResponseWritten(ChannelFuture written, boolean stays) {
        if (upload == null) {
            timeouts.startPhase();
        }
        if (stays) {
            state = ResponseState.IDLE;
            scheduleNext();
        } else if (refusal == null && upload == null) {
            state = ResponseState.ENDING;
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            // Closed at once, with bytes unread, the connection would be reset before the response is read.
            state = ResponseState.ENDING;
            written.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }
    }
}
