package loadbalancer.policy;

/**
 * The settings in force and what follows from them alone. All parts of a policy share one object, so that they see new
 * settings at the same time.
 */
final class ActiveSettings {
    private static final long MAX_TICK_MICROS = 20_000;

    /** A wait is looked at so often within the shortest latency objective. */
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

    /** Puts other settings in force. */
    void replace(PolicySettings next) {
        current = next;
        tiers = new PriorityTiers(next);
        shortestObjectiveMicros = next.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .getAsLong();
        anyIdempotentClass = next.classes().stream().anyMatch(each -> each.idempotency() == Idempotency.IDEMPOTENT);
        ringPosition = (long) ((next.rank() + 0.5) / next.balancers() * 0x1p64 - 0x1p63);
        tickMicros =
                Math.max(next.tickMicros(), Math.min(MAX_TICK_MICROS, shortestObjectiveMicros / TICKS_PER_OBJECTIVE));
    }

    PolicySettings current() {
        return current;
    }

    PriorityTiers tiers() {
        return tiers;
    }

    /** Time between two looks at open requests. */
    long tickMicros() {
        return tickMicros;
    }

    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /** Whether requests of any class may be repeated freely. */
    boolean anyIdempotentClass() {
        return anyIdempotentClass;
    }

    /** Where this balancer's subset starts on the hash ring: balancers are spread evenly over it. */
    long ringPosition() {
        return ringPosition;
    }
}
