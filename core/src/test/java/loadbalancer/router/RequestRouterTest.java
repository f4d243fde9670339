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
    private static final long SECOND_MICROS = 1_000_000;
    private static final RetryAfterBounds RETRY_AFTER = new RetryAfterBounds(100_000, 1_500_000);

    private static Route route(String name, String path, int position) {
        return new Route(name, PathTemplate.of(path), Set.of(), Map.of(), Set.of(), Set.of(), position);
    }

    private static RouteConfig routeConfig(String name, String path, Destination... destinations) {
        return new RouteConfig(route(name, path, 1), List.of(destinations), 1.2, 0.05, null, null, 0);
    }

    private static Destination destination(String pool, double weight, SpillTarget... spillTargets) {
        return new Destination(pool, weight, List.of(spillTargets));
    }

    private static PoolConfig pool(String name) {
        return new PoolConfig(name, null, 0);
    }

    private static RoutingConfig routingConfig(
            List<PoolConfig> pools, List<RouteConfig> routes, QuotaConfig quotas, int instances) {
        return new RoutingConfig(pools, routes, null, quotas, instances, 0.2, RETRY_AFTER);
    }

    private static RoutingRequest getRequest(String path, String key, String tenant) {
        return new RoutingRequest(
                new RouteRequest("GET", PathTemplate.split(path), Map.of(), tenant, null), key, 1, false, 0.5);
    }

    @Test
    void rejectsUnroutableRequestsImmediately() {
        RoutingConfig strict = routingConfig(
                List.of(pool("a")),
                List.of(routeConfig("r", "/api/{key}", destination("a", 1))),
                QuotaConfig.none(),
                1);
        RequestRouter router = new RequestRouter(strict);
        assertEquals(
                RoutingOutcome.BAD_PATH,
                router.route(0, getRequest("/api/../x", "k", null)).outcome());
        assertEquals(
                RoutingOutcome.NOT_FOUND,
                router.route(0, getRequest("/other", "k", null)).outcome());
        assertEquals(
                RoutingOutcome.NOT_FOUND,
                router.route(0, getRequest("/api//", "k", null)).outcome(),
                "a doubled slash separates an empty segment");
        assertEquals(
                "a",
                router.route(0, getRequest("/api/a%2Fb", "k", null)).lease().pool(),
                "an encoded slash does not separate segments");
        RoutingConfig lenient =
                new RoutingConfig(strict.pools(), strict.routes(), "a", QuotaConfig.none(), 1, 0, RETRY_AFTER);
        assertNull(new RequestRouter(lenient)
                .route(0, getRequest("/other", "k", null))
                .lease()
                .route());
        assertThrows(
                IllegalArgumentException.class,
                () -> routingConfig(
                        List.of(pool("a")),
                        List.of(routeConfig("r", "/x", destination("agnets", 1))),
                        QuotaConfig.none(),
                        1));
    }

    @Test
    void rejectsIfAllWeightsOrThePoolLimitAreZero() {
        RequestRouter router = new RequestRouter(routingConfig(
                List.of(pool("a"), pool("b"), new PoolConfig("closed", ConcurrencyLimitConfig.fixed(0), 0)),
                List.of(
                        routeConfig("none", "/n", destination("a", 0), destination("b", 0)),
                        routeConfig("closed", "/s", destination("closed", 1))),
                QuotaConfig.none(),
                1));
        RoutingDecision none = router.route(0, getRequest("/n", "k", null));
        assertEquals(RejectionReason.NO_POOL, none.reason());
        assertTrue(none.retryAfterMicros() >= RETRY_AFTER.minMicros()
                && none.retryAfterMicros() <= RETRY_AFTER.maxMicros());
        assertEquals(
                RejectionReason.POOL_LIMIT,
                router.route(0, getRequest("/s", "k", null)).reason());
    }

    @Test
    void rejectsTheLowestPriorityFirstAtAPoolLimit() {
        RequestRouter router = new RequestRouter(routingConfig(
                List.of(new PoolConfig("a", ConcurrencyLimitConfig.fixed(10), 0)),
                List.of(routeConfig("r", "/x", destination("a", 1))),
                QuotaConfig.none(),
                1));
        RouteRequest request = new RouteRequest("GET", PathTemplate.split("/x"), Map.of(), null, null);
        int lowPriorityAdmitted = 0;
        while (router.route(0, new RoutingRequest(request, "k", 0, false, 0)).lease() != null) {
            lowPriorityAdmitted++;
        }
        assertEquals(8, lowPriorityAdmitted, "a fifth is reserved for higher priorities");
        List<RouteLease> highPriorityLeases = new ArrayList<>();
        for (RouteLease lease = router.route(0, new RoutingRequest(request, "k", 1, false, 0))
                        .lease();
                lease != null;
                lease = router.route(0, new RoutingRequest(request, "k", 1, false, 0))
                        .lease()) {
            highPriorityLeases.add(lease);
        }
        assertEquals(2, highPriorityLeases.size());
        router.ended(1, highPriorityLeases.get(0), LeaseEnd.SERVED);
        router.ended(1, highPriorityLeases.get(0), LeaseEnd.SERVED);
        assertEquals(9, router.poolStatus().get(0).inFlight(), "a repeated end counts once");
    }

    @Test
    void unknownTenantsShareOneQuotaWhateverTheirNames() {
        QuotaConfig quotas = new QuotaConfig(
                new RateLimit(100, 10, 100),
                Map.of("known", new TenantQuotaConfig(new RateLimit(50, 5, 50), Map.of("r", new RateLimit(10, 1, 10)))),
                new RateLimit(5, 5, 5));
        RequestRouter router = new RequestRouter(routingConfig(
                List.of(pool("a")),
                List.of(routeConfig("r", "/x", destination("a", 1)), routeConfig("s", "/y", destination("a", 1))),
                quotas,
                1));
        int unknownAdmitted = 0;
        for (int i = 0; i < 50; i++) {
            RoutingRequest unknown = getRequest("/x", "k", i % 3 == 0 ? null : i % 3 == 1 ? "/" : "t" + i);
            unknownAdmitted += router.route(0, unknown).lease() != null ? 1 : 0;
        }
        assertEquals(5, unknownAdmitted);
        assertEquals(
                RoutingOutcome.ADMITTED,
                router.route(0, getRequest("/x", "k", "known")).outcome());
        assertEquals(
                RejectionReason.QUOTA,
                router.route(0, getRequest("/x", "k", "known")).reason(),
                "the tenant is over its rate on this route");
        assertEquals(
                RoutingOutcome.ADMITTED,
                router.route(0, getRequest("/y", "k", "known")).outcome(),
                "other routes are not affected");
    }

    @Test
    void eachInstanceAppliesItsPartOfTheSiteRate() {
        for (int instances : new int[] {1, 2, 16}) {
            RequestRouter router = new RequestRouter(routingConfig(
                    List.of(pool("a")),
                    List.of(routeConfig("r", "/x", destination("a", 1))),
                    new QuotaConfig(new RateLimit(160, 16, 160), Map.of(), null),
                    instances));
            int passed = 0;
            for (long nowMicros = 0; nowMicros < 10 * SECOND_MICROS; nowMicros += 1000) {
                passed += router.route(nowMicros, getRequest("/x", "k", null)).lease() != null ? 1 : 0;
            }
            assertEquals(1600.0 / instances, passed, 16.0 / instances + 1, instances + " instances");
        }
    }

    @Test
    void clientRetriesAndPoolRetriesDrawOnTheSameBudget() {
        RouteConfig routeConfig = new RouteConfig(
                route("r", "/x", 1),
                List.of(destination("a", 1)),
                1.2,
                0.05,
                new RetryBudgetConfig(0.2, 0, 10 * SECOND_MICROS, true),
                null,
                0);
        RequestRouter router =
                new RequestRouter(routingConfig(List.of(pool("a")), List.of(routeConfig), QuotaConfig.none(), 1));
        RoutingRequest clientRetry =
                new RoutingRequest(getRequest("/x", "k", null).attributes(), "k", 1, true, 0.5);
        assertEquals(
                RejectionReason.CLIENT_RETRIES, router.route(0, clientRetry).reason());
        RouteLease lease = null;
        for (int i = 0; i < 11; i++) {
            lease = router.route(0, getRequest("/x", "k", null)).lease();
        }
        assertEquals(RoutingOutcome.ADMITTED, router.route(0, clientRetry).outcome());
        assertTrue(router.allowsRetry(0, lease));
        assertEquals(
                RejectionReason.CLIENT_RETRIES, router.route(0, clientRetry).reason());
        assertTrue(!router.allowsRetry(0, lease), "11 first attempts allow 2 retries");
    }

    @Test
    void trafficSpillsGraduallyAndTheSameKeysFirst() {
        RequestRouter router = new RequestRouter(routingConfig(
                List.of(pool("first"), pool("second")),
                List.of(routeConfig("r", "/x", destination("first", 1, new SpillTarget("second", 0.5)))),
                QuotaConfig.none(),
                1));
        router.setEndpointsUp(0, "first", 10);
        router.setEndpointsUp(0, "second", 10);
        assertEquals(1, fractionAt(router, 0, "first"), 1e-9);
        router.setEndpointsUp(1, "first", 4);
        double[] fractions = {fractionAt(router, SECOND_MICROS, "first"), fractionAt(router, SECOND_MICROS, "second")};
        assertEquals(0.48, fractions[0], 0.06, "4 of 10 endpoints take 1.2 times their usual load");
        assertEquals(0.5, fractions[1], 0.06, "at most its maximum share; the rest is rejected");
        router.setEndpointsUp(2 * SECOND_MICROS, "first", 10);
        double afterOneSecond = fractionAt(router, 3 * SECOND_MICROS, "first");
        assertTrue(afterOneSecond < 0.65, "traffic returned too fast: " + afterOneSecond);
        assertEquals(1, fractionAt(router, 30 * SECOND_MICROS, "first"), 1e-9);
        router.setEndpointsUp(31 * SECOND_MICROS, "first", 0);
        assertEquals(
                0, fractionAt(router, 32 * SECOND_MICROS, "first"), 1e-9, "a pool without endpoints gets no traffic");
    }

    /** Returns the fraction of requests that the pool gets in the 200 ms from {@code startMicros} on. */
    private static double fractionAt(RequestRouter router, long startMicros, String pool) {
        int admitted = 0;
        for (long nowMicros = startMicros; nowMicros < startMicros + 200_000; nowMicros += 200) {
            RoutingDecision decision = router.route(nowMicros, getRequest("/x", "key" + nowMicros / 200, null));
            if (decision.lease() != null) {
                admitted += decision.lease().pool().equals(pool) && nowMicros >= startMicros ? 1 : 0;
                router.ended(nowMicros, decision.lease(), LeaseEnd.SERVED);
            }
        }
        return admitted / 1000.0;
    }

    @Test
    void aPoolWithALowSuccessRateLosesTraffic() {
        RequestRouter router = new RequestRouter(routingConfig(
                List.of(pool("first"), pool("second")),
                List.of(routeConfig("r", "/x", destination("first", 1, new SpillTarget("second", 1)))),
                QuotaConfig.none(),
                1));
        router.setEndpointsUp(0, "first", 10);
        router.setEndpointsUp(0, "second", 10);
        Map<String, Integer> requests = new HashMap<>();
        for (long nowMicros = 0; nowMicros < 20 * SECOND_MICROS; nowMicros += 1000) {
            RouteLease lease = router.route(nowMicros, getRequest("/x", "k" + nowMicros % 977, null))
                    .lease();
            requests.merge(lease.pool(), nowMicros > 5 * SECOND_MICROS ? 1 : 0, Integer::sum);
            // The first pool serves 500 requests per second and rejects the rest.
            boolean fails = lease.pool().equals("first") && nowMicros % 2000 != 0 && requests.get("first") >= 0;
            router.ended(nowMicros, lease, fails ? LeaseEnd.NOT_SENT : LeaseEnd.SERVED);
        }
        assertTrue(requests.get("second") > 5000, "the second pool should get at least half: " + requests);
    }

    @Test
    void replacingTheRouterRepeatedlyGrantsNoBurstAndLosesNoRequest() {
        RoutingConfig config = routingConfig(
                List.of(new PoolConfig("a", ConcurrencyLimitConfig.fixed(50), 0)),
                List.of(routeConfig("r", "/x", destination("a", 1))),
                new QuotaConfig(new RateLimit(10, 10, 10), Map.of(), null),
                1);
        RequestRouter router = new RequestRouter(config);
        List<RouteLease> leases = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            for (RouteLease lease = router.route(i, getRequest("/x", "k", null)).lease();
                    lease != null;
                    lease = router.route(i, getRequest("/x", "k", null)).lease()) {
                leases.add(lease);
            }
            RequestRouter next = new RequestRouter(config);
            next.restore(router);
            router = next;
        }
        assertEquals(10, leases.size());
        assertEquals(10, router.poolStatus().get(0).inFlight());
        for (RouteLease lease : leases) {
            router.ended(200, lease, LeaseEnd.SERVED);
        }
        assertEquals(0, router.poolStatus().get(0).inFlight());
    }

    /** In any order of events, the requests in flight are those admitted and not ended, and limits are kept. */
    @Property(tries = 300, seed = "11")
    void requestsInFlightMatchTheOpenLeases(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int limit) {
        Random random = new Random(seed);
        RoutingConfig config = routingConfig(
                List.of(
                        new PoolConfig("a", ConcurrencyLimitConfig.fixed(limit), 0),
                        new PoolConfig("b", new ConcurrencyLimitConfig(LimitAlgorithm.AIMD, limit, 1, 20), 0)),
                List.of(routeConfig("r", "/x", destination("a", 1, new SpillTarget("b", 0.7)), destination("b", 1))),
                QuotaConfig.none(),
                1);
        RequestRouter router = new RequestRouter(config);
        ArrayDeque<RouteLease> openLeases = new ArrayDeque<>();
        Map<String, Integer> expectedInFlight = new HashMap<>(Map.of("a", 0, "b", 0));
        long nowMicros = 0;
        for (int i = 0; i < 400; i++) {
            nowMicros += random.nextInt(20_000);
            switch (random.nextInt(8)) {
                case 0 -> router.setEndpointsUp(nowMicros, random.nextBoolean() ? "a" : "b", random.nextInt(5));
                case 1 -> {
                    RequestRouter next = new RequestRouter(config);
                    next.restore(router);
                    router = next;
                }
                case 2, 3, 4 -> {
                    RouteLease ended = openLeases.poll();
                    if (ended != null) {
                        expectedInFlight.merge(ended.pool(), -1, Integer::sum);
                        router.ended(nowMicros, ended, LeaseEnd.values()[random.nextInt(4)]);
                    }
                }
                default -> {
                    RouteLease lease = assertConsistent(router.route(nowMicros, randomRequest(random)));
                    if (lease != null) {
                        openLeases.add(lease);
                        expectedInFlight.merge(lease.pool(), 1, Integer::sum);
                    }
                }
            }
            for (PoolStatus status : router.poolStatus()) {
                assertEquals(expectedInFlight.get(status.name()), status.inFlight(), status.name());
            }
            assertTrue(expectedInFlight.get("a") <= limit);
        }
    }

    private static RoutingRequest randomRequest(Random random) {
        return new RoutingRequest(
                getRequest("/x", "k", null).attributes(),
                "k" + random.nextInt(50),
                random.nextDouble(),
                false,
                random.nextDouble());
    }

    /**
     * Checks that a request is either admitted with a lease or rejected with a Retry-After; returns the lease, or null.
     */
    private static RouteLease assertConsistent(RoutingDecision decision) {
        assertEquals(decision.outcome() == RoutingOutcome.ADMITTED, decision.lease() != null);
        if (decision.lease() == null) {
            assertTrue(decision.retryAfterMicros() >= RETRY_AFTER.minMicros()
                    && decision.retryAfterMicros() <= RETRY_AFTER.maxMicros());
        }
        return decision.lease();
    }
}
