/**
 * Carries requests from the clients' side through the policy to the upstreams: keeps the open requests and their
 * attempts, gives the policy its events one at a time and carries out its actions. Nothing here decides where a request
 * goes. All of it belongs to the event loop's thread.
 */
package loadbalancer.dispatch;
