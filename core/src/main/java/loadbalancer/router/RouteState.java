package loadbalancer.router;

import java.util.List;
import java.util.Map;
import loadbalancer.limits.RetryBudget;
import loadbalancer.limits.TokenBucketTree;
import loadbalancer.routes.TrafficSplit;

/** State of a route: its traffic split, destinations, retry budget and rate. */
final class RouteState {
    private static final String RATE_NODE = ""; // the only node of the rate's token bucket tree

    private final RouteConfig config;
    private final TrafficSplit split;
    private final List<DestinationState> destinations;
    private final RetryBudget retryBudget; // null if there is none
    private final TokenBucketTree rate; // null if there is none

    /**
     * Creates the state of a route before its first request.
     *
     * @param instances number of balancers that share the route's rate and its minimum of retries
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
                : new TokenBucketTree(RATE_NODE, config.rate().dividedBy(instances));
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

    /** Counts a request at the retry budget; returns false if it is a client's retry and the budget is used up. */
    boolean tryPassRetryBudget(long nowMicros, boolean clientRetry) {
        if (retryBudget == null) {
            return true;
        }
        if (clientRetry && config.retryBudget().countClientRetries()) {
            return retryBudget.tryWithdraw(nowMicros);
        }
        retryBudget.deposit(nowMicros);
        return true;
    }

    /** Takes one retry by the balancer from the budget; returns false if the budget is used up. */
    boolean tryWithdrawRetry(long nowMicros) {
        return retryBudget == null || retryBudget.tryWithdraw(nowMicros);
    }

    /** Counts a request at the route's rate; returns false if the route is over its rate. */
    boolean tryTakeRate(long nowMicros, double reservedFraction) {
        return rate == null || rate.tryTake(nowMicros, RATE_NODE, reservedFraction);
    }

    /** Returns after how many microseconds a request may pass the route's rate. */
    long rateWaitMicros(long nowMicros) {
        return rate.waitMicros(nowMicros, RATE_NODE);
    }

    /** Returns the index of the destination that the traffic split gives a key; -1 if all weights are 0. */
    int destinationOf(long key) {
        return split.choose(key);
    }

    /** Returns the pool for a key, or null if no pool can take it. */
    PoolState choosePool(long nowMicros, long key) {
        int index = split.choose(key);
        return index < 0 ? null : destinations.get(index).choose(nowMicros, key);
    }

    void replacePool(PoolState replaced, PoolState kept) {
        destinations.forEach(destination -> destination.replacePool(replaced, kept));
    }

    /** Takes over the state of the route with the same name in a former router. */
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
