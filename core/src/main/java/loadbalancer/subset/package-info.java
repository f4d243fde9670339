/**
 * Determines which part of a long endpoint list a balancer holds, see docs/design/subset.md. Pure; {@link
 * loadbalancer.subset.Subset} is immutable, {@link loadbalancer.subset.AdaptiveSample} is not thread-safe.
 */
package loadbalancer.subset;
