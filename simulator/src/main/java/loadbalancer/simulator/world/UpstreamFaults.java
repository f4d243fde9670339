package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import loadbalancer.policy.EndpointState;

/** Schedules the faults of upstreams: slowness, failures, ends, restarts, deployments and drains by operators. */
final class UpstreamFaults {
    private static final long SECOND = 1_000_000;
    /** Below this fraction of the fleet, batches of a deployment no longer grow. */
    private static final double MIN_DEPLOYED_FRACTION = 0.01;

    private interface Change {
        void to(Upstream upstream, long now);
    }

    private final World world;

    UpstreamFaults(World world) {
        this.world = world;
    }

    void schedule(DrawnFault fault) {
        double size = fault.size();
        switch (fault.kind()) {
            case "slow" -> whileItLasts(
                    fault, fault.fraction(), (u, now) -> u.slowdown(size, now), (u, now) -> u.slowdown(1, now));
            case "shared_slow" -> whileItLasts(
                    fault, 1, (u, now) -> u.slowdown(size, now), (u, now) -> u.slowdown(1, now));
            case "fast_errors" -> whileItLasts(
                    fault, fault.fraction(), (u, now) -> u.failingFraction(size), (u, now) -> u.failingFraction(0));
            case "garble" -> whileItLasts(
                    fault,
                    fault.fraction(),
                    (u, now) -> u.corruptingFraction(size),
                    (u, now) -> u.corruptingFraction(0));
            case "grey" -> scheduleGreyFailure(fault);
            case "deploy" -> scheduleDeployment(fault);
            case "same_address" -> scheduleReplacement(fault);
            case "rack_lost" -> scheduleRackLoss(fault);
            case "death" -> scheduleDeaths(fault);
            case "restart" -> whileItLasts(
                    fault, fault.fraction(), (u, now) -> restart(u, fault.extraMicros(), now), (u, now) -> {});
            case "clock_step" -> scheduleClockStep(fault);
            case "taken_out" -> scheduleOperatorDrain(fault);
            default -> throw new IllegalArgumentException("no fault of upstreams: " + fault.kind());
        }
    }

    private void whileItLasts(DrawnFault fault, double fraction, Change begin, Change end) {
        List<Upstream> chosen = new ArrayList<>();
        fault.during(
                world,
                now -> {
                    chosen.addAll(pick(fault, fraction, fault.pool()));
                    chosen.forEach(u -> begin.to(u, now));
                },
                now -> chosen.forEach(u -> end.to(u, now)));
    }

    // The draw goes by a number for each upstream, not by the order of a list: what else has happened leaves it be.
    private List<Upstream> pick(DrawnFault fault, double fraction, String pool) {
        List<Upstream> running = new ArrayList<>();
        for (Upstream upstream : world.upstreams) {
            boolean concerned = pool == null
                    || world.plan.kinds().get(upstream.kindNumber).pool().equals(pool);
            if (concerned && upstream.alive() && !upstream.draining()) {
                running.add(upstream);
            }
        }
        long salt = fault.random().bits();
        running.sort(Comparator.comparingDouble(u -> IndexedRandom.uniform(salt, u.address, 1)));
        int count = Math.min(running.size(), Math.max(1, (int) Math.round(fraction * running.size())));
        return new ArrayList<>(running.subList(0, running.isEmpty() ? 0 : count));
    }

    private void scheduleGreyFailure(DrawnFault fault) {
        whileItLasts(
                fault,
                fault.fraction(),
                (u, now) -> {
                    u.failingFraction(fault.size());
                    u.slowdown(Math.max(1, fault.extra()), now);
                },
                (u, now) -> {
                    u.failingFraction(0);
                    u.slowdown(1, now);
                });
    }

    private void scheduleReplacement(DrawnFault fault) {
        world.simulation.at(fault.from(), now -> {
            for (Upstream upstream : pick(fault, fault.fraction(), null)) {
                end(upstream, now);
                startSuccessor(upstream, upstream.address, now);
            }
        });
    }

    private void scheduleDeaths(DrawnFault fault) {
        whileItLasts(fault, fault.fraction(), (u, now) -> endOrFallSilent(u, fault.size() > 0, now), (u, now) -> {
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
                    lost.forEach(u -> endOrFallSilent(u, fault.size() > 0, now));
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
        world.simulation.at(now + drainMicros, then -> {
            if (upstream.alive()) {
                end(upstream, then);
                startSuccessor(upstream, world.freshAddress(), then);
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
                        world.simulation.at(now + fault.length() / 2, at -> restart(upstream, SECOND / 2, at));
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

    private void endOrFallSilent(Upstream upstream, boolean silently, long now) {
        if (silently) {
            upstream.setSilent(true);
            listGone(upstream, world.plan.discovery().silentFailureNotice());
        } else {
            end(upstream, now);
        }
    }

    private void end(Upstream upstream, long now) {
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

    /** Starts a successor under a new id, at that address. */
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
