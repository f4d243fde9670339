package loadbalancer.simulator.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.policy.Idempotency;
import loadbalancer.settings.BootSettings;
import loadbalancer.settings.ProtocolNames;
import loadbalancer.settings.SettingsReader;
import loadbalancer.simulator.world.Range;
import loadbalancer.simulator.world.WorldPlan;

/** The settings that hollow and real balancers of a scale run are given: the same for both but for the rank. */
final class Site {
    /** The one class of requests that the load brings. */
    static final WorldPlan.RequestClassPlan LOOKUP = new WorldPlan.RequestClassPlan(
            "lookup",
            Range.of(1),
            Range.of(1_000),
            WorldPlan.Spread.EXPONENTIAL,
            Range.of(0),
            Range.of(0),
            200_000,
            1_000_000,
            1,
            0,
            Idempotency.IDEMPOTENT);

    private Site() {}

    /** Settings as the deployment writes them, for the balancer of that rank among so many. */
    static Map<String, Object> settings(FleetPlan.Fleet fleet, int rank, int many) {
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("Balancers", many);
        s.put("Rank", rank);
        s.put("Quantum", 5_000);
        s.put("MembershipMode", fleet.ask() ? "ask" : "push");
        s.put("Areas", fleet.zones());
        s.put("Locality", rank % fleet.zones().size());
        s.put("Kinds", Machines.KINDS);
        s.put(
                "Classes",
                List.of(Map.of(
                        "Name",
                        LOOKUP.name(),
                        "Idempotency",
                        ProtocolNames.of(LOOKUP.effect()),
                        "GoalTime",
                        LOOKUP.latencyObjectiveMicros(),
                        "GiveUp",
                        LOOKUP.deadline())));
        s.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        3,
                        "MayDuplicate",
                        false,
                        "Cancel",
                        true,
                        "Probes",
                        false,
                        "DialTimeout",
                        100_000,
                        "MaxRetryAfter",
                        1_500_000,
                        "IdleClose",
                        60_000_000));
        s.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        20_000,
                        "DrainGrace",
                        1_500_000,
                        "AskWithin",
                        10_000_000,
                        "ColdFrom",
                        0.3,
                        "RampTime",
                        5_000_000,
                        "OverloadFactor",
                        3.0,
                        "Fall",
                        2_000_000));
        return s;
    }

    /** The same as a hollow balancer reads it. */
    static BootSettings boot(FleetPlan.Fleet fleet, int rank, int many) {
        Map<String, String> flat = new TreeMap<>();
        SettingsReader.flatten("", settings(fleet, rank, many), flat);
        return SettingsReader.read(flat, (path, what) -> new IllegalStateException(path + ": " + what));
    }

    /** A real balancer's configuration. */
    static Map<String, Object> config(
            FleetPlan.Fleet fleet, int rank, int many, int discoveryPort, Map<String, Object> known) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "fleet-" + rank);
        all.put("listen", "127.0.0.1:0");
        all.put("discovery", "127.0.0.1:" + discoveryPort);
        all.put("seed", Integer.toHexString(rank + 1));
        all.put("settings", settings(fleet, rank, many));
        all.put("known", known);
        return all;
    }
}
