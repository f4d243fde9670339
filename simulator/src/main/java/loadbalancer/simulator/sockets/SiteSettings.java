package loadbalancer.simulator.sockets;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.ProtocolNames;
import loadbalancer.simulator.world.WorldPlan;

/** A balancer's configuration for a world, in the form that the deployment gives it. */
public final class SiteSettings {
    private SiteSettings() {}

    /** For the balancer of that rank among so many, before that site. */
    public static Map<String, Object> config(WorldPlan plan, int rank, int many, LiveSite site) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Balancers", many);
        settings.put("Rank", rank);
        settings.put("Quantum", 5_000);
        settings.put("MembershipMode", plan.discovery().polling() ? "ask" : "push");
        settings.put("Areas", plan.zones());
        settings.put("Locality", rank % plan.zones().size());
        settings.put("Kinds", plan.kinds().stream().map(WorldPlan.Kind::name).toList());
        List<Map<String, Object>> classes = new ArrayList<>();
        for (WorldPlan.RequestClassPlan kind : plan.classes()) {
            classes.add(Map.of(
                    "Name",
                    kind.name(),
                    "Idempotency",
                    ProtocolNames.of(kind.effect()),
                    "GoalTime",
                    kind.latencyObjectiveMicros(),
                    "GiveUp",
                    kind.deadline(),
                    "Gain",
                    kind.priorityWeight(),
                    "KeyTtl",
                    5_000_000));
        }
        settings.put("Classes", classes);
        WorldPlan.Rules rules = plan.rules();
        settings.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        rules.maxAttempts(),
                        "MayDuplicate",
                        rules.hedgingAllowed(),
                        "Cancel",
                        rules.cancel(),
                        "Probes",
                        rules.probes(),
                        "DialTimeout",
                        plan.fleet().connectTimeoutMicros(),
                        "MaxRetryAfter",
                        rules.maxRetryAfterMicros(),
                        "IdleClose",
                        plan.fleet().idleTimeoutMicros()));
        double slowStartInitialWeight = plan.kinds().stream()
                .mapToDouble(k -> k.slowStartInitialWeight().min())
                .min()
                .orElse(1);
        double ramp = plan.kinds().stream()
                .mapToDouble(k -> k.slowStartDurationMicros().max())
                .max()
                .orElse(0);
        settings.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        rules.responseSlackMicros(),
                        "DrainGrace",
                        rules.drainGracePeriodMicros(),
                        "AskWithin",
                        rules.pollIntervalMicros(),
                        "ColdFrom",
                        Math.max(0.01, Math.min(1, slowStartInitialWeight)),
                        "RampTime",
                        Math.round(ramp),
                        "OverloadFactor",
                        rules.overloadFactor(),
                        "Fall",
                        rules.overloadWindowMicros()));
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "demo-" + rank);
        all.put("listen", "127.0.0.1:0");
        all.put("discovery", "127.0.0.1:" + site.register().getPort());
        all.put("seed", Integer.toHexString(rank + 1));
        all.put("settings", settings);
        all.put("known", site.known());
        return all;
    }
}
