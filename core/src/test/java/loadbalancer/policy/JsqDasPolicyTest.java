package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what programs that embed the policy rely on. */
class JsqDasPolicyTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void theExampleInTheReadmeRuns() throws IOException {
        String readme = Files.readString(Path.of("../README.md"));
        String example = Files.readString(Path.of("src/test/java/loadbalancer/policy/Example.java"));
        int from = readme.indexOf("```java\n") + 8;
        String quoted = readme.substring(from, readme.indexOf("```\n", from));
        assertTrue(example.contains(quoted.strip()), "the README must quote code of Example.java");
        assertEquals(List.of("send r1 to a:80"), Example.run());
    }

    @Test
    void invalidSettingsAreRejectedWithNameAndValue() {
        assertEquals(
                "impossible aim: 0",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new RequestClass(Idempotency.IDEMPOTENT, KeyScope.ALL, 0, 0, 1, 0, 1, 0, false))
                        .getMessage());
        assertEquals(
                "impossible coldFrom: 0.0",
                assertThrows(IllegalArgumentException.class, () -> new SafetyBounds(1, 1, 1, 0, 1, 2, 1, 0))
                        .getMessage());
        assertEquals(
                "impossible maxAttempts: 0",
                assertThrows(IllegalArgumentException.class, () -> new SiteLimits(0, true, true, true, 1, 0))
                        .getMessage());
        assertEquals(
                "impossible classes: none",
                assertThrows(IllegalArgumentException.class, () -> Harness.settings())
                        .getMessage());
    }

    @ParameterizedTest
    @CsvSource({"0, 0, impossible balancers: 0", "2, 2, impossible rank: 2", "2, -1, impossible rank: -1"})
    void invalidBalancersAndRanksAreRejectedWithNameAndValue(int balancers, int rank, String message) {
        PolicySettings base = Harness.settings(IDEMPOTENT);
        assertEquals(
                message,
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new PolicySettings(
                                        balancers,
                                        rank,
                                        0,
                                        base.classes(),
                                        List.of(),
                                        1,
                                        base.objective(),
                                        base.costs(),
                                        false,
                                        base.discovery(),
                                        base.loadReporting(),
                                        false,
                                        base.limits(),
                                        base.bounds(),
                                        1_000))
                        .getMessage());
    }

    /** With settings unlike those of any deployment, most requests are served and all of them are answered. */
    @ParameterizedTest
    @CsvSource({
        // endpoints, balancers, latency objective, deadline, maximum attempts, hedging, requests per second, latency
        "1, 1, 600000, 1200000, 3, true, 20, 20000",
        "60, 12, 600000, 1200000, 3, true, 200, 40000",
        "5, 2, 4000, 10000, 3, true, 500, 1000",
        "8, 3, 20000000, 60000000, 3, false, 8, 2000000",
        "6, 1, 600000, 1200000, 1, false, 50, 30000",
    })
    void requestsAreServedWithUnusualSettings(
            int endpointCount,
            int balancers,
            long latencyObjectiveMicros,
            long deadlineMicros,
            int maxAttempts,
            boolean hedging,
            int requestsPerSecond,
            long latencyMicros) {
        for (Idempotency idempotency : Idempotency.values()) {
            RequestClass requestClass = new RequestClass(
                    idempotency, KeyScope.CELL, deadlineMicros, latencyObjectiveMicros, deadlineMicros, 0, 1, 0, false);
            PolicySettings base = Harness.settings(balancers, hedging, DiscoveryMode.PUSH, List.of(), requestClass);
            Harness harness = new Harness(
                    new PolicySettings(
                            balancers,
                            0,
                            0,
                            base.classes(),
                            List.of(),
                            1,
                            base.objective(),
                            base.costs(),
                            false,
                            base.discovery(),
                            LoadReporting.NONE,
                            false,
                            new SiteLimits(maxAttempts, hedging, false, false, 1000, 0),
                            base.bounds(),
                            1_000),
                    9);
            harness.list(EndpointListKind.CACHED, Harness.fleet(endpointCount));
            for (int i = 0; i < 400; i++) {
                harness.request("r" + i, 0, 0, deadlineMicros);
                harness.advance(1_000_000 / requestsPerSecond);
                harness.sends.stream()
                        .filter(s -> !s.ended && harness.now - s.sentAt >= latencyMicros)
                        .toList()
                        .forEach(s -> harness.end(s, AttemptOutcome.OK));
            }
            harness.advance(deadlineMicros);
            harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, AttemptOutcome.TIMEOUT));
            harness.advance(deadlineMicros);
            assertEquals(400, harness.finalAnswers.size());
            assertEquals(0, harness.duplicateFinalAnswers);
            long ok =
                    harness.finalAnswers.values().stream().filter("ok"::equals).count();
            assertTrue(ok >= 360, "served " + ok + " of 400 requests that are " + idempotency);
        }
    }

    @Test
    void memoryDoesNotGrowWithTime() throws ReflectiveOperationException {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT), 1).list(EndpointListKind.CACHED, Harness.fleet(4));
        for (int i = 0; i < 30_000; i++) {
            Harness.Sent sent = harness.request("r" + i, 0);
            harness.advance(5_000);
            harness.sends.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> harness.end(s, s.attempt % 7 == 6 ? AttemptOutcome.ERROR : AttemptOutcome.OK));
            if (i % 50 == 0) { // endpoints are replaced by others with new ids
                harness.list(
                        EndpointListKind.SNAPSHOT, List.of(Harness.up("a" + i), Harness.up("b" + i), Harness.up("c")));
                harness.sends.clear();
                harness.attempts.clear();
                harness.finalAnswers.clear();
                harness.log.clear();
            }
            assertTrue(sent == null || sent.ended);
        }
        harness.list(EndpointListKind.SNAPSHOT, List.of(new Endpoint("c", EndpointState.UP, 0, 1, 0, 0, 0)));
        assertEquals(0, components(harness.policy).openRequests.all().size());
        assertTrue(components(harness.policy).endpoints.all().size() <= 1);
    }

    @Test
    void theReadmeQuotesLogLinesThatThePolicyWrites() throws IOException {
        String sources = sourcesOfThePolicy();
        String readme = Files.readString(Path.of("../README.md"));
        for (String line : List.of(
                "overload: rejecting requests, shed level ",
                "ejected ",
                " ms after failures",
                "recovered ",
                "discovery failed ",
                " times, polling again")) {
            assertTrue(sources.contains(line), "the policy must write: " + line);
            assertTrue(readme.contains(line.strip()), "the README must quote: " + line);
        }
    }

    private static String sourcesOfThePolicy() throws IOException {
        StringBuilder sources = new StringBuilder();
        try (Stream<Path> files = Files.list(Path.of("src/main/java/loadbalancer/policy"))) {
            for (Path file : files.toList()) {
                sources.append(Files.readString(file));
            }
        }
        return sources.toString();
    }

    private static PolicyComponents components(Object policy) throws ReflectiveOperationException {
        Field components = policy.getClass().getDeclaredField("components");
        components.setAccessible(true);
        return (PolicyComponents) components.get(policy);
    }
}
