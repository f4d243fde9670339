/**
 * Which part of a long endpoint list one balancer holds, see docs/design/subset.md. Pure; {@link
 * loadbalancer.subset.Subset} is immutable, {@link loadbalancer.subset.AdaptiveSample} is not thread-safe.
 */
package loadbalancer.subset;
