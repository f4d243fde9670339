package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.simulator.engine.RandomStream;

/**
 * The simulated discovery service. It lists processes with a delay, and handles one call at a time.
 */
final class SimulatedDiscovery {
    private static final long RECONNECT_DELAY_MICROS = 500_000; // after a failure, where lists are pushed
    private static final int MAX_CHANGES = 256; // a watch that is further behind gets a snapshot

    /** The state of a balancer's subscription at the discovery service. */
    static final class Subscriber {
        private final Balancer balancer;
        private boolean watching;
        private int generation;
        private long version;
        private long polledAt;
        private boolean failed;

        Subscriber(Balancer balancer) {
            this.balancer = balancer;
        }

        void end() {
            watching = false;
            generation++;
        }

        /** When the balancer counts as notified of what was listed at {@code listedAt}, even if nothing reached it. */
        long deemedNotifiedAt(long listedAt, long pollIntervalMicros) {
            if (watching || pollIntervalMicros <= 0 || listedAt == Long.MAX_VALUE) {
                return Long.MAX_VALUE;
            }
            return Math.max(listedAt, polledAt) + pollIntervalMicros * (failed ? 4 : 1);
        }
    }

    private final World world;
    private final RandomStream random;
    private final Map<String, Endpoint> entries = new LinkedHashMap<>();
    private final TreeMap<Long, Endpoint> changes = new TreeMap<>();
    private final Map<String, Long> listedAt = new LinkedHashMap<>();
    private final List<Subscriber> watchers = new ArrayList<>();
    private final double capacity;
    private final double entriesPerCall;
    private final long publishIntervalMicros;
    private final long deliverySpreadMicros;
    private long version = 1;
    private long freeAt;
    private boolean down;
    private boolean duplicateEntries;
    private long calls;

    SimulatedDiscovery(World world, RandomStream random) {
        WorldPlan.Discovery discovery = world.plan.discovery();
        this.world = world;
        this.random = random;
        this.capacity = discovery.capacity().draw(random);
        this.entriesPerCall = discovery.entriesPerCall().draw(random);
        this.publishIntervalMicros = Math.max(1, Math.round(discovery.period().draw(random)));
        this.deliverySpreadMicros = Math.round(discovery.spread().draw(random));
    }

    List<Endpoint> list() {
        List<Endpoint> all = new ArrayList<>(entries.values());
        if (duplicateEntries) {
            all.addAll(entries.values());
        }
        return all;
    }

    boolean isDown() {
        return down;
    }

    long calls() {
        return calls;
    }

    /** Adds an entry before the start of the day. */
    void addInitial(Endpoint entry) {
        entries.put(entry.id(), entry);
    }

    void setDuplicateEntries(boolean value) {
        duplicateEntries = value;
    }

    /** When it was listed that this upstream drains or is gone, in simulated µs; or the largest long. */
    long endListedAt(String id) {
        Endpoint entry = entries.get(id);
        boolean ends = entry == null || entry.state() != EndpointState.UP;
        return ends ? listedAt.getOrDefault(id, Long.MAX_VALUE) : Long.MAX_VALUE;
    }

    /** Schedules a changed entry to be listed at the first publication after {@code delayMicros}. */
    void changed(Endpoint entry, long delayMicros) {
        long due = world.simulation.now() + delayMicros;
        long publishedAt = (due + publishIntervalMicros - 1) / publishIntervalMicros * publishIntervalMicros;
        world.simulation.at(publishedAt, now -> publish(entry, now));
    }

    private void publish(Endpoint entry, long now) {
        if (down) {
            world.simulation.after(publishIntervalMicros, at -> publish(entry, at));
            return;
        }
        Endpoint known = entries.get(entry.id());
        if (known != null && known.startedAt() > entry.startedAt()) {
            return; // the process has been replaced meanwhile
        }
        if (entry.state() == EndpointState.GONE) {
            entries.remove(entry.id());
        } else if (known == null
                || known.state() == EndpointState.UP
                || entry.state() != EndpointState.UP
                || known.startedAt() != entry.startedAt()) {
            entries.put(entry.id(), entry);
        } else {
            return;
        }
        listedAt.put(entry.id(), now);
        changes.put(++version, entry);
        if (changes.size() > MAX_CHANGES) {
            changes.pollFirstEntry();
        }
        for (Subscriber subscriber : List.copyOf(watchers)) {
            if (subscriber.watching && subscriber.balancer.alive()) {
                push(subscriber, now);
            } else {
                watchers.remove(subscriber);
            }
        }
    }

