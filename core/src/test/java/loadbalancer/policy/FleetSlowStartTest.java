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
 * Checks that all balancers of a fleet together don't overload endpoints in slow start, although each balancer knows
 * only what it sends itself. By the site's rules, an endpoint takes up to N + 2 x root of N + 2 requests in the
 * overload window, where N is what the settings allow.
 */
class FleetSlowStartTest {
    private static final long STEP_MICROS = 1_000;
    private static final int SLOTS = 4; // requests that an endpoint executes concurrently
    private static final int QUEUE_CAPACITY = 8; // requests that wait at an endpoint; more are rejected
    private static final long JOIN_AFTER_MICROS = 15_000_000; // time before endpoints join
    private static final long JOIN_DURATION_MICROS = 40_000_000; // simulated time after the first ones have joined

    /** Executes {@code perSecond} requests per second when it is warm, and fewer in slow start. */
    private static final class StandInEndpoint {
        final Endpoint endpoint;
        final double perSecond;
        final List<Long> arrivals = new ArrayList<>();
        final ArrayDeque<Work> queue = new ArrayDeque<>();

        StandInEndpoint(Endpoint endpoint, double perSecond) {
            this.endpoint = endpoint;
            this.perSecond = perSecond;
        }

        boolean hasSlowStart() {
            return endpoint.startedAt() > 0;
        }

        double slowStartWeight(long now, SafetyBounds bounds) {
            return !hasSlowStart()
                    ? 1
                    : Math.min(
                            1,
                            bounds.slowStartInitialWeight()
                                    + (1 - bounds.slowStartInitialWeight())
                                            * (now - endpoint.startedAt())
                                            / bounds.slowStartDurationMicros());
        }
    }

    private static final class Work {
        final Harness balancer;
        final Harness.Sent sent;
        double remaining = 1; // fraction of the work; a warm endpoint takes SLOTS / perSecond seconds for all of it

        Work(Harness balancer, Harness.Sent sent) {
            this.balancer = balancer;
            this.sent = sent;
        }
    }

    private final Map<String, StandInEndpoint> standIns = new LinkedHashMap<>();
    private final List<Harness> fleet = new ArrayList<>();
    private final List<Integer> seenSends = new ArrayList<>();
    private SafetyBounds bounds;
    private long now = Harness.START_MICROS;

