package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Computes the delay after which a rejected client is advised to retry. The delay grows with the shed level and has
 * jitter, as clients that retried at once, or all at the same time, would prolong the overload that rejected them.
 */
final class RetryAfterAdvice {
    private static final double MIN_DELAY_MICROS = 20_000;

    /** Added to the delay for each priority tier that is shed. */
    private static final double DELAY_MICROS_PER_TIER = 100_000;

    private static final double JITTER_FRACTION = 0.25;

    private final ActiveSettings settings;
    private final SplittableRandom random;

    /**
     * Creates advice with jitter from the given generator.
     *
     * @param random a generator that nothing else draws from, so that rejections don't change later selections
     */
    RetryAfterAdvice(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Delay for one client, in µs, up to the maximum of the site; 0 for no advice. */
    long delayMicros(double shedLevel) {
        double jitter = 1 + JITTER_FRACTION * (2 * random.nextDouble() - 1);
        double delay = (MIN_DELAY_MICROS + DELAY_MICROS_PER_TIER * shedLevel) * jitter;
        return (long) Math.min(settings.current().limits().maxRetryAfterMicros(), delay);
    }
}
