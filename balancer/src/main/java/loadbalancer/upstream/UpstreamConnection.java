package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.ReadPacer;
import loadbalancer.transport.UpstreamResponse;

/**
 * One connection to an upstream. It processes one call at a time, and is idle between two calls, once the {@link
 * ReuseCheck} allows it to carry another. Used on the event loop's thread only.
 */
final class UpstreamConnection implements ResponseReader.Listener {
    private final UpstreamConnector connector;
    private final UpstreamEndpoint endpoint;
    private final InetSocketAddress address; // of the endpoint when the connection was opened
    private final int processNumber; // of the endpoint when the connection was opened
    private final ReadPacer pacer = new ReadPacer();
    private final ResponseReader reader;
    private Channel channel;
    private UpstreamCall call;
    private RequestProgress progress = RequestProgress.NOT_STARTED;
    private boolean active; // the channel has become active
    private long idleSinceMicros;
    private BodyStream upload; // the body of the last request, if it is streamed
    private BodyStream download; // the body of a response that is being streamed
    private final ReuseCheck reuse = new ReuseCheck();
    private Future<?> reuseTimer; // until the health check is sent, and then until it is given up
    private UpstreamResponse unconfirmed; // a response that may be a copy of the one to the health check

    UpstreamConnection(UpstreamConnector connector, UpstreamEndpoint endpoint, UpstreamCall call) {
        this.connector = connector;
        this.endpoint = endpoint;
        this.address = endpoint.address();
        this.processNumber = endpoint.processNumber();
        this.reader = new ResponseReader(this, connector.responseMemory(), pacer);
        assign(call);
    }

    private void assign(UpstreamCall next) {
        call = next;
        next.assignTo(this);
    }

    // ---- opening

    void initialize(ChannelPipeline pipeline) {
        pipeline.channel().config().setRecvByteBufAllocator(pacer);
        pipeline.addLast(new HttpRequestEncoder(), reader.decoder(), reader, new UpstreamConnectionHandler(this));
    }

    void setChannel(Channel opened) {
        channel = opened;
    }

