/**
 * One balancer as a process: its configuration, the assembly of its parts, its way to readiness and its orderly stop,
 * the reload of its configuration, and its part in a handover to another process.
 */
package loadbalancer.process;
