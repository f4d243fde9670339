package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Tells requests within their tenant's quota from those over it: a token bucket for each tenant, filled at this
 * balancer's part of the tenant's allowance.
 *
 * <p>That part is even, or larger where the median tenant's demand at this balancer is larger: traffic isn't spread
 * evenly over balancers, but one tenant far over its quota must not widen the quotas of all.
 */
final class TenantQuotas {
    /** Requests that a small tenant may send at once, as chance bunches them. */
    private static final double MIN_BURST = 4;

    /** A tenant may send at once what its rate allows in this time. */
    private static final double BURST_MICROS = 1e6;

    /** Requests added to demand and allowance, as few requests say little of a rate. */
    private static final double DEMAND_PRIOR = 5;

    private static final double MICROS_PER_SECOND = 1e6;

    private final ActiveSettings settings;

    /** By tenant: decayed count of the requests that clients send for the first time. */
    private double[] demand;

    private double[] tokens;
    private long[] tokensAt;

    /** Quotas of a balancer that starts. Their fill is random, so that a fleet's bursts don't coincide. */
    TenantQuotas(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        int tenants = settings.current().tenants().size();
        this.demand = new double[Math.max(1, tenants)];
        this.tokens = new double[tenants];
        this.tokensAt = new long[tenants];
        for (int i = 0; i < tenants; i++) {
            tokens[i] = MIN_BURST * random.nextDouble();
        }
    }

    /** Starts to fill the buckets. */
    void start(long now) {
        Arrays.fill(tokensAt, now);
    }

    /** Counts a request that the tenant's client sends for the first time. */
    void recordArrival(int tenant) {
        demand[tenant]++;
    }

    /** Keeps that part of the counts. */
    void decay(double retained) {
        for (int i = 0; i < demand.length; i++) {
            demand[i] *= retained;
        }
    }

    /** Whether a request of the tenant that arrives now is over its quota; one that isn't takes a token. */
    boolean isOverQuota(int tenant, long now) {
        if (settings.current().tenants().isEmpty()) {
            return false;
        }
        double perSecond = settings.current().tenants().get(tenant).allowancePerSecond() * balancerFraction();
        double burst = Math.max(MIN_BURST, perSecond * BURST_MICROS / MICROS_PER_SECOND);
        tokens[tenant] = Math.min(burst, tokens[tenant] + perSecond * (now - tokensAt[tenant]) / MICROS_PER_SECOND);
        tokensAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    // This balancer's part of each allowance.
    private double balancerFraction() {
        int balancers = settings.current().balancers();
        double[] demandRatios = new double[demand.length];
        for (int i = 0; i < demandRatios.length; i++) {
            double evenPart = settings.current().tenants().get(i).allowancePerSecond()
                    / balancers
                    * DecayScale.COUNT_DECAY_MICROS
                    / MICROS_PER_SECOND;
            demandRatios[i] = (demand[i] + DEMAND_PRIOR) / (evenPart + DEMAND_PRIOR);
        }
        Arrays.sort(demandRatios);
        double median = demandRatios[(demandRatios.length - 1) / 2];
        return Math.min(1, Math.max(1, median) / balancers);
    }

    /**
     * Moves to other tenants.
     *
     * @param formerTenants by new index: the former one, or a negative number for a new tenant
     */
    void remap(long now, int[] formerTenants) {
        int tenants = formerTenants.length;
        double[] newDemand = new double[Math.max(1, tenants)];
        double[] newTokens = new double[tenants];
        long[] newTokensAt = new long[tenants];
        for (int i = 0; i < tenants; i++) {
            int former = formerTenants[i];
            newDemand[i] = former < 0 ? 0 : demand[former];
            newTokens[i] = former < 0 ? MIN_BURST : tokens[former];
            newTokensAt[i] = former < 0 ? now : tokensAt[former];
        }
        demand = newDemand;
        tokens = newTokens;
        tokensAt = newTokensAt;
    }

    /** What {@link #restore} of a successor goes on from. */
    LearnedState.Tenants learnedState() {
        return new LearnedState.Tenants(demand.clone(), tokens.clone());
    }

    /** Restores what a predecessor has learned; figures of another number of tenants are ignored. */
    void restore(LearnedState.Tenants learned) {
        demand = LearnedState.copyIfSameLength(learned.demand(), demand);
        tokens = LearnedState.copyIfSameLength(learned.quotaTokens(), tokens);
    }
}
