package loadbalancer.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.KeyScope;
import loadbalancer.policy.LoadReporting;

/**
 * Maps the words of the platform's settings and of experiment files to enum values. No other class holds these words.
 * Immutable; safe for use by any thread.
 */
public final class ProtocolNames {
    /** Whether a class of requests may be retried after an attempt that may have run. */
    public static final Map<String, Idempotency> IDEMPOTENCY = table(
            "safe", Idempotency.IDEMPOTENT,
            "keyed", Idempotency.IDEMPOTENT_WITH_KEY,
            "unsafe", Idempotency.NON_IDEMPOTENT);

    /** Which endpoints recognize an idempotency key that one of them has received. */
    public static final Map<String, KeyScope> KEY_SCOPE =
            table("all", KeyScope.ALL, "zone", KeyScope.ZONE, "cell", KeyScope.CELL);

    /** How the balancer receives the endpoint list. */
    public static final Map<String, DiscoveryMode> DISCOVERY_MODE =
            table("push", DiscoveryMode.PUSH, "ask", DiscoveryMode.POLL);

    /** When upstreams report their load. */
    public static final Map<String, LoadReporting> LOAD_REPORTING =
            table("answers", LoadReporting.WITH_RESPONSES, "probe", LoadReporting.PROBE, "none", LoadReporting.NONE);

    private ProtocolNames() {}

    /** Returns the word for {@code value}. */
    public static String of(Idempotency value) {
        return IDEMPOTENCY.entrySet().stream()
                .filter(entry -> entry.getValue() == value)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    private static <E> Map<String, E> table(String first, E firstValue, String second, E secondValue) {
        Map<String, E> words = new LinkedHashMap<>();
        words.put(first, firstValue);
        words.put(second, secondValue);
        return Collections.unmodifiableMap(words);
    }

    private static <E> Map<String, E> table(
            String first, E firstValue, String second, E secondValue, String third, E thirdValue) {
        Map<String, E> words = new LinkedHashMap<>(table(first, firstValue, second, secondValue));
        words.put(third, thirdValue);
        return Collections.unmodifiableMap(words);
    }
}
