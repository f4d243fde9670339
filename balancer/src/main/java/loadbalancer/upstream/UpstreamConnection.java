package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.UpstreamResponse;

/**
 * One connection to an upstream. It carries one call at a time, and is idle where it carries none. Belongs to the event
 * loop's thread.
 */
final class UpstreamConnection implements ResponseReader.Listener {
    /** How much of the current request, or of the last one until the connection is idle again, has been written. */
    private enum RequestProgress {
        /** Nothing has been written: the upstream can't have seen the request. */
        NOT_STARTED,
        /** Some of it may have been written, but not its last byte: it can't have run. */
        SENDING,
        /** All of it has been written: it may have run. */
        SENT
    }

    private final UpstreamConnector connector;
    private final UpstreamEndpoint endpoint;
    private final InetSocketAddress address; // the endpoint's may change
    private final ResponseReader reader = new ResponseReader(this);
    private Channel channel;
    private UpstreamCall call;
    private RequestProgress progress = RequestProgress.NOT_STARTED;
    private boolean active; // the channel has become active
    private long idleSinceMicros;
    private BodyStream upload; // of the last request, where it was streamed
    private BodyStream download; // of the response that is being forwarded

    UpstreamConnection(UpstreamConnector connector, UpstreamEndpoint endpoint, UpstreamCall call) {
        this.connector = connector;
        this.endpoint = endpoint;
        this.address = endpoint.address();
        assign(call);
    }

    private void assign(UpstreamCall next) {
        call = next;
        next.assignTo(this);
    }

    // ---- opening

    void initialize(ChannelPipeline pipeline) {
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

    boolean carries(UpstreamCall other) {
        return call == other;
    }

    /** Returns whether the connection is up and has not been idle for too long. */
    boolean isUsable() {
        return channel.isActive() && connector.nowMicros() - idleSinceMicros < connector.idleTimeoutMicros();
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Returns for how long a duplicate of the last response may still arrive, in microseconds. */
    long settlesInMicros() {
        return SettlePeriod.remainingMicros(idleSinceMicros, connector.nowMicros());
    }

    /** Sends the request of {@code next} once the connection has settled. */
    void sendWhenSettled(UpstreamCall next) {
        assign(next);
        SettlePeriod.whenOver(connector.loop(), settlesInMicros(), this::sendAssigned);
    }

    // The request has waited for this connection, and may not be wanted any more.
    private void sendAssigned() {
        if (call == null) {
            becomeIdle(); // the handshake is paid for
        } else if (!endpoint.accepts(connector.nowMicros())) {
            endCall(AttemptOutcome.NOT_SENT, null, null);
            close();
        } else {
            send(call);
        }
    }

    /** Sends the request of {@code next}; the connection is idle and settled, or waits for this call. */
    void send(UpstreamCall next) {
        assign(next);
        progress = RequestProgress.SENDING;
        reader.expectResponse();
        FullHttpRequest message = RequestMessages.create(next, address);
        if (next.request().streamedBody() == null) {
            channel.writeAndFlush(message).addListener(done -> onRequestWritten(next, done.isSuccess()));
        } else {
            stream(next, message);
        }
    }

    private void stream(UpstreamCall sent, FullHttpRequest message) {
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(), message.headers()));
        upload = sent.request().streamedBody();
        upload.forwardTo(new RequestBodyWriter(this, sent, channel));
    }

    void onRequestWritten(UpstreamCall sent, boolean success) {
        if (call != sent) {
            return;
        }
        if (success) {
            progress = RequestProgress.SENT;
        } else {
            progress = RequestProgress.SENDING;
            endCall(AttemptOutcome.CONNECT_FAILED, null, null);
            close();
        }
    }

    /** The call is not wanted any more. Returns whether its request may have run. */
    boolean abandonCall() {
        boolean mayHaveRun = progress == RequestProgress.SENT;
        call = null;
        if (hasStartedRequest()) {
            close();
        }
        return mayHaveRun;
    }

    private void endCall(AttemptOutcome outcome, UpstreamResponse response, LoadReport load) {
        UpstreamCall ending = call;
        call = null;
        if (ending != null) {
            ending.end(outcome, response, load);
        }
    }

    private void becomeIdle() {
        upload = null;
        progress = RequestProgress.NOT_STARTED;
        idleSinceMicros = connector.nowMicros();
        // Who listens at a former address is another endpoint, if any.
        if (!channel.isActive() || endpoint.isDraining() || !address.equals(endpoint.address())) {
            close();
        } else {
            endpoint.addIdle(this);
        }
    }

    void close() {
        channel.close();
    }

    // ---- responses

    @Override
    public void onResponse(UpstreamResponse response, boolean reusable) {
        UpstreamCall ending = call;
        call = null;
        // Idle before the policy is notified: its next attempt may want this connection.
        if (progress == RequestProgress.SENT && reusable && ending != null) {
            becomeIdle();
        } else {
            close();
        }
        if (ending != null) {
            ending.end(
                    ResponseClassifier.outcome(response),
                    response,
                    ending.isProbe() ? ResponseClassifier.probedLoad(response) : ResponseClassifier.load(response));
        }
    }

    @Override
    public boolean acceptsStreaming() {
        return call != null && !call.isProbe();
    }

    @Override
    public void onResponseStarted(UpstreamResponse response) {
        UpstreamCall ending = call;
        call = null;
        download = response.streamedBody();
        boolean sent = progress == RequestProgress.SENT;
        if (!sent || ending == null) {
            download.discard();
            close(); // before the request was complete it can't be its response
        }
        if (ending != null) {
            ending.end(
                    sent ? AttemptOutcome.OK : AttemptOutcome.RESET,
                    sent ? response : null,
                    ResponseClassifier.load(response));
        }
    }

    @Override
    public void onResponseComplete(boolean reusable) {
        download = null;
        if (reusable && channel.isActive()) {
            becomeIdle();
        } else {
            close();
        }
    }

    @Override
    public void onInvalidResponse() {
        close(); // the call ends with the connection
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
        if (!active) {
            onInactive();
        }
    }

    /** After the reader has been notified, as the end of the connection may be the end of a response. */
    void onInactive() {
        if (download != null) {
            download.abort();
        }
        if (upload != null && call != null) {
            upload.discard();
        }
        if (call != null && active && !hasStartedRequest()) {
            UpstreamCall waiting = call; // nothing of it has been sent here
            call = null;
            connector.connect(endpoint, waiting);
            return;
        }
        boolean mayHaveRun = progress == RequestProgress.SENT;
        endCall(mayHaveRun ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null, null);
    }
}
