/**
 * The rules in front of the pools: which route and pool a request takes, and whether it is admitted at all. Joins
 * {@code routes} and {@code limits} into one pure state machine. Which endpoint of a pool is chosen, whether an attempt
 * is retried, and what a pool itself rejects is decided by each pool's policy.
 */
package loadbalancer.router;
