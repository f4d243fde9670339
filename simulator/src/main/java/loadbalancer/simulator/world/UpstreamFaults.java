package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import loadbalancer.policy.EndpointState;

/** Schedules the faults of upstreams: slowdowns, failures, deaths, restarts, deployments and operator drains. */
final class UpstreamFaults {
    private static final long SECOND_MICROS = 1_000_000;
    /** Lower bound for the fraction of the fleet that batch sizes are divided by; below it, batches don't grow. */
    private static final double MIN_DEPLOYED_FRACTION = 0.01;

    private interface Change {
        void applyTo(Upstream upstream, long now);
    }

    private final World world;

    UpstreamFaults(World world) {
        this.world = world;
    }

    void schedule(DrawnFault fault) {
        double size = fault.size();
        switch (fault.kind()) {
            case "slow" -> applyDuring(
                    fault, fault.fraction(), (u, now) -> u.setSlowdown(size, now), (u, now) -> u.setSlowdown(1, now));
            case "shared_slow" -> applyDuring(
                    fault, 1, (u, now) -> u.setSlowdown(size, now), (u, now) -> u.setSlowdown(1, now));
            case "fast_errors" -> applyDuring(
                    fault,
                    fault.fraction(),
                    (u, now) -> u.setFailingFraction(size),
                    (u, now) -> u.setFailingFraction(0));
            case "garble" -> applyDuring(
                    fault,
                    fault.fraction(),
                    (u, now) -> u.setCorruptingFraction(size),
                    (u, now) -> u.setCorruptingFraction(0));
            case "grey" -> scheduleGreyFailure(fault);
            case "deploy" -> scheduleDeployment(fault);
            case "same_address" -> scheduleReplacement(fault);
            case "rack_lost" -> scheduleRackLoss(fault);
            case "death" -> scheduleDeaths(fault);
            case "restart" -> applyDuring(
                    fault, fault.fraction(), (u, now) -> restart(u, fault.extraMicros(), now), (u, now) -> {});
            case "clock_step" -> scheduleClockStep(fault);
            case "taken_out" -> scheduleOperatorDrain(fault);
            default -> throw new IllegalArgumentException("unknown upstream fault '" + fault.kind() + "'");
        }
    }

    private void applyDuring(DrawnFault fault, double fraction, Change begin, Change end) {
        List<Upstream> chosen = new ArrayList<>();
        fault.during(
                world,
                now -> {
                    chosen.addAll(pick(fault, fraction, fault.pool()));
                    chosen.forEach(u -> begin.applyTo(u, now));
                },
                now -> chosen.forEach(u -> end.applyTo(u, now)));
    }

    // Each upstream's draw is a function of its address, so that it doesn't depend on earlier events or list order.
    private List<Upstream> pick(DrawnFault fault, double fraction, String pool) {
        List<Upstream> running = new ArrayList<>();
        for (Upstream upstream : world.upstreams) {
            boolean inPool = pool == null
                    || world.plan.kinds().get(upstream.kindNumber).pool().equals(pool);
            if (inPool && upstream.alive() && !upstream.draining()) {
                running.add(upstream);
            }
        }
        long salt = fault.random().bits();
        running.sort(Comparator.comparingDouble(u -> IndexedRandom.uniform(salt, u.address, 1)));
        int count = Math.min(running.size(), Math.max(1, (int) Math.round(fraction * running.size())));
        return new ArrayList<>(running.subList(0, running.isEmpty() ? 0 : count));
    }

    private void scheduleGreyFailure(DrawnFault fault) {
        applyDuring(
                fault,
                fault.fraction(),
                (u, now) -> {
                    u.setFailingFraction(fault.size());
                    u.setSlowdown(Math.max(1, fault.extra()), now);
                },
                (u, now) -> {
                    u.setFailingFraction(0);
                    u.setSlowdown(1, now);
                });
    }

    private void scheduleReplacement(DrawnFault fault) {
        world.simulation.at(fault.from(), now -> {
            for (Upstream upstream : pick(fault, fault.fraction(), null)) {
                terminateAndDelist(upstream, now);
                startSuccessor(upstream, upstream.address, now);
            }
        });
    }

    private void scheduleDeaths(DrawnFault fault) {
        applyDuring(fault, fault.fraction(), (u, now) -> terminateOrSilence(u, fault.size() > 0, now), (u, now) -> {
            terminateIfAlive(u, now);
            startSuccessor(u, world.freshAddress(), now);
        });
    }

