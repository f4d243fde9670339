package loadbalancer.policy;

/** Points of the goal for each crossing of zones and for each new connection, per first try; 0: free. */
public record TrafficCosts(double crossZone, double handshake) {
    public TrafficCosts {
        Requirements.require(crossZone >= 0, "crossZone", crossZone);
        Requirements.require(handshake >= 0, "handshake", handshake);
    }
}
