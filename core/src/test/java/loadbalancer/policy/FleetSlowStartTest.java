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
 * An endpoint in slow start bears the sum of what all balancers of a fleet send, each of which knows its own part
 * alone: by the site's rules up to N + 2 x root of N + 2 requests in the overload window, N being what the settings
 * allow.
 */
class FleetSlowStartTest {
    private static final long STEP = 1_000;
    private static final int SLOTS = 4; // requests that an endpoint executes at once
    private static final int QUEUE = 8; // requests that wait there; more are rejected
    private static final long JOIN_AFTER = 15_000_000; // from the start until endpoints join
    private static final long JOIN_DURATION = 40_000_000;

    /** Executes so many requests a second when it is warm, and fewer in slow start. */
    private static final class StandInEndpoint {
        final Endpoint endpoint;
        final double perSecond;
        final List<Long> arrivals = new ArrayList<>();
        final ArrayDeque<Work> queue = new ArrayDeque<>();

        StandInEndpoint(Endpoint endpoint, double perSecond) {
            this.endpoint = endpoint;
            this.perSecond = perSecond;
        }

        boolean startsSlowly() {
            return endpoint.startedAt() > 0;
        }

        double slowStartWeight(long now, SafetyBounds bounds) {
            return !startsSlowly()
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
        final Harness by;
        final Harness.Sent sent;
        double left = 1; // of what an endpoint does in SLOTS / perSecond

        Work(Harness by, Harness.Sent sent) {
            this.by = by;
            this.sent = sent;
        }
    }

    private final Map<String, StandInEndpoint> standIns = new LinkedHashMap<>();
    private final List<Harness> fleet = new ArrayList<>();
    private final List<Integer> seenSends = new ArrayList<>();
    private SafetyBounds bounds;
    private long now = Harness.START_MICROS;

    private void fleet(int balancers, long seed) {
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

    private Endpoint join(String id, long startedAt, double perSecond) {
        Endpoint endpoint = new Endpoint(id, EndpointState.UP, startedAt, 1, 0, 0, 0);
        standIns.put(id, new StandInEndpoint(endpoint, perSecond));
        return endpoint;
    }

    private void notifyBalancers(EndpointListKind kind, List<Endpoint> endpoints) {
        for (Harness balancer : fleet) {
            balancer.list(kind, endpoints);
        }
    }

    /** Lets a step pass; each balancer gets its own fraction of the requests. */
    private void step(double perSecond, double[] fractions, SplittableRandom random) {
        for (int i = 0; i < fleet.size(); i++) {
            Harness balancer = fleet.get(i);
            balancer.advance(now - balancer.now);
            if (random.nextDouble() < perSecond * fractions[i] * STEP / 1e6) {
                balancer.request("r" + balancer.now, 0);
            }
            for (; seenSends.get(i) < balancer.sends.size(); seenSends.set(i, seenSends.get(i) + 1)) {
                Harness.Sent sent = balancer.sends.get(seenSends.get(i));
                StandInEndpoint standIn = standIns.get(sent.endpoint);
                standIn.arrivals.add(now);
                if (standIn.queue.size() >= SLOTS + QUEUE) {
                    balancer.end(sent, AttemptOutcome.FULL);
                } else {
                    standIn.queue.add(new Work(balancer, sent));
                }
            }
        }
        for (StandInEndpoint standIn : standIns.values()) {
            double done = standIn.perSecond / SLOTS * standIn.slowStartWeight(now, bounds) * STEP / 1e6;
            List<Work> ended = new ArrayList<>();
            standIn.queue.stream().limit(SLOTS).forEach(w -> {
                w.left -= done;
                if (w.left <= 0) {
                    ended.add(w);
                }
            });
            standIn.queue.removeAll(ended);
            ended.forEach(w -> w.by.end(w.sent, AttemptOutcome.OK));
        }
        now += STEP;
    }

    /** By how many requests the worst window exceeds its allowance; at most 0 where the endpoint stays up. */
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
    void theCheckSeesAnOverloadedEndpoint() {
        fleet(1, 1);
        StandInEndpoint standIn = new StandInEndpoint(new Endpoint("a", EndpointState.UP, 1_000_000, 1, 0, 0, 0), 10);
        // 2.5 x 0.2 x 10 in 1.5 s are 7.5; with 2 x 2.74 and 2 more: 14.98.
        assertTrue(
                excess(LongStream.range(0, 14).map(t -> 1_000_000 + t).boxed().toList(), standIn, bounds) < 0);
        assertTrue(
                excess(LongStream.range(0, 15).map(t -> 1_000_000 + t).boxed().toList(), standIn, bounds) > 0);
    }

    /**
     * {@code JOIN}: one in five is new; {@code BACK}: half of them are lost and come back in slow start, in four steps;
     * {@code RESTART}: the same, and all balancers have just started and know nothing. Half as much traffic again
     * comes with it. One balancer gets a fifth of the traffic, others less than the mean.
     */
    @ParameterizedTest
    @CsvSource({
        "JOIN, 20, 5, 1", "JOIN, 30, 5, 2", "JOIN, 20, 20, 3", "JOIN, 30, 20, 4",
        "BACK, 20, 5, 5", "BACK, 30, 5, 6", "BACK, 20, 20, 7", "BACK, 30, 20, 8",
        "RESTART, 20, 5, 9", "RESTART, 30, 5, 10", "RESTART, 20, 20, 11", "RESTART, 30, 20, 12",
    })
    void endpointsInSlowStartBearTheSumOfAFleet(String scenario, int balancers, double perSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        fleet(balancers, seed);
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
            list.add(join("s" + i, 0, perSecond));
        }
        notifyBalancers(EndpointListKind.SNAPSHOT, list);
        double load = 0.7 * endpointCount * perSecond;
        if (!scenario.equals("RESTART")) {
            while (now < Harness.START_MICROS + JOIN_AFTER) {
                step(load, fractions, random);
            }
        }
        long from = now;
        for (int k = 0; now < from + JOIN_DURATION; k++) {
            if (k % 1_000 == 0 && k < 4_000) {
                List<Endpoint> changes = new ArrayList<>();
                for (int i = k / 1_000 * 5; i < k / 1_000 * 5 + (scenario.equals("JOIN") ? 2 : 5); i++) {
                    if (!scenario.equals("JOIN")) {
                        changes.add(standIns.get("s" + i).endpoint.withState(EndpointState.GONE));
                    }
                    changes.add(join("cold" + i, now, perSecond));
                }
                notifyBalancers(EndpointListKind.DELTA, changes);
            }
            step(now < from + JOIN_DURATION / 2 ? 1.5 * load : load, fractions, random);
        }
        int used = 0;
        for (StandInEndpoint standIn : standIns.values()) {
            if (standIn.startsSlowly()) {
                double excess = excess(standIn.arrivals, standIn, bounds);
                assertTrue(excess <= 0, standIn.endpoint.id() + " falls, by " + excess + " requests");
                used += standIn.arrivals.size();
            }
        }
        assertTrue(used > 100, "they are used: " + used);
        assertEquals(
                0,
                fleet.stream()
                        .mapToInt(balancer -> balancer.duplicateFinalAnswers)
                        .sum());
    }
}
