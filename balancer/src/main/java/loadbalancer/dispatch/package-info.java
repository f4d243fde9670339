/**
 * Passes requests from the client side through the policy to the upstreams: tracks the open requests and their
 * attempts, delivers events to the policy one at a time and executes its actions. Only the policy decides where a
 * request goes. All objects are used on the event loop's thread only.
 */
package loadbalancer.dispatch;
