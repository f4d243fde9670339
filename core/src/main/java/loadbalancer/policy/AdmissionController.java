package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Admission control of one balancer by adaptive throttling. Over a short window, the balancer admits at most a multiple
 * of the number of requests that were completed. It rejects the others, starting with the lowest priority tier.
 *
 * <p>The multiple is a gradient: the latency that a tier may cause divided by the measured latency, within bounds. The
 * rate of completed requests shows the capacity of the endpoints, so the controller needs no integral term, which could
 * wind up: a balancer that admits little receives few answers, and an integral term would go on rejecting requests long
 * after the queues are empty. At least half of the completed number is admitted, and counts decay quickly.
 *
 * <p>The window is short on purpose. The estimate of one balancer is rough, but the errors of many balancers cancel
 * out, whereas a longer window would make all balancers react late at the same time.
 *
 * <p>Tiers of low weight are mostly requests over their tenant's quota. They are rejected first and are admitted again
 * gradually, because the harm that congestion does to other requests outweighs the value of a request of low weight.
 *
 * <p>Source: B. Beyer et al., Site Reliability Engineering, chapter 21 (client-side throttling).
 */
final class AdmissionController {
    /** Time constant of all counts. */
    private static final double WINDOW_MICROS = 1e6;

    /** Longest time constant, used at low traffic. */
    private static final double MAX_WINDOW_MICROS = 8e6;

    /** The window is extended, up to the longest one, until it covers this number of arrivals. */
    private static final double MIN_WINDOW_ARRIVALS = 8;

    /** Latency that a request with a weight of 0 may cause, as a fraction of the latency objective. */
    private static final double LOWEST_TIER_SCORE = 0.40;

    /** Latency that a request of the highest tier may cause, as a fraction of the latency objective. */
    private static final double HIGHEST_TIER_SCORE = 0.60;

    /** Lower bound of the multiple: draining a queue takes half of the capacity at most. */
    private static final double MIN_MULTIPLE = 0.5;

    private static final double MAX_MULTIPLE = 2;

    /** Maximum score of one attempt; attempts further over the latency objective count as equally late. */
    private static final double MAX_SCORE = 1.2;

    /** Score that is assumed before any attempt has a score. */
    private static final double PRIOR_SCORE = 0.25;

    /** Number of attempts that the assumed score counts as. */
    private static final double PRIOR_WEIGHT = 1;

    /** Requests admitted in addition, as a single request without an answer is no evidence of an overload. */
    private static final double SPARE_REQUESTS = 1;

    /** Fraction of the highest tier that is always admitted. */
    private static final double MIN_ADMITTED_FRACTION = 0.05;

    /** Tiers whose weight is below this fraction of the highest one count as low. */
    private static final double LOW_WEIGHT_FRACTION = 0.3;

    /** Fraction of all arrivals that a low tier regains per second, for a relative weight and a score slack of 1. */
    private static final double LOW_TIER_RETURN_PER_SECOND = 1;

    /** A low tier counts as at least this fraction of all arrivals when it returns. */
    private static final double MIN_LOW_TIER_FRACTION = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private final SplittableRandom random;

    /** Decayed number of arrivals by tier. */
    private double[] arrivals;

    /** Decayed number of requests that were completed. */
    private double completed;

    /** Decayed number of attempts with a score. */
    private double scored;

    /** Decayed sum of the scores: latency divided by latency objective, up to the maximum. */
    private double scoreSum;

    /** Weights of the tiers, as fractions of the highest weight. */
    private double[] relativeWeights;

    /** Number of tiers of low weight; these are the lowest ones. */
    private int lowTiers;

    /** Shed level that the gradual return of the low tiers sets, from 0 to the number of low tiers. */
    private double lowTierLevel;

    /** Shed level in force. */
    private double level;

    /**
     * Creates a controller that rejects all tiers of low weight at first.
     *
     * @param tierWeights weights of the tiers, ascending
     * @param lowestWithinQuota lowest weight of a request within its tenant's quota, from which on no tier is low
     */
    AdmissionController(double[] tierWeights, double lowestWithinQuota, SplittableRandom random) {
        this.arrivals = new double[tierWeights.length];
        this.random = random;
        setWeights(tierWeights, lowestWithinQuota);
        lowTierLevel = lowTiers;
        level = lowTiers;
    }

    private void setWeights(double[] tierWeights, double lowestWithinQuota) {
        double highest = tierWeights[tierWeights.length - 1];
        relativeWeights =
                Arrays.stream(tierWeights).map(weight -> weight / highest).toArray();
        double lowWeight = Math.min(lowestWithinQuota, LOW_WEIGHT_FRACTION * highest);
        lowTiers = (int)
                Arrays.stream(tierWeights).filter(weight -> weight < lowWeight).count();
    }

    /** The shed level: the number of tiers that are rejected entirely, plus the rejected fraction of the next tier. */
    double shedLevel() {
        return level;
    }

