package loadbalancer.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.SafetyBounds;
import loadbalancer.policy.ServiceObjective;
import loadbalancer.policy.SiteLimits;
import loadbalancer.policy.TenantQuota;
import loadbalancer.policy.TrafficCosts;

/**
 * Reads the settings of a balancer from path=value pairs, whether they come from the simulator's wire or from the
 * configuration of a real balancer. Keys that it doesn't know are ignored. The names of the keys are the platform's and
 * stand here alone; the words of their values stand in {@link ProtocolNames}. All times are in microseconds.
 */
public final class SettingsReader {
    private final SettingValues values;

    private SettingsReader(SettingValues values) {
        this.values = values;
    }

    /**
     * Reads {@code values}.
     *
     * @param error makes the exception for a path and what is wrong there
     * @throws RuntimeException that {@code error} makes, where a setting is missing, malformed or impossible
     */
    public static BootSettings read(
            Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> error) {
        SettingValues typed = new SettingValues(values, error);
        try {
            return new BootSettings(
                    new SettingsReader(typed).policySettings(),
                    typed.list("Stats.Fields"),
                    typed.each("Classes", "Name"),
                    typed.each("Realms", "Name"),
                    typed.list("Areas"),
                    typed.list("Kinds"),
                    typed.wholeNumber("Limits.IdleClose", 0L));
        } catch (IllegalArgumentException e) {
            throw error.apply("BootInfo", e.getMessage());
        }
    }

    /**
     * Turns nested maps and lists into path=value pairs: paths are joined by dots, lists of plain values by commas, and
     * a list with maps in it gets a {@code count} and one path for each index. Null values are left out.
     */
    public static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, nested) -> flatten(path.isEmpty() ? key.toString() : path + "." + key, nested, into));
        } else if (value instanceof List<?> list) {
            if (list.stream().anyMatch(Map.class::isInstance)) {
                into.put(path + ".count", Integer.toString(list.size()));
                for (int i = 0; i < list.size(); i++) {
                    flatten(path + "." + i, list.get(i), into);
                }
            } else {
                into.put(path, list.stream().map(SettingsReader::plain).collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            into.put(path, plain(value));
        }
    }

    /** A value as it stands on the wire, where underscores replace the spaces and commas within it. */
    public static String plain(Object value) {
        return String.valueOf(value).replace(' ', '_').replace(',', '_');
    }

    private PolicySettings policySettings() {
        int zoneCount = values.listSize("Areas");
        List<RequestClass> classes = requestClasses(zoneCount, values.listSize("Kinds"));
        List<TenantQuota> tenants = tenantQuotas();
        SiteLimits limits = siteLimits();
        DiscoveryMode discovery = values.word(ProtocolNames.DISCOVERY_MODE, "MembershipMode", null);
        SafetyBounds bounds = safetyBounds(discovery);
        ServiceObjective objective = serviceObjective();
        return new PolicySettings(
                values.cappedInt("Balancers"),
                (int) values.wholeNumber("Rank", 0L),
                zone(zoneCount),
                classes,
                tenants,
                values.decimal("OverShareWorth", 1.0),
                objective,
                trafficCosts(),
                values.text("WorthBy", "request").equals("work"),
                discovery,
                values.word(ProtocolNames.LOAD_REPORTING, "Stats.How", "none"),
                values.flag("Specifics.WarmKeys", false),
                limits,
                bounds,
                values.wholeNumber("Quantum", null));
    }

    private List<RequestClass> requestClasses(int zoneCount, int kindCount) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < values.count("Classes", true); i++) {
            classes.add(requestClass("Classes." + i + ".", zoneCount, kindCount));
        }
        return List.copyOf(classes);
    }

    private RequestClass requestClass(String path, int zoneCount, int kindCount) {
        return new RequestClass(
                values.word(ProtocolNames.IDEMPOTENCY, path + "Idempotency", null),
                values.word(ProtocolNames.KEY_SCOPE, path + "DedupScope", "all"),
                values.wholeNumber(path + "KeyTtl", 0L),
                values.wholeNumber(path + "GoalTime", null),
                values.wholeNumber(path + "GiveUp", null),
                values.decimal(path + "AimStretch", 0.0),
                values.decimal(path + "Gain", 1.0),
                values.decimal(path + "LateShare", 0.0),
                values.flag(path + "Stream", false),
                values.flag(path + "InOrder", false),
                values.indexes(path + "AllowedIn", zoneCount),
                values.indexes(path + "RunsOn", kindCount));
    }

    private List<TenantQuota> tenantQuotas() {
        List<TenantQuota> quotas = new ArrayList<>();
        for (int i = 0; i < values.count("Realms", false); i++) {
            quotas.add(new TenantQuota(values.decimal("Realms." + i + ".AllowancePerS", null)));
        }
        return List.copyOf(quotas);
    }

    private SiteLimits siteLimits() {
        return new SiteLimits(
                values.cappedInt("Limits.TryLimit"),
                values.flag("Limits.MayDuplicate", null),
                values.flag("Limits.Cancel", null),
                values.flag("Limits.Probes", null),
                values.wholeNumber("Limits.DialTimeout", 0L),
                values.wholeNumber("Limits.MaxRetryAfter", 0L));
    }

    private SafetyBounds safetyBounds(DiscoveryMode discovery) {
        Long pollIntervalFallback = discovery == DiscoveryMode.POLL ? null : Long.valueOf(0);
        return new SafetyBounds(
                values.wholeNumber("Rules.AnswerSlack", null),
                values.wholeNumber("Rules.DrainGrace", null),
                values.wholeNumber("Rules.AskWithin", pollIntervalFallback),
                values.decimal("Rules.ColdFrom", null),
                values.wholeNumber("Rules.RampTime", null),
                values.decimal("Rules.OverloadFactor", null),
                values.wholeNumber("Rules.Fall", null),
                values.wholeNumber("Rules.OrderPause", 0L));
    }

    private ServiceObjective serviceObjective() {
        return new ServiceObjective(
                values.decimal("Blend.Whole", 1.0),
                values.decimal("Blend.WorstWindow", 0.0),
                values.decimal("Blend.WorstClass", 0.0),
                values.decimal("Blend.WorstTenant", 0.0));
    }

    private TrafficCosts trafficCosts() {
        return new TrafficCosts(values.decimal("Prices.CrossZone", 0.0), values.decimal("Prices.Handshake", 0.0));
    }

    /** The number of this instance's zone, which must be one of the named zones where zones are named. */
    private int zone(int zoneCount) {
        long zone = values.wholeNumber("Locality", 0L);
        if (zone < 0 || zone >= zoneCount && values.has("Areas")) {
            throw values.error("Locality", "not between 0 and " + (zoneCount - 1) + ": " + zone);
        }
        return (int) zone;
    }
}
