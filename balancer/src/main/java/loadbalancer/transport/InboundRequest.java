package loadbalancer.transport;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request: the parts that are forwarded to an upstream unchanged, and the properties that the policy
 * receives. Immutable except for the state of {@code streamedBody}.
 *
 * @param id the request id that the client has chosen, see {@link HeaderNames#REQUEST_ID}
 * @param headers the end-to-end headers, without the hop-by-hop ones
 * @param body the complete body; empty if {@code streamedBody} is set
 * @param streamedBody the body if it is forwarded as it arrives; null if {@code body} contains it
 * @param requestClass index into the request classes of the settings; -1 for a probe
 * @param tenant index into the tenants of the settings; 0 if the settings have no tenants or not this one
 * @param key the request's key for key affinity, or null if it has none
 * @param timeLeftMicros time until the client's deadline, counted from the arrival of the last byte
 * @param workEstimateMicros the client's estimate of the work, or -1 if there is none
 * @param clientRetry whether the client has declared the request to be a retry
 */
public record InboundRequest(
        String id,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        BodyStream streamedBody,
        int requestClass,
        int tenant,
        String key,
        long timeLeftMicros,
        long workEstimateMicros,
        boolean clientRetry) {
    private static final byte[] NO_BODY = new byte[0];

    /** Returns a copy of the request with another time left, in microseconds. */
    public InboundRequest withTimeLeft(long otherTimeLeftMicros) {
        return new InboundRequest(
                id,
                method,
                uri,
                headers,
                body,
                streamedBody,
                requestClass,
                tenant,
                key,
                otherTimeLeftMicros,
                workEstimateMicros,
                clientRetry);
    }

    /** Returns a copy without headers and without the buffered body, for a request that is not sent again. */
    public InboundRequest withoutContent() {
        return new InboundRequest(
                id,
                method,
                uri,
                EmptyHttpHeaders.INSTANCE,
                NO_BODY,
                streamedBody,
                requestClass,
                tenant,
                key,
                timeLeftMicros,
                workEstimateMicros,
                clientRetry);
    }

    /** Returns a copy of the request with another path and query. */
    public InboundRequest withUri(String otherUri) {
        return new InboundRequest(
                id,
                method,
                otherUri,
                headers,
                body,
                streamedBody,
                requestClass,
                tenant,
                key,
                timeLeftMicros,
                workEstimateMicros,
                clientRetry);
    }
}
