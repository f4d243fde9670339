/** Discrete-event simulation: the event queue, and streams of random numbers derived from a seed. */
package loadbalancer.simulator.engine;
