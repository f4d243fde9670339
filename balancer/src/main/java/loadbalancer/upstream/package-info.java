/**
 * The connections to the upstreams, HTTP/1.1 with one request at a time on each, and what becomes of each request. All
 * of it belongs to the event loop's thread.
 */
package loadbalancer.upstream;
