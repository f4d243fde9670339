/** Experiments: their files, their days played on several threads, and what is expected of the results. */
package loadbalancer.simulator.experiment;
