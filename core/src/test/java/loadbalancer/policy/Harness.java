package loadbalancer.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reports events to one policy and records the actions that it requests. */
final class Harness implements LoadBalancingPolicy.Actions {
    static final long START_MICROS = 1_000_000_000L;
    static final long LATENCY_OBJECTIVE_MICROS = 600_000;
    static final long DEADLINE_MICROS = 3_000_000;
    static final long KEY_SEQUENCE_PAUSE_MICROS = 100_000;

    /** An attempt that the policy has sent; {@code ended} is set when its outcome is reported. */
    static final class Sent {
        final String request;
        final int attempt;
        final String endpoint;
        final long sentAt;
        final long timeout;
        boolean ended;

        Sent(String request, int attempt, String endpoint, long sentAt, long timeout) {
            this.request = request;
            this.attempt = attempt;
            this.endpoint = endpoint;
            this.sentAt = sentAt;
            this.timeout = timeout;
        }

        /** For how long the attempt is permitted, if that is limited. */
        long permittedMicros = Long.MAX_VALUE;
    }

    final LoadBalancingPolicy policy;
    final List<Sent> sends = new ArrayList<>();
    final Map<String, Integer> attempts = new LinkedHashMap<>();
    final Map<String, String> finalAnswers = new LinkedHashMap<>();
    final List<String> cancellations = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    long now = START_MICROS;
    long wakeAt = Long.MAX_VALUE;
    int watchCalls;
    int duplicateFinalAnswers;
    double reportedInFlight = Double.NaN; // part of the load report of each outcome

    Harness(PolicySettings settings, long seed) {
        policy = new JsqDasPolicy(settings, seed);
    }

    static RequestClass requestClass(Idempotency idempotency, KeyScope scope) {
        return new RequestClass(
                idempotency, scope, 2_000_000, LATENCY_OBJECTIVE_MICROS, DEADLINE_MICROS, 0, 1, 0.3, false);
    }

    /** A request class with ordered delivery and placement. */
    static RequestClass requestClass(
            Idempotency idempotency, boolean orderedDelivery, Set<Integer> zones, Set<Integer> machineKinds) {
        return new RequestClass(
                idempotency,
                KeyScope.ALL,
                2_000_000,
                LATENCY_OBJECTIVE_MICROS,
                DEADLINE_MICROS,
                0,
                1,
                0.3,
                false,
                orderedDelivery,
                zones,
                machineKinds);
    }

    static PolicySettings settings(RequestClass... classes) {
        return settings(1, true, DiscoveryMode.PUSH, List.of(), classes);
    }

    static PolicySettings settings(
            int balancers,
            boolean hedging,
            DiscoveryMode discovery,
            List<TenantQuota> tenants,
            RequestClass... classes) {
        return new PolicySettings(
                balancers,
                0,
                0,
                List.of(classes),
                tenants,
                0.1,
                new ServiceObjective(1, 0, 0, 0),
                new TrafficCosts(0, 0),
                true,
                discovery,
                LoadReporting.NONE,
                false,
                new SiteLimits(5, hedging, true, true, 250_000, 0),
                new SafetyBounds(
                        20_000, 1_000_000, 10_000_000, 0.2, 20_000_000, 2.5, 1_500_000, KEY_SEQUENCE_PAUSE_MICROS),
                5_000);
    }

    /** The same settings for another number of balancers, without tenants. */
    static PolicySettings settings(
            PolicySettings base, int balancers, int rank, boolean weightByWork, boolean keyAffinity) {
        return new PolicySettings(
                balancers,
                rank,
                base.zone(),
                base.classes(),
                List.of(),
                base.overQuotaWeight(),
                base.objective(),
                base.costs(),
                weightByWork,
                base.discovery(),
                base.loadReporting(),
                keyAffinity,
                base.limits(),
                base.bounds(),
                base.tickMicros());
    }

    /** A harness with that number of endpoints. */
    static Harness withFleet(int endpoints, RequestClass... classes) {
        return new Harness(settings(classes), 11).list(EndpointListKind.CACHED, fleet(endpoints));
    }

    /** A harness without endpoints: requests are queued. */
    static Harness withoutEndpoints(RequestClass... classes) {
        return new Harness(settings(classes), 11).list(EndpointListKind.CACHED, List.of());
    }

    static Endpoint up(String id) {
        return new Endpoint(id, EndpointState.UP, 0, 1, 0, 0, 0);
    }

