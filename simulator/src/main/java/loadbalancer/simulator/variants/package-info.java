/** The policies that a world can be played under, by the names that experiments give them. */
package loadbalancer.simulator.variants;
