package loadbalancer.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import loadbalancer.dispatch.ClientResponder;
import loadbalancer.transport.UpstreamResponse;

/** Writes the final response to one request as an HTTP response. Used on the event loop's thread only. */
final class HttpClientResponder implements ClientResponder {
    private static final double MICROS_PER_SECOND = 1e6;

    private final ClientConnection client;
    private final boolean keepAlive;
    private final boolean chunked; // the client supports chunked encoding
    private boolean responded;

    HttpClientResponder(ClientConnection client, boolean keepAlive, boolean chunked) {
        this.client = client;
        this.keepAlive = keepAlive;
        this.chunked = chunked;
    }

    boolean hasResponded() {
        return responded;
    }

    @Override
    public void respond(UpstreamResponse response) {
        responded = true;
        if (response.streamedBody() != null) {
            client.stream(response, keepAlive, chunked);
            return;
        }
        client.write(
                new BufferedResponse(
                        HttpResponseStatus.OK,
                        Unpooled.wrappedBuffer(response.body()),
                        response.contentType(),
                        null,
                        null),
                keepAlive);
    }

    @Override
    public void reject(long retryAfterMicros) {
        responded = true;
        String retryAfterSeconds =
                retryAfterMicros <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS_PER_SECOND);
        client.write(
                BufferedResponse.text(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "refused: trying again is harmless",
                        "Retry-After",
                        retryAfterSeconds),
                keepAlive);
    }

    @Override
    public void rejectWith(HttpResponseStatus status, String reason) {
        responded = true;
        client.writeText(status, reason, keepAlive);
    }

    @Override
    public void fail() {
        responded = true;
        client.writeText(HttpResponseStatus.BAD_GATEWAY, "failed", keepAlive);
    }
}