    /** The overload score: mean of latency divided by latency objective, starting from an assumed score. */
    double overloadScore() {
        return (scoreSum + PRIOR_SCORE * PRIOR_WEIGHT) / (scored + PRIOR_WEIGHT);
    }

    /** Counts a request of the tier and returns whether it is admitted. */
    boolean admit(int tier) {
        arrivals[tier]++;
        return tier + random.nextDouble() >= level;
    }

    /** Counts a request that has succeeded, or has failed for another reason than a lack of capacity. */
    void recordCompletion() {
        completed++;
    }

    /** Records the latency of an attempt that succeeded, in multiples of the latency objective. */
    void recordLatency(double objectiveMultiple) {
        scoreSum += Math.min(MAX_SCORE, objectiveMultiple);
        scored++;
    }

    /** Counts an attempt that the endpoint rejected or that timed out. */
    void recordOverload() {
        recordLatency(MAX_SCORE);
    }

    /**
     * Decays the counts and computes the shed level.
     *
     * @param elapsedMicros time since the last call
     * @param arrivalsPerSecond mean rate over a longer time
     * @param pending requests whose answer can't be expected yet
     */
    void update(long elapsedMicros, double arrivalsPerSecond, int pending) {
        double window = Math.max(
                WINDOW_MICROS,
                Math.min(MAX_WINDOW_MICROS, MIN_WINDOW_ARRIVALS / arrivalsPerSecond * MICROS_PER_SECOND));
        decay(Math.exp(-elapsedMicros / window));
        double throttleLevel = throttleLevel(pending);
        double easedLevel = lowTierLevel - lowTierReturn(elapsedMicros / MICROS_PER_SECOND);
        lowTierLevel = Math.min(lowTiers, Math.max(throttleLevel, easedLevel));
        level = Math.min(Math.max(lowTierLevel, throttleLevel), arrivals.length - MIN_ADMITTED_FRACTION);
    }

    private double throttleLevel(int pending) {
        double remaining = Arrays.stream(arrivals).sum();
        for (int tier = 0; tier < arrivals.length; tier++) {
            double multiple = Math.max(MIN_MULTIPLE, Math.min(MAX_MULTIPLE, targetScore(tier) / overloadScore()));
            double excess = remaining - multiple * completed - pending - SPARE_REQUESTS;
            if (excess < arrivals[tier]) {
                return tier + Math.max(0, excess / arrivals[tier]);
            }
            remaining -= arrivals[tier];
        }
        return arrivals.length;
    }

    private double targetScore(int tier) {
        return LOWEST_TIER_SCORE + (HIGHEST_TIER_SCORE - LOWEST_TIER_SCORE) * relativeWeights[tier];
    }

    // By how much the shed level of the low tiers falls within the elapsed time.
    private double lowTierReturn(double elapsedSeconds) {
        int tier = (int) Math.max(0, Math.ceil(lowTierLevel) - 1);
        double fraction = arrivals[tier] / Math.max(1, Arrays.stream(arrivals).sum());
        double slack = Math.max(0, targetScore(tier) - overloadScore());
        return elapsedSeconds
                * LOW_TIER_RETURN_PER_SECOND
                * relativeWeights[tier]
                * slack
                / Math.max(MIN_LOW_TIER_FRACTION, fraction);
    }

    private void decay(double retained) {
        for (int tier = 0; tier < arrivals.length; tier++) {
            arrivals[tier] *= retained;
        }
        completed *= retained;
        scored *= retained;
        scoreSum *= retained;
    }

    /** Replaces the tiers. If their number changes, the counted arrivals are spread evenly over the new tiers. */
    void updateTiers(double[] tierWeights, double lowestWithinQuota) {
        int tiers = tierWeights.length;
        if (tiers != arrivals.length) {
            double arrivalsPerTier = Arrays.stream(arrivals).sum() / tiers;
            level *= tiers / (double) arrivals.length;
            arrivals = new double[tiers];
            Arrays.fill(arrivals, arrivalsPerTier);
        }
        setWeights(tierWeights, lowestWithinQuota);
        lowTierLevel = Math.min(lowTiers, lowTierLevel);
    }

    /** The state that {@link #restore} takes over in a successor. */
    LearnedState.Admission learnedState() {
        return new LearnedState.Admission(arrivals.clone(), completed, scored, scoreSum, lowTierLevel, level);
    }

    /** Restores the state of a predecessor; it is ignored if it is null or has another number of tiers. */
    void restore(LearnedState.Admission learned) {
        int tiers = arrivals.length;
        if (learned == null || learned.arrivals().length != tiers) {
            return;
        }
        arrivals = learned.arrivals().clone();
        completed = learned.completed();
        scored = learned.scored();
        scoreSum = learned.scoreSum();
        lowTierLevel = Math.max(0, Math.min(lowTiers, learned.lowTierLevel()));
        level = Math.max(0, Math.min(tiers - MIN_ADMITTED_FRACTION, learned.level()));
    }
}
