/** The bare queueing model that policies are compared with theory on. */
package loadbalancer.simulator.queue;
