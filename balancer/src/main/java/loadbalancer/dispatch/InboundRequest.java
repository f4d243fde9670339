package loadbalancer.dispatch;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import loadbalancer.http.BodyStream;

/**
 * A client's request: what goes on to an upstream unchanged, and what the module is told of it. Times are in
 * µs; {@code rest} is what flows behind {@code body}, or null; {@code id} is the client's; {@code work} is -1
 * where the client gives no guess.
 */
public record InboundRequest(
        String id,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        BodyStream rest,
        int requestClass,
        int tenant,
        String key,
        long timeLeft,
        long work,
        boolean clientRetry) {
    /** The same with less time. */
    public InboundRequest within(long other) {
        return new InboundRequest(
                id, method, uri, headers, body, rest, requestClass, tenant, key, other, work, clientRetry);
    }

    /** The same for another path. */
    public InboundRequest to(String other) {
        return new InboundRequest(
                id, method, other, headers, body, rest, requestClass, tenant, key, timeLeft, work, clientRetry);
    }
}
