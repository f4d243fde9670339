package loadbalancer.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Encodes {@link LearnedState} as named arrays of numbers, the form in which a process hands it over to its successor.
 * Processes of different releases exchange this form, so names and positions must not change. An unknown name, or an
 * array whose length differs from the one that this release writes, is ignored.
 *
 * <p>The learned state of several pools is not encoded here, as each pool has a document of its own.
 */
public final class LearnedStateCodec {
    private static final String EXPECTED_LATENCIES = "usual";
    private static final String MEAN_WORK = "work";
    private static final String FIRST_ATTEMPT_TIMES = "first";
    private static final String ADMISSION = "admission";
    private static final String TENANT_DEMAND = "brought";
    private static final String QUOTA_TOKENS = "share";
    private static final String TRAFFIC = "own";
    private static final String ENDPOINT_PREFIX = "server ";

    private static final int ADMISSION_SCALARS = 5;
    private static final int TRAFFIC_FIGURES = 4;
    private static final int ENDPOINT_FIGURES = 11;

    private LearnedStateCodec() {}

    /** Returns the named arrays in a new map, which the caller may change. */
    public static Map<String, double[]> encode(LearnedState state) {
        Map<String, double[]> encoded = new HashMap<>();
        encoded.put(EXPECTED_LATENCIES, state.latencies().expectedMicros());
        encoded.put(MEAN_WORK, state.latencies().meanWork());
        encoded.put(FIRST_ATTEMPT_TIMES, state.firstAttemptMicros());
        encoded.put(ADMISSION, encode(state.admission()));
        encoded.put(TENANT_DEMAND, state.tenants().demand());
        encoded.put(QUOTA_TOKENS, state.tenants().quotaTokens());
        encoded.put(TRAFFIC, encode(state.traffic()));
        state.endpoints().forEach((id, history) -> encoded.put(ENDPOINT_PREFIX + id, encode(history)));
        encoded.values().removeIf(Objects::isNull);
        return encoded;
    }

    /** Reads the named arrays; unknown names and arrays of another length are ignored. */
    public static LearnedState decode(Map<String, double[]> encoded) {
        Map<String, LearnedState.EndpointHistory> endpoints = new LinkedHashMap<>();
        encoded.forEach((name, figures) -> {
            if (name.startsWith(ENDPOINT_PREFIX) && figures != null && figures.length == ENDPOINT_FIGURES) {
                endpoints.put(name.substring(ENDPOINT_PREFIX.length()), decodeEndpoint(figures));
            }
        });
        return new LearnedState(
                new LearnedState.Latencies(encoded.get(EXPECTED_LATENCIES), encoded.get(MEAN_WORK)),
                encoded.get(FIRST_ATTEMPT_TIMES),
                decodeAdmission(encoded.get(ADMISSION)),
                new LearnedState.Tenants(encoded.get(TENANT_DEMAND), encoded.get(QUOTA_TOKENS)),
                decodeTraffic(encoded.get(TRAFFIC)),
                endpoints,
                Map.of());
    }

    static double[] encode(LearnedState.Admission admission) {
        if (admission == null) {
            return null;
        }
        int tiers = admission.arrivals().length;
        double[] figures = Arrays.copyOf(admission.arrivals(), tiers + ADMISSION_SCALARS);
        figures[tiers] = admission.completed();
        figures[tiers + 1] = admission.scored();
        figures[tiers + 2] = admission.scoreSum();
        figures[tiers + 3] = admission.lowTierLevel();
        figures[tiers + 4] = admission.level();
        return figures;
    }

    private static LearnedState.Admission decodeAdmission(double[] figures) {
        if (figures == null || figures.length <= ADMISSION_SCALARS) {
            return null;
        }
        int tiers = figures.length - ADMISSION_SCALARS;
        return new LearnedState.Admission(
                Arrays.copyOf(figures, tiers),
                figures[tiers],
                figures[tiers + 1],
                figures[tiers + 2],
                figures[tiers + 3],
                figures[tiers + 4]);
    }

    private static double[] encode(LearnedState.Traffic traffic) {
        if (traffic == null) {
            return null;
        }
        return new double[] {
            traffic.arrivals(), traffic.rejectedAttempts(), traffic.retryTokens(), traffic.meanAttemptsInFlight()
        };
    }

    private static LearnedState.Traffic decodeTraffic(double[] figures) {
        return figures == null || figures.length != TRAFFIC_FIGURES
                ? null
                : new LearnedState.Traffic(figures[0], figures[1], figures[2], figures[3]);
    }

    private static double[] encode(LearnedState.EndpointHistory history) {
        return new double[] {
            history.startedAt(),
            history.accomplishment(),
            history.successCount(),
            history.failureCount(),
            history.slowness(),
            history.ejectionMicros(),
            history.ejectionCount(),
            history.probationSuccessesLeft(),
            history.slowStartTokens(),
            history.microsSinceSuccess(),
            history.awaitsFirstRequest() ? 1 : 0
        };
    }

    private static LearnedState.EndpointHistory decodeEndpoint(double[] figures) {
        return new LearnedState.EndpointHistory(
                (long) figures[0],
                figures[1],
                figures[2],
                figures[3],
                figures[4],
                (long) figures[5],
                (int) figures[6],
                (int) figures[7],
                figures[8],
                (long) figures[9],
                figures[10] > 0);
    }
}
