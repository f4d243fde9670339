package loadbalancer.upstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.InboundRequest;

/** Creates the HTTP messages for requests to upstreams. */
final class RequestMessages {
    private static final String LOAD_PATH = "/-/load";
    private static final String HEALTH_PATH = "/-/healthy";
    private static final String NO_RESOURCE_PATH = "/-/none";

    private RequestMessages() {}

    /** Returns a probe request: for the load report, or for the health only. */
    static InboundRequest probe(boolean loadReport) {
        return new InboundRequest(
                "",
                HttpMethod.GET,
                loadReport ? LOAD_PATH : HEALTH_PATH,
                EmptyHttpHeaders.INSTANCE,
                new byte[0],
                null,
                -1,
                0,
                null,
                0,
                -1,
                false);
    }

    /** Returns the message for {@code call}; if the body is streamed, the message contains only the head. */
    static FullHttpRequest create(UpstreamCall call, InetSocketAddress address) {
        InboundRequest request = call.request();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), Unpooled.wrappedBuffer(request.body()));
        message.headers().add(request.headers());
        if (!message.headers().contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, hostOf(address));
        }
        if (!call.isProbe()) {
            message.headers().set(HeaderNames.DEADLINE_MILLIS, Long.toString(call.timeLeftMillis()));
        }
        setFraming(message, request);
        return message;
    }

    /**
     * Returns a request that no client waits for, see {@link ReuseCheck}: a health check or, where the settings forbid
     * probes, a request without an id, which upstreams answer with 404.
     */
    static FullHttpRequest healthCheck(InetSocketAddress address, boolean probesAllowed) {
        String path = probesAllowed ? HEALTH_PATH : NO_RESOURCE_PATH;
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        message.headers().set(HttpHeaderNames.HOST, hostOf(address));
        return message;
    }

    private static String hostOf(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void setFraming(FullHttpRequest message, InboundRequest request) {
        BodyStream streamedBody = request.streamedBody();
        if (streamedBody != null && streamedBody.lengthBytes() >= 0) {
            HttpUtil.setContentLength(message, streamedBody.lengthBytes());
        } else if (streamedBody != null) {
            HttpUtil.setTransferEncodingChunked(message, true);
        } else if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
            HttpUtil.setContentLength(message, request.body().length);
        }
    }
}
