package loadbalancer.policy;

/** A server's own report; a figure that it doesn't carry is NaN. {@code recentLatency} is in µs. */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double recentLatency,
        double throughput,
        double errorsPerSecond) {}
