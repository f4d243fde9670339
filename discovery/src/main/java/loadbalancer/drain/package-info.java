/** The endpoints that operators have drained administratively. Uses no clock and no sockets. */
package loadbalancer.drain;
