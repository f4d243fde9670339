package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.router.Destination;
import loadbalancer.router.PoolConfig;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RetryAfterBounds;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.routes.RouteRequest;
import loadbalancer.routes.RouteTable;

/**
 * The routes of an operator file: what the table keeps, what a look-up and a change of the file cost (the front is made
 * anew at each change), and whether a balancer by the {@code run} line starts with such a file.
 */
final class RoutesAxis implements Axis {
    private static final int PATHS = 1024;
    private static final int EACH = 6_000; // bytes here: file, table, front and what is made meanwhile

    private final Axes.Setup setup;

    RoutesAxis(Axes.Setup setup) {
        this.setup = setup;
    }

    @Override
    public String name() {
        return "routes";
    }

    @Override
    public Need need(long size) {
        return RealStart.need((200L << 20) + size * EACH);
    }

    @Override
    public ScalePoint measure(long size) throws IOException {
        Map<String, Double> figures = new TreeMap<>();
        List<String> missed = new ArrayList<>();
        figures.put(FleetRun.LOAD, Host.load());
        List<Route> routes = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            routes.add(new Route(
                    "r" + index, PathTemplate.of(path(index)), Set.of("GET"), Map.of(), Set.of(), Set.of(), index));
        }
        figures.put("table_heap_per_route_bytes", Repeated.retained(() -> new RouteTable(routes)) / size);
        figures.put("table_made_ms", Repeated.millis(() -> new RouteTable(routes)));
        RouteTable table = new RouteTable(routes);
        RouteRequest[] requests = new RouteRequest[PATHS];
        for (int i = 0; i < PATHS; i++) {
            int r = (int) (i * 7919L % size);
            requests[i] = new RouteRequest(
                    "GET", PathTemplate.split(path(r).replace("{key}", "k" + i)), Map.of(), null, "lookup");
        }
        int[] next = {0};
        figures.put("match_ns", Repeated.nanos(() -> table.find(requests[next[0] = next[0] + 1 & PATHS - 1])));
        figures.put("front_heap_per_route_bytes", Repeated.retained(() -> new RequestRouter(plan(routes))) / size);
        figures.put("front_made_ms", Repeated.millis(() -> new RequestRouter(plan(routes))));
        Path file = Files.createTempFile("routes", ".toml");
        try {
            write(file, size);
            figures.put("file_bytes", (double) Files.size(file));
            RealStart.measure(
                    setup,
                    Map.of(),
                    Map.of("ROUTER_OPERATOR_FILE", file.toString()),
                    size + " routes",
                    figures,
                    missed);
        } finally {
            Files.deleteIfExists(file);
        }
        return new ScalePoint(name(), size, figures, missed);
    }

    private static String path(int index) {
        return "/service" + index % 97 + "/part" + index + (index % 3 == 0 ? "/{key}" : "/seats");
    }

    private static RoutingConfig plan(List<Route> routes) {
        ConcurrencyLimitConfig limit = new ConcurrencyLimitConfig(LimitAlgorithm.FIXED, 100, 10, 1000);
        List<RouteConfig> plans = new ArrayList<>();
        for (Route r : routes) {
            plans.add(new RouteConfig(r, List.of(new Destination("site", 1, List.of())), 1.2, 0.05, null, null, 0));
        }
        return new RoutingConfig(
                List.of(new PoolConfig("site", limit, 10)),
                plans,
                "site",
                QuotaConfig.none(),
                1,
                0.1,
                new RetryAfterBounds(100_000, 1_500_000));
    }

    private static void write(Path file, long size) throws IOException {
        try (Writer out = Files.newBufferedWriter(file)) {
            out.write("[front]\nunmatched = \"site\"\n");
            for (int index = 0; index < size; index++) {
                out.write("\n[[route]]\nname = \"r" + index + "\"\npath = \"" + path(index)
                        + "\"\nmethods = [\"GET\"]\n" + "to = [{ pool = \"site\", weight = 1 }]\n");
            }
        }
    }
}
