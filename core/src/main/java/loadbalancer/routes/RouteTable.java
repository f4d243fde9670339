package loadbalancer.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes, compiled once into a tree of path segments, so that the cost of a look-up depends on the length of the path
 * and not on the number of routes. Among several routes that end at one node, those with tenants are found by the
 * tenant. Immutable.
 */
public final class RouteTable {
    private static final List<Route> NONE = List.of();

    /** Routes that end at one node, by tenant, the most specific first; routes without tenants are under null. */
    private static final class RoutesAtNode {
        private final Map<String, List<Route>> byTenant = new HashMap<>();

        void add(Route route) {
            if (route.tenants().isEmpty()) {
                byTenant.computeIfAbsent(null, absent -> new ArrayList<>()).add(route);
            }
            for (String tenant : route.tenants()) {
                byTenant.computeIfAbsent(tenant, absent -> new ArrayList<>()).add(route);
            }
        }

        Route first(RouteRequest request) {
            Route anyTenant = first(byTenant.getOrDefault(null, NONE), request);
            Route ownTenant =
                    request.tenant() == null ? null : first(byTenant.getOrDefault(request.tenant(), NONE), request);
            if (anyTenant == null || ownTenant == null) {
                return anyTenant == null ? ownTenant : anyTenant;
            }
            return Route.MOST_SPECIFIC_FIRST.compare(ownTenant, anyTenant) < 0 ? ownTenant : anyTenant;
        }

        private static Route first(List<Route> routes, RouteRequest request) {
            for (Route route : routes) {
                if (route.mismatchBeyondPath(request) == null) {
                    return route;
                }
            }
            return null;
        }
    }

    private static final class Node {
        private final Map<String, Node> literals = new HashMap<>();
        private Node parameter; // matches any segment that is not empty
        private RoutesAtNode exact; // routes whose templates end here
        private RoutesAtNode wildcard; // routes whose templates end here with **
    }

    private final Node root = new Node();
    private final List<Route> routes;

    /** Compiles {@code routes}. Their order in the list doesn't matter; {@link Route#position} does. */
    public RouteTable(List<Route> routes) {
        this.routes = routes.stream().sorted(Route.MOST_SPECIFIC_FIRST).toList();
        this.routes.forEach(this::insert);
    }

    private void insert(Route route) {
        Node node = root;
        for (PathTemplate.Segment segment : route.path().segments()) {
            node = child(node, segment);
        }
        if (route.path().trailingWildcard()) {
            node.wildcard = node.wildcard == null ? new RoutesAtNode() : node.wildcard;
            node.wildcard.add(route);
        } else {
            node.exact = node.exact == null ? new RoutesAtNode() : node.exact;
            node.exact.add(route);
        }
    }

    private static Node child(Node node, PathTemplate.Segment segment) {
        if (!segment.parameter()) {
            return node.literals.computeIfAbsent(segment.text(), absent -> new Node());
        }
        if (node.parameter == null) {
            node.parameter = new Node();
        }
        return node.parameter;
    }

    /** Returns all routes, the most specific first. */
    public List<Route> routes() {
        return routes;
    }

    /** Returns the most specific route that matches the request; null if none does. */
    public Route find(RouteRequest request) {
        return find(root, request, 0);
    }

    // Literals are tried first, then parameters, then wildcards, which gives the order of MOST_SPECIFIC_FIRST.
    private static Route find(Node node, RouteRequest request, int depth) {
        String[] path = request.path();
        Route found = null;
        if (depth == path.length) {
            found = node.exact == null ? null : node.exact.first(request);
        } else {
            Node literal = node.literals.get(path[depth]);
            found = literal == null ? null : find(literal, request, depth + 1);
            if (found == null && node.parameter != null && !path[depth].isEmpty()) {
                found = find(node.parameter, request, depth + 1);
            }
        }
        return found != null || node.wildcard == null ? found : node.wildcard.first(request);
    }

    /** Returns which route takes the request, and why each other one doesn't. */
    public RouteExplanation explain(RouteRequest request) {
        Route match = find(request);
        List<String> others = new ArrayList<>();
        for (Route route : routes) {
            if (route != match) {
                String mismatch = route.mismatch(request);
                others.add(route.name() + ": " + (mismatch == null ? "would take it, but is less specific" : mismatch));
            }
        }
        return new RouteExplanation(match, others);
    }
}
