/**
 * The simulator's wire on standard input and output: reads frames, calls the policies of the balancers that the
 * simulator runs, and writes what they ask for. Only this package knows the names of that wire.
 */
package loadbalancer.wire;
