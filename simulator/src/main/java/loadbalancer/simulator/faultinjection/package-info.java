/**
 * Faults between two sockets: scripts, where in a stream of HTTP/1.1 messages each byte is, and what a fault makes of
 * the bytes. Pure: no sockets, no clock; the same bytes give the same result in whatever pieces they come.
 */
package loadbalancer.simulator.faultinjection;
