/** Discrete-event simulation: the calendar of events and streams of random numbers that a seed fixes. */
package loadbalancer.simulator.engine;
