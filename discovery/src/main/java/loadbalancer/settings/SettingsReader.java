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
 * Reads the settings of a balancer from path=value pairs, which come from the simulator's wire or from the
 * configuration of a real balancer. Unknown keys are ignored. No other class holds the platform's names of the keys;
 * the words of their values are in {@link ProtocolNames}. All times are in microseconds.
 */
public final class SettingsReader {
    private final SettingValues values;

    private SettingsReader(SettingValues values) {
        this.values = values;
    }

    /**
     * Reads {@code values}.
     *
     * @param error creates the exception from a path and a description of the problem there
     * @throws RuntimeException the exception of {@code error}, if a setting is missing, malformed or out of range
     */
    public static BootSettings read(
            Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> error) {
        SettingValues typedValues = new SettingValues(values, error);
        try {
            return new BootSettings(
                    new SettingsReader(typedValues).policySettings(),
                    typedValues.list("Stats.Fields"),
                    typedValues.each("Classes", "Name"),
                    typedValues.each("Realms", "Name"),
                    typedValues.list("Areas"),
                    typedValues.list("Kinds"),
                    typedValues.wholeNumber("Limits.IdleClose", 0L));
        } catch (IllegalArgumentException e) {
            throw error.apply("BootInfo", e.getMessage());
        }
    }

    /**
     * Flattens nested maps and lists to path=value pairs: paths are joined by dots, lists of scalar values by commas,
     * and a list that contains maps gets a {@code count} and a path for each index. Null values are left out.
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
                into.put(path, list.stream().map(SettingsReader::wireText).collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            into.put(path, wireText(value));
        }
    }

    /** Returns a value as it is written on the wire, where underscores replace its spaces and commas. */
    public static String wireText(Object value) {
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

    /** Returns the number of this balancer's zone, which must be in the list of zones if there is one. */
    private int zone(int zoneCount) {
        long zone = values.wholeNumber("Locality", 0L);
        if (zone < 0 || zone >= zoneCount && values.has("Areas")) {
            throw values.error("Locality", "not between 0 and " + (zoneCount - 1) + ": " + zone);
        }
        return (int) zone;
    }
}