    void opened(ChannelFuture connected) {
        setChannel(connected.channel());
        channel.closeFuture().addListener(closed -> onClosed());
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                endCall(AttemptOutcome.CONNECT_FAILED, null, null);
                channel.close();
            } else {
                sendAssigned();
            }
        });
    }

    // ---- requests

    boolean hasStartedRequest() {
        return progress != RequestProgress.NOT_STARTED;
    }

    boolean hasSentRequest() {
        return progress == RequestProgress.SENT;
    }

    boolean isProcessing(UpstreamCall other) {
        return call == other;
    }

    /** Returns whether the connection is open and has not been idle for too long. */
    boolean isUsable() {
        return channel.isActive() && connector.nowMicros() - idleSinceMicros < connector.idleTimeoutMicros();
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    boolean isProven() {
        return reuse.isProven();
    }

    /** Sends the request of {@code next} when that is allowed, see {@link ReuseCheck}. */
    void sendWhenProven(UpstreamCall next) {
        assign(next);
        if (reuse.isProven()) {
            sendAssigned();
        }
    }

    // While the call waited, it may have been abandoned, the endpoint drained, or the permission to send it ended.
    private void sendAssigned() {
        if (call == null) {
            becomeIdle(); // the connection is established, so a later call can use it
        } else if (!mayCarryRequests()) {
            giveUp();
        } else if (!call.maySend()) {
            UpstreamCall notSent = takeCall();
            becomeIdle();
            notSent.end(AttemptOutcome.NOT_SENT, null, null);
        } else {
            send(call);
        }
    }

    private boolean mayCarryRequests() {
        return endpoint.accepts(connector.nowMicros()) && endpoint.processNumber() == processNumber;
    }

    private void send(UpstreamCall next) {
        progress = RequestProgress.SENDING;
        reader.expectResponse();
        FullHttpRequest message = RequestMessages.create(next, address);
        if (next.request().streamedBody() == null) {
            channel.writeAndFlush(message).addListener(done -> onRequestWritten(next, done.isSuccess()));
        } else {
            stream(next, message);
        }
    }

    private void stream(UpstreamCall sentCall, FullHttpRequest message) {
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(), message.headers()));
        upload = sentCall.request().streamedBody();
        upload.forwardTo(new RequestBodyWriter(this, sentCall, channel));
    }

    void onRequestWritten(UpstreamCall sentCall, boolean success) {
        if (call != sentCall) {
            return;
        }
        if (success) {
            progress = RequestProgress.SENT;
            sentCall.requestWritten();
        } else {
            progress = RequestProgress.SENDING;
            endCall(AttemptOutcome.CONNECT_FAILED, null, null);
            close();
        }
    }

    /** Abandons the call; returns whether its request may have run. */
    boolean abandonCall() {
        boolean mayHaveRun = progress == RequestProgress.SENT;
        call = null;
        if (hasStartedRequest()) {
            close();
        }
        return mayHaveRun;
    }

    private void endCall(AttemptOutcome outcome, UpstreamResponse response, LoadReport load) {
        UpstreamCall endingCall = takeCall();
        if (endingCall != null) {
            endingCall.end(outcome, response, load);
        }
    }

    private void becomeIdle() {
        upload = null;
        progress = RequestProgress.NOT_STARTED;
        idleSinceMicros = connector.nowMicros();
        if (!channel.isActive() || endpoint.isDraining() || endpoint.processNumber() != processNumber) {
            close();
        } else {
            endpoint.addIdle(this);
            if (!reuse.isProven()) {
                reuseTimer = connector.loop().schedule(this::check, ReuseCheck.REST_MICROS, TimeUnit.MICROSECONDS);
            }
        }
    }

    // ---- the check before the connection is used again

    private void check() {
        if (!channel.isActive()) {
            return;
        }
        if (mayCarryRequests()) {
            reuse.checkSent();
            sendHealthCheck();
            long limitMillis = connector.connectTimeoutMillis();
            reuseTimer = connector.loop().schedule(this::close, limitMillis, TimeUnit.MILLISECONDS);
        } else {
            giveUp();
        }
    }

    private void giveUp() {
        endCall(AttemptOutcome.NOT_SENT, null, null);
        close();
    }

    private void sendHealthCheck() {
        reader.expectResponse();
        channel.writeAndFlush(RequestMessages.healthCheck(address, connector.probesAllowed()));
    }

    private void onCheckResponse(UpstreamResponse response, boolean reusable) {
        reuseTimer.cancel(false);
        if (!reusable || !reuse.accept(ReuseCheck.Fingerprint.of(response))) {
            close(); // onInactive finds another connection for a call that waits
            return;
        }
        endpoint.removeIdle(this);
        sendAssigned();
    }

    private void confirm(UpstreamResponse response) {
        unconfirmed = response;
        reuse.confirmationSent();
        sendHealthCheck();
    }

    private void onConfirmingResponse(UpstreamResponse response, boolean reusable) {
        UpstreamResponse held = unconfirmed;
        unconfirmed = null;
        boolean confirmed = reuse.confirm(ReuseCheck.Fingerprint.of(held), ReuseCheck.Fingerprint.of(response));
        UpstreamCall endingCall = takeCall();
        if (confirmed && reusable) {
            becomeIdle();
        } else {
            close();
        }
        end(endingCall, confirmed ? held : response);
    }

    void close() {
        channel.close();
    }

    // ---- responses

    @Override
    public void onResponse(UpstreamResponse response, boolean reusable) {
        if (reuse.isChecking()) {
            onCheckResponse(response, reusable);
        } else if (reuse.isConfirming()) {
            onConfirmingResponse(response, reusable);
        } else if (call != null && reuse.mayBeCopy(ReuseCheck.Fingerprint.of(response))) {
            onPossibleCopy(response, reusable);
        } else {
            onOwnResponse(response, reusable);
        }
    }

    // Where the connection is invalid, what followed in the same read may be the response to the request.
    private void onPossibleCopy(UpstreamResponse response, boolean reusable) {
        if (reusable && isRequestSent()) {
            confirm(response);
        } else {
            close(); // onInactive ends the call
        }
    }

    private void onOwnResponse(UpstreamResponse response, boolean reusable) {
        boolean keepsConnection = call != null && reusable && isRequestSent();
        UpstreamCall endingCall = takeCall();
        // Before the policy is notified, as the next attempt may wait for this connection.
        if (keepsConnection) {
            reuse.responseEnded(ReuseCheck.Fingerprint.of(response));
            becomeIdle();
        } else {
            close();
        }
        end(endingCall, response);
    }

    private boolean isRequestSent() {
        return progress == RequestProgress.SENT && (upload == null || upload.isComplete());
    }

    private UpstreamCall takeCall() {
        UpstreamCall taken = call;
        call = null;
        return taken;
    }

    private static void end(UpstreamCall call, UpstreamResponse response) {
        if (call != null) {
            LoadReport load =
                    call.isProbe() ? ResponseClassifier.probedLoad(response) : ResponseClassifier.load(response);
            call.end(ResponseClassifier.outcome(response), response, load);
        }
    }

    @Override
    public void onSuccessfulHead() {
        if (call != null && progress == RequestProgress.SENT && !reuse.isChecking()) {
            call.responseBegun();
        }
    }

    @Override
    public boolean acceptsStreaming() {
        return call != null && !call.isProbe() && !reuse.isChecking();
    }

    @Override
    public void onResponseStarted(UpstreamResponse response) {
        UpstreamCall endingCall = takeCall();
        download = response.streamedBody();
        boolean requestSent = progress == RequestProgress.SENT;
        if (!requestSent || endingCall == null) {
            download.discard();
            close(); // a response to an incomplete request, or to no request
        }
        if (endingCall != null) {
            endingCall.end(
                    requestSent ? AttemptOutcome.OK : AttemptOutcome.RESET,
                    requestSent ? response : null,
                    ResponseClassifier.load(response));
        }
    }

    @Override
    public void onResponseComplete(UpstreamResponse response, long bodyBytes, boolean reusable) {
        download = null;
        if (isRequestSent() && reusable && channel.isActive() && !reuse.isConfirming()) {
            reuse.responseEnded(ReuseCheck.Fingerprint.ofStreamed(response, bodyBytes));
            becomeIdle();
        } else {
            close();
        }
    }

    @Override
    public void onInvalidResponse() {
        close(); // onInactive ends the call
    }

    // ---- events of the channel

    void onActive() {
        active = true;
    }

    void onWritabilityChanged() {
        if (upload != null) {
            upload.writabilityChanged();
        }
    }

    private void onClosed() {
        connector.connectionClosed();
        endpoint.removeIdle(this);
        if (reuseTimer != null) {
            reuseTimer.cancel(false);
        }
        if (!active) {
            onInactive();
        }
    }

    private void connectAgain() {
        if (endpoint.processNumber() == processNumber) {
            connector.connect(endpoint, takeCall());
        } else {
            giveUp();
        }
    }

    /** Called after the reader was notified, as the end of the connection may complete a close-delimited response. */
    void onInactive() {
        if (download != null) {
            download.abort();
        }
        if (upload != null && call != null) {
            upload.discard();
        }
        if (call != null && active && !hasStartedRequest()) {
            connectAgain(); // nothing of it has been sent
            return;
        }
        boolean mayHaveRun = progress == RequestProgress.SENT;
        endCall(mayHaveRun ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null, null);
    }
}
