/** Statistics: confidence intervals and batch means. */
package loadbalancer.simulator.stats;
