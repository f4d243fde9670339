package loadbalancer.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
    private static final Arbitrary<String> SEGMENTS = Arbitraries.of("a", "b", "{x}", "");

    @Provide
    Arbitrary<List<Route>> routes() {
        Arbitrary<String> path = Combinators.combine(
                        SEGMENTS.list().ofMinSize(1).ofMaxSize(3), Arbitraries.of(true, false))
                .as((parts, rest) -> "/" + String.join("/", parts) + (rest ? "/**" : ""));
        Arbitrary<Set<String>> names = Arbitraries.of(Set.of(), Set.of("s"), Set.of("s", "t"));
        Arbitrary<Set<String>> methods = Arbitraries.of(Set.of(), Set.of("GET"), Set.of("POST"));
        Arbitrary<Map<String, String>> headers = Arbitraries.of(Map.of(), Map.of("H", "1"), Map.of("h", "2", "I", "1"));
        return Combinators.combine(path, methods, headers, names, names)
                .as((template, methodSet, headerMap, tenants, classes) ->
                        new Route("", PathTemplate.of(template), methodSet, headerMap, tenants, classes, 0))
                .list()
                .ofMaxSize(12)
                .map(list -> {
                    List<Route> positioned = new ArrayList<>();
                    for (Route route : list) {
                        positioned.add(new Route(
                                "r" + positioned.size(),
                                route.path(),
                                route.methods(),
                                route.headers(),
                                route.tenants(),
                                route.classes(),
                                positioned.size()));
                    }
                    return positioned;
                });
    }

    @Provide
    Arbitrary<RouteRequest> requests() {
        Arbitrary<String[]> path = Arbitraries.of("a", "b", "c", "")
                .list()
                .ofMinSize(1)
                .ofMaxSize(4)
                .map(segments -> PathTemplate.split("/" + String.join("/", segments)));
        return Combinators.combine(
                        Arbitraries.of("GET", "POST"),
                        path,
                        Arbitraries.<Map<String, String>>of(Map.of(), Map.of("h", "1"), Map.of("h", "2", "i", "1")),
                        Arbitraries.of("s", "t", "u").injectNull(0.3),
                        Arbitraries.of("s", "u").injectNull(0.3))
                .as(RouteRequest::new);
    }

    /** The tree must find the same as the definition: the first route in order of specificity that matches. */
    @Property(tries = 2000, seed = "7")
    void theTreeAgreesWithTheDefinition(
            @ForAll("routes") List<Route> routes, @ForAll("requests") RouteRequest request) {
        Route expected = routes.stream()
                .sorted(Route.MOST_SPECIFIC_FIRST)
                .filter(route -> route.mismatch(request) == null)
                .findFirst()
                .orElse(null);
        RouteTable table = new RouteTable(routes);
        assertEquals(expected, table.find(request));
        assertEquals(
                routes.size() - (expected == null ? 0 : 1),
                table.explain(request).others().size());
    }

    private static RouteRequest get(String path) {
        return new RouteRequest("GET", PathTemplate.split(path), Map.of(), null, null);
    }

    @ParameterizedTest
    @CsvSource({
        "/api/x, literal",
        "/api/y, parameter",
        "/api/x/z, wildcard",
        "/api, exact",
        "/api/, wildcard",
        "/other, all",
        "/api/%2e%2e%2Fx, parameter",
        "/api//x, wildcard",
        "/API/x, all",
        "/api/x?q=/../y, literal",
        "/api/a%2Fb, parameter"
    })
    void theMostSpecificRouteOfSeveralDepthsMatches(String path, String name) {
        List<Route> routes = new ArrayList<>();
        Map.of("literal", "/api/x", "parameter", "/api/{key}", "wildcard", "/api/**", "exact", "/api", "all", "/**")
                .forEach((routeName, template) -> routes.add(
                        new Route(routeName, PathTemplate.of(template), Set.of(), Map.of(), Set.of(), Set.of(), 0)));
        assertEquals(name, new RouteTable(routes).find(get(path)).name());
    }

    @ParameterizedTest
    @CsvSource({"/a/../b", "/a/%2e%2E/b", "/./a", "/a/.%2e", "a", "''", "?x"})
    void pathsThatServersMayReadDifferentlyAreNotRouted(String path) {
        assertNull(PathTemplate.split(path));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "api/x | must begin with '/'",
                "/a/**/b | '**' may only stand at the end",
                "/a*b | 'a*b' is neither a literal",
                "/{ | '{' is neither",
                "/a/../b | no request with '..' is routed",
                "/{}/x | '{}' is neither"
            })
    void theFaultOfAMalformedTemplateIsNamed(String text, String expected) {
        String message = assertThrows(IllegalArgumentException.class, () -> PathTemplate.of(text))
                .getMessage();
        assertTrue(message.contains(expected), message);
    }

    @Test
    void headerNamesIgnoreCaseAndValuesDoNot() {
        Route route = new Route("r", PathTemplate.of("/**"), Set.of(), Map.of("X-Pool", "New"), Set.of(), Set.of(), 0);
        RouteTable table = new RouteTable(List.of(route));
        RouteRequest request = new RouteRequest("GET", new String[] {"a"}, Map.of("x-pool", "New"), null, null);
        assertEquals(route, table.find(request));
        RouteRequest otherCase = new RouteRequest("GET", new String[] {"a"}, Map.of("x-pool", "new"), null, null);
        assertEquals(
                "r: header x-pool is 'new', not 'New'",
                table.explain(otherCase).others().get(0));
    }
}
