package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import loadbalancer.policy.EndpointState;
import loadbalancer.simulator.engine.RandomStream;

/** Turns a plan's troubles into events. What each kind's figures mean stands beside its name. */
public final class Timeline {
    private static final long SECOND = 1_000_000;

    /** The kinds of trouble, each with what its figures mean. */
    public static final Map<String, String> KINDS = Map.ofEntries(
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

    /** One trouble as it was drawn: from when to when, in µs of the day. */
    public record FaultInterval(String kind, long from, long to) {}

    private final World world;
    private final List<FaultInterval> faultIntervals = new ArrayList<>();
    private String of; // the pool that the trouble being installed concerns

    Timeline(World world) {
        this.world = world;
    }

    void install() {
        List<WorldPlan.Fault> faults = world.plan.faults();
        for (int i = 0; i < faults.size(); i++) {
            WorldPlan.Fault fault = faults.get(i);
            RandomStream random = world.streams.of("trouble", i, fault.kind());
            long from = World.DAY_START + Math.round(fault.at().draw(random));
            long length = Math.round(fault.length().draw(random));
            double part = fault.fraction().draw(random);
            double size = fault.size().draw(random);
            double extra = fault.extra().draw(random);
            if (fault.kind().equals("burst")) {
                world.clients.raiseMaxBurst(size);
            }
            faultIntervals.add(
                    new FaultInterval(fault.kind(), from - World.DAY_START, from + length - World.DAY_START));
            of = fault.pool();
            install(fault.kind(), from, length, part, size, extra, random);
        }
        world.faultIntervals(faultIntervals);
    }

    private void install(
            String kind, long from, long length, double part, double size, double extra, RandomStream random) {
        switch (kind) {
            case "slow" -> some(
                    part, from, length, random, (u, now) -> u.slowdown(size, now), (u, now) -> u.slowdown(1, now));
            case "shared_slow" -> some(
                    1, from, length, random, (u, now) -> u.slowdown(size, now), (u, now) -> u.slowdown(1, now));
            case "fast_errors" -> some(
                    part, from, length, random, (u, now) -> u.failingFraction(size), (u, now) -> u.failingFraction(0));
            case "garble" -> some(
                    part,
                    from,
                    length,
                    random,
                    (u, now) -> u.corruptingFraction(size),
                    (u, now) -> u.corruptingFraction(0));
            case "settings_changed" -> during(
                    from,
                    length,
                    now -> reconfigure((int) Math.max(1, size), now),
                    now -> reconfigure(world.plan.rules().maxAttempts(), now));
            case "grey" -> some(
                    part,
                    from,
                    length,
                    random,
                    (u, now) -> {
                        u.failingFraction(size);
                        u.slowdown(Math.max(1, extra), now);
                    },
                    (u, now) -> {
                        u.failingFraction(0);
                        u.slowdown(1, now);
                    });
            case "hot_key" -> during(
                    from,
                    length,
                    now -> world.clients.setHotKeys(size, (int) Math.round(extra)),
                    now -> world.clients.setHotKeys(0, 1));
            case "deploy" -> deploy(from, length, part, size, Math.round(extra * SECOND), random);
            case "same_address" -> world.simulation.at(from, now -> {
                for (Upstream upstream : picked(part, random)) {
                    end(upstream, false, now);
                    begin(upstream, upstream.address, 0, now);
                }
            });
            case "rack_lost" -> rackLost(from, length, size > 0, random);
            case "death" -> some(
                    part,
                    from,
                    length,
                    random,
                    (u, now) -> {
                        if (size > 0) {
                            u.setSilent(true);
                            gone(u, true);
                        } else {
                            end(u, false, now);
                        }
                    },
                    (u, now) -> {
                        if (u.alive()) {
                            u.terminate(now);
                            world.processes().forEach(b -> b.connectionsLost(u));
                        }
                        begin(u, world.freshAddress(), 0, now);
                    });
            case "restart" -> some(
                    part,
                    from,
                    length,
                    random,
                    (u, now) -> restart(u, Math.round(extra * SECOND), now),
                    (u, now) -> {});
            case "zone_cut" -> zoneCut(from, length, true, random);
            case "zone_cut_one_way" -> zoneCut(from, length, false, random);
            case "register_down" -> during(
                    from, length, now -> world.discovery.setDown(true), now -> world.discovery.setDown(false));
            case "register_twice" -> during(
                    from,
                    length,
                    now -> world.discovery.setDuplicateEntries(true),
                    now -> world.discovery.setDuplicateEntries(false));
            case "balancers_killed" -> balancersKilled(from, length, part, random);
            case "balancers_restarted" -> balancersRestarted(from, length, part, Math.round(extra * SECOND), random);
            case "balancers_upgraded" -> balancersUpgraded(from, length, part, random);
            case "retry_storm" -> during(
                    from,
                    length,
                    now -> world.clients.setRetryStorm((int) Math.round(size)),
                    now -> world.clients.setRetryStorm(0));
            case "burst" -> during(from, length, now -> world.clients.setBurst(size), now -> world.clients.setBurst(1));
            case "tenant_flood" -> world.simulation.at(
                    from, now -> world.clients.flood((int) Math.round(extra), size, now + length));
            case "clock_step" -> world.simulation.at(from, now -> {
                for (Upstream upstream : picked(part, random)) {
                    if (upstream.reportedStart() > 0) {
                        upstream.shiftReportedStart(Math.round(extra * SECOND));
                        world.discovery.changed(world.endpoint(upstream, EndpointState.UP), 0);
                    }
                }
            });
            case "taken_out" -> takenOut(from, length, part, random);
            case "network_slow" -> during(
                    from, length, now -> world.network.setDelayFactor(size), now -> world.network.setDelayFactor(1));
            case "loss" -> {
                double usual = world.network.loss();
                during(from, length, now -> world.network.loss(size), now -> world.network.loss(usual));
            }
            default -> throw new IllegalArgumentException("no trouble '" + kind + "'");
        }
    }

    private void reconfigure(int attempts, long now) {
        int[] classes =
                java.util.stream.IntStream.range(0, world.plan.classes().size()).toArray();
        int[] tenants =
                java.util.stream.IntStream.range(0, world.plan.tenants().size()).toArray();
        for (Balancer balancer : world.processes()) {
            if (balancer.alive()) {
                balancer.policy()
                        .reconfigure(now, world.settings(balancer.rank, balancer.zone, attempts), classes, tenants);
            }
        }
    }

    private interface Change {
        void to(Upstream upstream, long now);
    }

    private void during(long from, long length, LongConsumer begin, LongConsumer end) {
        world.simulation.at(from, begin::accept);
        world.simulation.at(from + length, end::accept);
    }

    private void some(double part, long from, long length, RandomStream random, Change begin, Change end) {
        List<Upstream> chosen = new ArrayList<>();
        String pool = of;
        during(
                from,
                length,
                now -> {
                    chosen.addAll(picked(part, pool, random));
                    chosen.forEach(u -> begin.to(u, now));
                },
                now -> chosen.forEach(u -> end.to(u, now)));
    }

    // The draw goes by a number for each upstream, not by the order of a list: what else has happened leaves it be.
    private List<Upstream> picked(double part, RandomStream random) {
        return picked(part, null, random);
    }

    private List<Upstream> picked(double part, String pool, RandomStream random) {
        List<Upstream> running = new ArrayList<>();
        for (Upstream upstream : world.upstreams) {
            boolean meant = pool == null
                    || world.plan.kinds().get(upstream.kindNumber).pool().equals(pool);
            if (meant && upstream.alive() && !upstream.draining()) {
                running.add(upstream);
            }
        }
        long salt = random.bits();
        running.sort(Comparator.comparingDouble(u -> IndexedRandom.uniform(salt, u.address, 1)));
        int many = Math.min(running.size(), Math.max(1, (int) Math.round(part * running.size())));
        return new ArrayList<>(running.subList(0, running.isEmpty() ? 0 : many));
    }

    private void gone(Upstream upstream, boolean silently) {
        WorldPlan.Discovery discovery = world.plan.discovery();
        Range late = silently ? discovery.silentFailureNotice() : discovery.noticeDelay();
        world.discovery.changed(world.endpoint(upstream, EndpointState.GONE), Math.round(late.midpoint()));
    }

    private void end(Upstream upstream, boolean silently, long now) {
        upstream.terminate(now);
        world.processes().forEach(b -> b.connectionsLost(upstream));
        gone(upstream, silently);
    }

    /** A successor of {@code u} at that address under a new id; it starts after {@code late} µs. */
    private void begin(Upstream upstream, int address, long late, long now) {
        world.simulation.at(now + late, at -> {
            Upstream next = world.start(upstream.kindNumber, upstream.rack, address, at);
            world.discovery.changed(
                    world.endpoint(next, EndpointState.UP),
                    Math.round(world.plan.discovery().registrationDelay().midpoint()));
        });
    }

    private void restart(Upstream upstream, long late, long now) {
        if (!upstream.alive()) {
            return;
        }
        upstream.terminate(now);
        world.processes().forEach(b -> b.connectionsLost(upstream));
        world.simulation.at(now + late, at -> {
            Upstream next = world.restart(upstream, at);
            world.discovery.changed(
                    world.endpoint(next, EndpointState.UP),
                    Math.round(world.plan.discovery().registrationDelay().midpoint()));
        });
    }

    private void deploy(long from, long length, double part, double batch, long drain, RandomStream random) {
        world.simulation.at(from, begin -> {
            List<Upstream> all = picked(part, random);
            int many = Math.max(1, (int) Math.round(batch * all.size() / Math.max(part, 0.01)));
            int rounds = (all.size() + many - 1) / many;
            for (int i = 0; i < all.size(); i++) {
                Upstream upstream = all.get(i);
                world.simulation.at(begin + length * (i / many) / Math.max(1, rounds), now -> {
                    if (!upstream.alive()) {
                        return;
                    }
                    upstream.startDraining();
                    world.discovery.changed(
                            world.endpoint(upstream, EndpointState.DRAINING),
                            Math.round(world.plan.discovery().noticeDelay().midpoint()));
                    world.simulation.at(now + drain, then -> {
                        if (upstream.alive()) {
                            end(upstream, false, then);
                            begin(upstream, world.freshAddress(), 0, then);
                        }
                    });
                });
            }
        });
    }

    private void rackLost(long from, long length, boolean silently, RandomStream random) {
        int number = world.racks.isEmpty() ? 0 : random.below(world.racks.size());
        List<Upstream> lost = new ArrayList<>();
        during(
                from,
                length,
                now -> {
                    if (!world.racks.isEmpty()) {
                        lost.addAll(world.racks.get(number).members);
                    }
                    for (Upstream upstream : lost) {
                        if (silently) {
                            upstream.setSilent(true);
                            gone(upstream, true);
                        } else {
                            end(upstream, false, now);
                        }
                    }
                },
                now -> {
                    for (Upstream upstream : lost) {
                        if (upstream.alive()) {
                            upstream.terminate(now);
                            world.processes().forEach(b -> b.connectionsLost(upstream));
                        }
                        Upstream next = world.restart(upstream, now);
                        world.discovery.changed(
                                world.endpoint(next, EndpointState.UP),
                                Math.round(world.plan
                                        .discovery()
                                        .registrationDelay()
                                        .midpoint()));
                    }
                });
    }

    private void zoneCut(long from, long length, boolean both, RandomStream random) {
        int zones = world.plan.zones().size();
        int zone = random.below(zones);
        during(from, length, now -> cut(zone, zones, both, true), now -> cut(zone, zones, both, false));
    }

    private void cut(int zone, int zones, boolean both, boolean on) {
        for (int other = 0; other < zones; other++) {
            if (other != zone) {
                world.network.cut(zone, other, on);
                if (both) {
                    world.network.cut(other, zone, on);
                }
            }
        }
    }

    private List<BalancerSlot> slots(double part, RandomStream random) {
        List<BalancerSlot> all = new ArrayList<>(world.slots);
        long salt = random.bits();
        all.sort(Comparator.comparingDouble(s -> IndexedRandom.uniform(salt, s.rank, 2)));
        return all.subList(0, Math.min(all.size(), Math.max(1, (int) Math.round(part * all.size()))));
    }

    private void balancersKilled(long from, long length, double part, RandomStream random) {
        for (BalancerSlot slot : slots(part, random)) {
            world.simulation.at(from, now -> {
                Balancer balancer = slot.serving();
                if (balancer != null) {
                    balancer.kill(now);
                    world.simulation.at(
                            now + world.failureDetectionMicros, at -> slot.admitted(slot.serving() != null));
                }
            });
            world.simulation.at(from + length, now -> {
                if (slot.serving() == null) {
                    world.startBalancer(slot, null);
                    world.simulation.at(now + world.failureDetectionMicros, at -> slot.admitted(true));
                }
            });
        }
    }

    // A planned restart: the front is told at once, what is open is answered or cut after the longest deadline.
    private void balancersRestarted(long from, long length, double part, long start, RandomStream random) {
        List<BalancerSlot> chosen = slots(part, random);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot slot = chosen.get(i);
            world.simulation.at(from + length * i / chosen.size(), now -> {
                Balancer old = slot.serving();
                if (old == null) {
                    return;
                }
                slot.admitted(false);
                world.simulation.at(now + longestDeadline(), at -> {
                    if (old.alive()) {
                        old.kill(at);
                    }
                });
                world.simulation.at(now + longestDeadline() + start, at -> {
                    world.startBalancer(slot, null);
                    slot.admitted(true);
                });
            });
        }
    }

