package loadbalancer.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.dispatch.RequestHandler;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.InboundRequest;

/**
 * Serves the requests of all client connections: answers readiness checks and warm-up requests itself, and passes all
 * others to a {@link RequestHandler}. Used on the event loop's thread only.
 */
final class ClientRequestHandler {
    private static final String OWN_PATH_PREFIX = "/-/";
    private static final String READINESS_PATH = "/-/ready";
    private static final int WARM_UP_BODY_BYTES = 256;
    private static final String WARM_UP_LOAD_REPORT = "TEXT eps=0.1, latency_ms=14.5, inflight=2";
    /** A request that arrives later than this after the stop might have no response before the process is killed. */
    private static final long MAX_DISPATCH_WHILE_STOPPING_NANOS = TimeUnit.MILLISECONDS.toNanos(650);

    private final ServingState servingState;
    private final LongSupplier unreadMicros;
    private BootSettings siteSettings;
    private RequestHandler requestHandler;
    private WarmUpTraffic warmUp; // null unless a warm-up is running

    ClientRequestHandler(
            ServingState servingState,
            BootSettings siteSettings,
            RequestHandler requestHandler,
            LongSupplier unreadMicros) {
        this.servingState = servingState;
        this.siteSettings = siteSettings;
        this.requestHandler = requestHandler;
        this.unreadMicros = unreadMicros;
    }

    void reconfigure(BootSettings newSettings) {
        siteSettings = newSettings;
    }

    void setRequestHandler(RequestHandler newHandler) {
        requestHandler = newHandler;
    }

    void setWarmUp(WarmUpTraffic traffic) {
        warmUp = traffic;
    }

    boolean isStopping() {
        return servingState.isStopping();
    }

    /** Returns how long the data that is being read may have waited in the socket's buffer, at most. */
    long unreadMicros() {
        return unreadMicros.getAsLong();
    }

    /**
     * Serves a request; the response is written to {@code client} immediately or later.
     *
     * @param body the complete body; empty if {@code streamedBody} is not null
     * @param waitedMicros the longest time that may have passed since the last byte arrived
     */
    void handle(ClientConnection client, HttpRequest head, byte[] body, BodyStream streamedBody, long waitedMicros) {
        String path = head.uri();
        boolean warmUpRequest = warmUp != null && warmUp.matches(head.headers());
        if (warmUpRequest && path.equals(WarmUpTraffic.UPSTREAM_PATH)) {
            respondAsUpstream(client, head);
        } else if (warmUpRequest && path.equals(WarmUpTraffic.CLIENT_PATH)) {
            dispatch(client, head, body, streamedBody, waitedMicros, true);
        } else if (path.startsWith(OWN_PATH_PREFIX)) {
            respondToCheck(client, head);
        } else {
            dispatch(client, head, body, streamedBody, waitedMicros, false);
        }
    }

    private void respondAsUpstream(ClientConnection client, HttpRequest head) {
        boolean declined = warmUp.declines();
        BufferedResponse response = new BufferedResponse(
                declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                Unpooled.wrappedBuffer(new byte[WARM_UP_BODY_BYTES]),
                null,
                declined ? HeaderNames.DECLINED : HeaderNames.LOAD_REPORT,
                declined ? "1" : WARM_UP_LOAD_REPORT);
        client.write(response, HttpUtil.isKeepAlive(head));
    }

    private void respondToCheck(ClientConnection client, HttpRequest head) {
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        if (!head.uri().equals(READINESS_PATH) || !head.method().equals(HttpMethod.GET)) {
            client.writeText(HttpResponseStatus.NOT_FOUND, "not found", keepAlive);
        } else if (!servingState.isReady()) {
            client.writeText(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready", keepAlive);
        } else {
            String note = servingState.readinessNote();
            client.writeText(HttpResponseStatus.OK, note == null ? "ready" : "ready; " + note, keepAlive);
        }
    }

    private void dispatch(
            ClientConnection client,
            HttpRequest head,
            byte[] body,
            BodyStream streamedBody,
            long waitedMicros,
            boolean warmUpRequest) {
        if (servingState.isStopping() && servingState.stoppingNanos() > MAX_DISPATCH_WHILE_STOPPING_NANOS) {
            boolean keepAlive = HttpUtil.isKeepAlive(head); // requests behind this one are answered too
            client.writeText(HttpResponseStatus.SERVICE_UNAVAILABLE, ClientConnection.STOPPING_REASON, keepAlive);
            return;
        }
        InboundRequest request;
        try {
            request = parse(head, body, streamedBody, waitedMicros);
        } catch (IllegalArgumentException e) {
            client.reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        RequestHandler handler = warmUpRequest ? warmUp.requestHandler() : requestHandler;
        if (handler.isOpen(request.id())) {
            // An upstream could not distinguish the two requests, and might send the response to one for the other. Or
            // the request has been sent for a client that has left, and might run twice.
            client.reject(HttpResponseStatus.CONFLICT, "a request with this Req-Id is open or may have run");
            return;
        }
        HttpClientResponder responder = new HttpClientResponder(
                client, HttpUtil.isKeepAlive(head), head.protocolVersion().equals(HttpVersion.HTTP_1_1));
        Runnable disconnectListener =
                handler.handle(warmUpRequest ? request.withUri(WarmUpTraffic.UPSTREAM_PATH) : request, responder);
        if (!responder.hasResponded()) {
            client.setDisconnectListener(disconnectListener);
        }
    }

    // The deadline is counted from the arrival of the last byte, not from when this process read it.
    private InboundRequest parse(HttpRequest head, byte[] body, BodyStream streamedBody, long waitedMicros) {
        InboundRequest request = InboundRequestParser.parse(head, body, streamedBody, siteSettings);
        return streamedBody == null
                ? request.withTimeLeft(Math.max(0, request.timeLeftMicros() - waitedMicros))
                : request;
    }
}
