package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.simulator.engine.RandomStream;

/**
 * Draws the faults of a plan and schedules them. {@link UpstreamFaults} and {@link BalancerFaults} schedule those of
 * upstreams and balancers; this class schedules those of clients, network and discovery.
 */
public final class Timeline {
    /** The interval of a drawn fault, in µs since the start of the day. */
    public record FaultInterval(String kind, long from, long to) {}

    private final World world;
    private final UpstreamFaults upstreamFaults;
    private final BalancerFaults balancerFaults;

    Timeline(World world) {
        this.world = world;
        this.upstreamFaults = new UpstreamFaults(world);
        this.balancerFaults = new BalancerFaults(world);
    }

    /** Schedules all faults of the plan; called once, at the start of the day. */
    void install() {
        List<FaultInterval> intervals = new ArrayList<>();
        List<WorldPlan.Fault> faults = world.plan.faults();
        for (int i = 0; i < faults.size(); i++) {
            DrawnFault fault = draw(faults.get(i), i);
            if (fault.kind().equals("burst")) {
                world.clients.raiseMaxBurst(fault.size());
            }
            long from = fault.from() - World.DAY_START_MICROS;
            intervals.add(new FaultInterval(fault.kind(), from, from + fault.length()));
            schedule(fault);
        }
        world.setFaultIntervals(intervals);
    }

    private DrawnFault draw(WorldPlan.Fault fault, int index) {
        RandomStream random = world.streams.of("trouble", index, fault.kind());
        long from = World.DAY_START_MICROS + Math.round(fault.at().draw(random));
        long length = Math.round(fault.length().draw(random));
        double fraction = fault.fraction().draw(random);
        double size = fault.size().draw(random);
        double extra = fault.extra().draw(random);
        return new DrawnFault(fault.kind(), fault.pool(), from, length, fraction, size, extra, random);
    }

    private void schedule(DrawnFault fault) {
        switch (fault.kind()) {
            case "slow",
                    "shared_slow",
                    "fast_errors",
                    "garble",
                    "grey",
                    "deploy",
                    "same_address",
                    "rack_lost",
                    "death",
                    "restart",
                    "clock_step",
                    "taken_out" -> upstreamFaults.schedule(fault);
            case "settings_changed", "balancers_killed", "balancers_restarted", "balancers_upgraded" -> balancerFaults
                    .schedule(fault);
            case "hot_key", "retry_storm", "burst", "tenant_flood" -> scheduleClientFault(fault);
            case "zone_cut", "zone_cut_one_way", "network_slow", "loss" -> scheduleNetworkFault(fault);
            case "register_down" -> fault.during(
                    world, now -> world.discovery.setDown(true), now -> world.discovery.setDown(false));
            case "register_twice" -> fault.during(
                    world,
                    now -> world.discovery.setDuplicateEntries(true),
                    now -> world.discovery.setDuplicateEntries(false));
            default -> throw new IllegalArgumentException("unknown fault kind '" + fault.kind() + "'");
        }
    }

    private void scheduleClientFault(DrawnFault fault) {
        Clients clients = world.clients;
        double size = fault.size();
        int extra = (int) Math.round(fault.extra());
        switch (fault.kind()) {
            case "hot_key" -> fault.during(
                    world, now -> clients.setHotKeys(size, extra), now -> clients.setHotKeys(0, 1));
            case "retry_storm" -> fault.during(
                    world, now -> clients.setRetryStorm((int) Math.round(size)), now -> clients.setRetryStorm(0));
            case "burst" -> fault.during(world, now -> clients.setBurst(size), now -> clients.setBurst(1));
            default -> world.simulation.at(fault.from(), now -> clients.flood(extra, size, now + fault.length()));
        }
    }

    private void scheduleNetworkFault(DrawnFault fault) {
        Network network = world.network;
        switch (fault.kind()) {
            case "zone_cut" -> scheduleZoneCut(fault, true);
            case "zone_cut_one_way" -> scheduleZoneCut(fault, false);
            case "network_slow" -> fault.during(
                    world, now -> network.setDelayFactor(fault.size()), now -> network.setDelayFactor(1));
            default -> {
                double lossBefore = network.loss();
                fault.during(world, now -> network.setLoss(fault.size()), now -> network.setLoss(lossBefore));
            }
        }
    }

    private void scheduleZoneCut(DrawnFault fault, boolean bothWays) {
        int zone = fault.random().below(world.plan.zones().size());
        fault.during(world, now -> cut(zone, bothWays, true), now -> cut(zone, bothWays, false));
    }

    private void cut(int zone, boolean bothWays, boolean isCut) {
        for (int other = 0; other < world.plan.zones().size(); other++) {
            if (other != zone) {
                world.network.setCut(zone, other, isCut);
                if (bothWays) {
                    world.network.setCut(other, zone, isCut);
                }
            }
        }
    }
}
