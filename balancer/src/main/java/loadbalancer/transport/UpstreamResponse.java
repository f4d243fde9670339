package loadbalancer.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * An upstream's response.
 *
 * @param body the whole body, or none of it where {@code streamedBody} is set
 * @param streamedBody the body where it is forwarded as it arrives; null where {@code body} holds it whole
 */
public record UpstreamResponse(int status, HttpHeaders headers, byte[] body, BodyStream streamedBody) {
    /** Returns the content type, or null where the upstream named none. */
    public String contentType() {
        return headers.get(HttpHeaderNames.CONTENT_TYPE);
    }
}
