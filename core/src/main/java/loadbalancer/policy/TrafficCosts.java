package loadbalancer.policy;

/**
 * Costs in points of the objective per request that a client sends for the first time; 0 for none.
 *
 * @param crossZone cost of an attempt in another zone than the balancer's
 * @param handshake cost of a new connection
 */
public record TrafficCosts(double crossZone, double handshake) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException for a negative cost
     */
    public TrafficCosts {
        Requirements.require(crossZone >= 0, "crossZone", crossZone);
        Requirements.require(handshake >= 0, "handshake", handshake);
    }
}
