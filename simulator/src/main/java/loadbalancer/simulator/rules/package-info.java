/** The rules that every balancer keeps, checked on every event of a day, and the score of the day. */
package loadbalancer.simulator.rules;
