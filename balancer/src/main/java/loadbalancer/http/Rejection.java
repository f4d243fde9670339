package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The rejection of a request on one client connection, whose response is the last one of the connection. Further data
 * is discarded without decoding, as there may be hundreds of requests behind an invalid one. Used on the event loop's
 * thread only.
 */
final class Rejection {
    private final ClientConnection connection;
    private final Channel channel;
    private final RequestReader reader;
    private ClientRequestDecoder decoder; // null once a request has been rejected: it would hold the rejected head
    private RequestValidator.Problem problem; // null: nothing has been rejected

    Rejection(ClientConnection connection, Channel channel, RequestReader reader, ClientRequestDecoder decoder) {
        this.connection = connection;
        this.channel = channel;
        this.reader = reader;
        this.decoder = decoder;
    }

    boolean hasBegun() {
        return problem != null;
    }

    HttpResponseStatus status() {
        return problem.status();
    }

    String reason() {
        return problem.reason();
    }

    /** Rejects what is being read, unless a request has been rejected before. */
    void begin(HttpResponseStatus status, String reason) {
        if (problem != null) {
            return;
        }
        reader.close();
        problem = new RequestValidator.Problem(status, reason);
        channel.pipeline().replace(decoder, null, new DiscardingHandler(connection));
        decoder = null;
    }
}
