package loadbalancer.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.limits.ConcurrencyLimit;
import loadbalancer.limits.TokenTree;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RoutingConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
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

/** What a front costs per request: splitting the path, finding the route, and the whole way in and out. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class FrontBench {
    private static final int PATHS = 1024;

    /** Routes in the table. */
    @Param({"10", "100", "1000", "10000"})
    private int routes;

    private RequestRouter front;
    private String[] uris;
    private Route.Request[] requests;
    private int next;
    private long now;

    /** A table of paths of three segments, a third with a place, every tenth with a second route by a header. */
    @Setup
    public void make() {
        List<RoutingConfig.RoutePlan> all = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            String path = "/service" + i % 97 + "/part" + i + (i % 3 == 0 ? "/{key}" : "/seats");
            Map<String, String> headers = i % 10 == 9 ? Map.of("x-channel", "counter") : Map.of();
            Route match = new Route("r" + i, PathTemplate.of(path), Set.of("GET"), headers, Set.of(), Set.of(), i);
            all.add(new RoutingConfig.RoutePlan(
                    match,
                    List.of(
                            new RoutingConfig.Way("a", 9, List.of()),
                            new RoutingConfig.Way("b", 1, List.of(new RoutingConfig.Spill("a", 1)))),
                    1.2,
                    0.05,
                    new RoutingConfig.Retries(0.2, 1, 10_000_000, true),
                    null,
                    0));
        }
        ConcurrencyLimit.Plan limit = new ConcurrencyLimit.Plan(ConcurrencyLimit.Kind.GRADIENT, 100, 10, 1000);
        TokenTree.Rate much = new TokenTree.Rate(1e9, 1e6, 1e9);
        front = new RequestRouter(new RoutingConfig(
                List.of(new RoutingConfig.PoolPlan("a", limit, 10), new RoutingConfig.PoolPlan("b", limit, 10)),
                all,
                "a",
                new RoutingConfig.Quotas(much, Map.of("t1", new RoutingConfig.TenantQuota(much, Map.of())), much),
                3,
                0.1,
                new RoutingConfig.Advice(100_000, 1_500_000)));
        front.listed(0, "a", 10);
        front.listed(0, "b", 10);
        uris = new String[PATHS];
        requests = new Route.Request[PATHS];
        for (int i = 0; i < PATHS; i++) {
            int r = (int) (i * 7919L % routes);
            uris[i] = "/service" + r % 97 + "/part" + r + (r % 3 == 0 ? "/k" + i : "/seats") + "?q=1";
            requests[i] = new Route.Request("GET", PathTemplate.split(uris[i]), Map.of(), "t1", "lookup");
        }
    }

    /** The route of a request whose path has been split. */
    @Benchmark
    public Route match() {
        next = (next + 1) % PATHS;
        return front.table().find(requests[next]);
    }

    /** The path split, the route found, all limits passed, and the request ended. */
    @Benchmark
    public RequestRouter.RoutingDecision wholeWay() {
        next = (next + 1) % PATHS;
        now += 100;
        Route.Request request = new Route.Request("GET", PathTemplate.split(uris[next]), Map.of(), "t1", "lookup");
        RequestRouter.RoutingDecision v =
                front.arrive(now, new RequestRouter.Arrival(request, uris[next], 1, false, 0.5));
        if (v.ticket() != null) {
            front.ended(now + 50, v.ticket(), RequestRouter.End.SERVED);
        }
        return v;
    }
}
