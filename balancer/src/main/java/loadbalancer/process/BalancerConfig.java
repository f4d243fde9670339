package loadbalancer.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import loadbalancer.discovery.DiscoveryFormat;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.discovery.ListReader;
import loadbalancer.settings.SettingsReader;
import loadbalancer.settings.SocketAddresses;

/** What a balancer is told at its start, by its environment and its configuration file. */
public record BalancerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        int upstreams,
        EndpointList known,
        SettingsReader.Boot boot,
        Map<String, String> values) {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern ENTRY = Pattern.compile("^(Classes|Realms)\\.\\d+\\.");
    private static final Pattern OPTIONAL = Pattern.compile("^(Specifics\\.|Prices\\.Fleet$|Stats\\.Fields$)");
    private static final Set<String> MAY_LACK = Set.of("AimStretch");
    private static final String KNOWN = "known";
    private static final EndpointList NOBODY = new EndpointList(0, true, List.of());
    private static final JsonFactory FILE =
            JsonFactory.builder().disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();
    private static final int SOCKETS = 1024; // assumed where neither file nor system tells

    /** What is wrong with the configuration, in one line. */
    public static final class Bad extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public Bad(String message) {
            super(message);
        }
    }

    /** Reads the file that {@code ROUTER_CONFIG} names; the other variables win over what it says. */
    public static BalancerConfig read(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new Bad("ROUTER_CONFIG is not set");
        }
        Path path = Path.of(file);
        // What isn't a file, such as a pipe, can be read once only.
        boolean regular = Files.isRegularFile(path);
        try (FileChannel channel = regular ? FileChannel.open(path) : null) {
            byte[] once = regular ? null : Files.readAllBytes(path);
            Map<String, Object> json = new HashMap<>();
            each(channel, once, (name, parser) -> {
                if (name.equals(KNOWN)) {
                    parser.skipChildren();
                } else {
                    json.put(name, JSON.std.anyFrom(parser));
                }
            });
            return of(environment, json, holding -> known(channel, once, holding));
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            throw new Bad("can't read the configuration " + file + ": "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse("") + " ("
                    + e.getClass().getSimpleName() + ")");
        }
    }

    /** What is done with a value, the parser's current token being its first. */
    private interface Field {
        void read(String name, JsonParser value) throws IOException;
    }

    private static void each(FileChannel channel, byte[] once, Field field) throws IOException {
        if (once == null) {
            channel.position(0);
        }
        try (JsonParser parser =
                once == null ? FILE.createParser(Channels.newInputStream(channel)) : FILE.createParser(once)) {
            JsonToken first = parser.nextToken();
            if (first != null && first != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("not an object");
            }
            while (first != null && parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                field.read(name, parser);
            }
        }
    }

    // Read apart, by the settings, and never as a whole: it may be far longer than what can be held.
    private static EndpointList known(FileChannel channel, byte[] once, Held held) throws IOException {
        EndpointList[] known = {NOBODY};
        each(channel, once, (name, parser) -> {
            if (!name.equals(KNOWN) || parser.currentToken() == JsonToken.VALUE_NULL) {
                parser.skipChildren();
                return;
            }
            try {
                known[0] = ListReader.readOne(
                        parser,
                        held.boot,
                        new EndpointSubset(held.most, held.boot.settings().rank()));
            } catch (IllegalArgumentException e) {
                throw new Bad("known: " + e.getMessage());
            }
        });
        return known[0];
    }

    /** Reads the file anew: where it names another discovery, that is the one to use from here on. */
    public static BalancerConfig again(Map<String, String> environment) {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("ROUTER_DISCOVERY");
        return read(others);
    }

    /** By what settings the list is read, and how many upstreams may be held of it. */
    private record Held(SettingsReader.Boot boot, int most) {}

    /** The list of upstreams as it was known. */
    private interface Known {
        EndpointList by(Held held) throws IOException;
    }

    public static BalancerConfig of(Map<String, String> environment, Map<String, Object> json) {
        try {
            return of(environment, json, held -> {
                try {
                    return json.get(KNOWN) == null ? NOBODY : DiscoveryFormat.read(json.get(KNOWN), held.boot);
                } catch (IllegalArgumentException e) {
                    throw new Bad("known: " + e.getMessage());
                }
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e); // it is in memory
        }
    }

    private static BalancerConfig of(Map<String, String> environment, Map<String, Object> json, Known list)
            throws IOException {
        String name = told(environment, "ROUTER_NAME", json, "name");
        InetSocketAddress listen = address("listen", told(environment, "ROUTER_LISTEN", json, "listen"));
        InetSocketAddress discovery = address("discovery", told(environment, "ROUTER_DISCOVERY", json, "discovery"));
        String operators = toldIfAny(environment, "ROUTER_ADMIN_ADDR", json, "admin_addr");
        InetSocketAddress admin = operators == null ? null : address("admin_addr", operators);
        Object settings = json.get("settings");
        if (!(settings instanceof Map)) {
            throw new Bad("the configuration has no settings");
        }
        Map<String, String> values = new HashMap<>();
        SettingsReader.flatten("", settings, values);
        SettingsReader.Boot boot =
                SettingsReader.read(values, (path, what) -> new Bad("settings: " + path + ": " + what));
        Object limits = json.get("limits");
        int upstreams = upstreams(limits instanceof Map ? ((Map<?, ?>) limits).get("upstreams") : null);
        EndpointList known = list.by(new Held(boot, upstreams));
        Object sockets = limits instanceof Map ? ((Map<?, ?>) limits).get("sockets") : null;
        int told = sockets instanceof Number ? ((Number) sockets).intValue() : Integer.MAX_VALUE;
        int most = Math.min(told, descriptors());
        return new BalancerConfig(
                name,
                listen,
                admin,
                discovery,
                seed(json.get("seed")),
                most == Integer.MAX_VALUE ? SOCKETS : most,
                upstreams,
                known,
                boot,
                Map.copyOf(values));
    }

    /**
     * A key that these settings lack and those before had, or null: a file may have lost part of what it
     * should say, and still be readable. Of classes and tenants each must have what all had.
     */
    public String lacks(BalancerConfig before) {
        for (String key : before.values.keySet()) {
            if (!OPTIONAL.matcher(key).find() && !ENTRY.matcher(key).find() && !values.containsKey(key)) {
                return key;
            }
        }
        for (String list : List.of("Classes", "Realms")) {
            for (String field : fieldsOfAll(list, before.values)) {
                for (int i = 0; i < count(list, values); i++) {
                    if (!values.containsKey(list + "." + i + "." + field)) {
                        return list + "." + i + "." + field;
                    }
                }
            }
        }
        return null;
    }

    private static int count(String list, Map<String, String> values) {
        return Integer.parseInt(values.getOrDefault(list + ".count", "0"));
    }

    private static Set<String> fieldsOfAll(String list, Map<String, String> values) {
        Set<String> fields = new TreeSet<>();
        for (int i = 0; i < count(list, values); i++) {
            String at = list + "." + i + ".";
            Set<String> own = values.keySet().stream()
                    .filter(k -> k.startsWith(at))
                    .map(k -> k.substring(at.length()))
                    .collect(Collectors.toSet());
            own.removeAll(MAY_LACK);
            if (i == 0) {
                fields.addAll(own);
            } else {
                fields.retainAll(own);
            }
        }
        return fields;
    }

    private static String told(
            Map<String, String> environment, String variable, Map<String, Object> json, String field) {
        String value = toldIfAny(environment, variable, json, field);
        if (value == null) {
            throw new Bad(variable + " is not set, and the configuration has no " + field);
        }
        return value;
    }

    private static String toldIfAny(
            Map<String, String> environment, String variable, Map<String, Object> json, String field) {
        String value = environment.get(variable);
        Object other = json.get(field);
        if (value != null && !value.isBlank()) {
            return value.strip();
        }
        if (other != null && !(other instanceof String)) {
            throw new Bad(field + ": not a text: " + other);
        }
        return other == null || ((String) other).isBlank() ? null : ((String) other).strip();
    }

    private static InetSocketAddress address(String what, String text) {
        try {
            return SocketAddresses.address(text);
        } catch (IllegalArgumentException e) {
            throw new Bad(what + ": " + e.getMessage());
        }
    }

    // As many as the heap bears, unless less is wanted.
    private static int upstreams(Object wanted) {
        int most = EndpointSubset.maxEndpointsForHeap(Runtime.getRuntime().maxMemory());
        if (wanted == null) {
            return most;
        }
        if (!(wanted instanceof Number n) || n.longValue() < 1 || n.longValue() != n.doubleValue()) {
            throw new Bad("limits: upstreams: a whole number of 1 or more is wanted: " + wanted);
        }
        return (int) Math.min(most, n.longValue());
    }

    private static long seed(Object value) {
        if (value instanceof Number) {
            return ((Number) value).longValue();
        }
        try {
            return Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new Bad("seed: not hexadecimal: '" + value + "'");
        }
    }

    /** The soft limit on descriptors, read without the management classes: they make a start longer. */
    private static int descriptors() {
        try {
            for (String line : Files.readAllLines(LIMITS)) {
                if (line.toLowerCase(Locale.ROOT).startsWith("max open files")) {
                    return (int) Math.min(
                            Integer.MAX_VALUE, Long.parseLong(line.trim().split("\\s+")[3]));
                }
            }
        } catch (IOException | NumberFormatException e) {
            return Integer.MAX_VALUE; // unlimited, or not this kind of system
        }
        return Integer.MAX_VALUE;
    }
}
