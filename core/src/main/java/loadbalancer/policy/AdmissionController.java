package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Admission control of one balancer, by adaptive throttling: what arrives in a short window is admitted up to a
 * multiple of what has been completed in it. The rest is rejected, from the lowest priority tier on.
 *
 * <p>The multiple is a gradient: the latency that a tier may cause over the latency seen, within bounds. The rate of
 * answers tells what the endpoints can do, so there is no integral to wind up: a balancer that admits little hears
 * little, and an integral would go on rejecting for long after the queues have gone. At least half of what was
 * completed is admitted, and what was heard a while ago counts for little.
 *
 * <p>The window is short on purpose. The estimate of one balancer is rough, but errors of many balancers cancel out,
 * while a longer window would make all of them late together.
 *
 * <p>Tiers of low weight, as a rule what tenants ask for over their quotas, are rejected at first and come back by
 * degrees: what crowding costs outweighs a request of low weight.
 *
 * <p>Source: B. Beyer et al., Site Reliability Engineering, chapter 21 (client-side throttling).
 */
final class AdmissionController {
    /** Time constant of all counts. */
    private static final double WINDOW_MICROS = 1e6;

    /** Longest time constant, used where traffic is thin. */
    private static final double MAX_WINDOW_MICROS = 8e6;

    /** Arrivals that a window holds at least, as far as it may be as long as that. */
    private static final double MIN_WINDOW_ARRIVALS = 8;

    /** Latency, as a fraction of the latency objective, that a request of no weight may cause. */
    private static final double LOWEST_TIER_SCORE = 0.40;

    /** The same for a request of the highest tier. */
    private static final double HIGHEST_TIER_SCORE = 0.60;

    /** A queue is drained with half of the capacity at most. */
    private static final double MIN_MULTIPLE = 0.5;

    private static final double MAX_MULTIPLE = 2;

    /** Score of one attempt at most: beyond the latency objective all are equally late. */
    private static final double MAX_SCORE = 1.2;

    /** Score that is assumed where nothing has been heard. */
    private static final double PRIOR_SCORE = 0.25;

    /** Attempts that the assumed score counts for. */
    private static final double PRIOR_WEIGHT = 1;

    /** Requests that are admitted besides, as a single one proves nothing. */
    private static final double SPARE_REQUESTS = 1;

    /** Part of the highest tier that is always admitted. */
    private static final double MIN_ADMITTED_FRACTION = 0.05;

    /** Tiers whose weight is below this fraction of the highest one count as low. */
    private static final double LOW_WEIGHT_FRACTION = 0.3;

    /** Part of the arrivals that a low tier of full weight regains per second and unit of score. */
    private static final double LOW_TIER_RETURN_PER_SECOND = 1;

    /** Part of the arrivals that a low tier is taken for at least. */
    private static final double MIN_LOW_TIER_FRACTION = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private final SplittableRandom random;

    /** Decayed number of arrivals by tier. */
    private double[] arrivals;

    /** Decayed number of requests. */
    private double completed;

    /** Decayed number of attempts with a score. */
    private double scored;

    /** Decayed sum of latency over latency objective. */
    private double scoreSum;

    /** Weights of the tiers, as fractions of the highest one. */
    private double[] relativeWeights;

    private int lowTiers;
    private double lowTierLevel;
    private double level;

    /**
     * Makes a controller that rejects the tiers of low weight.
     *
     * @param tierWeights of the tiers, which are numbered from the lowest
     * @param lowestWithinQuota the least weight of a request within its tenant's quota: none above it is low
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

    /** The shed level: how many tiers are rejected in whole, and as its fraction the part of the next one. */
    double shedLevel() {
        return level;
    }

    /** The overload score: mean of latency over latency objective, as far as it is known. */
    double overloadScore() {
        return (scoreSum + PRIOR_SCORE * PRIOR_WEIGHT) / (scored + PRIOR_WEIGHT);
    }

    /** Counts a request of that tier; false where it is to be rejected. */
    boolean admit(int tier) {
        arrivals[tier]++;
        return tier + random.nextDouble() >= level;
    }

    /** Counts a request that has ended with success, or has failed for another reason than want of capacity. */
    void recordCompletion() {
        completed++;
    }

    /** Records the latency of an attempt that succeeded, in multiples of the latency objective. */
    void recordLatency(double objectiveMultiple) {
        scoreSum += Math.min(MAX_SCORE, objectiveMultiple);
        scored++;
    }

    /** Counts an attempt that an endpoint rejected, or that had no answer in its time. */
    void recordOverload() {
        recordLatency(MAX_SCORE);
    }

    /**
     * Decays the counts and computes the shed level.
     *
     * @param elapsedMicros time since the last call
     * @param arrivalsPerSecond mean over a longer time
     * @param pending attempts whose answer can't be expected yet
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

    // How much of the highest low tier that is rejected is admitted again after that time.
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

    /** Goes on with other tiers. Where their number differs, arrivals are spread over them evenly. */
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

    /** What {@link #restore} of a successor goes on from. */
    LearnedState.Admission learnedState() {
        return new LearnedState.Admission(arrivals.clone(), completed, scored, scoreSum, lowTierLevel, level);
    }

    /** Restores what a predecessor has learned; ignored where it is null or of another number of tiers. */
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
