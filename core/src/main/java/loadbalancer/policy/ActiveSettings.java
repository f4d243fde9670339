package loadbalancer.policy;

/**
 * The current settings and the values that are derived from them. All components of a policy share one instance, so
 * that they see new settings at the same time.
 */
final class ActiveSettings {
    private static final long MAX_TICK_MICROS = 20_000;

    /** Target number of ticks within the shortest latency objective. */
    private static final int TICKS_PER_OBJECTIVE = 16;

    private PolicySettings current;
    private PriorityTiers tiers;
    private long tickMicros;
    private long shortestObjectiveMicros;
    private boolean anyIdempotentClass;
    private long ringPosition;

    ActiveSettings(PolicySettings settings) {
        replace(settings);
    }

    /** Applies new settings. */
    void replace(PolicySettings newSettings) {
        current = newSettings;
        tiers = new PriorityTiers(newSettings);
        shortestObjectiveMicros = newSettings.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .getAsLong();
        anyIdempotentClass =
                newSettings.classes().stream().anyMatch(each -> each.idempotency() == Idempotency.IDEMPOTENT);
        ringPosition = (long) ((newSettings.rank() + 0.5) / newSettings.balancers() * 0x1p64 - 0x1p63);
        tickMicros = Math.max(
                newSettings.tickMicros(), Math.min(MAX_TICK_MICROS, shortestObjectiveMicros / TICKS_PER_OBJECTIVE));
    }

    PolicySettings current() {
        return current;
    }

    PriorityTiers tiers() {
        return tiers;
    }

    /** Interval at which open requests are checked. */
    long tickMicros() {
        return tickMicros;
    }

    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /** Whether at least one request class is idempotent. */
    boolean anyIdempotentClass() {
        return anyIdempotentClass;
    }

    /** Position on the hash ring at which this balancer's subset starts; balancers are evenly spaced on the ring. */
    long ringPosition() {
        return ringPosition;
    }
}
