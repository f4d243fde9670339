/**
 * One balancer as a process: its configuration, the assembly of its components, its readiness, graceful shutdown and
 * reload of the configuration, and its part in a handover between processes.
 */
package loadbalancer.process;
