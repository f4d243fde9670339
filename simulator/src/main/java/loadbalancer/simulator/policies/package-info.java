/** Textbook policies that choose an endpoint, such as join-the-shortest-queue. */
package loadbalancer.simulator.policies;
