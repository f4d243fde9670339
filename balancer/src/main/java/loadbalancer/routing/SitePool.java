package loadbalancer.routing;

import loadbalancer.discovery.Membership;
import loadbalancer.dispatch.RequestDispatcher;

/** The pool whose endpoints the site's own discovery lists. It exists with or without an operator file. */
public record SitePool(RequestDispatcher dispatcher, Membership membership) {}