    private void scheduleRackLoss(DrawnFault fault) {
        int number = world.racks.isEmpty() ? 0 : fault.random().below(world.racks.size());
        List<Upstream> lost = new ArrayList<>();
        fault.during(
                world,
                now -> {
                    if (!world.racks.isEmpty()) {
                        lost.addAll(world.racks.get(number).members);
                    }
                    lost.forEach(u -> terminateOrSilence(u, fault.size() > 0, now));
                },
                now -> {
                    for (Upstream upstream : lost) {
                        terminateIfAlive(upstream, now);
                        listStarted(world.restart(upstream, now));
                    }
                });
    }

    private void scheduleClockStep(DrawnFault fault) {
        world.simulation.at(fault.from(), now -> {
            for (Upstream upstream : pick(fault, fault.fraction(), null)) {
                if (upstream.reportedStart() > 0) {
                    upstream.shiftReportedStart(fault.extraMicros());
                    world.discovery.changed(world.endpoint(upstream, EndpointState.UP), 0);
                }
            }
        });
    }

    private void scheduleDeployment(DrawnFault fault) {
        world.simulation.at(fault.from(), begin -> {
            List<Upstream> all = pick(fault, fault.fraction(), null);
            int batch = Math.max(
                    1, (int) Math.round(fault.size() * all.size() / Math.max(fault.fraction(), MIN_DEPLOYED_FRACTION)));
            int batches = (all.size() + batch - 1) / batch;
            for (int i = 0; i < all.size(); i++) {
                Upstream upstream = all.get(i);
                long at = begin + fault.length() * (i / batch) / Math.max(1, batches);
                world.simulation.at(at, now -> drainAndReplace(upstream, fault.extraMicros(), now));
            }
        });
    }

    private void drainAndReplace(Upstream upstream, long drainMicros, long now) {
        if (!upstream.alive()) {
            return;
        }
        upstream.startDraining();
        world.discovery.changed(
                world.endpoint(upstream, EndpointState.DRAINING),
                Math.round(world.plan.discovery().noticeDelay().midpoint()));
        world.simulation.at(now + drainMicros, endsAt -> {
            if (upstream.alive()) {
                terminateAndDelist(upstream, endsAt);
                startSuccessor(upstream, world.freshAddress(), endsAt);
            }
        });
    }

    private void scheduleOperatorDrain(DrawnFault fault) {
        List<String> drained = new ArrayList<>();
        fault.during(
                world,
                now -> {
                    for (Upstream upstream : pick(fault, fault.fraction(), null)) {
                        drained.add(upstream.id);
                        setOperatorDrained(upstream.id, true, now);
                        world.simulation.at(now + fault.length() / 2, at -> restart(upstream, SECOND_MICROS / 2, at));
                    }
                },
                now -> drained.forEach(id -> setOperatorDrained(id, false, now)));
    }

    private void setOperatorDrained(String id, boolean drained, long now) {
        for (Balancer balancer : List.copyOf(world.processes())) {
            balancer.setOperatorDrained(id, drained, now);
        }
    }

    // ---- ends and starts of processes

    private void terminateOrSilence(Upstream upstream, boolean silently, long now) {
        if (silently) {
            upstream.setSilent(true);
            listGone(upstream, world.plan.discovery().silentFailureNotice());
        } else {
            terminateAndDelist(upstream, now);
        }
    }

    private void terminateAndDelist(Upstream upstream, long now) {
        terminate(upstream, now);
        listGone(upstream, world.plan.discovery().noticeDelay());
    }

    private void terminate(Upstream upstream, long now) {
        upstream.terminate(now);
        world.processes().forEach(balancer -> balancer.connectionsLost(upstream));
    }

    private void terminateIfAlive(Upstream upstream, long now) {
        if (upstream.alive()) {
            terminate(upstream, now);
        }
    }

    private void restart(Upstream upstream, long downMicros, long now) {
        if (!upstream.alive()) {
            return;
        }
        terminate(upstream, now);
        world.simulation.at(now + downMicros, at -> listStarted(world.restart(upstream, at)));
    }

    /** Starts a successor of the upstream under a new id, at {@code address}. */
    private void startSuccessor(Upstream upstream, int address, long now) {
        world.simulation.at(now, at -> listStarted(world.start(upstream.kindNumber, upstream.rack, address, at)));
    }

    private void listStarted(Upstream upstream) {
        world.discovery.changed(
                world.endpoint(upstream, EndpointState.UP),
                Math.round(world.plan.discovery().registrationDelay().midpoint()));
    }

    private void listGone(Upstream upstream, Range delay) {
        world.discovery.changed(world.endpoint(upstream, EndpointState.GONE), Math.round(delay.midpoint()));
    }
}
