package loadbalancer.policy;

/**
 * An endpoint's own report of its load; a figure that the report lacks is NaN.
 *
 * @param inFlight requests in flight
 * @param queued requests that wait in the endpoint
 * @param utilization fraction of the capacity in use
 * @param recentLatencyMicros mean latency of late
 * @param throughput requests per second
 * @param errorsPerSecond requests per second that failed
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double recentLatencyMicros,
        double throughput,
        double errorsPerSecond) {}
