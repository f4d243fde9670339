package loadbalancer.policy;

/** How much the worst-served class and the worst-served tenant count, beside the whole. */
public record ServiceObjective(double whole, double worstWindow, double worstClass, double worstTenant) {}
