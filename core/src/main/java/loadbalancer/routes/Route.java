package loadbalancer.routes;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a request must be like to take this route. Empty sets and maps ask for nothing. Header names are compared in
 * any case, values as they are; {@code place} is the route's place in the file, which decides between equals.
 */
public record Route(
        String name,
        PathTemplate path,
        Set<String> methods,
        Map<String, String> headers,
        Set<String> tenants,
        Set<String> classes,
        int place) {
    public Route {
        methods = Set.copyOf(methods);
        tenants = Set.copyOf(tenants);
        classes = Set.copyOf(classes);
        Map<String, String> lower = new TreeMap<>();
        headers.forEach((k, v) -> lower.put(k.toLowerCase(Locale.ROOT), v));
        headers = Map.copyOf(lower);
    }

    /**
     * A request, as far as routes care. {@code headers} has lower-case names; {@code tenant} and {@code kind} are null
     * where a request names none.
     */
    public record Request(String method, String[] path, Map<String, String> headers, String tenant, String kind) {}

    /**
     * The stated order: the more specific first. The path decides segment by segment (a literal before a place, a
     * place before the end of a {@code **}), then the number of headers, then whether methods, tenants and classes
     * are named, in that order, and at last the place in the file.
     */
    public static final Comparator<Route> MOST_SPECIFIC = Comparator.comparing(Route::path, Route::byPath)
            .thenComparing(r -> -r.headers.size())
            .thenComparing(r -> r.methods.isEmpty())
            .thenComparing(r -> r.tenants.isEmpty())
            .thenComparing(r -> r.classes.isEmpty())
            .thenComparingInt(Route::place);

    // Of two templates that match one path, the first difference decides; the texts of literals can't differ then.
    private static int byPath(PathTemplate a, PathTemplate b) {
        int both = Math.min(a.segments().size(), b.segments().size());
        for (int i = 0; i < both; i++) {
            int order = Boolean.compare(
                    a.segments().get(i).place(), b.segments().get(i).place());
            if (order != 0) {
                return order;
            }
        }
        int longer = Integer.compare(b.segments().size(), a.segments().size());
        return longer != 0 ? longer : Boolean.compare(a.rest(), b.rest());
    }

    /** Why this route doesn't take the request, in words; null where it does. */
    public String refusal(Request r) {
        if (!path.matches(r.path)) {
            return "the path isn't " + path;
        }
        return refusalButPath(r);
    }

    /** The same where the path is known to match. */
    String refusalButPath(Request r) {
        if (!methods.isEmpty() && !methods.contains(r.method)) {
            return "the method is " + r.method + ", not "
                    + String.join(" or ", methods.stream().sorted().toList());
        }
        for (Map.Entry<String, String> h : headers.entrySet()) {
            String value = r.headers.get(h.getKey());
            if (!h.getValue().equals(value)) {
                return "header " + h.getKey() + " is " + (value == null ? "missing" : "'" + value + "'") + ", not '"
                        + h.getValue() + "'";
            }
        }
        if (!tenants.isEmpty() && !(r.tenant != null && tenants.contains(r.tenant))) {
            return "the tenant is " + (r.tenant == null ? "not named" : r.tenant);
        }
        if (!classes.isEmpty() && !(r.kind != null && classes.contains(r.kind))) {
            return "the class is " + (r.kind == null ? "not named" : r.kind);
        }
        return null;
    }

    /** The route and why the others don't take the request, or come after it; for operators. */
    public record Explanation(Route taken, List<String> others) {}
}
