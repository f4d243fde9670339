package loadbalancer.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.transport.BodyLimits;

/** Checks the framing of a request, that is, how its head declares the end of its body. */
final class RequestValidator {
    /** The reason why a request is rejected: the status and the text of the response. */
    record Problem(HttpResponseStatus status, String reason) {}

    private RequestValidator() {}

    /** Returns the problem with the framing or the expectation of a request, or null if there is none. */
    static Problem findFramingProblem(HttpRequest request) {
        List<String> transferCodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                transferCodings.size() == 1 && transferCodings.get(0).strip().equalsIgnoreCase("chunked");
        if (!transferCodings.isEmpty() && !isChunkedOnly(request, chunked)) {
            return badRequest("a Transfer-Encoding that isn't chunked alone");
        }
        long lengthBytes;
        try {
            lengthBytes = HttpUtil.getContentLength(request, 0L);
        } catch (NumberFormatException e) {
            return badRequest("bad Content-Length");
        }
        if (request.method().equals(HttpMethod.GET) && (chunked || lengthBytes != 0)) {
            return badRequest("a GET with a body");
        }
        if (lengthBytes < 0) {
            return badRequest("bad Content-Length");
        }
        if (lengthBytes > BodyLimits.MAX_STREAMED_BYTES) {
            return new Problem(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
        }
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        return expectation != null && !expectation.equalsIgnoreCase("100-continue")
                ? new Problem(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation")
                : null;
    }

    private static boolean isChunkedOnly(HttpRequest request, boolean chunked) {
        return chunked
                && request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private static Problem badRequest(String reason) {
        return new Problem(HttpResponseStatus.BAD_REQUEST, reason);
    }
}
