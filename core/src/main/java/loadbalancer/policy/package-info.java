/**
 * Every decision of one balancer: which endpoint an attempt goes to, when a request is sent, queued, retried, hedged or
 * rejected, and when discovery is polled.
 *
 * <p>{@link loadbalancer.policy.LoadBalancingPolicy} is the interface, {@link loadbalancer.policy.JsqDasPolicy} the
 * implementation. It takes events and asks the other classes, each of which holds one rule. All classes are pure: they
 * use no sockets, files, threads or clocks, and draw random numbers only from generators that are handed to them. None
 * is thread-safe; the caller hands events over one at a time. Times are microseconds of the caller's clock.
 */
package loadbalancer.policy;
