package loadbalancer.http;

import io.netty.handler.codec.http.HttpHeaders;
import loadbalancer.dispatch.RequestHandler;

/**
 * Requests that the process sends to itself before it is ready. Each arrives as a request of a client, is forwarded,
 * and arrives again as a request to an upstream. Called on the event loop's thread only.
 */
public interface WarmUpTraffic {
    /** The path of a warm-up request that arrives as a request of a client. */
    String CLIENT_PATH = "/-/rehearsal";
    /** The path of a warm-up request that arrives as a request to an upstream. */
    String UPSTREAM_PATH = "/-/rehearsed";

    /** Returns whether a request with these headers is a warm-up request. */
    boolean matches(HttpHeaders headers);

    /** Returns whether to decline the next request to an upstream, as an overloaded upstream does. */
    boolean declines();

    /** Returns the handler for warm-up requests, which replaces that for other requests. */
    RequestHandler requestHandler();
}