    private void createFleet(int balancers, long seed) {
        PolicySettings base = Harness.settings(
                balancers,
                false,
                DiscoveryMode.PUSH,
                List.of(),
                Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL));
        bounds = base.bounds();
        for (int i = 0; i < balancers; i++) {
            fleet.add(new Harness(
                    Harness.settings(base, balancers, i, base.weightByWork(), base.keyAffinity()), seed * 100 + i));
            seenSends.add(0);
        }
    }

    private Endpoint addStandIn(String id, long startedAt, double perSecond) {
        Endpoint endpoint = new Endpoint(id, EndpointState.UP, startedAt, 1, 0, 0, 0);
        standIns.put(id, new StandInEndpoint(endpoint, perSecond));
        return endpoint;
    }

    private void notifyBalancers(EndpointListKind kind, List<Endpoint> endpoints) {
        for (Harness balancer : fleet) {
            balancer.list(kind, endpoints);
        }
    }

    /** Simulates one step; each balancer receives its own fraction of the requests. */
    private void step(double requestsPerSecond, double[] fractions, SplittableRandom random) {
        for (int i = 0; i < fleet.size(); i++) {
            Harness balancer = fleet.get(i);
            balancer.advance(now - balancer.now);
            if (random.nextDouble() < requestsPerSecond * fractions[i] * STEP_MICROS / 1e6) {
                balancer.request("r" + balancer.now, 0);
            }
            for (; seenSends.get(i) < balancer.sends.size(); seenSends.set(i, seenSends.get(i) + 1)) {
                Harness.Sent sent = balancer.sends.get(seenSends.get(i));
                StandInEndpoint standIn = standIns.get(sent.endpoint);
                standIn.arrivals.add(now);
                if (standIn.queue.size() >= SLOTS + QUEUE_CAPACITY) {
                    balancer.end(sent, AttemptOutcome.FULL);
                } else {
                    standIn.queue.add(new Work(balancer, sent));
                }
            }
        }
        for (StandInEndpoint standIn : standIns.values()) {
            double done = standIn.perSecond / SLOTS * standIn.slowStartWeight(now, bounds) * STEP_MICROS / 1e6;
            List<Work> ended = new ArrayList<>();
            standIn.queue.stream().limit(SLOTS).forEach(work -> {
                work.remaining -= done;
                if (work.remaining <= 0) {
                    ended.add(work);
                }
            });
            standIn.queue.removeAll(ended);
            ended.forEach(work -> work.balancer.end(work.sent, AttemptOutcome.OK));
        }
        now += STEP_MICROS;
    }

    /**
     * Returns by how many requests the worst window exceeds what the endpoint takes; at most 0 if it is never
     * overloaded.
     */
    private static double excess(List<Long> arrivals, StandInEndpoint standIn, SafetyBounds bounds) {
        double worst = Double.NEGATIVE_INFINITY;
        for (int from = 0, to = 0;
                from < arrivals.size() && standIn.slowStartWeight(arrivals.get(from), bounds) < 1;
                from++) {
            while (to < arrivals.size() && arrivals.get(to) < arrivals.get(from) + bounds.overloadWindowMicros()) {
                to++;
            }
            double allowed = bounds.overloadFactor()
                    * standIn.slowStartWeight(arrivals.get(from), bounds)
                    * standIn.perSecond
                    * bounds.overloadWindowMicros()
                    / 1e6;
            worst = Math.max(worst, to - from - (allowed + 2 * Math.sqrt(allowed) + 2));
        }
        return worst;
    }

    @Test
    void theCheckDetectsAnOverloadedEndpoint() {
        createFleet(1, 1);
        StandInEndpoint standIn = new StandInEndpoint(new Endpoint("a", EndpointState.UP, 1_000_000, 1, 0, 0, 0), 10);
        // N is 2.5 x 0.2 x 10 per second in 1.5 s, that is 7.5; the bound is 7.5 + 2 x 2.74 + 2 = 14.98.
        assertTrue(
                excess(LongStream.range(0, 14).map(t -> 1_000_000 + t).boxed().toList(), standIn, bounds) < 0);
        assertTrue(
                excess(LongStream.range(0, 15).map(t -> 1_000_000 + t).boxed().toList(), standIn, bounds) > 0);
    }

    /**
     * In {@code JOIN}, new endpoints join, one for every five existing ones. In {@code BACK}, half of the endpoints are
     * lost and come back in slow start. Both happen in four steps. {@code RESTART} is {@code BACK} with all balancers
     * just started and without learned state. The traffic is higher by half meanwhile. One balancer receives a fifth of
     * the traffic, the others less than the mean.
     */
    @ParameterizedTest
    @CsvSource({
        "JOIN, 20, 5, 1", "JOIN, 30, 5, 2", "JOIN, 20, 20, 3", "JOIN, 30, 20, 4",
        "BACK, 20, 5, 5", "BACK, 30, 5, 6", "BACK, 20, 20, 7", "BACK, 30, 20, 8",
        "RESTART, 20, 5, 9", "RESTART, 30, 5, 10", "RESTART, 20, 20, 11", "RESTART, 30, 20, 12",
    })
    void aFleetDoesNotOverloadEndpointsInSlowStart(String scenario, int balancers, double perSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        createFleet(balancers, seed);
        int endpointCount = 40;
        double[] fractions = IntStream.range(0, balancers)
                .mapToDouble(i -> 0.5 + random.nextDouble())
                .toArray();
        double sum =
                IntStream.range(1, balancers).mapToDouble(i -> fractions[i]).sum();
        for (int i = 0; i < balancers; i++) {
            fractions[i] = i == 0 ? 0.2 : 0.8 * fractions[i] / sum;
        }
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            list.add(addStandIn("s" + i, 0, perSecond));
        }
        notifyBalancers(EndpointListKind.SNAPSHOT, list);
        double rate = 0.7 * endpointCount * perSecond;
        if (!scenario.equals("RESTART")) {
            while (now < Harness.START_MICROS + JOIN_AFTER_MICROS) {
                step(rate, fractions, random);
            }
        }
        long from = now;
        for (int step = 0; now < from + JOIN_DURATION_MICROS; step++) {
            if (step % 1_000 == 0 && step < 4_000) {
                List<Endpoint> changes = new ArrayList<>();
                for (int i = step / 1_000 * 5; i < step / 1_000 * 5 + (scenario.equals("JOIN") ? 2 : 5); i++) {
                    if (!scenario.equals("JOIN")) {
                        changes.add(standIns.get("s" + i).endpoint.withState(EndpointState.GONE));
                    }
                    changes.add(addStandIn("cold" + i, now, perSecond));
                }
                notifyBalancers(EndpointListKind.DELTA, changes);
            }
            step(now < from + JOIN_DURATION_MICROS / 2 ? 1.5 * rate : rate, fractions, random);
        }
        int sentInSlowStart = 0;
        for (StandInEndpoint standIn : standIns.values()) {
            if (standIn.hasSlowStart()) {
                double excess = excess(standIn.arrivals, standIn, bounds);
                assertTrue(excess <= 0, standIn.endpoint.id() + " is overloaded by " + excess + " requests");
                sentInSlowStart += standIn.arrivals.size();
            }
        }
        assertTrue(sentInSlowStart > 100, "requests to endpoints in slow start: " + sentInSlowStart);
        assertEquals(0, fleet.stream().mapToInt(b -> b.duplicateFinalAnswers).sum());
    }
}
