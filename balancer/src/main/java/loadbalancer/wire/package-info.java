/**
 * The simulator's wire protocol on standard input and output: reads frames, calls the policies of the balancers that
 * the simulator runs, and writes their actions. Only this package knows the names of messages and fields.
 */
package loadbalancer.wire;
