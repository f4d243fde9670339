package loadbalancer.transport;

/** The names of the HTTP headers that this protocol defines. */
public final class HeaderNames {
    /** The request id that the client has chosen; unique among its open requests. */
    public static final String REQUEST_ID = "Req-Id";
    /** The name of the request's class. */
    public static final String REQUEST_CLASS = "Req-Kind";
    /** The name of the tenant. */
    public static final String TENANT = "Req-Owner";
    /** The time left until the deadline of the sender, in milliseconds. */
    public static final String DEADLINE_MILLIS = "Req-Deadline-Ms";
    /** The client's estimate of the work that the request causes, in microseconds. */
    public static final String WORK_ESTIMATE_MICROS = "Req-Cost";
    /** "1" if the client has sent the request before. */
    public static final String CLIENT_RETRY = "Req-Retry";
    /** The key by which an upstream recognizes a request that it has already run, and runs it only once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** The load report of the upstream that sends the response. */
    public static final String LOAD_REPORT = "Srv-Load";
    /** "1" if the upstream has declined the request without starting it. */
    public static final String DECLINED = "Srv-Declined";

    private HeaderNames() {}
}
