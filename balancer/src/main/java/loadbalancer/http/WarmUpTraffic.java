package loadbalancer.http;

import io.netty.handler.codec.http.HttpHeaders;
import loadbalancer.dispatch.RequestHandler;

/**
 * Requests that the process sends to itself before it is ready: they arrive as a client's, and come back as those to an
 * upstream. Called on the event loop's thread alone.
 */
public interface WarmUpTraffic {
    /** The path of its requests as a client's. */
    String CLIENT_PATH = "/-/rehearsal";
    /** The path on which they come back to this process as to an upstream. */
    String UPSTREAM_PATH = "/-/rehearsed";

    /** Returns whether a request with these headers is one of its own. */
    boolean matches(HttpHeaders headers);

    /** Returns whether the request that has come back is declined, as an overloaded upstream would. */
    boolean declines();

    /** Returns where its requests go in place of the clients' handler. */
    RequestHandler requestHandler();
}
