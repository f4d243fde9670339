package loadbalancer.transport;

/** The names of the protocol's own headers, as they stand on the wire. */
public final class HeaderNames {
    /** The client's id of a request; unique among its open requests. */
    public static final String REQUEST_ID = "Req-Id";
    /** The name of the request's class. */
    public static final String REQUEST_CLASS = "Req-Kind";
    /** The name of the tenant. */
    public static final String TENANT = "Req-Owner";
    /** Milliseconds that are left until the sender's deadline. */
    public static final String DEADLINE_MILLIS = "Req-Deadline-Ms";
    /** The client's estimate of the work, in microseconds. */
    public static final String WORK_ESTIMATE_MICROS = "Req-Cost";
    /** "1" where the client has sent the request before. */
    public static final String CLIENT_RETRY = "Req-Retry";
    /** The key under which an upstream runs a request once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** An upstream's load report. */
    public static final String LOAD_REPORT = "Srv-Load";
    /** "1" where an upstream says that it has not begun the request. */
    public static final String DECLINED = "Srv-Declined";

    private HeaderNames() {}
}
