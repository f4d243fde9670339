package loadbalancer.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.RetryAfterBounds;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Source;
import loadbalancer.toml.Suggestion;
import loadbalancer.toml.Units;

/**
 * Reads operator files strictly: all faults are listed, and a file with any fault is rejected as a whole. Pools, routes
 * and quotas have a reader each; this class reads {@code [front]} and {@code [log]} and combines the results.
 */
public final class OperatorReader {
    private static final String REJECT = "refuse"; // in place of a pool: requests that no route matches are rejected
    private static final double DEFAULT_MIN_RETRY_AFTER_MICROS = 100_000;
    private static final double DEFAULT_MAX_RETRY_AFTER_MICROS = 1_500_000;
    private static final int DEFAULT_LOG_QUEUE_LINES = 1024;
    private static final List<String> LOG_FORMATS = List.of("json", "text");

    private final SiteConfig site;
    private final List<String> notes = new ArrayList<>();
    private final NameRegistry pools = new NameRegistry("pool");
    private final NameRegistry routes = new NameRegistry("route");

    private OperatorReader(SiteConfig site) {
        this.site = site;
    }

    /**
     * Reads {@code file}.
     *
     * @throws loadbalancer.toml.ConfigException with a line for each fault: {@code FILE:LINE: fault}
     * @throws IOException if the file can't be read
     */
    public static OperatorConfig read(Path file, SiteConfig site) throws IOException {
        Source source = Source.read(file);
        try {
            return new OperatorReader(site).read(source);
        } catch (IllegalArgumentException e) {
            source.throwIfFaulty(); // the faults found so far are the cause of the exception and explain it better
            throw e;
        }
    }

    private OperatorConfig read(Source source) {
        Section root = new Section(source, source.tree(), "");
        PoolReader poolReader = new PoolReader(pools);
        poolReader.read(root);
        List<RouteConfig> routeConfigs = new RouteReader(site, routes, new DestinationReader(pools, notes)).read(root);
        Section front = root.table("front");
        String unmatchedPool = unmatchedPool(front);
        boolean hasInstances = front.has("instances");
        int instances = (int) front.number("instances", Measure.COUNT, site.instances());
        double reservedFraction = reservedFraction(front);
        RetryAfterBounds retryAfter = retryAfter(front);
        front.rejectUnknownKeys();
        QuotaConfig quotas = new QuotaReader(site, routes, notes).read(root);
        LogSettings log = log(root);
        root.rejectUnknownKeys();
        source.throwIfFaulty();
        RoutingConfig routing = new RoutingConfig(
                poolReader.configs(), routeConfigs, unmatchedPool, quotas, instances, reservedFraction, retryAfter);
        return new OperatorConfig(routing, poolReader.specs(), hasInstances ? instances : null, log, notes);
    }

    private String unmatchedPool(Section front) {
        String pool = front.text("unmatched", PoolSpec.SITE);
        if (pool.equals(REJECT)) {
            return null;
        }
        pools.require(front, "unmatched", pool);
        return pool;
    }

    private static double reservedFraction(Section front) {
        double fraction = front.number("reserve", Measure.SHARE, 0);
        if (fraction >= 1) {
            front.fault(
                    "reserve",
                    "'reserve' is " + fraction
                            + ": expected a share under 1, as the lowest priority would get nothing");
        }
        return fraction;
    }

    private RetryAfterBounds retryAfter(Section front) {
        long siteMaxMicros = site.maxRetryAfterMicros();
        Double minMicros = time(front, "retry_after_least", DEFAULT_MIN_RETRY_AFTER_MICROS);
        Double maxMicros =
                time(front, "retry_after_most", siteMaxMicros > 0 ? siteMaxMicros : DEFAULT_MAX_RETRY_AFTER_MICROS);
        if (minMicros == null || maxMicros == null) {
            return new RetryAfterBounds(0, 0);
        }
        if (minMicros > maxMicros) {
            front.fault(
                    front.has("retry_after_least") ? "retry_after_least" : "retry_after_most",
                    "'retry_after_least' is " + Units.TIME.format(minMicros) + ": expected at most 'retry_after_most', "
                            + Units.TIME.format(maxMicros));
            return new RetryAfterBounds(0, 0);
        }
        if (siteMaxMicros > 0 && maxMicros > siteMaxMicros) {
            front.fault(
                    "retry_after_most",
                    "'retry_after_most' is over the limit of the platform's settings, "
                            + Units.TIME.format(siteMaxMicros));
        }
        return new RetryAfterBounds(Math.round(minMicros), Math.round(maxMicros));
    }

    private static Double time(Section section, String key, double fallbackMicros) {
        return section.has(key) ? section.quantity(key, Units.TIME) : Double.valueOf(fallbackMicros);
    }

    private static LogSettings log(Section root) {
        Section section = root.table("log");
        String format = section.text("format", "text");
        if (!LOG_FORMATS.contains(format)) {
            section.fault(
                    "format",
                    "'format' is \"" + format + "\": expected one of " + String.join(", ", LOG_FORMATS)
                            + Suggestion.didYouMean(format, LOG_FORMATS));
        }
        int queueLines = (int) section.number("queue", Measure.COUNT, DEFAULT_LOG_QUEUE_LINES);
        section.rejectUnknownKeys();
        return new LogSettings(format.equals("json"), queueLines);
    }
}
