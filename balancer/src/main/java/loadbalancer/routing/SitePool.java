package loadbalancer.routing;

import loadbalancer.discovery.Membership;
import loadbalancer.dispatch.RequestDispatcher;

/** The pool that the platform's own discovery lists, which exists with or without an operator file. */
public record SitePool(RequestDispatcher dispatcher, Membership membership) {}
