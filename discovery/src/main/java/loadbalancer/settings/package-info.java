/**
 * The settings of a balancer as the platform writes them. Only this package knows the platform's names of settings and
 * values, and it maps them to the types of {@link loadbalancer.policy}.
 */
package loadbalancer.settings;
