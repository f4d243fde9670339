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
import loadbalancer.limits.ConcurrencyLimit;
import loadbalancer.limits.TokenTree.Rate;
import loadbalancer.router.RequestRouter.Answer;
import loadbalancer.router.RequestRouter.Arrival;
import loadbalancer.router.RequestRouter.End;
import loadbalancer.router.RequestRouter.Reason;
import loadbalancer.router.RequestRouter.RouteLease;
import loadbalancer.router.RequestRouter.RoutingDecision;
import loadbalancer.router.RoutingConfig.Advice;
import loadbalancer.router.RoutingConfig.PoolPlan;
import loadbalancer.router.RoutingConfig.Quotas;
import loadbalancer.router.RoutingConfig.Retries;
import loadbalancer.router.RoutingConfig.RoutePlan;
import loadbalancer.router.RoutingConfig.Spill;
import loadbalancer.router.RoutingConfig.TenantQuota;
import loadbalancer.router.RoutingConfig.Way;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RequestRouterTest {
    private static final long SECOND = 1_000_000;
    private static final Advice ADVICE = new Advice(100_000, 1_500_000);

    private static Route match(String name, String path, int place) {
        return new Route(name, PathTemplate.of(path), Set.of(), Map.of(), Set.of(), Set.of(), place);
    }

    private static RoutePlan route(String name, String path, Way... ways) {
        return new RoutePlan(match(name, path, 1), List.of(ways), 1.2, 0.05, null, null, 0);
    }

    private static Way way(String pool, double weight, Spill... spills) {
        return new Way(pool, weight, List.of(spills));
    }

    private static PoolPlan pool(String name) {
        return new PoolPlan(name, null, 0);
    }

    private static RoutingConfig plan(List<PoolPlan> pools, List<RoutePlan> routes, Quotas quotas, int instances) {
        return new RoutingConfig(pools, routes, null, quotas, instances, 0.2, ADVICE);
    }

    private static Arrival get(String path, String key, String tenant) {
        return new Arrival(
                new Route.Request("GET", PathTemplate.split(path), Map.of(), tenant, null), key, 1, false, 0.5);
    }

    @Test
    void whatCantBeRoutedIsSaidAtOnce() {
        RoutingConfig strict =
                plan(List.of(pool("a")), List.of(route("r", "/api/{key}", way("a", 1))), Quotas.none(), 1);
        RequestRouter front = new RequestRouter(strict);
        assertEquals(
                Answer.BAD_PATH, front.arrive(0, get("/api/../x", "k", null)).answer());
        assertEquals(Answer.NOT_FOUND, front.arrive(0, get("/other", "k", null)).answer());
        assertEquals(Answer.NOT_FOUND, front.arrive(0, get("/api//", "k", null)).answer(), "doubled slashes are two");
        assertEquals("a", front.arrive(0, get("/api/a%2Fb", "k", null)).ticket().pool(), "an encoded slash is none");
        RoutingConfig lenient = new RoutingConfig(strict.pools(), strict.routes(), "a", Quotas.none(), 1, 0, ADVICE);
        assertNull(new RequestRouter(lenient)
                .arrive(0, get("/other", "k", null))
                .ticket()
                .route());
        assertThrows(
                IllegalArgumentException.class,
                () -> plan(List.of(pool("a")), List.of(route("r", "/x", way("agnets", 1))), Quotas.none(), 1));
    }

    @Test
    void allWeightsNothingAndALimitOfNothingRefuse() {
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("a"), pool("b"), new PoolPlan("shut", ConcurrencyLimit.Plan.fixed(0), 0)),
                List.of(route("none", "/n", way("a", 0), way("b", 0)), route("shut", "/s", way("shut", 1))),
                Quotas.none(),
                1));
        RoutingDecision none = front.arrive(0, get("/n", "k", null));
        assertEquals(Reason.NO_POOL, none.reason());
        assertTrue(none.retryAfter() >= ADVICE.least() && none.retryAfter() <= ADVICE.most());
        assertEquals(Reason.POOL_LIMIT, front.arrive(0, get("/s", "k", null)).reason());
    }

    @Test
    void theCheapestIsRefusedFirstAtAPoolsLimit() {
        RequestRouter front = new RequestRouter(plan(
                List.of(new PoolPlan("a", ConcurrencyLimit.Plan.fixed(10), 0)),
                List.of(route("r", "/x", way("a", 1))),
                Quotas.none(),
                1));
        Route.Request request = new Route.Request("GET", PathTemplate.split("/x"), Map.of(), null, null);
        int cheap = 0;
        while (front.arrive(0, new Arrival(request, "k", 0, false, 0)).ticket() != null) {
            cheap++;
        }
        assertEquals(8, cheap, "a fifth is kept for those worth more");
        List<RouteLease> dear = new ArrayList<>();
        for (RouteLease t =
                        front.arrive(0, new Arrival(request, "k", 1, false, 0)).ticket();
                t != null;
                t = front.arrive(0, new Arrival(request, "k", 1, false, 0)).ticket()) {
            dear.add(t);
        }
        assertEquals(2, dear.size());
        front.ended(1, dear.get(0), End.SERVED);
        front.ended(1, dear.get(0), End.SERVED);
        assertEquals(9, front.view().get(0).open(), "an end that is told twice counts once");
    }

    @Test
    void unknownTenantsShareOneLimitWhateverTheyCallThemselves() {
        Quotas quotas = new Quotas(
                new Rate(100, 10, 100),
                Map.of("known", new TenantQuota(new Rate(50, 5, 50), Map.of("r", new Rate(10, 1, 10)))),
                new Rate(5, 5, 5));
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("a")), List.of(route("r", "/x", way("a", 1)), route("s", "/y", way("a", 1))), quotas, 1));
        int strangers = 0;
        for (int i = 0; i < 50; i++) {
            Arrival stranger = get("/x", "k", i % 3 == 0 ? null : i % 3 == 1 ? "/" : "t" + i);
            strangers += front.arrive(0, stranger).ticket() != null ? 1 : 0;
        }
        assertEquals(5, strangers);
        assertEquals(Answer.TAKEN, front.arrive(0, get("/x", "k", "known")).answer());
        assertEquals(Reason.QUOTA, front.arrive(0, get("/x", "k", "known")).reason(), "its rate on this route");
        assertEquals(Answer.TAKEN, front.arrive(0, get("/y", "k", "known")).answer(), "not on another");
    }

    @Test
    void eachInstanceTakesItsPartOfASitesRate() {
        for (int n : new int[] {1, 2, 16}) {
            RequestRouter front = new RequestRouter(plan(
                    List.of(pool("a")),
                    List.of(route("r", "/x", way("a", 1))),
                    new Quotas(new Rate(160, 16, 160), Map.of(), null),
                    n));
            int passed = 0;
            for (long now = 0; now < 10 * SECOND; now += 1000) {
                passed += front.arrive(now, get("/x", "k", null)).ticket() != null ? 1 : 0;
            }
            assertEquals(1600.0 / n, passed, 16.0 / n + 1, n + " instances");
        }
    }

    @Test
    void clientsRetriesDrawOnTheBudgetAndSoDoThePools() {
        RoutePlan r = new RoutePlan(
                match("r", "/x", 1), List.of(way("a", 1)), 1.2, 0.05, new Retries(0.2, 0, 10 * SECOND, true), null, 0);
        RequestRouter front = new RequestRouter(plan(List.of(pool("a")), List.of(r), Quotas.none(), 1));
        Arrival again = new Arrival(get("/x", "k", null).request(), "k", 1, true, 0.5);
        assertEquals(Reason.CLIENT_RETRIES, front.arrive(0, again).reason());
        RouteLease t = null;
        for (int i = 0; i < 11; i++) {
            t = front.arrive(0, get("/x", "k", null)).ticket();
        }
        assertEquals(Answer.TAKEN, front.arrive(0, again).answer());
        assertTrue(front.mayTryAgain(0, t));
        assertEquals(Reason.CLIENT_RETRIES, front.arrive(0, again).reason());
        assertTrue(!front.mayTryAgain(0, t), "a fifth of eleven were two");
    }

    @Test
    void trafficSpillsByDegreesAndTheSameKeysFirst() {
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("first"), pool("second")),
                List.of(route("r", "/x", way("first", 1, new Spill("second", 0.5)))),
                Quotas.none(),
                1));
        front.listed(0, "first", 10);
        front.listed(0, "second", 10);
        assertEquals(1, of(front, 0, "first"), 1e-9);
        front.listed(1, "first", 4);
        double[] some = {of(front, SECOND, "first"), of(front, SECOND, "second")};
        assertEquals(0.48, some[0], 0.06, "what 4 of 10 can take, with a fifth to spare");
        assertEquals(0.5, some[1], 0.06, "no more than its limit; the rest is refused");
        front.listed(2 * SECOND, "first", 10);
        double soon = of(front, 3 * SECOND, "first");
        assertTrue(soon < 0.65, "return is slow: " + soon);
        assertEquals(1, of(front, 30 * SECOND, "first"), 1e-9);
        front.listed(31 * SECOND, "first", 0);
        assertEquals(0, of(front, 32 * SECOND, "first"), 1e-9, "a pool without upstreams");
    }

    private static double of(RequestRouter front, long now, String pool) {
        int there = 0;
        for (long t = now; t < now + 200_000; t += 200) {
            RoutingDecision v = front.arrive(t, get("/x", "key" + t / 200, null));
            if (v.ticket() != null) {
                there += v.ticket().pool().equals(pool) && t >= now ? 1 : 0;
                front.ended(t, v.ticket(), End.SERVED);
            }
        }
        return there / 1000.0;
    }

    @Test
    void aPoolThatServesLittleOfWhatItGetsLosesTraffic() {
        RequestRouter front = new RequestRouter(plan(
                List.of(pool("first"), pool("second")),
                List.of(route("r", "/x", way("first", 1, new Spill("second", 1)))),
                Quotas.none(),
                1));
        front.listed(0, "first", 10);
        front.listed(0, "second", 10);
        Map<String, Integer> got = new HashMap<>();
        for (long now = 0; now < 20 * SECOND; now += 1000) {
            RouteLease t = front.arrive(now, get("/x", "k" + now % 977, null)).ticket();
            got.merge(t.pool(), now > 5 * SECOND ? 1 : 0, Integer::sum);
            // The first can do 500 a second, and turns the rest away.
            boolean fails = t.pool().equals("first") && now % 2000 != 0 && got.get("first") >= 0;
            front.ended(now, t, fails ? End.UNSENT : End.SERVED);
        }
        assertTrue(got.get("second") > 5000, "half or more goes elsewhere: " + got);
    }

    @Test
    void aFrontThatIsReplacedAHundredTimesGrantsNoBurstAndLosesNoRequest() {
        RoutingConfig plan = plan(
                List.of(new PoolPlan("a", ConcurrencyLimit.Plan.fixed(50), 0)),
                List.of(route("r", "/x", way("a", 1))),
                new Quotas(new Rate(10, 10, 10), Map.of(), null),
                1);
        RequestRouter front = new RequestRouter(plan);
        List<RouteLease> open = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            for (RouteLease t = front.arrive(i, get("/x", "k", null)).ticket();
                    t != null;
                    t = front.arrive(i, get("/x", "k", null)).ticket()) {
                open.add(t);
            }
            RequestRouter next = new RequestRouter(plan);
            next.restore(front);
            front = next;
        }
        assertEquals(10, open.size());
        assertEquals(10, front.view().get(0).open());
        for (RouteLease t : open) {
            front.ended(200, t, End.SERVED);
        }
        assertEquals(0, front.view().get(0).open());
    }

    /** Whatever happens in whatever order: what is open is what was taken and hasn't ended, and limits hold. */
    @Property(tries = 300, seed = "11")
    void countsHold(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int limit) {
        Random random = new Random(seed);
        RoutingConfig plan = plan(
                List.of(
                        new PoolPlan("a", ConcurrencyLimit.Plan.fixed(limit), 0),
                        new PoolPlan("b", new ConcurrencyLimit.Plan(ConcurrencyLimit.Kind.AIMD, limit, 1, 20), 0)),
                List.of(route("r", "/x", way("a", 1, new Spill("b", 0.7)), way("b", 1))),
                Quotas.none(),
                1);
        RequestRouter front = new RequestRouter(plan);
        ArrayDeque<RouteLease> open = new ArrayDeque<>();
        Map<String, Integer> count = new HashMap<>(Map.of("a", 0, "b", 0));
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(20_000);
            switch (random.nextInt(8)) {
                case 0 -> front.listed(now, random.nextBoolean() ? "a" : "b", random.nextInt(5));
                case 1 -> {
                    RequestRouter next = new RequestRouter(plan);
                    next.restore(front);
                    front = next;
                }
                case 2, 3, 4 -> {
                    RouteLease t = open.poll();
                    if (t != null) {
                        count.merge(t.pool(), -1, Integer::sum);
                        front.ended(now, t, End.values()[random.nextInt(4)]);
                    }
                }
                default -> {
                    RoutingDecision v = front.arrive(
                            now,
                            new Arrival(
                                    get("/x", "k", null).request(),
                                    "k" + random.nextInt(50),
                                    random.nextDouble(),
                                    false,
                                    random.nextDouble()));
                    assertEquals(v.answer() == Answer.TAKEN, v.ticket() != null);
                    if (v.ticket() != null) {
                        open.add(v.ticket());
                        count.merge(v.ticket().pool(), 1, Integer::sum);
                    } else {
                        assertTrue(v.retryAfter() >= ADVICE.least() && v.retryAfter() <= ADVICE.most());
                    }
                }
            }
            for (RequestRouter.PoolView p : front.view()) {
                assertEquals(count.get(p.name()), p.open(), p.name());
            }
            assertTrue(count.get("a") <= limit);
        }
    }
}
