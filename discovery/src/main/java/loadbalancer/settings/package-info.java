/**
 * Reads the settings of a balancer in the platform's format. Only this package knows the platform's names of settings
 * and values, and maps them to the types of {@link loadbalancer.policy}.
 */
package loadbalancer.settings;
