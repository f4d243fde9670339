package loadbalancer.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The response of an upstream.
 *
 * @param body the complete body; empty if {@code streamedBody} is set
 * @param streamedBody the body if it is forwarded as it arrives; null if {@code body} contains it
 */
public record UpstreamResponse(int status, HttpHeaders headers, byte[] body, BodyStream streamedBody) {
    /** Returns the content type, or null if the response has none. */
    public String contentType() {
        return headers.get(HttpHeaderNames.CONTENT_TYPE);
    }
}
