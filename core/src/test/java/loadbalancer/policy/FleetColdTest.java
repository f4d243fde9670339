package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cold server bears the sum of what all balancers of a fleet send, each of which knows its own part alone: by the
 * standing terms up to N + 2 x root of N + 2 requests in the window of the settings, N being what these allow it.
 */
class FleetColdTest {
    private static final long STEP = 1_000;
    private static final int SLOTS = 4; // requests that a box works on at once
    private static final int QUEUE = 8; // and that wait there; it turns away what comes beyond
    private static final long AT = 15_000_000; // when cold ones come, after the start
    private static final long LENGTH = 40_000_000;

    /** An upstream: so many requests a second when it is warm, fewer while it is cold. */
    private static final class Box {
        final Endpoint endpoint;
        final double perSecond;
        final List<Long> came = new ArrayList<>();
        final ArrayDeque<Work> line = new ArrayDeque<>();

        Box(Endpoint endpoint, double perSecond) {
            this.endpoint = endpoint;
            this.perSecond = perSecond;
        }

        boolean cold() {
            return endpoint.startedAt() > 0;
        }

        double part(long now, SafetyBounds b) {
            return !cold()
                    ? 1
                    : Math.min(
                            1,
                            b.slowStartInitialWeight()
                                    + (1 - b.slowStartInitialWeight())
                                            * (now - endpoint.startedAt())
                                            / b.slowStartDurationMicros());
        }
    }

    private static final class Work {
        final Harness by;
        final Harness.Sent sent;
        double left = 1; // of what a box does in SLOTS / perSecond

        Work(Harness by, Harness.Sent sent) {
            this.by = by;
            this.sent = sent;
        }
    }

    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final List<Harness> fleet = new ArrayList<>();
    private final List<Integer> looked = new ArrayList<>();
    private SafetyBounds bounds;
    private long now = Harness.START;

    private void fleet(int balancers, long seed) {
        PolicySettings of = Harness.settings(
                balancers, false, DiscoveryMode.PUSH, List.of(), Harness.kind(Idempotency.IDEMPOTENT, KeyScope.ALL));
        bounds = of.bounds();
        for (int i = 0; i < balancers; i++) {
            fleet.add(new Harness(
                    new PolicySettings(
                            balancers,
                            i,
                            of.zone(),
                            of.classes(),
                            of.tenants(),
                            of.overQuotaWeight(),
                            of.objective(),
                            of.costs(),
                            of.weightByWork(),
                            of.discovery(),
                            of.loadReporting(),
                            of.keyAffinity(),
                            of.limits(),
                            of.bounds(),
                            of.tickMicros()),
                    seed * 100 + i));
            looked.add(0);
        }
    }

    private Endpoint join(String id, long startedAt, double perSecond) {
        Endpoint server = new Endpoint(id, EndpointState.UP, startedAt, 1, 0, 0, 0);
        boxes.put(id, new Box(server, perSecond));
        return server;
    }

    private void tell(EndpointListKind kind, List<Endpoint> servers) {
        for (Harness h : fleet) {
            h.list(kind, servers);
        }
    }

    /** Lets all work for a step; each balancer gets its own part of so many requests a second. */
    private void step(double perSecond, double[] parts, SplittableRandom random) {
        for (int i = 0; i < fleet.size(); i++) {
            Harness h = fleet.get(i);
            h.pass(now - h.now);
            if (random.nextDouble() < perSecond * parts[i] * STEP / 1e6) {
                h.request("r" + h.now, 0);
            }
            for (; looked.get(i) < h.sends.size(); looked.set(i, looked.get(i) + 1)) {
                Harness.Sent sent = h.sends.get(looked.get(i));
                Box box = boxes.get(sent.endpoint);
                box.came.add(now);
                if (box.line.size() >= SLOTS + QUEUE) {
                    h.end(sent, AttemptOutcome.FULL);
                } else {
                    box.line.add(new Work(h, sent));
                }
            }
        }
        for (Box box : boxes.values()) {
            double done = box.perSecond / SLOTS * box.part(now, bounds) * STEP / 1e6;
            List<Work> ended = new ArrayList<>();
            box.line.stream().limit(SLOTS).forEach(w -> {
                w.left -= done;
                if (w.left <= 0) {
                    ended.add(w);
                }
            });
            box.line.removeAll(ended);
            ended.forEach(w -> w.by.end(w.sent, AttemptOutcome.OK));
        }
        now += STEP;
    }

