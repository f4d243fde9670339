package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Admission control of one balancer, by adaptive throttling: what comes in a short window is admitted up to a multiple
 * of what has been completed in it, and the rest is refused, the tier of least value first.
 *
 * <p>The multiple is a gradient: the latency that a tier may cause over the latency seen, within bounds. The rate of
 * answers tells what the servers can do, so that there is no integral to wind up: an integral of the latency turned
 * away 19 of 20 requests for seconds after the queues had gone, as a balancer that admits little hears little. Here at
 * least half of what was completed is admitted, and what was heard a while ago counts for little.
 *
 * <p>The window is short on purpose. The estimate of one balancer is rough, but errors of many balancers cancel out; a
 * longer window would make all of them late together.
 *
 * <p>Tiers of little value, as a rule what tenants ask for beyond their shares, are refused at first and come back by
 * degrees: what crowding costs outweighs a cheap request.
 *
 * <p>Source: B. Beyer et al., Site Reliability Engineering, chapter 21 (client-side throttling).
 */
final class AdmissionController {
    private static final double WINDOW = 1e6; // µs, time constant of all counts
    private static final double WINDOW_MOST = 8e6; // the same where traffic is thin
    private static final double WINDOW_ARRIVALS = 8; // that a window holds at least, if it may be as long
    private static final double TARGET_LOWEST = 0.40; // latency / aim that a request of no value may cause
    private static final double TARGET_HIGHEST = 0.60; // and one of the highest tier
    private static final double MULTIPLE_LEAST = 0.5; // a queue is drained with half of the capacity at most
    private static final double MULTIPLE_MOST = 2;
    private static final double SCORE_MOST = 1.2; // of one attempt: beyond the aim all are equally late
    private static final double SCORE_UNKNOWN = 0.25; // latency / aim where nothing has been heard
    private static final double UNKNOWN_WEIGHT = 1; // attempts that this guess counts for
    private static final double SPARE = 1; // requests admitted besides, so that one proves nothing
    private static final double LEVEL_ROOM = 0.05; // of the highest tier: it is never refused whole
    // Tiers of little value.
    private static final double CHEAP = 0.3; // of the highest value
    private static final double CHEAP_RETURN = 1; // times value: share of arrivals, per second and unit of score
    private static final double CHEAP_SHARE = 0.1; // of arrivals that a tier is taken for at least

    private final SplittableRandom random;
    private double[] arrivals; // faded, by tier
    private double completed; // faded requests
    private double scored; // faded attempts with a score
    private double scores; // faded sum of latency / aim
    private double[] values; // of the tiers, as parts of the highest
    private int cheapTiers;
    private double cheapLevel;
    private double level;

    /**
     * Tiers are numbered by value, from the lowest.
     *
     * @param ordinary the least value of a request within its tenant's share
     */
    AdmissionController(double[] tierValues, double ordinary, SplittableRandom random) {
        this.arrivals = new double[tierValues.length];
        this.random = random;
        value(tierValues, ordinary);
        cheapLevel = cheapTiers;
        level = cheapTiers;
    }

    private void value(double[] tierValues, double ordinary) {
        double highest = tierValues[tierValues.length - 1];
        values = Arrays.stream(tierValues).map(value -> value / highest).toArray();
        double cheap = Math.min(ordinary, CHEAP * highest);
        cheapTiers =
                (int) Arrays.stream(tierValues).filter(value -> value < cheap).count();
    }

    /** Tiers that are refused: the whole part in full, and of the next one the fraction. */
    double level() {
        return level;
    }

    /** Mean of latency / aim, as far as it is known. */
    double score() {
        return (scores + SCORE_UNKNOWN * UNKNOWN_WEIGHT) / (scored + UNKNOWN_WEIGHT);
    }

    /** Counts a request of that tier; false where it is to be refused. */
    boolean admits(int tier) {
        arrivals[tier]++;
        return tier + random.nextDouble() >= level;
    }

