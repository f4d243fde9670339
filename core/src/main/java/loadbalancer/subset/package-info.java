/** Which part of a long list of upstreams one balancer holds: see docs/design/subset.md. Pure. */
package loadbalancer.subset;
