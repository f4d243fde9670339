package loadbalancer.routes;

import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A route and the conditions on its requests. An empty set or map is no condition.
 *
 * @param headers required values by header name; values are compared exactly, names without regard to case
 * @param position position in the file, which decides between equally specific routes
 */
public record Route(
        String name,
        PathTemplate path,
        Set<String> methods,
        Map<String, String> headers,
        Set<String> tenants,
        Set<String> classes,
        int position) {
    /** Makes defensive copies of the collections and converts the header names to lower case. */
    public Route {
        methods = Set.copyOf(methods);
        tenants = Set.copyOf(tenants);
        classes = Set.copyOf(classes);
        Map<String, String> lowerCaseHeaders = new TreeMap<>();
        headers.forEach((header, value) -> lowerCaseHeaders.put(header.toLowerCase(Locale.ROOT), value));
        headers = Map.copyOf(lowerCaseHeaders);
    }

    /**
     * Orders routes by specificity, the most specific first. The path decides segment by segment: a literal comes
     * before a parameter, and a parameter before a trailing {@code **}. Then the number of headers decides, then
     * whether methods, tenants and classes are named, in that order, and finally the position in the file.
     */
    public static final Comparator<Route> MOST_SPECIFIC_FIRST = Comparator.comparing(Route::path, Route::comparePaths)
            .thenComparing(route -> -route.headers.size())
            .thenComparing(route -> route.methods.isEmpty())
            .thenComparing(route -> route.tenants.isEmpty())
            .thenComparing(route -> route.classes.isEmpty())
            .thenComparingInt(Route::position);

    // The first difference decides. Two templates that match the same path cannot differ in the text of a literal.
    private static int comparePaths(PathTemplate left, PathTemplate right) {
        int common = Math.min(left.segments().size(), right.segments().size());
        for (int i = 0; i < common; i++) {
            int order = Boolean.compare(
                    left.segments().get(i).parameter(), right.segments().get(i).parameter());
            if (order != 0) {
                return order;
            }
        }
        int longerFirst =
                Integer.compare(right.segments().size(), left.segments().size());
        return longerFirst != 0 ? longerFirst : Boolean.compare(left.trailingWildcard(), right.trailingWildcard());
    }

    /** Returns why this route doesn't match the request, as a sentence for operators; null if it does. */
    public String mismatch(RouteRequest request) {
        if (!path.matches(request.path())) {
            return "the path isn't " + path;
        }
        return mismatchBeyondPath(request);
    }

    /** Like {@link #mismatch}, for a request whose path is known to match. */
    String mismatchBeyondPath(RouteRequest request) {
        if (!methods.isEmpty() && !methods.contains(request.method())) {
            return "the method is " + request.method() + ", not "
                    + String.join(" or ", methods.stream().sorted().toList());
        }
        String header = headerMismatch(request);
        if (header != null) {
            return header;
        }
        if (!allows(tenants, request.tenant())) {
            return "the tenant is " + (request.tenant() == null ? "not named" : request.tenant());
        }
        if (!allows(classes, request.requestClass())) {
            return "the class is " + (request.requestClass() == null ? "not named" : request.requestClass());
        }
        return null;
    }

    private String headerMismatch(RouteRequest request) {
        for (Map.Entry<String, String> required : headers.entrySet()) {
            String value = request.headers().get(required.getKey());
            if (!required.getValue().equals(value)) {
                return "header " + required.getKey() + " is " + (value == null ? "missing" : "'" + value + "'")
                        + ", not '" + required.getValue() + "'";
            }
        }
        return null;
    }

    private static boolean allows(Set<String> names, String name) {
        return names.isEmpty() || name != null && names.contains(name);
    }
}
