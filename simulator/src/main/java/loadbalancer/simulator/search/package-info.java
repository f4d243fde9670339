/** Random search for worlds in which a rule is violated, and their reduction to small ones. */
package loadbalancer.simulator.search;
