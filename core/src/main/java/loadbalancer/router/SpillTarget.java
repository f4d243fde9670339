package loadbalancer.router;

/** A pool that a route's traffic spills over to, and the fraction of the route's traffic that it may take at most. */
public record SpillTarget(String pool, double maxShare) {}
