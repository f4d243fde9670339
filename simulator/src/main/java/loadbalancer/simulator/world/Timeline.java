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
    private final List<FaultInterval> spells = new ArrayList<>();
    private String of; // the pool that the trouble being installed concerns

    Timeline(World world) {
        this.world = world;
    }

    void install() {
        List<WorldPlan.Fault> troubles = world.plan.troubles();
        for (int i = 0; i < troubles.size(); i++) {
            WorldPlan.Fault t = troubles.get(i);
            RandomStream draws = world.streams.of("trouble", i, t.kind());
            long from = World.BEGIN + Math.round(t.at().draw(draws));
            long length = Math.round(t.length().draw(draws));
            double part = t.part().draw(draws);
            double size = t.size().draw(draws);
            double extra = t.extra().draw(draws);
            if (t.kind().equals("burst")) {
                world.clients.burstMost(size);
            }
            spells.add(new FaultInterval(t.kind(), from - World.BEGIN, from + length - World.BEGIN));
            of = t.of();
            install(t.kind(), from, length, part, size, extra, draws);
        }
        world.spells(spells);
    }

    private void install(
            String kind, long from, long length, double part, double size, double extra, RandomStream draws) {
        switch (kind) {
            case "slow" -> some(part, from, length, draws, (u, now) -> u.slow(size, now), (u, now) -> u.slow(1, now));
            case "shared_slow" -> some(
                    1, from, length, draws, (u, now) -> u.slow(size, now), (u, now) -> u.slow(1, now));
            case "fast_errors" -> some(
                    part, from, length, draws, (u, now) -> u.failing(size), (u, now) -> u.failing(0));
            case "garble" -> some(part, from, length, draws, (u, now) -> u.spoiling(size), (u, now) -> u.spoiling(0));
            case "settings_changed" -> during(
                    from,
                    length,
                    now -> reconfigure((int) Math.max(1, size), now),
                    now -> reconfigure(world.plan.rules().maxAttempts(), now));
            case "grey" -> some(
                    part,
                    from,
                    length,
                    draws,
                    (u, now) -> {
                        u.failing(size);
                        u.slow(Math.max(1, extra), now);
                    },
                    (u, now) -> {
                        u.failing(0);
                        u.slow(1, now);
                    });
            case "hot_key" -> during(
                    from,
                    length,
                    now -> world.clients.hot(size, (int) Math.round(extra)),
                    now -> world.clients.hot(0, 1));
            case "deploy" -> deploy(from, length, part, size, Math.round(extra * SECOND), draws);
            case "same_address" -> world.simulation.at(from, now -> {
                for (Upstream u : picked(part, draws)) {
                    end(u, false, now);
                    begin(u, u.address, 0, now);
                }
            });
            case "rack_lost" -> rackLost(from, length, size > 0, draws);
            case "death" -> some(
                    part,
                    from,
                    length,
                    draws,
                    (u, now) -> {
                        if (size > 0) {
                            u.silence(true);
                            gone(u, true);
                        } else {
                            end(u, false, now);
                        }
                    },
                    (u, now) -> {
                        if (u.alive()) {
                            u.die(now);
                            world.processes().forEach(b -> b.broken(u));
                        }
                        begin(u, world.freshAddress(), 0, now);
                    });
            case "restart" -> some(
                    part, from, length, draws, (u, now) -> restart(u, Math.round(extra * SECOND), now), (u, now) -> {});
            case "zone_cut" -> zoneCut(from, length, true, draws);
            case "zone_cut_one_way" -> zoneCut(from, length, false, draws);
            case "register_down" -> during(
                    from, length, now -> world.register.down(true), now -> world.register.down(false));
            case "register_twice" -> during(
                    from, length, now -> world.register.listsTwice(true), now -> world.register.listsTwice(false));
            case "balancers_killed" -> balancersKilled(from, length, part, draws);
            case "balancers_restarted" -> balancersRestarted(from, length, part, Math.round(extra * SECOND), draws);
            case "balancers_upgraded" -> balancersUpgraded(from, length, part, draws);
            case "retry_storm" -> during(
                    from, length, now -> world.clients.storm((int) Math.round(size)), now -> world.clients.storm(0));
            case "burst" -> during(from, length, now -> world.clients.burst(size), now -> world.clients.burst(1));
            case "tenant_flood" -> world.simulation.at(
                    from, now -> world.clients.flood((int) Math.round(extra), size, now + length));
            case "clock_step" -> world.simulation.at(from, now -> {
                for (Upstream u : picked(part, draws)) {
                    if (u.saidStart() > 0) {
                        u.misstate(Math.round(extra * SECOND));
                        world.register.changed(world.entry(u, EndpointState.UP), 0);
                    }
                }
            });
            case "taken_out" -> takenOut(from, length, part, draws);
            case "network_slow" -> during(
                    from, length, now -> world.network.stretch(size), now -> world.network.stretch(1));
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
        for (Balancer b : world.processes()) {
            if (b.alive()) {
                b.policy().reconfigure(now, world.settings(b.rank, b.zone, attempts), classes, tenants);
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

    private void some(double part, long from, long length, RandomStream draws, Change begin, Change end) {
        List<Upstream> chosen = new ArrayList<>();
        String pool = of;
        during(
                from,
                length,
                now -> {
                    chosen.addAll(picked(part, pool, draws));
                    chosen.forEach(u -> begin.to(u, now));
                },
                now -> chosen.forEach(u -> end.to(u, now)));
    }

    // The draw goes by a number for each upstream, not by the order of a list: what else has happened leaves it be.
    private List<Upstream> picked(double part, RandomStream draws) {
        return picked(part, null, draws);
    }

    private List<Upstream> picked(double part, String pool, RandomStream draws) {
        List<Upstream> running = new ArrayList<>();
        for (Upstream u : world.upstreams) {
            boolean meant =
                    pool == null || world.plan.kinds().get(u.kindNumber).pool().equals(pool);
            if (meant && u.alive() && !u.draining()) {
                running.add(u);
            }
        }
        long salt = draws.bits();
        running.sort(Comparator.comparingDouble(u -> IndexedRandom.uniform(salt, u.address, 1)));
        int many = Math.min(running.size(), Math.max(1, (int) Math.round(part * running.size())));
        return new ArrayList<>(running.subList(0, running.isEmpty() ? 0 : many));
    }

    private void gone(Upstream u, boolean silently) {
        WorldPlan.Discovery d = world.plan.discovery();
        Range late = silently ? d.silentNotice() : d.notice();
        world.register.changed(world.entry(u, EndpointState.GONE), Math.round(late.middle()));
    }

    private void end(Upstream u, boolean silently, long now) {
        u.die(now);
        world.processes().forEach(b -> b.broken(u));
        gone(u, silently);
    }

    /** A successor of {@code u} at that address under a new id; it starts after {@code late} µs. */
    private void begin(Upstream u, int address, long late, long now) {
        world.simulation.at(now + late, at -> {
            Upstream next = world.start(u.kindNumber, u.rack, address, at);
            world.register.changed(
                    world.entry(next, EndpointState.UP),
                    Math.round(world.plan.discovery().add().middle()));
        });
    }

    private void restart(Upstream u, long late, long now) {
        if (!u.alive()) {
            return;
        }
        u.die(now);
        world.processes().forEach(b -> b.broken(u));
        world.simulation.at(now + late, at -> {
            Upstream next = world.again(u, at);
            world.register.changed(
                    world.entry(next, EndpointState.UP),
                    Math.round(world.plan.discovery().add().middle()));
        });
    }

    private void deploy(long from, long length, double part, double batch, long drain, RandomStream draws) {
        world.simulation.at(from, begin -> {
            List<Upstream> all = picked(part, draws);
            int many = Math.max(1, (int) Math.round(batch * all.size() / Math.max(part, 0.01)));
            int rounds = (all.size() + many - 1) / many;
            for (int i = 0; i < all.size(); i++) {
                Upstream u = all.get(i);
                world.simulation.at(begin + length * (i / many) / Math.max(1, rounds), now -> {
                    if (!u.alive()) {
                        return;
                    }
                    u.drain();
                    world.register.changed(
                            world.entry(u, EndpointState.DRAINING),
                            Math.round(world.plan.discovery().notice().middle()));
                    world.simulation.at(now + drain, then -> {
                        if (u.alive()) {
                            end(u, false, then);
                            begin(u, world.freshAddress(), 0, then);
                        }
                    });
                });
            }
        });
    }

    private void rackLost(long from, long length, boolean silently, RandomStream draws) {
        int number = world.racks.isEmpty() ? 0 : draws.below(world.racks.size());
        List<Upstream> lost = new ArrayList<>();
        during(
                from,
                length,
                now -> {
                    if (!world.racks.isEmpty()) {
                        lost.addAll(world.racks.get(number).members);
                    }
                    for (Upstream u : lost) {
                        if (silently) {
                            u.silence(true);
                            gone(u, true);
                        } else {
                            end(u, false, now);
                        }
                    }
                },
                now -> {
                    for (Upstream u : lost) {
                        if (u.alive()) {
                            u.die(now);
                            world.processes().forEach(b -> b.broken(u));
                        }
                        Upstream next = world.again(u, now);
                        world.register.changed(
                                world.entry(next, EndpointState.UP),
                                Math.round(world.plan.discovery().add().middle()));
                    }
                });
    }

    private void zoneCut(long from, long length, boolean both, RandomStream draws) {
        int zones = world.plan.zones().size();
        int zone = draws.below(zones);
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

    private List<BalancerSlot> slots(double part, RandomStream draws) {
        List<BalancerSlot> all = new ArrayList<>(world.slots);
        long salt = draws.bits();
        all.sort(Comparator.comparingDouble(s -> IndexedRandom.uniform(salt, s.rank, 2)));
        return all.subList(0, Math.min(all.size(), Math.max(1, (int) Math.round(part * all.size()))));
    }

    private void balancersKilled(long from, long length, double part, RandomStream draws) {
        for (BalancerSlot s : slots(part, draws)) {
            world.simulation.at(from, now -> {
                Balancer b = s.serving();
                if (b != null) {
                    b.die(now);
                    world.simulation.at(now + world.notice, at -> s.admitted(s.serving() != null));
                }
            });
            world.simulation.at(from + length, now -> {
                if (s.serving() == null) {
                    world.boot(s, null);
                    world.simulation.at(now + world.notice, at -> s.admitted(true));
                }
            });
        }
    }

    // A planned restart: the front is told at once, what is open is answered or cut after the longest deadline.
    private void balancersRestarted(long from, long length, double part, long start, RandomStream draws) {
        List<BalancerSlot> chosen = slots(part, draws);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot s = chosen.get(i);
            world.simulation.at(from + length * i / chosen.size(), now -> {
                Balancer old = s.serving();
                if (old == null) {
                    return;
                }
                s.admitted(false);
                world.simulation.at(now + longestDeadline(), at -> {
                    if (old.alive()) {
                        old.die(at);
                    }
                });
                world.simulation.at(now + longestDeadline() + start, at -> {
                    world.boot(s, null);
                    s.admitted(true);
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

    private void balancersUpgraded(long from, long length, double part, RandomStream draws) {
        List<BalancerSlot> chosen = slots(part, draws);
        for (int i = 0; i < chosen.size(); i++) {
            BalancerSlot s = chosen.get(i);
            world.simulation.at(from + length * i / chosen.size(), now -> {
                Balancer old = s.serving();
                if (old == null) {
                    return;
                }
                Balancer next = world.boot(s, old.policy().learnedState(now));
                old.policy().setSlowStartFraction(0.5);
                next.policy().setSlowStartFraction(0.5);
                world.simulation.at(now + longestDeadline() + 700_000, at -> {
                    if (old.alive()) {
                        old.die(at);
                    }
                    next.policy().setSlowStartFraction(1);
                });
            });
        }
    }

    private void takenOut(long from, long length, double part, RandomStream draws) {
        List<String> out = new ArrayList<>();
        during(
                from,
                length,
                now -> {
                    for (Upstream u : picked(part, draws)) {
                        out.add(u.id);
                        for (Balancer b : List.copyOf(world.processes())) {
                            b.operator(u.id, true, now);
                        }
                        world.simulation.at(now + length / 2, at -> restart(u, SECOND / 2, at));
                    }
                },
                now -> {
                    for (String id : out) {
                        for (Balancer b : List.copyOf(world.processes())) {
                            b.operator(id, false, now);
                        }
                    }
                });
    }
}
