package loadbalancer.policy;

/**
 * Costs of traffic, in points of the service objective per request that a client sends for the first time. A cost of 0
 * means none.
 *
 * @param crossZone cost of an attempt in another zone than the balancer's
 * @param handshake cost of a new connection
 */
public record TrafficCosts(double crossZone, double handshake) {
    /**
     * Checks the costs.
     *
     * @throws IllegalArgumentException if a cost is negative
     */
    public TrafficCosts {
        Requirements.require(crossZone >= 0, "crossZone", crossZone);
        Requirements.require(handshake >= 0, "handshake", handshake);
    }
}