    private long longestDeadline() {
        return world.plan.classes().stream()
                .mapToLong(WorldPlan.RequestKind::deadline)
                .max()
                .orElse(0);
    }

    private void balancersUpgraded(long from, long length, double part, RandomStream random) {
        List<BalancerSlot> chosen = slots(part, random);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot slot = chosen.get(i);
            world.simulation.at(from + length * i / chosen.size(), now -> {
                Balancer old = slot.serving();
                if (old == null) {
                    return;
                }
                Balancer next = world.startBalancer(slot, old.policy().learnedState(now));
                old.policy().setSlowStartFraction(0.5);
                next.policy().setSlowStartFraction(0.5);
                world.simulation.at(now + longestDeadline() + 700_000, at -> {
                    if (old.alive()) {
                        old.kill(at);
                    }
                    next.policy().setSlowStartFraction(1);
                });
            });
        }
    }

    private void takenOut(long from, long length, double part, RandomStream random) {
        List<String> out = new ArrayList<>();
        during(
                from,
                length,
                now -> {
                    for (Upstream upstream : picked(part, random)) {
                        out.add(upstream.id);
                        for (Balancer balancer : List.copyOf(world.processes())) {
                            balancer.setOperatorDrained(upstream.id, true, now);
                        }
                        world.simulation.at(now + length / 2, at -> restart(upstream, SECOND / 2, at));
                    }
                },
                now -> {
                    for (String id : out) {
                        for (Balancer balancer : List.copyOf(world.processes())) {
                            balancer.setOperatorDrained(id, false, now);
                        }
                    }
                });
    }
}
