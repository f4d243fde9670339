/**
 * Makes every decision of one balancer: which endpoint an attempt goes to, when a request is sent, queued, retried,
 * hedged or rejected, and when discovery is polled.
 *
 * <p>{@link loadbalancer.policy.LoadBalancingPolicy} is the interface, {@link loadbalancer.policy.JsqDasPolicy} the
 * implementation. It receives the events and calls the other classes, each of which implements one rule. All classes
 * are pure: they use no sockets, files, threads or clocks, and draw random numbers only from generators that are passed
 * to them. None is thread-safe; the caller delivers events one at a time. Times are microseconds of the caller's clock.
 */
package loadbalancer.policy;