    private void push(Subscriber subscriber, long now) {
        int generation = subscriber.generation;
        long delayMicros = Math.round(random.uniform() * deliverySpreadMicros) + 100;
        world.simulation.after(delayMicros, at -> {
            if (subscriber.watching && subscriber.generation == generation && subscriber.version < version) {
                deliver(subscriber, at);
            }
        });
    }

    /** Subscribes a starting balancer in worlds where lists are pushed; it subscribes again after each failure. */
    void balancerStarted(Subscriber subscriber) {
        if (!world.plan.discovery().polling()) {
            call(subscriber, true);
        }
    }

    private void scheduleReconnect(Subscriber subscriber) {
        if (!world.plan.discovery().polling()) {
            int generation = subscriber.generation;
            world.simulation.after(RECONNECT_DELAY_MICROS, at -> {
                if (subscriber.generation == generation && subscriber.balancer.alive()) {
                    call(subscriber, true);
                }
            });
        }
    }

    /** Queues a call, which fails if it would wait for longer than the timeout or if the discovery service is down. */
    void call(Subscriber subscriber, boolean watch) {
        long now = world.simulation.now();
        calls++;
        subscriber.polledAt = now;
        subscriber.end();
        int generation = subscriber.generation;
        long timeout = world.plan.discovery().timeout();
        double cost = 1 + entries.size() / entriesPerCall;
        long begin = Math.max(now, freeAt);
        if (down || begin - now > timeout) {
            world.simulation.after(down ? 1_000 : timeout, at -> fail(subscriber, generation, at));
            return;
        }
        freeAt = begin + Math.round(cost / capacity * 1e6);
        world.simulation.at(freeAt, at -> {
            if (subscriber.generation != generation || !subscriber.balancer.alive()) {
                return;
            }
            if (down) {
                fail(subscriber, generation, at);
                return;
            }
            subscriber.failed = false;
            subscriber.polledAt = at;
            if (watch) {
                subscriber.watching = true;
                watchers.add(subscriber);
            }
            if (!watch) {
                subscriber.version = 0;
            }
            deliver(subscriber, at);
        });
    }

    private void fail(Subscriber subscriber, int generation, long now) {
        if (subscriber.generation == generation) {
            subscriber.failed = true;
            subscriber.balancer.endpointsChanged(EndpointListKind.UNAVAILABLE, List.of(), now);
            scheduleReconnect(subscriber);
        }
    }

    private void deliver(Subscriber subscriber, long now) {
        boolean needsSnapshot =
                subscriber.version == 0 || !changes.isEmpty() && subscriber.version < changes.firstKey() - 1;
        long from = subscriber.version;
        subscriber.version = version;
        if (needsSnapshot) {
            subscriber.balancer.endpointsChanged(EndpointListKind.SNAPSHOT, list(), now);
        } else {
            List<Endpoint> changedEntries =
                    new ArrayList<>(changes.tailMap(from, false).values());
            if (duplicateEntries) {
                changedEntries.addAll(List.copyOf(changedEntries));
            }
            subscriber.balancer.endpointsChanged(EndpointListKind.DELTA, changedEntries, now);
        }
    }

    /** Takes the service down, which ends all watches and makes calls fail, or brings it back. */
    void setDown(boolean value) {
        down = value;
        if (value) {
            long at = world.simulation.now();
            for (Subscriber subscriber : List.copyOf(watchers)) {
                if (subscriber.watching) {
                    subscriber.end();
                    subscriber.failed = true;
                    subscriber.balancer.endpointsChanged(EndpointListKind.UNAVAILABLE, List.of(), at);
                    scheduleReconnect(subscriber);
                }
            }
            watchers.clear();
        }
    }
}
