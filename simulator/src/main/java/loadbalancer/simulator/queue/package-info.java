/** A queueing model without network or failures, for comparing policies with theory. */
package loadbalancer.simulator.queue;
