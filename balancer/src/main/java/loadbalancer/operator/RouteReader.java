package loadbalancer.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import loadbalancer.limits.RateLimit;
import loadbalancer.router.RetryBudgetConfig;
import loadbalancer.router.RouteConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Units;

/** Reads the tables {@code [[route]]}; {@link DestinationReader} reads their destinations. */
final class RouteReader {
    private static final double DEFAULT_SPARE_FACTOR = 1.2;
    private static final double DEFAULT_RETURN_PER_SECOND = 0.05;
    private static final double DEFAULT_RETRY_RATIO = 0.2;
    private static final double DEFAULT_RETRIES_PER_SECOND = 1;
    private static final long DEFAULT_RETRY_WINDOW_MICROS = 10_000_000;

    private final SiteConfig site;
    private final NameRegistry names;
    private final DestinationReader destinations;
    private final List<RouteConfig> routes = new ArrayList<>();

    /** Creates a reader that registers the routes in {@code names}. */
    RouteReader(SiteConfig site, NameRegistry names, DestinationReader destinations) {
        this.site = site;
        this.names = names;
        this.destinations = destinations;
    }

    /** Returns the routes in the order of the file, without those that faults keep from being built. */
    List<RouteConfig> read(Section root) {
        for (Section section : root.tables("route")) {
            RouteConfig route = route(section);
            if (route != null) {
                routes.add(route);
            }
        }
        return routes;
    }

    private RouteConfig route(Section section) {
        String name = names.register(section);
        PathTemplate path = path(section);
        Set<String> methods = methods(section);
        Map<String, String> headers = headers(section);
        Set<String> tenants = existingNames(section, "tenants", "tenant", site.tenants());
        Set<String> classes = existingNames(section, "classes", "class", site.classes());
        var routeDestinations = destinations.read(section, name);
        double spareFactor = section.number("spare", Measure.NUMBER, DEFAULT_SPARE_FACTOR);
        if (spareFactor < 1) {
            section.fault("spare", "'spare' is " + spareFactor + ": expected a number of 1 or more");
        }
        double returnPerSecond = section.number("return_per_s", Measure.SHARE, DEFAULT_RETURN_PER_SECOND);
        if (returnPerSecond <= 0) {
            section.fault(
                    "return_per_s", "'return_per_s' is 0: expected a share over 0, as traffic would never return");
        }
        RetryBudgetConfig retryBudget = section.has("retries") ? retryBudget(section.table("retries")) : null;
        RateLimit rate = section.has("rate") ? RateReader.read(section.table("rate")) : null;
        Long deadlineMicros = TimeReader.positiveMicros(section, "deadline");
        section.rejectUnknownKeys();
        if (path == null || routeDestinations.isEmpty() || spareFactor < 1 || returnPerSecond <= 0) {
            return null;
        }
        Route route = new Route(name, path, methods, headers, tenants, classes, routes.size());
        checkReachable(section, route);
        return new RouteConfig(
                route,
                routeDestinations,
                spareFactor,
                returnPerSecond,
                retryBudget,
                rate,
                deadlineMicros == null ? 0 : deadlineMicros);
    }

    private static PathTemplate path(Section section) {
        String path = section.text("path", null);
        try {
            return PathTemplate.of(path);
        } catch (IllegalArgumentException e) {
            if (!path.isEmpty()) {
                section.fault("path", e.getMessage());
            }
            return null;
        }
    }

    private static Set<String> methods(Section section) {
        Set<String> methods = new LinkedHashSet<>(section.texts("methods", List.of()));
        for (String method : methods) {
            if (!HttpToken.isToken(method) || !method.equals(method.toUpperCase(Locale.ROOT))) {
                section.fault(
                        "methods",
                        "'methods' contains \"" + method + "\": expected a method in upper case, such as \"GET\"");
            }
        }
        return methods;
    }

    private static Map<String, String> headers(Section route) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (!route.has("headers")) {
            return headers;
        }
        Section section = route.table("headers");
        Set<String> lowerCaseNames = new LinkedHashSet<>();
        for (String header : section.keys()) {
            headers.put(header, section.text(header, null));
            if (!HttpToken.isToken(header)) {
                section.fault(header, "'" + header + "' is not a valid header name");
            } else if (!lowerCaseNames.add(header.toLowerCase(Locale.ROOT))) {
                section.fault(header, "header '" + header + "' is given twice: header names are case-insensitive");
            }
        }
        return headers;
    }

    private static Set<String> existingNames(Section section, String key, String kind, List<String> existing) {
        Set<String> names = new LinkedHashSet<>(section.texts(key, List.of()));
        if (existing != null) {
            names.forEach(name -> NameRegistry.require(section, key, kind, name, existing));
        }
        return names;
    }

    private static RetryBudgetConfig retryBudget(Section section) {
        double ratio = section.number("share", Measure.SHARE, DEFAULT_RETRY_RATIO);
        Double minPerSecond = section.has("least")
                ? section.quantity("least", Units.RATE)
                : Double.valueOf(DEFAULT_RETRIES_PER_SECOND);
        Long windowMicros = section.has("window")
                ? TimeReader.positiveMicros(section, "window")
                : Long.valueOf(DEFAULT_RETRY_WINDOW_MICROS);
        boolean countClientRetries = section.flag("count_clients", false);
        section.rejectUnknownKeys();
        return minPerSecond == null || windowMicros == null
                ? null
                : new RetryBudgetConfig(ratio, minPerSecond, windowMicros, countClientRetries);
    }

    /** Adds a fault if an earlier route has the same conditions, so that this one never matches a request. */
    private void checkReachable(Section section, Route route) {
        for (RouteConfig earlierConfig : routes) {
            Route earlier = earlierConfig.route();
            if (!earlier.name().equals(route.name()) && sameRequests(earlier, route)) {
                section.fault(
                        "name",
                        "route '" + route.name() + "' never matches a request: route '" + earlier.name() + "' ("
                                + names.location(earlier.name()) + ") is earlier and has the same conditions");
            }
        }
    }

    private static boolean sameRequests(Route left, Route right) {
        return left.path().equals(right.path())
                && left.methods().equals(right.methods())
                && left.headers().equals(right.headers())
                && left.tenants().equals(right.tenants())
                && left.classes().equals(right.classes());
    }
}
