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
import java.util.Map;
import loadbalancer.discovery.DiscoveryFormat;
import loadbalancer.discovery.DiscoveryFormatException;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.discovery.ListReader;
import loadbalancer.settings.BootSettings;
import loadbalancer.settings.SettingsReader;
import loadbalancer.settings.SocketAddresses;

/**
 * Reads a {@link BalancerConfig} from the environment and the configuration file. Only this class knows the names of
 * the environment variables and of the file's fields. A variable takes precedence over the field for the same value.
 * Stateless.
 */
final class BalancerConfigReader {
    /** The environment variable with the path of the configuration file. */
    static final String CONFIG_FILE_VARIABLE = "ROUTER_CONFIG";

    private static final String OPERATOR_FILE_VARIABLE = "ROUTER_OPERATOR_FILE";
    private static final String HANDOVER_DIRECTORY_VARIABLE = "TMPDIR";
    private static final String NAME_VARIABLE = "ROUTER_NAME";
    private static final String LISTEN_VARIABLE = "ROUTER_LISTEN";
    private static final String DISCOVERY_VARIABLE = "ROUTER_DISCOVERY";
    private static final String ADMIN_VARIABLE = "ROUTER_ADMIN_ADDR";

    private static final String NAME = "name";
    private static final String LISTEN = "listen";
    private static final String DISCOVERY = "discovery";
    private static final String ADMIN = "admin_addr";
    private static final String SEED = "seed";
    private static final String SETTINGS = "settings";
    private static final String KNOWN_LIST = "known";
    private static final String LIMITS = "limits";
    private static final String MAX_DESCRIPTORS = "sockets";
    private static final String MAX_ENDPOINTS = "upstreams";

    /** Used where neither the file nor the operating system sets a limit. */
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;

    /** Stands for the addresses that a check of a file does not need. */
    private static final String CHECK_ADDRESS = "127.0.0.1:0";

    private static final int SEED_RADIX = 16;
    private static final EndpointList EMPTY_LIST = new EndpointList(0, true, List.of());
    private static final JsonFactory JSON_FILE =
            JsonFactory.builder().disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();

    private BalancerConfigReader() {}

    /** Returns the path of the operator file from the environment; null where the variable is not set. */
    static Path operatorFile(Map<String, String> environment) {
        String file = environment.get(OPERATOR_FILE_VARIABLE);
        return file == null || file.isBlank() ? null : Path.of(file.strip());
    }

    /** Returns the directory of the handover sockets from the environment; null where the variable is not set. */
    static Path handoverDirectory(Map<String, String> environment) {
        String directory = environment.get(HANDOVER_DIRECTORY_VARIABLE);
        return directory == null || directory.isBlank() ? null : Path.of(directory);
    }

    /**
     * Reads the configuration file that the environment names, at the start of a process.
     *
     * @throws ProcessConfigException if the configuration cannot be read or is invalid
     */
    static BalancerConfig read(Map<String, String> environment) {
        String file = environment.get(CONFIG_FILE_VARIABLE);
        if (file == null || file.isBlank()) {
            throw new ProcessConfigException(CONFIG_FILE_VARIABLE + " is not set");
        }
        Path path = Path.of(file);
        boolean regular = Files.isRegularFile(path);
        try (FileChannel channel = regular ? FileChannel.open(path) : null) {
            Source source = new Source(channel, regular ? null : Files.readAllBytes(path));
            return read(environment, fieldsWithoutKnownList(source), limits -> readKnownList(source, limits));
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            String type = e.getClass().getSimpleName();
            throw new ProcessConfigException(
                    "can't read the configuration " + file + ": " + firstLine + " (" + type + ")", e);
        }
    }

    /**
     * Reads the configuration file again for a running process. The file may name another address of discovery, so the
     * environment variable for that address no longer takes precedence.
     *
     * @throws ProcessConfigException if the configuration cannot be read or is invalid
     */
    static BalancerConfig reread(Map<String, String> environment) {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(DISCOVERY_VARIABLE);
        return read(withoutDiscovery);
    }

