package loadbalancer.policy;

import java.util.function.Supplier;

/** Log lines for the operators, at most one a second. Lines are made only where they are written. */
final class RateLimitedLog {
    private static final long MIN_INTERVAL_MICROS = 1_000_000;

    private long nextAt;

    /** Writes a line, unless one was written a moment ago. */
    void log(long now, Supplier<String> line, LoadBalancingPolicy.Actions actions) {
        if (now >= nextAt) {
            nextAt = now + MIN_INTERVAL_MICROS;
            actions.log(line.get());
        }
    }
}
