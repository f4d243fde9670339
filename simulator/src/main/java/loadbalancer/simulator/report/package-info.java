/** Results as a table, as JSON and as pages. */
package loadbalancer.simulator.report;
