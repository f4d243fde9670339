package loadbalancer.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import loadbalancer.discovery.EndpointList;
import loadbalancer.settings.BootSettings;

/**
 * The configuration of a balancer, as {@link BalancerConfigReader} reads it. Immutable.
 *
 * @param name of the process
 * @param listen the address for clients
 * @param admin the address for operators; null where they cannot call
 * @param discovery the address of discovery
 * @param seed of the random sources
 * @param maxDescriptors sockets that the process may have open
 * @param maxEndpoints endpoints of a list that a pool may keep
 * @param knownList the endpoints as they were known when the configuration was written
 * @param boot the settings, typed
 * @param settings the same as paths and values, to compare two configurations by
 */
record BalancerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
        int maxEndpoints,
        EndpointList knownList,
        BootSettings boot,
        Map<String, String> settings) {
    /** Lists in the settings whose entries may become more or fewer. */
    private static final List<String> ENTRY_LISTS = List.of("Classes", "Realms");

    private static final String ENTRY_COUNT = ".count";
    private static final Pattern ENTRY_KEY = Pattern.compile("^(Classes|Realms)\\.\\d+\\.");
    private static final Pattern OPTIONAL_KEY = Pattern.compile("^(Specifics\\.|Prices\\.Fleet$|Stats\\.Fields$)");
    private static final Set<String> OPTIONAL_ENTRY_FIELDS = Set.of("AimStretch");

    /**
     * Returns a key of the settings that these lack and those before had, or null: a file may have lost a part and
     * still be readable. An entry of a list must have the fields that all entries had before.
     */
    String missingKey(BalancerConfig before) {
        for (String key : before.settings.keySet()) {
            boolean required =
                    !OPTIONAL_KEY.matcher(key).find() && !ENTRY_KEY.matcher(key).find();
            if (required && !settings.containsKey(key)) {
                return key;
            }
        }
        for (String list : ENTRY_LISTS) {
            for (String field : commonFields(list, before.settings)) {
                for (int i = 0; i < entryCount(list, settings); i++) {
                    String key = entryPrefix(list, i) + field;
                    if (!settings.containsKey(key)) {
                        return key;
                    }
                }
            }
        }
        return null;
    }

    private static int entryCount(String list, Map<String, String> settings) {
        return Integer.parseInt(settings.getOrDefault(list + ENTRY_COUNT, "0"));
    }

    private static String entryPrefix(String list, int index) {
        return list + "." + index + ".";
    }

    /** Returns the required fields that all entries of a list have. */
    private static Set<String> commonFields(String list, Map<String, String> settings) {
        Set<String> common = new TreeSet<>();
        for (int i = 0; i < entryCount(list, settings); i++) {
            Set<String> fields = fields(entryPrefix(list, i), settings);
            if (i == 0) {
                common.addAll(fields);
            } else {
                common.retainAll(fields);
            }
        }
        return common;
    }

    private static Set<String> fields(String prefix, Map<String, String> settings) {
        return settings.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .map(key -> key.substring(prefix.length()))
                .filter(field -> !OPTIONAL_ENTRY_FIELDS.contains(field))
                .collect(Collectors.toSet());
    }
}
