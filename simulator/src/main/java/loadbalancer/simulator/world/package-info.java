/** The simulated service: clients, balancers, network, discovery and upstreams, and the faults of a day. */
package loadbalancer.simulator.world;
