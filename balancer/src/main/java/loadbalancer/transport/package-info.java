/**
 * What both sides of the sockets share: the typed request and response, bodies in transit and the memory they may
 * take, header names and channel settings. Nothing here knows clients, upstreams or the policy. All of it belongs to
 * the event loop's thread.
 */
package loadbalancer.transport;
