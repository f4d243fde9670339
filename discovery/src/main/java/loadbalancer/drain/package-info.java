/** What operators have drained administratively. Pure: no clock, no sockets. */
package loadbalancer.drain;
