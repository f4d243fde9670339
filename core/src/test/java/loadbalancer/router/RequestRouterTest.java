package loadbalancer.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.limits.RateLimit;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.routes.RouteRequest;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RequestRouterTest {
    private static final long SECOND = 1_000_000;
    private static final RetryAfterBounds ADVICE = new RetryAfterBounds(100_000, 1_500_000);

    private static Route match(String name, String path, int place) {
        return new Route(name, PathTemplate.of(path), Set.of(), Map.of(), Set.of(), Set.of(), place);
    }

    private static RouteConfig route(String name, String path, Destination... ways) {
        return new RouteConfig(match(name, path, 1), List.of(ways), 1.2, 0.05, null, null, 0);
    }

    private static Destination way(String pool, double weight, SpillTarget... spills) {
        return new Destination(pool, weight, List.of(spills));
    }

    private static PoolConfig pool(String name) {
        return new PoolConfig(name, null, 0);
    }

    private static RoutingConfig plan(
            List<PoolConfig> pools, List<RouteConfig> routes, QuotaConfig quotas, int instances) {
        return new RoutingConfig(pools, routes, null, quotas, instances, 0.2, ADVICE);
    }

    private static RoutingRequest get(String path, String key, String tenant) {
        return new RoutingRequest(
                new RouteRequest("GET", PathTemplate.split(path), Map.of(), tenant, null), key, 1, false, 0.5);
    }

    @Test
    void rejectsUnroutableRequestsImmediately() {
        RoutingConfig strict =
                plan(List.of(pool("a")), List.of(route("r", "/api/{key}", way("a", 1))), QuotaConfig.none(), 1);
        RequestRouter router = new RequestRouter(strict);
        assertEquals(
                RoutingOutcome.BAD_PATH,
                router.route(0, get("/api/../x", "k", null)).outcome());
        assertEquals(
                RoutingOutcome.NOT_FOUND,
                router.route(0, get("/other", "k", null)).outcome());
        assertEquals(
                RoutingOutcome.NOT_FOUND,
                router.route(0, get("/api//", "k", null)).outcome(),
                "doubled slashes are two");
        assertEquals("a", router.route(0, get("/api/a%2Fb", "k", null)).lease().pool(), "an encoded slash is none");
        RoutingConfig lenient =
                new RoutingConfig(strict.pools(), strict.routes(), "a", QuotaConfig.none(), 1, 0, ADVICE);
        assertNull(new RequestRouter(lenient)
                .route(0, get("/other", "k", null))
                .lease()
                .route());
        assertThrows(
                IllegalArgumentException.class,
                () -> plan(List.of(pool("a")), List.of(route("r", "/x", way("agnets", 1))), QuotaConfig.none(), 1));
    }

    @Test
    void rejectsWhereAllWeightsOrTheLimitAreZero() {
        RequestRouter router = new RequestRouter(plan(
                List.of(pool("a"), pool("b"), new PoolConfig("shut", ConcurrencyLimitConfig.fixed(0), 0)),
                List.of(route("none", "/n", way("a", 0), way("b", 0)), route("shut", "/s", way("shut", 1))),
                QuotaConfig.none(),
                1));
        RoutingDecision none = router.route(0, get("/n", "k", null));
        assertEquals(RejectionReason.NO_POOL, none.reason());
        assertTrue(none.retryAfterMicros() >= ADVICE.minMicros() && none.retryAfterMicros() <= ADVICE.maxMicros());
        assertEquals(
                RejectionReason.POOL_LIMIT,
                router.route(0, get("/s", "k", null)).reason());
    }

    @Test
    void rejectsTheLowestPriorityFirstAtAPoolLimit() {
        RequestRouter router = new RequestRouter(plan(
                List.of(new PoolConfig("a", ConcurrencyLimitConfig.fixed(10), 0)),
                List.of(route("r", "/x", way("a", 1))),
                QuotaConfig.none(),
                1));
        RouteRequest request = new RouteRequest("GET", PathTemplate.split("/x"), Map.of(), null, null);
        int cheap = 0;
        while (router.route(0, new RoutingRequest(request, "k", 0, false, 0)).lease() != null) {
            cheap++;
        }
        assertEquals(8, cheap, "a fifth is kept for those worth more");
        List<RouteLease> dear = new ArrayList<>();
        for (RouteLease t = router.route(0, new RoutingRequest(request, "k", 1, false, 0))
                        .lease();
                t != null;
                t = router.route(0, new RoutingRequest(request, "k", 1, false, 0))
                        .lease()) {
            dear.add(t);
        }
        assertEquals(2, dear.size());
        router.ended(1, dear.get(0), LeaseEnd.SERVED);
        router.ended(1, dear.get(0), LeaseEnd.SERVED);
        assertEquals(9, router.poolStatus().get(0).inFlight(), "an end that is told twice counts once");
    }

    @Test
    void unknownTenantsShareOneQuotaWhateverTheirNames() {
        QuotaConfig quotas = new QuotaConfig(
                new RateLimit(100, 10, 100),
                Map.of("known", new TenantQuotaConfig(new RateLimit(50, 5, 50), Map.of("r", new RateLimit(10, 1, 10)))),
                new RateLimit(5, 5, 5));
        RequestRouter router = new RequestRouter(plan(
                List.of(pool("a")), List.of(route("r", "/x", way("a", 1)), route("s", "/y", way("a", 1))), quotas, 1));
        int strangers = 0;
        for (int i = 0; i < 50; i++) {
            RoutingRequest stranger = get("/x", "k", i % 3 == 0 ? null : i % 3 == 1 ? "/" : "t" + i);
            strangers += router.route(0, stranger).lease() != null ? 1 : 0;
        }
        assertEquals(5, strangers);
        assertEquals(
                RoutingOutcome.ADMITTED,
                router.route(0, get("/x", "k", "known")).outcome());
        assertEquals(
                RejectionReason.QUOTA, router.route(0, get("/x", "k", "known")).reason(), "its rate on this route");
        assertEquals(
                RoutingOutcome.ADMITTED,
                router.route(0, get("/y", "k", "known")).outcome(),
                "not on another");
    }

    @Test
    void eachInstanceAppliesItsPartOfTheSiteRate() {
        for (int n : new int[] {1, 2, 16}) {
            RequestRouter router = new RequestRouter(plan(
                    List.of(pool("a")),
                    List.of(route("r", "/x", way("a", 1))),
                    new QuotaConfig(new RateLimit(160, 16, 160), Map.of(), null),
                    n));
            int passed = 0;
            for (long now = 0; now < 10 * SECOND; now += 1000) {
                passed += router.route(now, get("/x", "k", null)).lease() != null ? 1 : 0;
            }
            assertEquals(1600.0 / n, passed, 16.0 / n + 1, n + " instances");
        }
    }

    @Test
    void clientRetriesAndPoolRetriesDrawOnTheSameBudget() {
        RouteConfig r = new RouteConfig(
                match("r", "/x", 1),
                List.of(way("a", 1)),
                1.2,
                0.05,
                new RetryBudgetConfig(0.2, 0, 10 * SECOND, true),
                null,
                0);
        RequestRouter router = new RequestRouter(plan(List.of(pool("a")), List.of(r), QuotaConfig.none(), 1));
        RoutingRequest again = new RoutingRequest(get("/x", "k", null).attributes(), "k", 1, true, 0.5);
        assertEquals(RejectionReason.CLIENT_RETRIES, router.route(0, again).reason());
        RouteLease t = null;
        for (int i = 0; i < 11; i++) {
            t = router.route(0, get("/x", "k", null)).lease();
        }
        assertEquals(RoutingOutcome.ADMITTED, router.route(0, again).outcome());
        assertTrue(router.allowsRetry(0, t));
        assertEquals(RejectionReason.CLIENT_RETRIES, router.route(0, again).reason());
        assertTrue(!router.allowsRetry(0, t), "a fifth of eleven were two");
    }

    @Test
    void trafficSpillsGraduallyAndTheSameKeysFirst() {
        RequestRouter router = new RequestRouter(plan(
                List.of(pool("first"), pool("second")),
                List.of(route("r", "/x", way("first", 1, new SpillTarget("second", 0.5)))),
                QuotaConfig.none(),
                1));
        router.setEndpointsUp(0, "first", 10);
        router.setEndpointsUp(0, "second", 10);
        assertEquals(1, of(router, 0, "first"), 1e-9);
        router.setEndpointsUp(1, "first", 4);
        double[] some = {of(router, SECOND, "first"), of(router, SECOND, "second")};
        assertEquals(0.48, some[0], 0.06, "what 4 of 10 can take, with a fifth to spare");
        assertEquals(0.5, some[1], 0.06, "no more than its limit; the rest is refused");
        router.setEndpointsUp(2 * SECOND, "first", 10);
        double soon = of(router, 3 * SECOND, "first");
        assertTrue(soon < 0.65, "return is slow: " + soon);
        assertEquals(1, of(router, 30 * SECOND, "first"), 1e-9);
        router.setEndpointsUp(31 * SECOND, "first", 0);
        assertEquals(0, of(router, 32 * SECOND, "first"), 1e-9, "a pool without upstreams");
    }

    private static double of(RequestRouter router, long now, String pool) {
        int there = 0;
        for (long t = now; t < now + 200_000; t += 200) {
            RoutingDecision v = router.route(t, get("/x", "key" + t / 200, null));
            if (v.lease() != null) {
                there += v.lease().pool().equals(pool) && t >= now ? 1 : 0;
                router.ended(t, v.lease(), LeaseEnd.SERVED);
            }
        }
        return there / 1000.0;
    }

    @Test
    void aPoolWithALowSuccessRateLosesTraffic() {
        RequestRouter router = new RequestRouter(plan(
                List.of(pool("first"), pool("second")),
                List.of(route("r", "/x", way("first", 1, new SpillTarget("second", 1)))),
                QuotaConfig.none(),
                1));
        router.setEndpointsUp(0, "first", 10);
        router.setEndpointsUp(0, "second", 10);
        Map<String, Integer> got = new HashMap<>();
        for (long now = 0; now < 20 * SECOND; now += 1000) {
            RouteLease t = router.route(now, get("/x", "k" + now % 977, null)).lease();
            got.merge(t.pool(), now > 5 * SECOND ? 1 : 0, Integer::sum);
            // The first can do 500 a second, and turns the rest away.
            boolean fails = t.pool().equals("first") && now % 2000 != 0 && got.get("first") >= 0;
            router.ended(now, t, fails ? LeaseEnd.NOT_SENT : LeaseEnd.SERVED);
        }
        assertTrue(got.get("second") > 5000, "half or more goes elsewhere: " + got);
    }

    @Test
    void replacingTheRouterRepeatedlyGrantsNoBurstAndLosesNoRequest() {
        RoutingConfig plan = plan(
                List.of(new PoolConfig("a", ConcurrencyLimitConfig.fixed(50), 0)),
                List.of(route("r", "/x", way("a", 1))),
                new QuotaConfig(new RateLimit(10, 10, 10), Map.of(), null),
                1);
        RequestRouter router = new RequestRouter(plan);
        List<RouteLease> open = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            for (RouteLease t = router.route(i, get("/x", "k", null)).lease();
                    t != null;
                    t = router.route(i, get("/x", "k", null)).lease()) {
                open.add(t);
            }
            RequestRouter next = new RequestRouter(plan);
            next.restore(router);
            router = next;
        }
        assertEquals(10, open.size());
        assertEquals(10, router.poolStatus().get(0).inFlight());
        for (RouteLease t : open) {
            router.ended(200, t, LeaseEnd.SERVED);
        }
        assertEquals(0, router.poolStatus().get(0).inFlight());
    }

    /** Whatever happens in whatever order: what is open is what was taken and hasn't ended, and limits hold. */
    @Property(tries = 300, seed = "11")
    void requestsInFlightMatchTheOpenLeases(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int limit) {
        Random random = new Random(seed);
        RoutingConfig plan = plan(
                List.of(
                        new PoolConfig("a", ConcurrencyLimitConfig.fixed(limit), 0),
                        new PoolConfig("b", new ConcurrencyLimitConfig(LimitAlgorithm.AIMD, limit, 1, 20), 0)),
                List.of(route("r", "/x", way("a", 1, new SpillTarget("b", 0.7)), way("b", 1))),
                QuotaConfig.none(),
                1);
        RequestRouter router = new RequestRouter(plan);
        ArrayDeque<RouteLease> open = new ArrayDeque<>();
        Map<String, Integer> count = new HashMap<>(Map.of("a", 0, "b", 0));
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(20_000);
            switch (random.nextInt(8)) {
                case 0 -> router.setEndpointsUp(now, random.nextBoolean() ? "a" : "b", random.nextInt(5));
                case 1 -> {
                    RequestRouter next = new RequestRouter(plan);
                    next.restore(router);
                    router = next;
                }
                case 2, 3, 4 -> {
                    RouteLease t = open.poll();
                    if (t != null) {
                        count.merge(t.pool(), -1, Integer::sum);
                        router.ended(now, t, LeaseEnd.values()[random.nextInt(4)]);
                    }
                }
                default -> {
                    RouteLease lease = assertConsistent(router.route(now, randomRequest(random)));
                    if (lease != null) {
                        open.add(lease);
                        count.merge(lease.pool(), 1, Integer::sum);
                    }
                }
            }
            for (PoolStatus p : router.poolStatus()) {
                assertEquals(count.get(p.name()), p.inFlight(), p.name());
            }
            assertTrue(count.get("a") <= limit);
        }
    }

    private static RoutingRequest randomRequest(Random random) {
        return new RoutingRequest(
                get("/x", "k", null).attributes(),
                "k" + random.nextInt(50),
                random.nextDouble(),
                false,
                random.nextDouble());
    }

    /** Checks that a request is either admitted with a lease or rejected with advice; returns the lease, or null. */
    private static RouteLease assertConsistent(RoutingDecision decision) {
        assertEquals(decision.outcome() == RoutingOutcome.ADMITTED, decision.lease() != null);
        if (decision.lease() == null) {
            assertTrue(decision.retryAfterMicros() >= ADVICE.minMicros()
                    && decision.retryAfterMicros() <= ADVICE.maxMicros());
        }
        return decision.lease();
    }
}