    /**
     * Reads a configuration file in order to check it. Placeholders stand in for the values that the environment would
     * set.
     *
     * @throws ProcessConfigException if the configuration cannot be read or is invalid
     */
    static BalancerConfig readForCheck(Path file) {
        return read(Map.of(
                CONFIG_FILE_VARIABLE,
                file.toString(),
                NAME_VARIABLE,
                "check",
                LISTEN_VARIABLE,
                CHECK_ADDRESS,
                DISCOVERY_VARIABLE,
                CHECK_ADDRESS));
    }

    /**
     * Reads a configuration that has already been parsed.
     *
     * @param fields the top-level fields of the file, as a JSON parser returns them
     * @throws ProcessConfigException if the configuration cannot be read or is invalid
     */
    static BalancerConfig read(Map<String, String> environment, Map<String, Object> fields) {
        try {
            return read(environment, fields, limits -> {
                Object list = fields.get(KNOWN_LIST);
                try {
                    return list == null ? EMPTY_LIST : DiscoveryFormat.read(list, limits.boot);
                } catch (DiscoveryFormatException e) {
                    throw new ProcessConfigException(KNOWN_LIST + ": " + e.getMessage(), e);
                }
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not expected: the list is in memory
        }
    }

    /**
     * The source of the configuration: a regular file, which can be read more than once, or the bytes of one that
     * cannot, such as a pipe. One of the components is null.
     */
    private record Source(FileChannel channel, byte[] bytes) {
        JsonParser parser() throws IOException {
            if (channel == null) {
                return JSON_FILE.createParser(bytes);
            }
            channel.position(0);
            return JSON_FILE.createParser(Channels.newInputStream(channel));
        }
    }

    /** Handles one top-level field. The parser's current token is the first token of the value. */
    private interface FieldHandler {
        void handle(String name, JsonParser value) throws IOException;
    }

    private static void forEachField(Source source, FieldHandler handler) throws IOException {
        try (JsonParser parser = source.parser()) {
            JsonToken first = parser.nextToken();
            if (first != null && first != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("expected a JSON object at the top level");
            }
            while (first != null && parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                handler.handle(name, parser);
            }
        }
    }

    private static Map<String, Object> fieldsWithoutKnownList(Source source) throws IOException {
        Map<String, Object> fields = new HashMap<>();
        forEachField(source, (name, parser) -> {
            if (name.equals(KNOWN_LIST)) {
                parser.skipChildren();
            } else {
                fields.put(name, JSON.std.anyFrom(parser));
            }
        });
        return fields;
    }

    // The known list can be far longer than the part that is kept, so it is read in a second pass, entry by entry, with
    // the settings that the first pass has read.
    private static EndpointList readKnownList(Source source, ListLimits limits) throws IOException {
        EndpointList[] known = {EMPTY_LIST};
        forEachField(source, (name, parser) -> {
            if (!name.equals(KNOWN_LIST) || parser.currentToken() == JsonToken.VALUE_NULL) {
                parser.skipChildren();
                return;
            }
            try {
                int rank = limits.boot.policySettings().rank();
                known[0] = ListReader.readOne(parser, limits.boot, new EndpointSubset(limits.maxEndpoints, rank));
            } catch (DiscoveryFormatException e) {
                throw new ProcessConfigException(KNOWN_LIST + ": " + e.getMessage(), e);
            }
        });
        return known[0];
    }

    /** The settings that the known list is read by, and how many of its endpoints may be kept. */
    private record ListLimits(BootSettings boot, int maxEndpoints) {}

    /** Reads the endpoints that were known when the configuration was written. */
    private interface KnownListReader {
        EndpointList read(ListLimits limits) throws IOException;
    }

    private static BalancerConfig read(
            Map<String, String> environment, Map<String, Object> fields, KnownListReader knownList) throws IOException {
        String name = text(environment, NAME_VARIABLE, fields, NAME);
        InetSocketAddress listen = address(LISTEN, text(environment, LISTEN_VARIABLE, fields, LISTEN));
        InetSocketAddress discovery = address(DISCOVERY, text(environment, DISCOVERY_VARIABLE, fields, DISCOVERY));
        String admin = optionalText(environment, ADMIN_VARIABLE, fields, ADMIN);
        InetSocketAddress adminAddress = admin == null ? null : address(ADMIN, admin);
        Map<String, String> settings = settings(fields.get(SETTINGS));
        BootSettings boot = SettingsReader.read(
                settings, (path, error) -> new ProcessConfigException(SETTINGS + ": " + path + ": " + error));
        Map<?, ?> limits = fields.get(LIMITS) instanceof Map<?, ?> configured ? configured : Map.of();
        int maxEndpoints = maxEndpoints(limits.get(MAX_ENDPOINTS));
        EndpointList known = knownList.read(new ListLimits(boot, maxEndpoints));
        return new BalancerConfig(
                name,
                listen,
                adminAddress,
                discovery,
                seed(fields.get(SEED)),
                maxDescriptors(limits.get(MAX_DESCRIPTORS)),
                maxEndpoints,
                known,
                boot,
                settings);
    }

    private static Map<String, String> settings(Object value) {
        if (!(value instanceof Map)) {
            throw new ProcessConfigException("the configuration has no settings object");
        }
        Map<String, String> settings = new HashMap<>();
        SettingsReader.flatten("", value, settings);
        return Map.copyOf(settings);
    }

    private static String text(
            Map<String, String> environment, String variable, Map<String, Object> fields, String field) {
        String value = optionalText(environment, variable, fields, field);
        if (value == null) {
            throw new ProcessConfigException(variable + " is not set, and the configuration has no " + field);
        }
        return value;
    }

    private static String optionalText(
            Map<String, String> environment, String variable, Map<String, Object> fields, String field) {
        String fromEnvironment = environment.get(variable);
        Object fromFile = fields.get(field);
        if (fromEnvironment != null && !fromEnvironment.isBlank()) {
            return fromEnvironment.strip();
        }
        if (fromFile == null) {
            return null;
        }
        if (!(fromFile instanceof String text)) {
            throw new ProcessConfigException(field + ": expected a string, got " + fromFile);
        }
        return text.isBlank() ? null : text.strip();
    }

    private static InetSocketAddress address(String field, String text) {
        try {
            return SocketAddresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ProcessConfigException(field + ": " + e.getMessage(), e);
        }
    }

    private static int maxDescriptors(Object value) {
        int configured = value instanceof Number number ? number.intValue() : DescriptorLimit.UNLIMITED;
        int limit = Math.min(configured, DescriptorLimit.read());
        return limit == DescriptorLimit.UNLIMITED ? DEFAULT_MAX_DESCRIPTORS : limit;
    }

    // The configured number, but no more than the heap has room for.
    private static int maxEndpoints(Object value) {
        int limit = EndpointSubset.maxEndpointsForHeap(Runtime.getRuntime().maxMemory());
        if (value == null) {
            return limit;
        }
        boolean isWholeNumber = value instanceof Number number && number.longValue() == number.doubleValue();
        if (!isWholeNumber || ((Number) value).longValue() < 1) {
            throw new ProcessConfigException(
                    LIMITS + ": " + MAX_ENDPOINTS + ": expected a whole number of 1 or more, got " + value);
        }
        return (int) Math.min(limit, ((Number) value).longValue());
    }

    private static long seed(Object value) {
        if (value instanceof Number number) {
            return number.longValue();
        }
        try {
            return Long.parseUnsignedLong(String.valueOf(value), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new ProcessConfigException(
                    SEED + ": expected a number or a 64-bit hexadecimal string, got '" + value + "'", e);
        }
    }
}
