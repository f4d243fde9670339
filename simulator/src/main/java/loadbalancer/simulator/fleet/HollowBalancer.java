package loadbalancer.simulator.fleet;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.discovery.Membership;
import loadbalancer.discovery.SubsetFailover;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.BootSettings;

/**
 * A balancer without listener and upstreams: the client of discovery, the membership and the policy are the real ones,
 * joined as in the balancer. Requests, where there are any, come from a clock, and whatever is sent is answered at
 * once. It ends with its event loop, as a process does: its sockets close and nothing is said.
 */
final class HollowBalancer implements LoadBalancingPolicy.Actions {
    private static final long LIST_MS = 10_000; // as the balancer: how long a start waits for a push
    private static final long LATENCY_US = 2_000; // of what is answered at once, as the policy is notified

    private final EventLoop loop;
    private final FleetPlan.Fleet plan;
    private final Tally tally;
    private final LoadBalancingPolicy policy;
    private final Membership membership;
    private final DiscoveryClient client;
    private final EndpointList known;
    private final int rank;
    private final long unixAtStart = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();
    private final ArrayDeque<LongConsumer> waiting = new ArrayDeque<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private boolean handing;
    private long requests;
    private volatile long rev;
    private volatile boolean listed; // discovery has said something of its own

    /** {@code known}: what it had before; an empty list of revision 0 for none. */
    HollowBalancer(
            EventLoop loop,
            FleetPlan.Fleet plan,
            int rank,
            int many,
            InetSocketAddress discovery,
            long seed,
            EndpointList known,
            Tally tally) {
        BootSettings boot = Site.boot(plan, rank, many);
        this.loop = loop;
        this.plan = plan;
        this.rank = rank;
        this.tally = tally;
        this.known = known;
        this.policy = new JsqDasPolicy(boot.policySettings(), seed);
        EndpointSubset holding = new EndpointSubset(plan.upstreamsMost(), rank);
        this.client = new DiscoveryClient(
                loop, discovery, boot, holding, known.version(), this::now, this::heard, this::complain);
        this.membership = new Membership(holding, new OperatorDrains(), this::now, this::news);
        holding.onChange(h -> hand(
                now -> policy.setSlowStartBudgetFactor(Math.min(many, h.subset().partCount()))));
        new SubsetFailover(loop, membership, client, seed);
    }

    /** Begins, on the loop's thread. */
    void start() {
        if (plan.ask()) {
            membership.update(EndpointListKind.CACHED, known);
        } else {
            membership.update(EndpointListKind.CACHED, new EndpointList(known.version(), true, List.of()));
            membership.holdBack(known);
            loop.schedule(membership::release, LIST_MS, TimeUnit.MILLISECONDS);
        }
        client.start();
        if (plan.decisionsPerSecond() > 0) {
            long every = Math.max(1, Math.round(1e9 / plan.decisionsPerSecond()));
            loop.scheduleAtFixedRate(this::decide, every * (rank % 97) / 97, every, TimeUnit.NANOSECONDS);
        }
    }

    private long now() {
        return unixAtStart + (System.nanoTime() - nanosAtStart) / 1000;
    }

    /** The revision that the policy has, by discovery's own word; 0 for none yet. */
    long rev() {
        return listed ? rev : 0;
    }

    /** All that it holds; on the loop's thread. */
    EndpointList held() {
        return membership.listed();
    }

    /** How many upstreams it may send to; on the loop's thread. */
    int up() {
        return membership.usableCount();
    }

    private void heard(EndpointListKind kind, EndpointList targets) {
        long before = rev;
        membership.update(kind, targets);
        if (targets == null) {
            tally.failed++;
            return;
        }
        listed = true;
        rev = targets.version();
        tally.inForce(before, targets.version());
    }

    private void complain(String line) {
        tally.unread++;
        tally.complaint = line;
    }

    private void news(EndpointListKind kind, EndpointList targets) {
        if (kind == EndpointListKind.SNAPSHOT || kind == EndpointListKind.DELTA) {
            tally.lists += targets.complete() ? 1 : 0;
            tally.changes += targets.complete() || targets.entries().isEmpty() ? 0 : 1;
            tally.entries += targets.entries().size();
        }
        hand(now -> policy.endpoints(now, kind, targets == null ? List.of() : targets.endpoints(), this));
    }

    private void decide() {
        String id = Long.toString(++requests, Character.MAX_RADIX);
        attempts.put(id, 0);
        hand(now -> policy.request(now, id, 0, 0, "k" + requests % 1_000, Site.LOOKUP.deadline(), -1, false, this));
        attempts.remove(id);
    }

    // As in the balancer: the policy is not re-entrant, what happens while it is at work waits.
    private void hand(LongConsumer event) {
        waiting.add(event);
        if (handing) {
            return;
        }
        handing = true;
        try {
            for (LongConsumer next = waiting.poll(); next != null; next = waiting.poll()) {
                next.accept(now());
            }
        } finally {
            handing = false;
        }
    }

    // ---- the policy's actions

    @Override
    public void send(String request, String server, long timeout) {
        tally.decided++;
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        hand(now -> policy.outcome(now, request, attempt, AttemptOutcome.OK, LATENCY_US, true, null, this));
    }

    @Override
    public void reject(String request, long retryAfter) {
        tally.refused++;
    }

    @Override
    public void fail(String request) {
        tally.refused++;
    }

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void probe(String server) {}

    @Override
    public void watch(boolean on) {
        client.watch(on);
    }

    @Override
    public void fetchList() {
        client.poll();
    }

    @Override
    public void closeIdle(String server) {}

    @Override
    public void sendToPeer(int peer, byte[] data) {}

    @Override
    public void wakeAfter(long delay) {
        loop.schedule(() -> hand(now -> policy.wake(now, this)), delay, TimeUnit.MICROSECONDS);
    }

    @Override
    public void log(String line) {}
}
