/** The simulator's command line: one class a command. */
package loadbalancer.simulator.cli;
