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
 * @param name the name of the process
 * @param listen the address that accepts client connections
 * @param admin the address that accepts operators' calls; null where there is none
 * @param discovery the address of the discovery service
 * @param seed the seed of the random number generators
 * @param maxDescriptors how many file descriptors the process may have open
 * @param maxEndpoints how many endpoints of a list a pool may keep
 * @param knownList the endpoints that were known when the configuration was written
 * @param boot the settings, parsed
 * @param settings the same settings as text values by path, for comparing two configurations
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
    /** Lists in the settings whose number of entries may change on a reload. */
    private static final List<String> ENTRY_LISTS = List.of("Classes", "Realms");

    private static final String ENTRY_COUNT = ".count";
    private static final Pattern ENTRY_KEY = Pattern.compile("^(Classes|Realms)\\.\\d+\\.");
    private static final Pattern OPTIONAL_KEY = Pattern.compile("^(Specifics\\.|Prices\\.Fleet$|Stats\\.Fields$)");
    private static final Set<String> OPTIONAL_ENTRY_FIELDS = Set.of("AimStretch");

    /**
     * Returns a required settings key that the previous configuration has and this one lacks; null where there is none.
     * This detects a file that has lost a part and can still be parsed. Each entry of a list must have the fields that
     * all entries of the list had before.
     */
    String missingKey(BalancerConfig previous) {
        for (String key : previous.settings.keySet()) {
            boolean required =
                    !OPTIONAL_KEY.matcher(key).find() && !ENTRY_KEY.matcher(key).find();
            if (required && !settings.containsKey(key)) {
                return key;
            }
        }
        for (String list : ENTRY_LISTS) {
            for (String field : commonFields(list, previous.settings)) {
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
