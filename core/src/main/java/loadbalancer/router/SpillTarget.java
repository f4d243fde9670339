package loadbalancer.router;

/** A pool that a route's traffic spills over to, and the largest fraction of the traffic that it may take. */
public record SpillTarget(String pool, double maxShare) {}