    /** What a window held beyond its allowance, at its worst; at most 0 where the box stays up. */
    private static double excess(List<Long> came, Box box, SafetyBounds b) {
        double worst = Double.NEGATIVE_INFINITY;
        for (int from = 0, to = 0; from < came.size() && box.part(came.get(from), b) < 1; from++) {
            while (to < came.size() && came.get(to) < came.get(from) + b.overloadWindowMicros()) {
                to++;
            }
            double allowed =
                    b.overloadFactor() * box.part(came.get(from), b) * box.perSecond * b.overloadWindowMicros() / 1e6;
            worst = Math.max(worst, to - from - (allowed + 2 * Math.sqrt(allowed) + 2));
        }
        return worst;
    }

    @Test
    void theJudgeSeesABoxFall() {
        fleet(1, 1);
        Box box = new Box(new Endpoint("a", EndpointState.UP, 1_000_000, 1, 0, 0, 0), 10);
        // 2.5 x 0.2 x 10 in 1.5 s are 7.5; with 2 x 2.74 and 2 more: 14.98.
        assertTrue(
                excess(LongStream.range(0, 14).map(t -> 1_000_000 + t).boxed().toList(), box, bounds) < 0);
        assertTrue(
                excess(LongStream.range(0, 15).map(t -> 1_000_000 + t).boxed().toList(), box, bounds) > 0);
    }

    /**
     * {@code JOIN}: one in five is new; {@code BACK}: half of them are lost and come back cold, in four steps;
     * {@code RESTART}: the same, and all balancers have just started and know nothing. Half as much traffic again
     * comes with it. One balancer gets a fifth of the traffic, others less than the mean.
     */
    @ParameterizedTest
    @CsvSource({
        "JOIN, 20, 5, 1", "JOIN, 30, 5, 2", "JOIN, 20, 20, 3", "JOIN, 30, 20, 4",
        "BACK, 20, 5, 5", "BACK, 30, 5, 6", "BACK, 20, 20, 7", "BACK, 30, 20, 8",
        "RESTART, 20, 5, 9", "RESTART, 30, 5, 10", "RESTART, 20, 20, 11", "RESTART, 30, 20, 12",
    })
    void coldServersBearTheSumOfAFleet(String day, int balancers, double perSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        fleet(balancers, seed);
        int many = 40;
        double[] parts = IntStream.range(0, balancers)
                .mapToDouble(i -> 0.5 + random.nextDouble())
                .toArray();
        double sum = IntStream.range(1, balancers).mapToDouble(i -> parts[i]).sum();
        for (int i = 0; i < balancers; i++) {
            parts[i] = i == 0 ? 0.2 : 0.8 * parts[i] / sum;
        }
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            list.add(join("s" + i, 0, perSecond));
        }
        tell(EndpointListKind.SNAPSHOT, list);
        double load = 0.7 * many * perSecond;
        if (!day.equals("RESTART")) {
            while (now < Harness.START + AT) {
                step(load, parts, random);
            }
        }
        long from = now;
        for (int k = 0; now < from + LENGTH; k++) {
            if (k % 1_000 == 0 && k < 4_000) {
                List<Endpoint> news = new ArrayList<>();
                for (int i = k / 1_000 * 5; i < k / 1_000 * 5 + (day.equals("JOIN") ? 2 : 5); i++) {
                    if (!day.equals("JOIN")) {
                        news.add(boxes.get("s" + i).endpoint.withState(EndpointState.GONE));
                    }
                    news.add(join("cold" + i, now, perSecond));
                }
                tell(EndpointListKind.DELTA, news);
            }
            step(now < from + LENGTH / 2 ? 1.5 * load : load, parts, random);
        }
        int used = 0;
        for (Box box : boxes.values()) {
            if (box.cold()) {
                double excess = excess(box.came, box, bounds);
                assertTrue(excess <= 0, box.endpoint.id() + " falls, by " + excess + " requests");
                used += box.came.size();
            }
        }
        assertTrue(used > 100, "they are used: " + used);
        assertEquals(0, fleet.stream().mapToInt(h -> h.doubleFinals).sum());
    }
}
