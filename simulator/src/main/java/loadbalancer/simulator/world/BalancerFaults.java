package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Schedules the faults of balancers: kills, restarts, upgrades and changes of their settings. */
final class BalancerFaults {
    /** For how long after the longest deadline a replaced process lives on beside its successor. */
    private static final long UPGRADE_OVERLAP_MICROS = 700_000;

    private final World world;

    BalancerFaults(World world) {
        this.world = world;
    }

    void schedule(DrawnFault fault) {
        switch (fault.kind()) {
            case "settings_changed" -> fault.during(
                    world,
                    now -> reconfigure((int) Math.max(1, fault.size()), now),
                    now -> reconfigure(world.plan.rules().maxAttempts(), now));
            case "balancers_killed" -> scheduleKills(fault);
            case "balancers_restarted" -> scheduleRestarts(fault);
            case "balancers_upgraded" -> scheduleUpgrades(fault);
            default -> throw new IllegalArgumentException("no fault of balancers: " + fault.kind());
        }
    }

    private void reconfigure(int maxAttempts, long now) {
        int[] classes = IntStream.range(0, world.plan.classes().size()).toArray();
        int[] tenants = IntStream.range(0, world.plan.tenants().size()).toArray();
        for (Balancer balancer : world.processes()) {
            if (balancer.alive()) {
                balancer.policy()
                        .reconfigure(now, world.settings(balancer.rank, balancer.zone, maxAttempts), classes, tenants);
            }
        }
    }

    // The draw goes by a number for each balancer, not by the order of a list.
    private List<BalancerSlot> pick(DrawnFault fault) {
        List<BalancerSlot> all = new ArrayList<>(world.slots);
        long salt = fault.random().bits();
        all.sort(Comparator.comparingDouble(slot -> IndexedRandom.uniform(salt, slot.rank, 2)));
        int count = Math.max(1, (int) Math.round(fault.fraction() * all.size()));
        return all.subList(0, Math.min(all.size(), count));
    }

    private void scheduleKills(DrawnFault fault) {
        for (BalancerSlot slot : pick(fault)) {
            world.simulation.at(fault.from(), now -> {
                Balancer balancer = slot.serving();
                if (balancer != null) {
                    balancer.kill(now);
                    world.simulation.at(
                            now + world.failureDetectionMicros, at -> slot.admitted(slot.serving() != null));
                }
            });
            world.simulation.at(fault.from() + fault.length(), now -> {
                if (slot.serving() == null) {
                    world.startBalancer(slot, null);
                    world.simulation.at(now + world.failureDetectionMicros, at -> slot.admitted(true));
                }
            });
        }
    }

    // A planned restart: clients are sent elsewhere at once, open requests have until the longest deadline.
    private void scheduleRestarts(DrawnFault fault) {
        List<BalancerSlot> chosen = pick(fault);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot slot = chosen.get(i);
            world.simulation.at(fault.from() + fault.length() * i / chosen.size(), now -> {
                Balancer old = slot.serving();
                if (old == null) {
                    return;
                }
                slot.admitted(false);
                world.simulation.at(now + longestDeadline(), at -> killIfAlive(old, at));
                world.simulation.at(now + longestDeadline() + fault.extraMicros(), at -> {
                    world.startBalancer(slot, null);
                    slot.admitted(true);
                });
            });
        }
    }

    private void scheduleUpgrades(DrawnFault fault) {
        List<BalancerSlot> chosen = pick(fault);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot slot = chosen.get(i);
            world.simulation.at(fault.from() + fault.length() * i / chosen.size(), now -> {
                Balancer old = slot.serving();
                if (old == null) {
                    return;
                }
                Balancer next = world.startBalancer(slot, old.policy().learnedState(now));
                old.policy().setSlowStartBudgetFactor(0.5);
                next.policy().setSlowStartBudgetFactor(0.5);
                world.simulation.at(now + longestDeadline() + UPGRADE_OVERLAP_MICROS, at -> {
                    killIfAlive(old, at);
                    next.policy().setSlowStartBudgetFactor(1);
                });
            });
        }
    }

    private static void killIfAlive(Balancer balancer, long now) {
        if (balancer.alive()) {
            balancer.kill(now);
        }
    }

    private long longestDeadline() {
        return world.plan.classes().stream()
                .mapToLong(WorldPlan.RequestClassPlan::deadline)
                .max()
                .orElse(0);
    }
}
