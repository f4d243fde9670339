package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** The example in the README: a program that embeds the policy. */
final class Example {
    private Example() {}

    static List<String> run() {
        List<String> sends = new ArrayList<>();
        RequestClass reads =
                new RequestClass(Idempotency.IDEMPOTENT, KeyScope.ALL, 0, 300_000, 1_000_000, 0, 1, 0, false);
        PolicySettings settings = new PolicySettings(
                2,
                0,
                0,
                List.of(reads),
                List.of(),
                1,
                new ServiceObjective(1, 0, 0, 0),
                new TrafficCosts(0, 0),
                false,
                DiscoveryMode.PUSH,
                LoadReporting.NONE,
                false,
                new SiteLimits(3, true, true, false, 250_000, 0),
                new SafetyBounds(20_000, 1_000_000, 0, 0.2, 20_000_000, 2.5, 1_500_000, 100_000),
                1_000);
        LoadBalancingPolicy policy = new JsqDasPolicy(settings, 42);
        LoadBalancingPolicy.Actions actions = new SendRecorder(sends);

        long now = 0;
        policy.endpoints(
                now, EndpointListKind.CACHED, List.of(new Endpoint("a:80", EndpointState.UP, 0, 1, 0, 0, 0)), actions);
        // Requests the action send("r1", "a:80", ...).
        policy.request(now, "r1", 0, 0, null, 1_000_000, -1, false, actions);
        now = 40_000;
        policy.outcome(now, "r1", 0, AttemptOutcome.OK, 40_000, true, null, actions);
        return sends;
    }

    /** Receives the actions that the policy requests; this example only records sends. */
    private record SendRecorder(List<String> sends) implements LoadBalancingPolicy.Actions {
        @Override
        public void send(String request, String endpoint, long timeoutMicros) {
            sends.add("send " + request + " to " + endpoint);
        }

        @Override
        public void reject(String request, long retryAfterMicros) {}

        @Override
        public void fail(String request) {}

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void probe(String endpoint) {}

        @Override
        public void watch(boolean on) {}

        @Override
        public void fetchList() {}

        @Override
        public void closeIdle(String endpoint) {}

        @Override
        public void sendToPeer(int peer, byte[] data) {}

        @Override
        public void wakeAfter(long delayMicros) {}

        @Override
        public void log(String line) {}
    }
}
