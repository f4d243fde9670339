package loadbalancer.policy;

/**
 * An endpoint's own report of its load. Values that the report lacks are NaN.
 *
 * @param inFlight number of requests in flight
 * @param queued number of requests that wait at the endpoint
 * @param utilization fraction of the capacity in use
 * @param recentLatencyMicros mean latency of recent requests
 * @param throughput requests per second
 * @param errorsPerSecond failed requests per second
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double recentLatencyMicros,
        double throughput,
        double errorsPerSecond) {}
