package loadbalancer.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.KeyScope;
import loadbalancer.policy.LoadReporting;

/**
 * The words that the platform's settings and the experiment files use for the values of enumerations. This is the only
 * table of them. Immutable; any thread.
 */
public final class ProtocolNames {
    /** What a class of requests allows after an attempt that may have run. */
    public static final Map<String, Idempotency> IDEMPOTENCY = table(
            "safe", Idempotency.IDEMPOTENT,
            "keyed", Idempotency.IDEMPOTENT_WITH_KEY,
            "unsafe", Idempotency.NON_IDEMPOTENT);

    /** Where an idempotency key is known. */
    public static final Map<String, KeyScope> KEY_SCOPE =
            table("all", KeyScope.ALL, "zone", KeyScope.ZONE, "cell", KeyScope.CELL);

    /** How the list of endpoints is learned. */
    public static final Map<String, DiscoveryMode> DISCOVERY_MODE =
            table("push", DiscoveryMode.PUSH, "ask", DiscoveryMode.POLL);

    /** When upstreams report their load. */
    public static final Map<String, LoadReporting> LOAD_REPORTING =
            table("answers", LoadReporting.WITH_RESPONSES, "probe", LoadReporting.PROBE, "none", LoadReporting.NONE);

    private ProtocolNames() {}

    /** The protocol's word for that value. */
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
