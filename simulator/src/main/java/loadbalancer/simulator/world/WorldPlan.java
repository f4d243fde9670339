package loadbalancer.simulator.world;

import java.util.List;
import loadbalancer.policy.Idempotency;

/**
 * A world as an experiment describes it: ranges from which each seed draws one world. All times are simulated
 * microseconds; capacity and work are in µs of a standard core.
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
     * @param swing by which fraction the shape rises and falls
     * @param zoneSkew how unevenly zones bring requests, 0 for evenly
     * @param keys number of different keys, and {@code keyZipf} the exponent of their popularity
     * @param quota all tenants' allowances together, as a fraction of capacity
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
     * Clients. {@code retries}: further tries; {@code attemptTimeoutFraction}: a try's patience as a share of the
     * deadline;
     * {@code noticeDelay}: after what time a front notices a dead or new balancer.
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
     * @param noticeDelay until an end that the service sees is listed
     * @param silentFailureNotice until the end of a process that vanished without a sign is listed
     * @param registrationDelay until a new process is listed
     * @param period between rounds of publishing
     * @param spread up to which a push is delayed
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

    /** Figures of the rules and limits, as {@link SafetyBounds} and {@link SiteLimits} name them. */
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

    /** Weights of the parts of G; they add up to 1. */
    public record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** Points of G for each unit, per first try; {@code waste} per unit of offered work. */
    public record Prices(double crossZone, double waste, double probe, double lateFail, double handshake) {}

    /**
     * What all upstreams have in common: racks, connections, memory for keys. {@code rackLimit}: what a limited
     * rack's upstreams can do together, as a share of their capacity.
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
     * A kind of upstream; {@code cancelDropProbability}: the chance that a world's upstreams drop cancelled
     * waiting work;
     * {@code pool}: the pool that upstreams of this kind belong to, for variants with a front.
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
        /** The only pool, where there is one. */
        public static final String DEFAULT_POOL = "site";

        /** A kind of the only pool. */
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

    /** A class of requests; {@code work} in µs of a standard core. */
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

    /** A tenant: its share of the service, and what it brings as a multiple of that. */
    public record Tenant(String name, double share, Range usage) {}

    /**
     * Something that goes wrong.
     *
     * @param at when it begins, in µs of the day, and {@code length} for how long
     * @param fraction of what it concerns; what this, {@code size} and {@code extra} mean goes with the kind
     * @param pool whose upstreams it concerns; null: any
     */
    public record Fault(String kind, Range at, Range length, Range fraction, Range size, Range extra, String pool) {
        /** One that may concern any upstream. */
        public Fault(String kind, Range at, Range length, Range fraction, Range size, Range extra) {
            this(kind, at, length, fraction, size, extra, null);
        }
    }

    /** The same world with other faults. */
    public WorldPlan withFaults(List<Fault> others) {
        return new WorldPlan(
                length, balancers, upstreams, zones, load, network, clients, discovery, rules, goal, prices, fleet,
                kinds, classes, tenants, others);
    }

    /** The same world at another size. */
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

    /** The same world for another time. */
    public WorldPlan withLength(long other) {
        return new WorldPlan(
                other, balancers, upstreams, zones, load, network, clients, discovery, rules, goal, prices, fleet,
                kinds, classes, tenants, faults);
    }

    /** The same world under another load. */
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
