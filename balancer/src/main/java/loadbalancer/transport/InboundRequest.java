package loadbalancer.transport;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request: what is forwarded to an upstream unchanged, and what the policy is given of it. Immutable but for
 * the state of {@code streamedBody}.
 *
 * @param id the client's own id of the request, {@link HeaderNames#REQUEST_ID}
 * @param headers end-to-end headers alone
 * @param body the whole body, or none of it where {@code streamedBody} is set
 * @param streamedBody the body where it is forwarded as it arrives; null where {@code body} holds it whole
 * @param requestClass index into the classes of the settings; -1 for a probe
 * @param tenant index into the tenants of the settings; 0 where there are none
 * @param key what the request concerns, or null
 * @param timeLeftMicros time until the client's deadline, counted from the request's last byte
 * @param workEstimateMicros the client's estimate of the work, or -1
 * @param clientRetry whether the client says that it has sent the request before
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
    /** Returns the same request with another time left, in microseconds. */
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

    /** Returns the same request for another path and query. */
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
