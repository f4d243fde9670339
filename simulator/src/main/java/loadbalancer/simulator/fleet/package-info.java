/**
 * Scale runs: how each cost of the program grows with the number of balancers, upstreams, routes and tenants, one
 * {@link loadbalancer.simulator.fleet.Axis} at a time. What they give backs {@code docs/CAPACITY.md}.
 */
package loadbalancer.simulator.fleet;
