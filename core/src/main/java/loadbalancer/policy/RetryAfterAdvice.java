package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * When clients that are rejected are advised to come back: later the more is shed, and not all at once. Clients that
 * came back at once would feed the overload that rejected them.
 */
final class RetryAfterAdvice {
    private static final double MIN_DELAY_MICROS = 20_000;

    /** Added for each priority tier that is shed. */
    private static final double DELAY_MICROS_PER_TIER = 100_000;

    private static final double JITTER_FRACTION = 0.25;

    private final ActiveSettings settings;
    private final SplittableRandom random;

    /**
     * Advice that is drawn from that generator.
     *
     * @param random one that no other part draws from, lest a rejection changes later selections
     */
    RetryAfterAdvice(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Delay for one client, in µs; at most what the site allows, 0 for no advice. */
    long delayMicros(double shedLevel) {
        double jitter = 1 + JITTER_FRACTION * (2 * random.nextDouble() - 1);
        double delay = (MIN_DELAY_MICROS + DELAY_MICROS_PER_TIER * shedLevel) * jitter;
        return (long) Math.min(settings.current().limits().maxRetryAfterMicros(), delay);
    }
}
