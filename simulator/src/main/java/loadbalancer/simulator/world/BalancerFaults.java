package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Schedules the faults of balancers: kills, restarts, upgrades and changes of settings. */
final class BalancerFaults {
    /** How long after the longest deadline a replaced process still runs beside its successor. */
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
            default -> throw new IllegalArgumentException("unknown balancer fault '" + fault.kind() + "'");
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

    // Each balancer's draw is a function of its rank, so that it doesn't depend on the order of a list.
    private List<BalancerSlot> pick(DrawnFault fault) {
        List<BalancerSlot> slots = new ArrayList<>(world.slots);
        long salt = fault.random().bits();
        slots.sort(Comparator.comparingDouble(slot -> IndexedRandom.uniform(salt, slot.rank, 2)));
        int count = Math.max(1, (int) Math.round(fault.fraction() * slots.size()));
        return slots.subList(0, Math.min(slots.size(), count));
    }

    private void scheduleKills(DrawnFault fault) {
        for (BalancerSlot slot : pick(fault)) {
            world.simulation.at(fault.from(), now -> {
                Balancer balancer = slot.serving();
                if (balancer != null) {
                    balancer.kill(now);
                    world.simulation.at(
                            now + world.failureDetectionMicros, at -> slot.setAdmitted(slot.serving() != null));
                }
            });
            world.simulation.at(fault.from() + fault.length(), now -> {
                if (slot.serving() == null) {
                    world.startBalancer(slot, null);
                    world.simulation.at(now + world.failureDetectionMicros, at -> slot.setAdmitted(true));
                }
            });
        }
    }

    // A planned restart: new requests go to other balancers at once, and open ones may run until the longest deadline.
    private void scheduleRestarts(DrawnFault fault) {
        List<BalancerSlot> chosen = pick(fault);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot slot = chosen.get(i);
            world.simulation.at(fault.from() + fault.length() * i / chosen.size(), now -> {
                Balancer predecessor = slot.serving();
                if (predecessor == null) {
                    return;
                }
                slot.setAdmitted(false);
                world.simulation.at(now + longestDeadline(), at -> killIfAlive(predecessor, at));
                world.simulation.at(now + longestDeadline() + fault.extraMicros(), at -> {
                    world.startBalancer(slot, null);
                    slot.setAdmitted(true);
                });
            });
        }
    }

    private void scheduleUpgrades(DrawnFault fault) {
        List<BalancerSlot> chosen = pick(fault);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot slot = chosen.get(i);
            world.simulation.at(fault.from() + fault.length() * i / chosen.size(), now -> {
                Balancer predecessor = slot.serving();
                if (predecessor == null) {
                    return;
                }
                Balancer successor =
                        world.startBalancer(slot, predecessor.policy().learnedState(now));
                predecessor.policy().setSlowStartBudgetFactor(0.5);
                successor.policy().setSlowStartBudgetFactor(0.5);
                world.simulation.at(now + longestDeadline() + UPGRADE_OVERLAP_MICROS, at -> {
                    killIfAlive(predecessor, at);
                    successor.policy().setSlowStartBudgetFactor(1);
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
