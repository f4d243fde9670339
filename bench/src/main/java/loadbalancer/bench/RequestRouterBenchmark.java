package loadbalancer.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.limits.RateLimit;
import loadbalancer.router.Destination;
import loadbalancer.router.LeaseEnd;
import loadbalancer.router.PoolConfig;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RetryAfterBounds;
import loadbalancer.router.RetryBudgetConfig;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.router.RoutingDecision;
import loadbalancer.router.RoutingRequest;
import loadbalancer.router.SpillTarget;
import loadbalancer.router.TenantQuotaConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.routes.RouteRequest;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * What routing costs per request: finding the route alone, and the whole way from splitting the path to the end of the
 * request.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RequestRouterBenchmark {
    private static final int PATHS = 1024;
    private static final int REQUEST_INTERVAL_MICROS = 100;
    private static final int REQUEST_DURATION_MICROS = 50;
    private static final int INSTANCES = 3;
    private static final int ENDPOINTS = 10;
    private static final int SERVICES = 97;
    private static final long PATH_STRIDE = 7919; // prime, so that the paths visit the routes in no order
    private static final String TENANT = "t1";

    /** Routes in the table. */
    @Param({"10", "100", "1000", "10000"})
    private int routes;

    private RequestRouter router;
    private String[] uris;
    private RouteRequest[] requests;
    private int next;
    private long nowMicros;

    /** A table of paths of three segments, a third with a parameter, every tenth with a required header. */
    @Setup
    public void createRouter() {
        List<RouteConfig> all = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            all.add(route(i));
        }
        router = new RequestRouter(config(all));
        router.setEndpointsUp(0, "a", ENDPOINTS);
        router.setEndpointsUp(0, "b", ENDPOINTS);
        uris = new String[PATHS];
        requests = new RouteRequest[PATHS];
        for (int i = 0; i < PATHS; i++) {
            int route = (int) (i * PATH_STRIDE % routes);
            uris[i] = path(route, "/k" + i) + "?q=1";
            requests[i] = request(uris[i]);
        }
    }

    private static String path(int route, String parameter) {
        return "/service" + route % SERVICES + "/part" + route + (route % 3 == 0 ? parameter : "/seats");
    }

    private static RouteRequest request(String uri) {
        return new RouteRequest("GET", PathTemplate.split(uri), Map.of(), TENANT, "lookup");
    }

    private static RouteConfig route(int number) {
        Map<String, String> headers = number % 10 == 9 ? Map.of("x-channel", "counter") : Map.of();
        PathTemplate path = PathTemplate.of(path(number, "/{key}"));
        Route route = new Route("r" + number, path, Set.of("GET"), headers, Set.of(), Set.of(), number);
        List<Destination> destinations =
                List.of(new Destination("a", 9, List.of()), new Destination("b", 1, List.of(new SpillTarget("a", 1))));
        RetryBudgetConfig retryBudget = new RetryBudgetConfig(0.2, 1, 10_000_000, true);
        return new RouteConfig(route, destinations, 1.2, 0.05, retryBudget, null, 0);
    }

    private static RoutingConfig config(List<RouteConfig> routes) {
        ConcurrencyLimitConfig limit = new ConcurrencyLimitConfig(LimitAlgorithm.GRADIENT, 100, 10, 1000);
        RateLimit ample = new RateLimit(1e9, 1e6, 1e9);
        QuotaConfig quotas = new QuotaConfig(ample, Map.of(TENANT, new TenantQuotaConfig(ample, Map.of())), ample);
        return new RoutingConfig(
                List.of(new PoolConfig("a", limit, ENDPOINTS), new PoolConfig("b", limit, ENDPOINTS)),
                routes,
                "a",
                quotas,
                INSTANCES,
                0.1,
                new RetryAfterBounds(100_000, 1_500_000));
    }

    /** The route of a request whose path has been split. */
    @Benchmark
    public Route findRoute() {
        next = (next + 1) % PATHS;
        return router.table().find(requests[next]);
    }

    /** The path split, the route found, all limits passed, and the request ended. */
    @Benchmark
    public RoutingDecision routeAndEnd() {
        next = (next + 1) % PATHS;
        nowMicros += REQUEST_INTERVAL_MICROS;
        RoutingDecision decision =
                router.route(nowMicros, new RoutingRequest(request(uris[next]), uris[next], 1, false, 0.5));
        if (decision.lease() != null) {
            router.ended(nowMicros + REQUEST_DURATION_MICROS, decision.lease(), LeaseEnd.SERVED);
        }
        return decision;
    }
}
