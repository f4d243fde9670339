package loadbalancer.transport;

/** How large the body of a request or a response may be, in bytes. */
public final class BodyLimits {
    /** A body up to this size is buffered whole; a larger one is forwarded as it arrives. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** The largest body that is forwarded at all. */
    public static final long MAX_STREAMED_BYTES = 34L << 20;

    private BodyLimits() {}
}
