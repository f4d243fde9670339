/**
 * The client of discovery, and the membership that results from its lists. Both run on the caller's event loop and
 * clock, so that real balancers and hollow ones, which have no listener and no traffic, run the same code.
 */
package loadbalancer.discovery;
