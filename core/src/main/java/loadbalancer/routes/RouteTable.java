package loadbalancer.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes, compiled once into a tree by segments: a look-up costs the length of the path, however many routes there
 * are. Where several routes end at one node, those that name tenants are found by the tenant. Immutable.
 */
public final class RouteTable {
    private static final List<Route> NONE = List.of();

    /** Routes that end at one node, the most specific first, by tenant; under null those that name no tenant. */
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
            Route any = first(byTenant.getOrDefault(null, NONE), request);
            Route own = request.tenant() == null ? null : first(byTenant.getOrDefault(request.tenant(), NONE), request);
            if (any == null || own == null) {
                return any == null ? own : any;
            }
            return Route.MOST_SPECIFIC.compare(own, any) < 0 ? own : any;
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
        private Node parameter; // for any segment that is not empty
        private RoutesAtNode exact; // of templates that end here
        private RoutesAtNode rest; // of templates with any rest behind this
    }

    private final Node root = new Node();
    private final List<Route> routes;

    /** Compiles {@code routes}; their order in the list doesn't matter, only their positions do. */
    public RouteTable(List<Route> routes) {
        this.routes = routes.stream().sorted(Route.MOST_SPECIFIC).toList();
        this.routes.forEach(this::insert);
    }

    private void insert(Route route) {
        Node node = root;
        for (PathTemplate.Segment segment : route.path().segments()) {
            node = child(node, segment);
        }
        if (route.path().rest()) {
            node.rest = node.rest == null ? new RoutesAtNode() : node.rest;
            node.rest.add(route);
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

    /** All routes, the most specific first. */
    public List<Route> routes() {
        return routes;
    }

    /** The most specific route that takes the request; null where none does. */
    public Route find(RouteRequest request) {
        return find(root, request, 0);
    }

    // Literals first, then parameters, then the rest: the stated order, met by going down the tree.
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
        return found != null || node.rest == null ? found : node.rest.first(request);
    }

    /** Which route takes the request, and for each other one why it doesn't. */
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
