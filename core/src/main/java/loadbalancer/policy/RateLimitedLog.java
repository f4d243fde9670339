package loadbalancer.policy;

import java.util.function.Supplier;

/** Writes log lines for operators, at most one per second. A line is only built if it is written. */
final class RateLimitedLog {
    private static final long MIN_INTERVAL_MICROS = 1_000_000;

    private long nextAt;

    /** Writes the line, unless another one was written within the last second. */
    void log(long now, Supplier<String> line, LoadBalancingPolicy.Actions actions) {
        if (now >= nextAt) {
            nextAt = now + MIN_INTERVAL_MICROS;
            actions.log(line.get());
        }
    }
}
