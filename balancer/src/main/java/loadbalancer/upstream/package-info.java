/**
 * Connections to the upstreams, which use HTTP/1.1 with one request at a time, and the outcome of each request. All
 * objects are used on the event loop's thread only.
 */
package loadbalancer.upstream;
