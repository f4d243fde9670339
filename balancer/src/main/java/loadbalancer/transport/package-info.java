/**
 * Types that the client side and the upstream side share: request and response, streamed bodies and the memory budget
 * for them, header names and channel settings. This package does not depend on the code for clients, upstreams or the
 * policy. All objects are used on the event loop's thread only.
 */
package loadbalancer.transport;
