package loadbalancer.simulator.world;

import java.util.Map;

/** The kinds of fault that experiment files may name, with the meaning of their values. */
public final class FaultKinds {
    /** The meaning of each kind's values by the name of the kind; {@code part} is the field of experiment files. */
    public static final Map<String, String> DESCRIPTIONS = Map.ofEntries(
            Map.entry("slow", "part of the upstreams, size times slower"),
            Map.entry("fast_errors", "part of the upstreams fail the share size of requests at once"),
            Map.entry("grey", "part of the upstreams pass probes, fail the share size and are extra times slower"),
            Map.entry("garble", "part of the upstreams spoil the share size of their answers; the requests have run"),
            Map.entry("settings_changed", "balancers get settings with size attempts, and the former ones at the end"),
            Map.entry("hot_key", "the share size of traffic concerns extra keys"),
            Map.entry("deploy", "part of the upstreams replaced, a share size at a time, each after extra s of drain"),
            Map.entry("same_address", "part of the upstreams replaced at once at their addresses under new ids"),
            Map.entry("shared_slow", "all upstreams, size times slower"),
            Map.entry("rack_lost", "one rack ends at once and comes back; silent where size > 0"),
            Map.entry("death", "part of the upstreams end at once, successors at the end; silent where size > 0"),
            Map.entry("restart", "part of the upstreams end and come back after extra s under their ids"),
            Map.entry("zone_cut", "one zone is cut off both ways"),
            Map.entry("zone_cut_one_way", "nothing gets out of one zone"),
            Map.entry("register_down", "discovery is down"),
            Map.entry("register_twice", "discovery lists each id twice"),
            Map.entry("balancers_killed", "part of the balancers are killed at once and come back at the end"),
            Map.entry(
                    "balancers_restarted", "part of the balancers end in order one by one, each is back after extra s"),
            Map.entry("balancers_upgraded", "part of the balancers replaced one by one, two processes at a time"),
            Map.entry("retry_storm", "clients try size times more, without waits"),
            Map.entry("burst", "size times as many arrivals"),
            Map.entry("tenant_flood", "the tenant of number extra, from 0, sends size times as much"),
            Map.entry("clock_step", "part of the upstreams state start times extra s off"),
            Map.entry("taken_out", "operators take part of the upstreams out, restart them and put them back"),
            Map.entry("network_slow", "all messages take size times as long"),
            Map.entry("loss", "the share size of messages is lost and sent again"));

    private FaultKinds() {}
}
