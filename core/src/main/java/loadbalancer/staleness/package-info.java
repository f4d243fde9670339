/**
 * Determines when an endpoint list is out of date, and when missed changes count as notified. Pure: no clock, no
 * sockets.
 */
package loadbalancer.staleness;
