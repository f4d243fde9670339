package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Determines whether requests are within their tenant's quota. Each tenant has a token bucket that is filled at this
 * balancer's part of the tenant's allowance.
 *
 * <p>That part is an equal share among the balancers. It is larger if the median tenant's demand at this balancer
 * exceeds the equal share, because traffic isn't spread evenly over balancers. The median is used so that one tenant
 * far over its quota does not raise the quotas of all tenants.
 */
final class TenantQuotas {
    /** Requests that even a small tenant may send at once, as random arrivals come in bunches. */
    private static final double MIN_BURST_REQUESTS = 4;

    /** A tenant may send the requests of this time at once. */
    private static final double BURST_MICROS = 1e6;

    /** Number added to demand and allowance before their comparison, as a few requests say little about a rate. */
    private static final double DEMAND_PRIOR_REQUESTS = 5;

    private static final double MICROS_PER_SECOND = 1e6;

    private final ActiveSettings settings;

    /** By tenant: decayed number of requests that clients sent for the first time. */
    private double[] demand;

    /** By tenant: fill of the token bucket at {@link #tokensAt}. */
    private double[] tokens;

    private long[] tokensAt;

    /** Creates buckets with a random fill, so that bursts at the balancers of a fleet that starts don't coincide. */
    TenantQuotas(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        int tenants = settings.current().tenants().size();
        this.demand = new double[Math.max(1, tenants)];
        this.tokens = new double[tenants];
        this.tokensAt = new long[tenants];
        for (int i = 0; i < tenants; i++) {
            tokens[i] = MIN_BURST_REQUESTS * random.nextDouble();
        }
    }

    /** Starts filling the buckets. */
    void start(long now) {
        Arrays.fill(tokensAt, now);
    }

    /** Counts a request that a client of the tenant sends for the first time. */
    void recordArrival(int tenant) {
        demand[tenant]++;
    }

    /** Decays the counts to this fraction. */
    void decay(double retained) {
        for (int i = 0; i < demand.length; i++) {
            demand[i] *= retained;
        }
    }

    /** Whether a request of the tenant that arrives now is over the quota; takes a token if it is not. */
    boolean isOverQuota(int tenant, long now) {
        if (settings.current().tenants().isEmpty()) {
            return false;
        }
        double perSecond = settings.current().tenants().get(tenant).allowancePerSecond() * balancerFraction();
        double burst = Math.max(MIN_BURST_REQUESTS, perSecond * BURST_MICROS / MICROS_PER_SECOND);
        tokens[tenant] = Math.min(burst, tokens[tenant] + perSecond * (now - tokensAt[tenant]) / MICROS_PER_SECOND);
        tokensAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    // This balancer's part of the allowance of each tenant.
    private double balancerFraction() {
        int balancers = settings.current().balancers();
        double[] demandRatios = new double[demand.length];
        for (int i = 0; i < demandRatios.length; i++) {
            double equalShare = settings.current().tenants().get(i).allowancePerSecond()
                    / balancers
                    * DecayScale.COUNT_DECAY_MICROS
                    / MICROS_PER_SECOND;
            demandRatios[i] = (demand[i] + DEMAND_PRIOR_REQUESTS) / (equalShare + DEMAND_PRIOR_REQUESTS);
        }
        Arrays.sort(demandRatios);
        double median = demandRatios[(demandRatios.length - 1) / 2];
        return Math.min(1, Math.max(1, median) / balancers);
    }

    /**
     * Adopts new tenant indexes.
     *
     * @param formerTenants by new index, the former index, or a negative number for a new tenant
     */
    void remap(long now, int[] formerTenants) {
        int tenants = formerTenants.length;
        double[] newDemand = new double[Math.max(1, tenants)];
        double[] newTokens = new double[tenants];
        long[] newTokensAt = new long[tenants];
        for (int i = 0; i < tenants; i++) {
            int former = formerTenants[i];
            newDemand[i] = former < 0 ? 0 : demand[former];
            newTokens[i] = former < 0 ? MIN_BURST_REQUESTS : tokens[former];
            newTokensAt[i] = former < 0 ? now : tokensAt[former];
        }
        demand = newDemand;
        tokens = newTokens;
        tokensAt = newTokensAt;
    }

    /** The state that {@link #restore} takes over in a successor. */
    LearnedState.Tenants learnedState() {
        return new LearnedState.Tenants(demand.clone(), tokens.clone());
    }

    /** Restores the state of a predecessor; arrays for another number of tenants are ignored. */
    void restore(LearnedState.Tenants learned) {
        demand = LearnedState.copyIfSameLength(learned.demand(), demand);
        tokens = LearnedState.copyIfSameLength(learned.quotaTokens(), tokens);
    }
}
