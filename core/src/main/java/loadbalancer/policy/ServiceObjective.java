package loadbalancer.policy;

/**
 * Weights of the parts of the site's service objective.
 *
 * @param whole weight of all requests together
 * @param worstWindow weight of the time window that is served worst
 * @param worstClass weight of the request class that is served worst
 * @param worstTenant weight of the tenant that is served worst
 */
public record ServiceObjective(double whole, double worstWindow, double worstClass, double worstTenant) {}
