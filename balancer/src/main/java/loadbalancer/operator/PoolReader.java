package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.router.PoolConfig;
import loadbalancer.settings.SocketAddresses;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Units;

/** Reads the tables {@code [[pool]]}, and adds the site's pool where the file does not name it. */
final class PoolReader {
    private static final int DEFAULT_MAX_LIMIT = 10_000;
    private static final int DEFAULT_INITIAL_LIMIT = 20;

    private final NameRegistry names;
    private final List<PoolSpec> specs = new ArrayList<>();
    private final List<PoolConfig> configs = new ArrayList<>();

    /** Creates a reader that registers the pools in {@code names}. */
    PoolReader(NameRegistry names) {
        this.names = names;
    }

    void read(Section root) {
        for (Section section : root.tables("pool")) {
            readPool(section);
        }
        if (!names.contains(PoolSpec.SITE)) {
            names.registerImplicit(PoolSpec.SITE);
            specs.add(PoolSpec.site());
            configs.add(new PoolConfig(PoolSpec.SITE, null, 0));
        }
    }

    /** Returns the pools' connection and discovery settings, in the order of the file. */
    List<PoolSpec> specs() {
        return specs;
    }

    /** Returns the pools' configurations for the router, in the order of the file. */
    List<PoolConfig> configs() {
        return configs;
    }

    private void readPool(Section section) {
        String name = names.register(section);
        InetSocketAddress discovery =
                section.has("discovery") ? address(section, "discovery", section.text("discovery", null)) : null;
        List<InetSocketAddress> endpoints = endpoints(section);
        checkSource(section, name);
        int fullStrength = optionalCount(section, "full_strength");
        int maxConnections = optionalCount(section, "connections");
        Double maxBodyBytes = section.quantity("memory", Units.SIZE);
        ConcurrencyLimitConfig limit = section.has("limit") ? limit(section.table("limit")) : null;
        PoolOverrides overrides = section.has("settings") ? overrides(section, name) : PoolOverrides.NONE;
        section.rejectUnknownKeys();
        specs.add(new PoolSpec(
                name,
                discovery,
                endpoints,
                maxConnections,
                maxBodyBytes == null ? 0 : maxBodyBytes.longValue(),
                overrides));
        configs.add(new PoolConfig(name, limit, fullStrength));
    }

    private static List<InetSocketAddress> endpoints(Section section) {
        List<InetSocketAddress> endpoints = new ArrayList<>();
        for (String text : section.texts("upstreams", List.of())) {
            InetSocketAddress address = address(section, "upstreams", text);
            if (address != null && endpoints.contains(address)) {
                section.fault("upstreams", "upstream '" + text + "' is listed twice");
            } else if (address != null) {
                endpoints.add(address);
            }
        }
        return endpoints;
    }

    private static InetSocketAddress address(Section section, String key, String text) {
        try {
            return SocketAddresses.parse(text);
        } catch (IllegalArgumentException e) {
            section.fault(key, "'" + key + "': " + e.getMessage());
            return null;
        }
    }

    private static void checkSource(Section section, String name) {
        boolean site = name.equals(PoolSpec.SITE);
        boolean discovery = section.has("discovery");
        boolean list = section.has("upstreams");
        if (site && (discovery || list)) {
            section.fault(
                    discovery ? "discovery" : "upstreams",
                    "pool 'site' uses the platform's endpoint list: rename this pool to give it another list");
        } else if (discovery && list) {
            section.fault("upstreams", "pool '" + name + "' has both 'discovery' and 'upstreams': expected only one");
        } else if (!site && !discovery && !list) {
            section.fault("name", "pool '" + name + "' has no endpoint list: expected 'discovery' or 'upstreams'");
        }
    }

    private static int optionalCount(Section section, String key) {
        return section.has(key) ? (int) section.number(key, Measure.COUNT) : 0;
    }

    private static PoolOverrides overrides(Section pool, String name) {
        Section section = pool.table("settings");
        if (name.equals(PoolSpec.SITE)) {
            pool.fault("settings", "pool 'site' uses the platform's settings: 'settings' is only for other pools");
        }
        PoolOverrides overrides = new PoolOverrides(
                section.has("max_attempts") ? (int) section.number("max_attempts", Measure.COUNT) : null,
                TimeReader.positiveMicros(section, "connect_timeout"),
                TimeReader.positiveMicros(section, "idle_close"),
                section.has("probes") ? section.flag("probes", false) : null);
        section.rejectUnknownKeys();
        return overrides;
    }

    private static ConcurrencyLimitConfig limit(Section section) {
        LimitAlgorithm algorithm = section.choice("kind", LimitAlgorithm.class, null);
        if (!algorithm.name().equalsIgnoreCase(section.text("kind", ""))) {
            return null; // the fault is listed already, and the other keys depend on the kind
        }
        ConcurrencyLimitConfig limit =
                algorithm == LimitAlgorithm.FIXED ? fixedLimit(section) : adaptiveLimit(section, algorithm);
        section.rejectUnknownKeys();
        return limit;
    }

    private static ConcurrencyLimitConfig fixedLimit(Section section) {
        return ConcurrencyLimitConfig.fixed(Math.max(0, (int) section.number("most", Measure.NUMBER)));
    }

    private static ConcurrencyLimitConfig adaptiveLimit(Section section, LimitAlgorithm algorithm) {
        int min = (int) section.number("least", Measure.COUNT, 1);
        int max = (int) section.number("most", Measure.COUNT, DEFAULT_MAX_LIMIT);
        int defaultInitial = Math.max(min, Math.min(max, DEFAULT_INITIAL_LIMIT));
        int initial = (int) section.number("start", Measure.COUNT, defaultInitial);
        if (min > max) {
            section.fault("least", "'least' is " + min + ": expected at most 'most', " + max);
            return null;
        }
        if (initial < min || initial > max) {
            section.fault(
                    "start",
                    "'start' is " + initial + ": expected a number between 'least' and 'most', " + min + " and " + max);
            return null;
        }
        return new ConcurrencyLimitConfig(algorithm, initial, min, max);
    }
}
