package loadbalancer.routes;

import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a request must be like to take this route. Empty sets and maps ask for nothing.
 *
 * @param headers required values, compared exactly, by names, compared in any case
 * @param position of the route in the file, which decides between routes that are equally specific
 */
public record Route(
        String name,
        PathTemplate path,
        Set<String> methods,
        Map<String, String> headers,
        Set<String> tenants,
        Set<String> classes,
        int position) {
    /** Copies the collections, with the names of headers in lower case. */
    public Route {
        methods = Set.copyOf(methods);
        tenants = Set.copyOf(tenants);
        classes = Set.copyOf(classes);
        Map<String, String> lowerCase = new TreeMap<>();
        headers.forEach((header, value) -> lowerCase.put(header.toLowerCase(Locale.ROOT), value));
        headers = Map.copyOf(lowerCase);
    }

    /**
     * The stated order: the more specific first. The path decides segment by segment (a literal before a parameter, a
     * parameter before the end of a {@code **}), then the number of headers, then whether methods, tenants and classes
     * are named, in that order, and at last the position in the file.
     */
    public static final Comparator<Route> MOST_SPECIFIC = Comparator.comparing(Route::path, Route::comparePaths)
            .thenComparing(route -> -route.headers.size())
            .thenComparing(route -> route.methods.isEmpty())
            .thenComparing(route -> route.tenants.isEmpty())
            .thenComparing(route -> route.classes.isEmpty())
            .thenComparingInt(Route::position);

    // Of two templates that match one path, the first difference decides; the texts of literals can't differ then.
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
        return longerFirst != 0 ? longerFirst : Boolean.compare(left.rest(), right.rest());
    }

    /** Why this route doesn't take the request, as a sentence for operators; null where it does. */
    public String mismatch(RouteRequest request) {
        if (!path.matches(request.path())) {
            return "the path isn't " + path;
        }
        return mismatchBeyondPath(request);
    }

    /** The same where the path is known to match. */
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
