/**
 * The client side: accepts connections, reads HTTP/1.1 requests, passes them to a handler and writes the responses. All
 * objects are used on the event loop's thread only, except when listening starts.
 */
package loadbalancer.http;