    /** A request has ended with success, or has failed for another reason than want of capacity. */
    void completed() {
        completed++;
    }

    /** An attempt that succeeded took that multiple of its aim. */
    void latency(double ofAim) {
        scores += Math.min(SCORE_MOST, ofAim);
        scored++;
    }

    /** An attempt was turned away as one too many, or had no answer in its time. */
    void overloaded() {
        latency(SCORE_MOST);
    }

    /**
     * Fades what is older and sets the level anew.
     *
     * @param elapsed µs since the last time
     * @param perSecond requests that come in a second, as a mean over a longer time
     * @param pending attempts whose answer can't be expected yet
     */
    void update(long elapsed, double perSecond, int pending) {
        double window = Math.max(WINDOW, Math.min(WINDOW_MOST, WINDOW_ARRIVALS / perSecond * 1e6));
        fade(Math.exp(-elapsed / window));
        double throttle = throttle(pending);
        cheapLevel = Math.min(cheapTiers, Math.max(throttle, cheapLevel - cheapReturn(elapsed / 1e6)));
        level = Math.min(Math.max(cheapLevel, throttle), arrivals.length - LEVEL_ROOM);
    }

    private double throttle(int pending) {
        double left = Arrays.stream(arrivals).sum();
        for (int tier = 0; tier < arrivals.length; tier++) {
            double multiple = Math.max(MULTIPLE_LEAST, Math.min(MULTIPLE_MOST, target(tier) / score()));
            double excess = left - multiple * completed - pending - SPARE;
            if (excess < arrivals[tier]) {
                return tier + Math.max(0, excess / arrivals[tier]);
            }
            left -= arrivals[tier];
        }
        return arrivals.length;
    }

    private double target(int tier) {
        return TARGET_LOWEST + (TARGET_HIGHEST - TARGET_LOWEST) * values[tier];
    }

    // How much of the highest tier among the cheap that are refused is admitted again after so long.
    private double cheapReturn(double seconds) {
        int edge = (int) Math.max(0, Math.ceil(cheapLevel) - 1);
        double share = arrivals[edge] / Math.max(1, Arrays.stream(arrivals).sum());
        double calm = Math.max(0, target(edge) - score());
        return seconds * CHEAP_RETURN * values[edge] * calm / Math.max(CHEAP_SHARE, share);
    }

    private void fade(double keep) {
        for (int tier = 0; tier < arrivals.length; tier++) {
            arrivals[tier] *= keep;
        }
        completed *= keep;
        scored *= keep;
        scores *= keep;
    }

    /** Goes on with other tiers. Where their number differs arrivals are spread over them evenly. */
    void retier(double[] tierValues, double ordinary) {
        int tiers = tierValues.length;
        if (tiers != arrivals.length) {
            double each = Arrays.stream(arrivals).sum() / tiers;
            level *= tiers / (double) arrivals.length;
            arrivals = new double[tiers];
            Arrays.fill(arrivals, each);
        }
        value(tierValues, ordinary);
        cheapLevel = Math.min(cheapTiers, cheapLevel);
    }

    /** What {@link #restore} of another process goes on from. */
    double[] learnedState() {
        double[] all = Arrays.copyOf(arrivals, arrivals.length + 5);
        System.arraycopy(new double[] {completed, scored, scores, cheapLevel, level}, 0, all, arrivals.length, 5);
        return all;
    }

    /** Takes over what has been learnt elsewhere, if it has as many tiers. */
    void restore(double[] learnedState) {
        int tiers = arrivals.length;
        if (learnedState == null || learnedState.length != tiers + 5) {
            return;
        }
        System.arraycopy(learnedState, 0, arrivals, 0, tiers);
        completed = learnedState[tiers];
        scored = learnedState[tiers + 1];
        scores = learnedState[tiers + 2];
        cheapLevel = Math.max(0, Math.min(cheapTiers, learnedState[tiers + 3]));
        level = Math.max(0, Math.min(tiers - LEVEL_ROOM, learnedState[tiers + 4]));
    }
}
