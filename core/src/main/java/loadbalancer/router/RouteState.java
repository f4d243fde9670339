package loadbalancer.router;

import java.util.List;
import java.util.Map;
import loadbalancer.limits.RetryBudget;
import loadbalancer.limits.TokenBucketTree;
import loadbalancer.routes.TrafficSplit;

/** A route's split, destinations, retry budget and rate. */
final class RouteState {
    private static final String RATE = ""; // the one node of the route's rate

    private final RouteConfig config;
    private final TrafficSplit split;
    private final List<DestinationState> destinations;
    private final RetryBudget retryBudget; // null where there is none
    private final TokenBucketTree rate; // null where there is none

    /**
     * Creates the state of a route that has seen no request.
     *
     * @param instances balancers that share the route's rate and its free retries
     */
    RouteState(RouteConfig config, int instances, Map<String, PoolState> poolsByName) {
        this.config = config;
        this.split = new TrafficSplit(
                config.destinations().stream().map(Destination::pool).toArray(String[]::new),
                config.destinations().stream().mapToDouble(Destination::weight).toArray());
        this.destinations = config.destinations().stream()
                .map(destination -> new DestinationState(config, destination, poolsByName))
                .toList();
        this.retryBudget = config.retryBudget() == null ? null : retryBudget(config.retryBudget(), instances);
        this.rate = config.rate() == null
                ? null
                : new TokenBucketTree(RATE, config.rate().dividedBy(instances));
    }

    private static RetryBudget retryBudget(RetryBudgetConfig config, int instances) {
        return new RetryBudget(config.ratio(), config.minPerSecond() / instances, config.windowMicros());
    }

    String name() {
        return config.route().name();
    }

    RouteConfig config() {
        return config;
    }

    List<DestinationState> destinations() {
        return destinations;
    }

    /** Counts a request against the retry budget; false where it is a client's retry and the budget is used up. */
    boolean passesRetryBudget(long nowMicros, boolean clientRetry) {
        if (retryBudget == null) {
            return true;
        }
        if (clientRetry && config.retryBudget().countClientRetries()) {
            return retryBudget.tryWithdraw(nowMicros);
        }
        retryBudget.deposit(nowMicros);
        return true;
    }

    /** Takes one of the balancer's own retries; false where the budget is used up. */
    boolean tryWithdrawRetry(long nowMicros) {
        return retryBudget == null || retryBudget.tryWithdraw(nowMicros);
    }

    /** Counts a request against the route's rate; false where it is over it. */
    boolean passesRate(long nowMicros, double reservedFraction) {
        return rate == null || rate.tryTake(nowMicros, RATE, reservedFraction);
    }

    /** After how many microseconds a request may pass the route's rate. */
    long rateWaitMicros(long nowMicros) {
        return rate.waitMicros(nowMicros, RATE);
    }

    /** The index of the destination that a key takes by the split alone; -1 where all weights are 0. */
    int destinationOf(long key) {
        return split.choose(key);
    }

    /** The pool for a key; null where no pool can take it. */
    PoolState choosePool(long nowMicros, long key) {
        int index = split.choose(key);
        return index < 0 ? null : destinations.get(index).choose(nowMicros, key);
    }

    void replacePool(PoolState replaced, PoolState kept) {
        destinations.forEach(destination -> destination.replacePool(replaced, kept));
    }

    /** Goes on from the state of the route of that name in another router. */
    void restore(RouteState former) {
        if (retryBudget != null && former.retryBudget != null) {
            retryBudget.restore(former.retryBudget);
        }
        if (rate != null && former.rate != null) {
            rate.restore(former.rate);
        }
        for (DestinationState destination : destinations) {
            for (DestinationState formerDestination : former.destinations) {
                destination.restore(formerDestination);
            }
        }
    }
}
