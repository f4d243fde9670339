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
    private static final int TRAFFIC_VALUES = 4;
    private static final int ENDPOINT_VALUES = 11;

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
        encoded.forEach((name, values) -> {
            if (name.startsWith(ENDPOINT_PREFIX) && values != null && values.length == ENDPOINT_VALUES) {
                endpoints.put(name.substring(ENDPOINT_PREFIX.length()), decodeEndpoint(values));
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
        double[] values = Arrays.copyOf(admission.arrivals(), tiers + ADMISSION_SCALARS);
        values[tiers] = admission.completed();
        values[tiers + 1] = admission.scored();
        values[tiers + 2] = admission.scoreSum();
        values[tiers + 3] = admission.lowTierLevel();
        values[tiers + 4] = admission.level();
        return values;
    }

    private static LearnedState.Admission decodeAdmission(double[] values) {
        if (values == null || values.length <= ADMISSION_SCALARS) {
            return null;
        }
        int tiers = values.length - ADMISSION_SCALARS;
        return new LearnedState.Admission(
                Arrays.copyOf(values, tiers),
                values[tiers],
                values[tiers + 1],
                values[tiers + 2],
                values[tiers + 3],
                values[tiers + 4]);
    }

    private static double[] encode(LearnedState.Traffic traffic) {
        if (traffic == null) {
            return null;
        }
        return new double[] {
            traffic.arrivals(), traffic.rejectedAttempts(), traffic.retryTokens(), traffic.meanAttemptsInFlight()
        };
    }

    private static LearnedState.Traffic decodeTraffic(double[] values) {
        return values == null || values.length != TRAFFIC_VALUES
                ? null
                : new LearnedState.Traffic(values[0], values[1], values[2], values[3]);
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

    private static LearnedState.EndpointHistory decodeEndpoint(double[] values) {
        return new LearnedState.EndpointHistory(
                (long) values[0],
                values[1],
                values[2],
                values[3],
                values[4],
                (long) values[5],
                (int) values[6],
                (int) values[7],
                values[8],
                (long) values[9],
                values[10] > 0);
    }
}
