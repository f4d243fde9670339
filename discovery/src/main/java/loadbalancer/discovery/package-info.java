/**
 * The client of discovery, and the membership that its lists result in. Runs on the caller's event loop and by the
 * caller's clock, so that a real balancer and a simulated one, without listener and traffic, run the same code.
 */
package loadbalancer.discovery;