    static List<Endpoint> fleet(int size) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(new Endpoint("s" + i, EndpointState.UP, 0, 1, i % 2, i % 2, i % 2));
        }
        return list;
    }

    Harness list(EndpointListKind kind, List<Endpoint> endpoints) {
        policy.endpoints(now, kind, endpoints, this);
        return this;
    }

    /** Reports a request to the policy and returns the attempt that is sent at once, or null. */
    Sent request(String id, int requestClass) {
        return request(id, requestClass, 0, DEADLINE_MICROS);
    }

    Sent request(String id, int requestClass, int tenant, long timeLeft) {
        return request(id, requestClass, tenant, timeLeft, false);
    }

    /** A request that the client marks as a retry. */
    Sent clientRetry(String id, int requestClass, long timeLeft) {
        return request(id, requestClass, 0, timeLeft, true);
    }

    /** A request that concerns a key. */
    Sent requestWithKey(String id, int requestClass, String key) {
        return request(id, requestClass, 0, key, DEADLINE_MICROS, false);
    }

    private Sent request(String id, int requestClass, int tenant, long timeLeft, boolean clientRetry) {
        return request(id, requestClass, tenant, null, timeLeft, clientRetry);
    }

    Sent request(String id, int requestClass, int tenant, String key, long timeLeft, boolean clientRetry) {
        int before = sends.size();
        policy.request(now, id, requestClass, tenant, key, timeLeft, -1, clientRetry, this);
        return sends.size() > before ? sends.get(sends.size() - 1) : null;
    }

    void end(Sent sent, AttemptOutcome outcome) {
        sent.ended = true;
        boolean closed = outcome == AttemptOutcome.OK || finalAnswers.containsKey(sent.request);
        if (outcome == AttemptOutcome.OK) {
            finalAnswers.putIfAbsent(sent.request, "ok");
        }
        policy.outcome(
                now,
                sent.request,
                sent.attempt,
                outcome,
                now - sent.sentAt,
                closed,
                new LoadReport(reportedInFlight, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN),
                this);
    }

    /** Advances the time, waking the policy whenever it has asked for it. */
    void advance(long durationMicros) {
        long until = now + durationMicros;
        while (wakeAt <= until) {
            now = wakeAt;
            wakeAt = Long.MAX_VALUE;
            policy.wake(now, this);
        }
        now = until;
    }

    /** Serves requests one after another so that the policy learns the expected latency. */
    void warmUp(int requests, int requestClass, long latencyMicros) {
        for (int i = 0; i < requests; i++) {
            Sent sent = request("warm-" + now + "-" + i, requestClass);
            advance(latencyMicros);
            end(sent, AttemptOutcome.OK);
        }
    }

    /**
     * Serves four requests of the first class at a time. Attempts end with the outcome given for their endpoint, others
     * with {@link AttemptOutcome#OK}.
     */
    void serve(int rounds, long latencyMicros, Map<String, AttemptOutcome> outcomes) {
        for (int i = 0; i < rounds; i++) {
            for (int j = 0; j < 4; j++) {
                request("q" + now + "/" + i + "/" + j, 0);
            }
            advance(latencyMicros);
            sends.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> end(s, outcomes.getOrDefault(s.endpoint, AttemptOutcome.OK)));
        }
    }

    /** Serves requests one by one, each answered after the latency; returns how many of them were sent. */
    int serveOneByOne(int requests, int requestClass, int tenant, long latencyMicros) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            Sent first = request("o" + now + "/" + i, requestClass, tenant, DEADLINE_MICROS);
            advance(latencyMicros);
            if (first != null) {
                sent++;
                end(first, AttemptOutcome.OK);
                sentFor(first.request).stream()
                        .filter(hedged -> !hedged.ended)
                        .forEach(hedged -> end(hedged, AttemptOutcome.CANCELLED));
            }
        }
        return sent;
    }

    long sentTo(String endpoint, long since) {
        return sends.stream()
                .filter(s -> s.endpoint.equals(endpoint) && s.sentAt >= since)
                .count();
    }

    List<Sent> sentFor(String request) {
        return sends.stream().filter(s -> s.request.equals(request)).toList();
    }

    @Override
    public void send(String request, String endpoint, long timeoutMicros) {
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        sends.add(new Sent(request, attempt, endpoint, now, timeoutMicros));
        log.add(now + " send " + request + " " + endpoint + " " + timeoutMicros);
    }

    @Override
    public void send(String request, String endpoint, long timeoutMicros, long permittedMicros) {
        send(request, endpoint, timeoutMicros);
        sends.get(sends.size() - 1).permittedMicros = permittedMicros;
    }

    private void recordFinalAnswer(String request, String answer) {
        if (finalAnswers.putIfAbsent(request, answer) != null) {
            duplicateFinalAnswers++;
        }
        log.add(now + " " + answer + " " + request);
    }

    @Override
    public void reject(String request, long retryAfterMicros) {
        log.add(now + " reject " + request + " " + retryAfterMicros);
        recordFinalAnswer(request, "refused");
    }

    @Override
    public void fail(String request) {
        recordFinalAnswer(request, "failed");
    }

    @Override
    public void cancel(String request, int attempt) {
        cancellations.add(request + "/" + attempt);
        log.add(now + " cancel " + request + " " + attempt);
    }

    @Override
    public void probe(String endpoint) {
        log.add(now + " probe " + endpoint);
    }

    @Override
    public void watch(boolean on) {
        watchCalls++;
    }

    @Override
    public void fetchList() {
        log.add(now + " fetch");
    }

    @Override
    public void closeIdle(String endpoint) {
        log.add(now + " close " + endpoint);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        log.add(now + " peer " + peer);
    }

    @Override
    public void wakeAfter(long delayMicros) {
        wakeAt = Math.min(wakeAt, now + delayMicros);
    }

    @Override
    public void log(String line) {
        log.add(now + " log " + line);
    }
}
