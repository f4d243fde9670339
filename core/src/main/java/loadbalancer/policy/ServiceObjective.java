package loadbalancer.policy;

/** How much each part counts in the site's objective: all requests, the worst window, class and tenant. */
public record ServiceObjective(double whole, double worstWindow, double worstClass, double worstTenant) {}
