/**
 * What stands before the pools: which route and pool a request takes, and whether it is taken at all. Joins
 * {@code routes} and {@code limits} into one pure module; which upstream of a pool, whether again, and what of a pool
 * is refused stays with each pool's decision module.
 */
package loadbalancer.router;
