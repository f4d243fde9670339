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
    void whatCantBeRoutedIsSaidAtOnce() {
        RoutingConfig strict =
                plan(List.of(pool("a")), List.of(route("r", "/api/{key}", way("a", 1))), QuotaConfig.none(), 1);
        RequestRouter front = new RequestRouter(strict);
        assertEquals(
                RoutingOutcome.BAD_PATH,
                front.route(0, get("/api/../x", "k", null)).outcome());
        assertEquals(
                RoutingOutcome.NOT_FOUND,
                front.route(0, get("/other", "k", null)).outcome());
        assertEquals(
                RoutingOutcome.NOT_FOUND,
                front.route(0, get("/api//", "k", null)).outcome(),
                "doubled slashes are two");
        assertEquals("a", front.route(0, get("/api/a%2Fb", "k", null)).lease().pool(), "an encoded slash is none");
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
    void allWeightsNothingAndALimitOfNothingRefuse() {
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("a"), pool("b"), new PoolConfig("shut", ConcurrencyLimitConfig.fixed(0), 0)),
                List.of(route("none", "/n", way("a", 0), way("b", 0)), route("shut", "/s", way("shut", 1))),
                QuotaConfig.none(),
                1));
        RoutingDecision none = front.route(0, get("/n", "k", null));
        assertEquals(RejectionReason.NO_POOL, none.reason());
        assertTrue(none.retryAfterMicros() >= ADVICE.minMicros() && none.retryAfterMicros() <= ADVICE.maxMicros());
        assertEquals(
                RejectionReason.POOL_LIMIT, front.route(0, get("/s", "k", null)).reason());
    }

    @Test
    void theCheapestIsRefusedFirstAtAPoolsLimit() {
        RequestRouter front = new RequestRouter(plan(
                List.of(new PoolConfig("a", ConcurrencyLimitConfig.fixed(10), 0)),
                List.of(route("r", "/x", way("a", 1))),
                QuotaConfig.none(),
                1));
        RouteRequest request = new RouteRequest("GET", PathTemplate.split("/x"), Map.of(), null, null);
        int cheap = 0;
        while (front.route(0, new RoutingRequest(request, "k", 0, false, 0)).lease() != null) {
            cheap++;
        }
        assertEquals(8, cheap, "a fifth is kept for those worth more");
        List<RouteLease> dear = new ArrayList<>();
        for (RouteLease t = front.route(0, new RoutingRequest(request, "k", 1, false, 0))
                        .lease();
                t != null;
                t = front.route(0, new RoutingRequest(request, "k", 1, false, 0))
                        .lease()) {
            dear.add(t);
        }
        assertEquals(2, dear.size());
        front.ended(1, dear.get(0), LeaseEnd.SERVED);
        front.ended(1, dear.get(0), LeaseEnd.SERVED);
        assertEquals(9, front.poolStatus().get(0).inFlight(), "an end that is told twice counts once");
    }

    @Test
    void unknownTenantsShareOneLimitWhateverTheyCallThemselves() {
        QuotaConfig quotas = new QuotaConfig(
                new RateLimit(100, 10, 100),
                Map.of("known", new TenantQuotaConfig(new RateLimit(50, 5, 50), Map.of("r", new RateLimit(10, 1, 10)))),
                new RateLimit(5, 5, 5));
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("a")), List.of(route("r", "/x", way("a", 1)), route("s", "/y", way("a", 1))), quotas, 1));
        int strangers = 0;
        for (int i = 0; i < 50; i++) {
            RoutingRequest stranger = get("/x", "k", i % 3 == 0 ? null : i % 3 == 1 ? "/" : "t" + i);
            strangers += front.route(0, stranger).lease() != null ? 1 : 0;
        }
        assertEquals(5, strangers);
        assertEquals(
                RoutingOutcome.ADMITTED, front.route(0, get("/x", "k", "known")).outcome());
        assertEquals(
                RejectionReason.QUOTA, front.route(0, get("/x", "k", "known")).reason(), "its rate on this route");
        assertEquals(
                RoutingOutcome.ADMITTED, front.route(0, get("/y", "k", "known")).outcome(), "not on another");
    }

    @Test
    void eachInstanceTakesItsPartOfASitesRate() {
        for (int n : new int[] {1, 2, 16}) {
            RequestRouter front = new RequestRouter(plan(
                    List.of(pool("a")),
                    List.of(route("r", "/x", way("a", 1))),
                    new QuotaConfig(new RateLimit(160, 16, 160), Map.of(), null),
                    n));
            int passed = 0;
            for (long now = 0; now < 10 * SECOND; now += 1000) {
                passed += front.route(now, get("/x", "k", null)).lease() != null ? 1 : 0;
            }
            assertEquals(1600.0 / n, passed, 16.0 / n + 1, n + " instances");
        }
    }

    @Test
    void clientsRetriesDrawOnTheBudgetAndSoDoThePools() {
        RouteConfig r = new RouteConfig(
                match("r", "/x", 1),
                List.of(way("a", 1)),
                1.2,
                0.05,
                new RetryBudgetConfig(0.2, 0, 10 * SECOND, true),
                null,
                0);
        RequestRouter front = new RequestRouter(plan(List.of(pool("a")), List.of(r), QuotaConfig.none(), 1));
        RoutingRequest again = new RoutingRequest(get("/x", "k", null).attributes(), "k", 1, true, 0.5);
        assertEquals(RejectionReason.CLIENT_RETRIES, front.route(0, again).reason());
        RouteLease t = null;
        for (int i = 0; i < 11; i++) {
            t = front.route(0, get("/x", "k", null)).lease();
        }
        assertEquals(RoutingOutcome.ADMITTED, front.route(0, again).outcome());
        assertTrue(front.allowsRetry(0, t));
        assertEquals(RejectionReason.CLIENT_RETRIES, front.route(0, again).reason());
        assertTrue(!front.allowsRetry(0, t), "a fifth of eleven were two");
    }

    @Test
    void trafficSpillsByDegreesAndTheSameKeysFirst() {
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("first"), pool("second")),
                List.of(route("r", "/x", way("first", 1, new SpillTarget("second", 0.5)))),
                QuotaConfig.none(),
                1));
        front.setEndpointsUp(0, "first", 10);
        front.setEndpointsUp(0, "second", 10);
        assertEquals(1, of(front, 0, "first"), 1e-9);
        front.setEndpointsUp(1, "first", 4);
        double[] some = {of(front, SECOND, "first"), of(front, SECOND, "second")};
        assertEquals(0.48, some[0], 0.06, "what 4 of 10 can take, with a fifth to spare");
        assertEquals(0.5, some[1], 0.06, "no more than its limit; the rest is refused");
        front.setEndpointsUp(2 * SECOND, "first", 10);
        double soon = of(front, 3 * SECOND, "first");
        assertTrue(soon < 0.65, "return is slow: " + soon);
        assertEquals(1, of(front, 30 * SECOND, "first"), 1e-9);
        front.setEndpointsUp(31 * SECOND, "first", 0);
        assertEquals(0, of(front, 32 * SECOND, "first"), 1e-9, "a pool without upstreams");
    }

    private static double of(RequestRouter front, long now, String pool) {
        int there = 0;
        for (long t = now; t < now + 200_000; t += 200) {
            RoutingDecision v = front.route(t, get("/x", "key" + t / 200, null));
            if (v.lease() != null) {
                there += v.lease().pool().equals(pool) && t >= now ? 1 : 0;
                front.ended(t, v.lease(), LeaseEnd.SERVED);
            }
        }
        return there / 1000.0;
    }

    @Test
    void aPoolThatServesLittleOfWhatItGetsLosesTraffic() {
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("first"), pool("second")),
                List.of(route("r", "/x", way("first", 1, new SpillTarget("second", 1)))),
                QuotaConfig.none(),
                1));
        front.setEndpointsUp(0, "first", 10);
        front.setEndpointsUp(0, "second", 10);
        Map<String, Integer> got = new HashMap<>();
        for (long now = 0; now < 20 * SECOND; now += 1000) {
            RouteLease t = front.route(now, get("/x", "k" + now % 977, null)).lease();
            got.merge(t.pool(), now > 5 * SECOND ? 1 : 0, Integer::sum);
            // The first can do 500 a second, and turns the rest away.
            boolean fails = t.pool().equals("first") && now % 2000 != 0 && got.get("first") >= 0;
            front.ended(now, t, fails ? LeaseEnd.NOT_SENT : LeaseEnd.SERVED);
        }
        assertTrue(got.get("second") > 5000, "half or more goes elsewhere: " + got);
    }

    @Test
    void aFrontThatIsReplacedAHundredTimesGrantsNoBurstAndLosesNoRequest() {
        RoutingConfig plan = plan(
                List.of(new PoolConfig("a", ConcurrencyLimitConfig.fixed(50), 0)),
                List.of(route("r", "/x", way("a", 1))),
                new QuotaConfig(new RateLimit(10, 10, 10), Map.of(), null),
                1);
        RequestRouter front = new RequestRouter(plan);
        List<RouteLease> open = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            for (RouteLease t = front.route(i, get("/x", "k", null)).lease();
                    t != null;
                    t = front.route(i, get("/x", "k", null)).lease()) {
                open.add(t);
            }
            RequestRouter next = new RequestRouter(plan);
            next.restore(front);
            front = next;
        }
        assertEquals(10, open.size());
        assertEquals(10, front.poolStatus().get(0).inFlight());
        for (RouteLease t : open) {
            front.ended(200, t, LeaseEnd.SERVED);
        }
        assertEquals(0, front.poolStatus().get(0).inFlight());
    }

    /** Whatever happens in whatever order: what is open is what was taken and hasn't ended, and limits hold. */
    @Property(tries = 300, seed = "11")
    void countsHold(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int limit) {
        Random random = new Random(seed);
        RoutingConfig plan = plan(
                List.of(
                        new PoolConfig("a", ConcurrencyLimitConfig.fixed(limit), 0),
                        new PoolConfig("b", new ConcurrencyLimitConfig(LimitAlgorithm.AIMD, limit, 1, 20), 0)),
                List.of(route("r", "/x", way("a", 1, new SpillTarget("b", 0.7)), way("b", 1))),
                QuotaConfig.none(),
                1);
        RequestRouter front = new RequestRouter(plan);
        ArrayDeque<RouteLease> open = new ArrayDeque<>();
        Map<String, Integer> count = new HashMap<>(Map.of("a", 0, "b", 0));
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(20_000);
            switch (random.nextInt(8)) {
                case 0 -> front.setEndpointsUp(now, random.nextBoolean() ? "a" : "b", random.nextInt(5));
                case 1 -> {
                    RequestRouter next = new RequestRouter(plan);
                    next.restore(front);
                    front = next;
                }
                case 2, 3, 4 -> {
                    RouteLease t = open.poll();
                    if (t != null) {
                        count.merge(t.pool(), -1, Integer::sum);
                        front.ended(now, t, LeaseEnd.values()[random.nextInt(4)]);
                    }
                }
                default -> {
                    RoutingDecision v = front.route(
                            now,
                            new RoutingRequest(
                                    get("/x", "k", null).attributes(),
                                    "k" + random.nextInt(50),
                                    random.nextDouble(),
                                    false,
                                    random.nextDouble()));
                    assertEquals(v.outcome() == RoutingOutcome.ADMITTED, v.lease() != null);
                    if (v.lease() != null) {
                        open.add(v.lease());
                        count.merge(v.lease().pool(), 1, Integer::sum);
                    } else {
                        assertTrue(v.retryAfterMicros() >= ADVICE.minMicros()
                                && v.retryAfterMicros() <= ADVICE.maxMicros());
                    }
                }
            }
            for (PoolStatus p : front.poolStatus()) {
                assertEquals(count.get(p.name()), p.inFlight(), p.name());
            }
            assertTrue(count.get("a") <= limit);
        }
    }
}
