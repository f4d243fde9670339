package loadbalancer.transport;

/** The size limits for the bodies of requests and responses, in bytes. */
public final class BodyLimits {
    /** A body up to this size is buffered completely; a larger one is streamed. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** The largest body that is forwarded; a request with a larger one is rejected, such a response is invalid. */
    public static final long MAX_STREAMED_BYTES = 34L << 20;

    private BodyLimits() {}
}
