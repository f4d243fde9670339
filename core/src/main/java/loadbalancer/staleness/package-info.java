/** When an endpoint list counts as out of date, and what then counts as notified. Pure: no clock, no sockets. */
package loadbalancer.staleness;
