package loadbalancer.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.ConnectionMemory;
import loadbalancer.transport.HeadMemory;
import loadbalancer.transport.MemoryBudget;
import loadbalancer.transport.MemoryBudgets;
import loadbalancer.transport.ReadPacer;
import loadbalancer.transport.UpstreamResponse;

/**
 * One connection of a client. Serves the requests one at a time, so that the responses are in the order of the
 * requests, and applies the timeouts. The last handler in the pipeline, after {@link RequestReader}; not sharable. Used
 * on the event loop's thread only.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestReader.Listener {
    static final String STOPPING_REASON = "stopping: trying again is harmless";
    private static final String NO_ROOM_REASON = "no room for bodies: trying again is harmless";
    private static final byte[] NO_BODY = new byte[0];

    private final ClientRequestHandler requestHandler;
    private final ConnectionMemory headMemory;
    private final ConnectionMemory responseMemory; // of responses that have not been written to the socket
    private final Channel channel;
    private final RequestReader reader;
    private final ResponseWriter writer;
    private final ClientTimeouts timeouts = new ClientTimeouts();
    private final PipelinedRequests pipelinedRequests;
    private final ServedRequest servedRequest;
    private final ArrivingUpload upload;
    private final Rejection rejection; // written after the responses to earlier requests, as the last one
    private ResponseState state = ResponseState.IDLE;
    private boolean receiving; // a request has arrived in part
    private boolean hasRequested; // a complete or streamed request has arrived
    private BodyStream download; // the body of a response that is being streamed

    /** Creates a connection and adds its handlers to the pipeline of {@code channel}. */
    ClientConnection(ClientRequestHandler requestHandler, MemoryBudgets memory, Channel channel) {
        this.requestHandler = requestHandler;
        MemoryBudget bodyMemory = memory.requestBodies();
        this.headMemory = new ConnectionMemory(memory.requestHeads());
        this.responseMemory = new ConnectionMemory(memory.responses());
        this.channel = channel;
        HeadMemory arrivingHead = new HeadMemory(headMemory);
        ClientRequestDecoder decoder = new ClientRequestDecoder(arrivingHead, ReadPacer.attachTo(channel));
        this.reader = new RequestReader(this, bodyMemory, arrivingHead, headMemory);
        this.writer = new ResponseWriter(channel, responseMemory);
        this.pipelinedRequests = new PipelinedRequests(bodyMemory, headMemory);
        this.servedRequest = new ServedRequest(bodyMemory, headMemory);
        this.upload = new ArrivingUpload(channel.eventLoop(), () -> rejectArriving(NO_ROOM_REASON));
        this.rejection = new Rejection(this, channel, reader, decoder);
        channel.pipeline().addLast(new ReadActivityHandler(this), decoder, new HttpResponseEncoder(), reader, this);
    }

    // ---- what the connection is doing

    boolean hasRequested() {
        return hasRequested || rejection.hasBegun();
    }

    boolean isStreaming() {
        return download != null;
    }

    boolean isEnding() {
        return state == ResponseState.ENDING;
    }

    /** Returns for how long no request has been arriving, waiting or being served; -1 if there is one. */
    long idleNanos(long nowNanos) {
        return hasPendingResponse() || receiving || !pipelinedRequests.isEmpty() ? -1 : timeouts.phaseNanos(nowNanos);
    }

    /** Returns for how long no data has arrived for an incomplete request; 0 if no request is arriving. */
    long receiveStalledNanos(long nowNanos) {
        boolean arriving = receiving
                && state == ResponseState.IDLE
                && !upload.isArriving()
                && channel.config().isAutoRead();
        return arriving ? timeouts.sinceLastReadNanos(nowNanos) : 0;
    }

    /** Returns whether a response is pending, or the client may not have all of the last one yet. */
    boolean hasPendingResponse() {
        return state != ResponseState.IDLE || writer.hasUnwrittenBytes();
    }

    // ---- timeouts and close

    void close() {
        channel.close();
    }

    /** Rejects the request that is arriving, as the process is stopping: without its last byte it can't have run. */
    void rejectIncomplete() {
        if (receiving && !upload.isAnswered() && state != ResponseState.ENDING) {
            rejectArriving(STOPPING_REASON);
        }
    }

    // The rest of a body in service is read and discarded, as behind any response.
    private void rejectArriving(String reason) {
        if (servedRequest.hasBody(upload.body())) {
            servedRequest.abandon();
            writeText(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, false);
        } else {
            onInvalidRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        }
    }

    /** Closes the connection, or rejects the request that is arriving, if a timeout has expired. */
    void checkTimeouts(long nowNanos) {
        if (state == ResponseState.ENDING) {
            if (!writer.hasUnwrittenBytes() && timeouts.isLingerOver(nowNanos)) {
                close();
            }
        } else if (isReceiveOverdue(nowNanos)) {
            endOverdueRequest();
        } else if (download != null && timeouts.isTooSlow(download, nowNanos)
                || timeouts.isIdleTooLong(idleNanos(nowNanos), hasRequested())) {
            close();
        }
        if (timeouts.isWriteStalled(nowNanos, writer.hasUnwrittenBytes())) {
            close();
        }
    }

    private boolean isReceiveOverdue(long nowNanos) {
        return receiving && channel.config().isAutoRead() && timeouts.isReceiveOverdue(nowNanos, upload.pausedNanos());
    }

    private void endOverdueRequest() {
        if (upload.isArriving()) {
            close();
        } else {
            onInvalidRequest(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
        }
    }

    /** Called when the channel has closed: releases the resources of the connection. */
    void onClosed() {
        reader.close();
        pipelinedRequests.clear();
        if (download != null) {
            download.discard();
            download.source().close();
        }
        servedRequest.abandon();
        headMemory.releaseAll();
        responseMemory.releaseAll();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close();
    }

    /** Called when bytes have arrived, before they are decoded. */
    void onRead(int bytes) {
        if (!receiving && state != ResponseState.ENDING) {
            receiving = true;
            timeouts.startReceiving();
        }
        timeouts.onRead(bytes);
        upload.readStarted(earliestArrivalNanos());
    }

    /** Called when the bytes of a read that has left the socket empty have been decoded. */
    void onDrained() {
        upload.drained();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        upload.readCompleted();
    }

    @Override
    public void onHead(HttpRequest head) {
        if (HttpUtil.is100ContinueExpected(head) && state == ResponseState.IDLE) {
            writer.writeContinue();
        }
    }

    @Override
    public void onStreamedRequest(HttpRequest head, int headBytes, BodyStream body) {
        hasRequested = true;
        upload.begin(body, earliestArrivalNanos());
        pipelinedRequests.addStreamed(
                new PipelinedRequests.Entry(head, headBytes, NO_BODY, body, earliestArrivalNanos()));
        serveNextIfWritable();
    }

    @Override
    public void onStreamedRequestComplete() {
        upload.end();
        receiving = false;
        timeouts.startPhase();
    }

    @Override
    public void onRequest(HttpRequest head, int headBytes, byte[] body) {
        receiving = false;
        hasRequested = true;
        // Past the limit the connection is still read, or else a disconnect would not be noticed.
        if (pipelinedRequests.isFull(state == ResponseState.SCHEDULED ? 1 : 0)) {
            onInvalidRequest(HttpResponseStatus.BAD_REQUEST, "too many requests sent ahead");
        } else {
            pipelinedRequests.add(new PipelinedRequests.Entry(head, headBytes, body, null, earliestArrivalNanos()));
            serveNextIfWritable();
        }
    }

    private long earliestArrivalNanos() {
        return System.nanoTime() - 1000 * requestHandler.unreadMicros();
    }

    @Override
    public void onInvalidRequest(HttpResponseStatus status, String reason) {
        receiving = false;
        if (rejection.hasBegun()) {
            return;
        }
        rejection.begin(status, reason);
        if (upload.isArriving()) {
            rejectInvalidUpload();
        } else {
            rejectIfIdle();
        }
    }

    private void rejectIfIdle() {
        if (state == ResponseState.IDLE && pipelinedRequests.isEmpty()) {
            writeRejection();
        }
    }

    // The request whose body has become invalid may be waiting or in service, or have its response already.
    private void rejectInvalidUpload() {
        if (upload.isAnswered()) {
            if (state == ResponseState.IDLE) {
                endAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER)); // after what has not been written yet
            }
        } else if (servedRequest.hasBody(upload.body())) {
            servedRequest.abandon();
            writeRejection();
        } else {
            pipelinedRequests.removeStreamed(upload.body());
            rejectIfIdle();
        }
    }

    /** Rejects the request that is being served, and discards the requests behind it. */
    void reject(HttpResponseStatus status, String reason) {
        pipelinedRequests.clear();
        rejection.begin(status, reason);
        writeText(status, reason, false);
    }

    private void writeRejection() {
        writeText(rejection.status(), rejection.reason(), false);
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

    // In a separate task: with a direct call, many pipelined requests that get immediate responses could overflow the
    // stack. Also, a disconnect right after the request has been read by then, so that nothing is forwarded for nobody.
    private void scheduleNext() {
        if (state == ResponseState.IDLE && (rejection.hasBegun() || !pipelinedRequests.isEmpty())) {
            state = ResponseState.SCHEDULED;
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        state = ResponseState.SERVING;
        PipelinedRequests.Entry next = pipelinedRequests.poll();
        if (!channel.isActive()) {
            return;
        }
        if (next != null) {
            serve(next);
        } else if (rejection.hasBegun()) {
            writeRejection();
        }
    }

    private void serve(PipelinedRequests.Entry request) {
        servedRequest.begin(request);
        long waitedMicros = (System.nanoTime() - request.earliestArrivalNanos()) / 1000;
        requestHandler.handle(this, request.head(), request.body(), request.streamedBody(), waitedMicros);
    }

    // ---- responses

    /** See {@link ServedRequest#setDisconnectListener}. */
    void setDisconnectListener(Runnable listener) {
        servedRequest.setDisconnectListener(listener);
    }

    /** Writes a response with one line of text to the request that is being served. */
    void writeText(HttpResponseStatus status, String text, boolean keepAlive) {
        write(BufferedResponse.text(status, text), keepAlive);
    }

    /** Writes the response to the request that is being served; {@code keepAlive}: as the client wants it. */
    void write(BufferedResponse response, boolean keepAlive) {
        endRequest();
        boolean keepOpen = mayKeepOpen(keepAlive);
        onResponseWritten(writer.write(response, keepOpen), keepOpen);
    }

    /** Forwards a streamed response as it arrives; {@code chunked}: the client supports that. */
    void stream(UpstreamResponse response, boolean keepAlive, boolean chunked) {
        endRequest();
        BodyStream body = response.streamedBody();
        boolean delimited = body.lengthBytes() >= 0 || chunked;
        boolean keepOpen = mayKeepOpen(keepAlive && delimited);
        writer.writeHead(response, chunked, keepOpen);
        download = body;
        body.forwardTo(new ResponseBodyWriter(this, channel, delimited, keepOpen));
        channel.flush(); // the head, if nothing of the body has arrived
    }

    // Requests behind this one are answered before a stopping process closes the connection.
    private boolean mayKeepOpen(boolean keepAlive) {
        boolean requestsBehind =
                rejection.hasBegun() || !pipelinedRequests.isEmpty() || receiving && !upload.isArriving();
        return keepAlive && (!requestHandler.isStopping() || requestsBehind);
    }

    void onStreamEnded() {
        download = null;
    }

    /** Called when a part has been written to the socket, with {@code bytes} of a streamed body. */
    void onWritten(int bytes) {
        timeouts.onWritten(System.nanoTime(), bytes);
    }

    private void endRequest() {
        upload.responseBegins(servedRequest);
        servedRequest.end();
    }

    /** Called when the last byte of a response has been passed to the channel. */
    void onResponseWritten(ChannelFuture written, boolean keepOpen) {
        written.addListener(done -> onResponseTaken());
        if (keepOpen) {
            state = ResponseState.IDLE;
            scheduleNext();
        } else {
            endAfter(written);
        }
    }

    private void onResponseTaken() {
        onWritten(0);
        if (!upload.isArriving() && !receiving) {
            timeouts.startPhase();
        }
    }

    private void endAfter(ChannelFuture lastWrite) {
        state = ResponseState.ENDING;
        if (!rejection.hasBegun() && !upload.isArriving()) {
            lastWrite.addListener(ChannelFutureListener.CLOSE);
        } else {
            // Closing the socket with unread bytes would reset the connection before the client has read the response.
            lastWrite.addListener(done -> {
                timeouts.startPhase();
                ((DuplexChannel) channel).shutdownOutput();
            });
        }
    }
}
