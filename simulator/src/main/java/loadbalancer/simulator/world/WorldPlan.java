package loadbalancer.simulator.world;

import java.util.List;
import loadbalancer.policy.Idempotency;

/**
 * The plan of a world in an experiment: ranges from which each seed draws one world. All times are in simulated µs;
 * work is in µs of a standard core, and capacity in standard cores.
 */
public record WorldPlan(
        long length,
        Range balancers,
        Range upstreams,
        List<String> zones,
        Load load,
        Network network,
        Clients clients,
        Discovery discovery,
        Rules rules,
        Goal goal,
        Prices prices,
        Fleet fleet,
        List<Kind> kinds,
        List<RequestClassPlan> classes,
        List<Tenant> tenants,
        List<Fault> faults) {

    /** How arrivals vary over the day. */
    public enum Shape {
        STEADY,
        RAMP,
        DAILY,
        BURSTS
    }

    /** How a kind of upstream warms up. */
    public enum WarmBy {
        TIME,
        REQUESTS
    }

    /** How the work of a class varies. */
    public enum Spread {
        EXPONENTIAL,
        LOGNORMAL,
        PARETO,
        FIXED
    }

    /**
     * Demand over the day.
     *
     * @param level work of first attempts, as a fraction of the fleet's capacity
     * @param swing fraction by which the shape rises and falls
     * @param zoneSkew how unevenly requests are spread over the zones of clients; 0 for evenly
     * @param keys number of different keys
     * @param keyZipf Zipf exponent of the popularity of keys
     * @param quota sum of all tenants' quotas, as a fraction of capacity
     */
    public record Load(Range level, Shape shape, Range swing, Range zoneSkew, Range keys, Range keyZipf, Range quota) {}

    /**
     * One-way delays between zones, in µs.
     *
     * @param jitter mean of the exponential part, as a fraction of the delay
     * @param loss probability that a message is lost and sent again
     */
    public record Network(Range sameZone, Range crossZone, Range client, Range jitter, double loss) {}

    /**
     * The behaviour of clients.
     *
     * @param retries maximum number of retries
     * @param attemptTimeoutFraction timeout of an attempt, as a fraction of the deadline
     * @param noticeDelay delay until clients notice a dead or new balancer, in µs
     */
    public record Clients(
            Range retries,
            Range attemptTimeoutFraction,
            Range backoff,
            Range retryAfterCompliance,
            Range abandonFraction,
            Range noticeDelay,
            boolean marksRetries) {}

    /**
     * The discovery service; times in µs.
     *
     * @param polling whether balancers poll; otherwise lists are pushed
     * @param noticeDelay until the end of a process is listed, if the service sees it end
     * @param silentFailureNotice until the end of a process that failed silently is listed
     * @param registrationDelay until a new process is listed
     * @param period interval between publications of the list
     * @param spread maximum random delay of a push
     * @param capacity calls per second
     * @param entriesPerCall entries that cost as much as a call
     * @param timeout after which a waiting call fails
     */
    public record Discovery(
            boolean polling,
            Range noticeDelay,
            Range silentFailureNotice,
            Range registrationDelay,
            Range period,
            Range spread,
            Range capacity,
            Range entriesPerCall,
            long timeout) {}

    /** Values of the rules and limits, named as in {@link SafetyBounds} and {@link SiteLimits}. */
    public record Rules(
            long responseSlackMicros,
            long drainGracePeriodMicros,
            long pollIntervalMicros,
            double overloadFactor,
            long overloadWindowMicros,
            int maxAttempts,
            boolean hedgingAllowed,
            boolean cancel,
            boolean probes,
            long maxRetryAfterMicros) {}

    /** Weights of the parts of the objective G; they add up to 1. */
    public record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** Costs in points of G for each unit, per first attempt; {@code waste} is per unit of offered work. */
    public record Prices(double crossZone, double waste, double probe, double lateFail, double handshake) {}

    /**
     * Properties that all upstreams share: racks, connections, memory for keys.
     *
     * @param limitedRacks fraction of the racks that are limited
     * @param rackLimit joint capacity of the upstreams of a limited rack, as a fraction of the sum of their capacities
     */
    public record Fleet(
            Range rackSize,
            Range limitedRacks,
            Range rackLimit,
            Range handshakeRtts,
            Range handshakeWork,
            long idleTimeoutMicros,
            long connectTimeoutMicros,
            Range connectionsPerCore,
            Range connectionOverhead,
            Range keyAffinityGain,
            Range keyRetentionMicros,
            Range keysPerCore) {}

    /**
     * A kind of upstream.
     *
     * @param cancelDropProbability probability that the upstreams of this kind drop queued work that is cancelled
     * @param pool the pool that upstreams of this kind belong to, for variants that route between pools
     */
    public record Kind(
            String name,
            Range share,
            int cores,
            Range speed,
            Range speedVariation,
            Range slotsPerCore,
            Range queuePerCore,
            double crowding,
            Range crowdingThreshold,
            Range slowStartInitialWeight,
            Range slowStartDurationMicros,
            WarmBy warmBy,
            Range errorFraction,
            double cancelDropProbability,
            String pool) {
        /** The pool of all upstreams in worlds that have a single pool. */
        public static final String DEFAULT_POOL = "site";

        /** A kind of upstream in {@link #DEFAULT_POOL}. */
        public Kind(
                String name,
                Range share,
                int cores,
                Range speed,
                Range speedVariation,
                Range slotsPerCore,
                Range queuePerCore,
                double crowding,
                Range crowdingThreshold,
                Range slowStartInitialWeight,
                Range slowStartDurationMicros,
                WarmBy warmBy,
                Range errorFraction,
                double cancelDropProbability) {
            this(
                    name,
                    share,
                    cores,
                    speed,
                    speedVariation,
                    slotsPerCore,
                    queuePerCore,
                    crowding,
                    crowdingThreshold,
                    slowStartInitialWeight,
                    slowStartDurationMicros,
                    warmBy,
                    errorFraction,
                    cancelDropProbability,
                    DEFAULT_POOL);
        }
    }

    /** A class of requests; {@code work} is in µs of a standard core. */
    public record RequestClassPlan(
            String name,
            Range share,
            Range work,
            Spread spread,
            Range variation,
            Range attemptNoise,
            long latencyObjectiveMicros,
            long deadline,
            double priorityWeight,
            double lateFraction,
            Idempotency effect) {}

    /** A tenant: its share of the service, and its actual load as a multiple of that share. */
    public record Tenant(String name, double share, Range usage) {}

    /**
     * A fault that occurs during the day.
     *
     * @param at start of the fault, in µs since the start of the day
     * @param length duration of the fault, in µs
     * @param fraction of the upstreams or balancers that are affected; the meaning of {@code fraction}, {@code size}
     *     and {@code extra} depends on the kind, see {@link FaultKinds}
     * @param pool the pool whose upstreams are affected; null for all pools
     */
    public record Fault(String kind, Range at, Range length, Range fraction, Range size, Range extra, String pool) {
        /** A fault that may affect the upstreams of any pool. */
        public Fault(String kind, Range at, Range length, Range fraction, Range size, Range extra) {
            this(kind, at, length, fraction, size, extra, null);
        }
    }

    /** A copy of this plan with other faults. */
    public WorldPlan withFaults(List<Fault> others) {
        return new WorldPlan(
                length, balancers, upstreams, zones, load, network, clients, discovery, rules, goal, prices, fleet,
                kinds, classes, tenants, others);
    }

    /** A copy of this plan with other numbers of balancers and upstreams. */
    public WorldPlan withSize(Range otherBalancers, Range otherUpstreams) {
        return new WorldPlan(
                length,
                otherBalancers,
                otherUpstreams,
                zones,
                load,
                network,
                clients,
                discovery,
                rules,
                goal,
                prices,
                fleet,
                kinds,
                classes,
                tenants,
                faults);
    }

    /** A copy of this plan with another length of the day. */
    public WorldPlan withLength(long otherLength) {
        return new WorldPlan(
                otherLength,
                balancers,
                upstreams,
                zones,
                load,
                network,
                clients,
                discovery,
                rules,
                goal,
                prices,
                fleet,
                kinds,
                classes,
                tenants,
                faults);
    }

    /** A copy of this plan with another load level. */
    public WorldPlan withLoad(Range level) {
        return new WorldPlan(
                length,
                balancers,
                upstreams,
                zones,
                new Load(level, load.shape, load.swing, load.zoneSkew, load.keys, load.keyZipf, load.quota),
                network,
                clients,
                discovery,
                rules,
                goal,
                prices,
                fleet,
                kinds,
                classes,
                tenants,
                faults);
    }
}
