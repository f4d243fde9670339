/** Measurements of what one call of a part costs, by JMH; {@code bin/bench} runs them. */
package loadbalancer.bench;
