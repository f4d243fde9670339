package loadbalancer.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes, compiled once into a tree by segments: a look-up costs the length of the path, however many routes there
 * are. Where several end at one node, those that name tenants are found by the tenant. Immutable.
 */
public final class RouteTable {
    private static final List<Route> NONE = List.of();

    /** Routes that end at one node, by tenant; under null those that name none. Each list is in the stated order. */
    private static final class Ends {
        private final Map<String, List<Route>> byTenant = new HashMap<>();

        void add(Route route) {
            if (route.tenants().isEmpty()) {
                byTenant.computeIfAbsent(null, x -> new ArrayList<>()).add(route);
            }
            for (String t : route.tenants()) {
                byTenant.computeIfAbsent(t, x -> new ArrayList<>()).add(route);
            }
        }

        Route first(Route.Request request) {
            Route any = first(byTenant.getOrDefault(null, NONE), request);
            Route own = request.tenant() == null ? null : first(byTenant.getOrDefault(request.tenant(), NONE), request);
            if (any == null || own == null) {
                return any == null ? own : any;
            }
            return Route.MOST_SPECIFIC.compare(own, any) < 0 ? own : any;
        }

        private static Route first(List<Route> routes, Route.Request request) {
            for (Route r : routes) {
                if (r.refusalButPath(request) == null) {
                    return r;
                }
            }
            return null;
        }
    }

    private static final class Node {
        private final Map<String, Node> literals = new HashMap<>();
        private Node place;
        private Ends ends;
        private Ends rests;
    }

    private final Node root = new Node();
    private final List<Route> routes;

    /** Compiles {@code routes}; their order in the list doesn't matter, only their places do. */
    public RouteTable(List<Route> routes) {
        this.routes = routes.stream().sorted(Route.MOST_SPECIFIC).toList();
        for (Route r : this.routes) {
            Node at = root;
            for (PathTemplate.Segment s : r.path().segments()) {
                if (s.place()) {
                    at.place = at.place == null ? new Node() : at.place;
                    at = at.place;
                } else {
                    at = at.literals.computeIfAbsent(s.text(), x -> new Node());
                }
            }
            if (r.path().rest()) {
                at.rests = at.rests == null ? new Ends() : at.rests;
                at.rests.add(r);
            } else {
                at.ends = at.ends == null ? new Ends() : at.ends;
                at.ends.add(r);
            }
        }
    }

    /** All routes, the most specific first. */
    public List<Route> routes() {
        return routes;
    }

    /** The most specific route that takes the request; null where none does. */
    public Route find(Route.Request request) {
        return find(root, request, 0);
    }

    // Literals first, then places, then the rest: the stated order, met by going down the tree.
    private static Route find(Node node, Route.Request request, int depth) {
        String[] path = request.path();
        Route found = null;
        if (depth == path.length) {
            found = node.ends == null ? null : node.ends.first(request);
        } else {
            Node literal = node.literals.get(path[depth]);
            found = literal == null ? null : find(literal, request, depth + 1);
            if (found == null && node.place != null && !path[depth].isEmpty()) {
                found = find(node.place, request, depth + 1);
            }
        }
        return found != null || node.rests == null ? found : node.rests.first(request);
    }

    /** Which route takes the request, and for each other one why it doesn't. */
    public Route.Explanation explain(Route.Request request) {
        Route taken = find(request);
        List<String> others = new ArrayList<>();
        for (Route r : routes) {
            if (r != taken) {
                String refusal = r.refusal(request);
                others.add(r.name() + ": " + (refusal == null ? "would take it, but is less specific" : refusal));
            }
        }
        return new Route.Explanation(taken, others);
    }
}
