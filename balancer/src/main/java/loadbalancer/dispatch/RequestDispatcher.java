package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.http.BodyStream;
import loadbalancer.logs.Log;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LearnedStateCodec;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.LoadReporting;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.ResponseReader;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Stands between the sockets and the module: owns the module, its clock and the table of requests and
 * attempts; tells it what happens and carries out what it asks for. It decides nothing. All of it runs on the
 * event loop's thread.
 */
public final class RequestDispatcher implements RequestHandler, LoadBalancingPolicy.Actions {
    /** µs before a client's time is over at which it gets a failure if nothing else has answered it. */
    public static final long GUARD = 6_000;
    /** µs before that at which the last attempt ends, so that the module can word the answer itself. */
    public static final long LAST_WORD = 6_000;

    /** Where the one final answer to a request goes. */
    public interface Reply {
        /** Served: passes the upstream's body on. */
        void serve(ResponseReader.Answer answer);

        void refuse(long retryAfter);

        void fail();

        /** Turned away before anything was sent, by that status. */
        default void reject(HttpResponseStatus status, String why) {
            fail();
        }

        /** Whether the request may be sent, for the attempt of that number from 0; counts it where so. */
        default boolean maySend(int attempt) {
            return true;
        }
    }

    /** A request that has been taken, and its attempts. */
    private static final class Exchange {
        public final String id;
        public final InboundRequest order;
        public final Reply reply;
        public long deadline;
        public long wholeAt; // when the last byte of it came
        public final int attemptsMost;
        public final List<Attempt> attempts = new ArrayList<>(2);
        public int out;
        public boolean closed;
        public Future<?> guard;

        public Exchange(String id, InboundRequest order, Reply reply, long deadline, int attemptsMost) {
            this.attemptsMost = attemptsMost;
            this.id = id;
            this.order = order;
            this.reply = reply;
            this.deadline = deadline;
        }
    }

    private static final class Attempt {
        public final Exchange exchange;
        public final int number;
        public final long at;
        public UpstreamConnectionPool.Call call;
        public Future<?> timer;
        public boolean ended;

        public Attempt(Exchange exchange, int number, long at) {
            this.exchange = exchange;
            this.number = number;
            this.at = at;
        }
    }

    private final EventLoop loop;
    private SettingsReader.Boot boot;
    private final LoadBalancingPolicy policy;
    private final Log log;
    private final long unixAtStart = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();
    private final Map<String, Exchange> table = new HashMap<>();
    private final Set<String> ids = new HashSet<>(); // clients' own names of what is in the table
    private final ArrayDeque<LongConsumer> waiting = new ArrayDeque<>();
    private UpstreamConnectionPool upstreams;
    private DiscoveryClient discovery;
    private boolean handing;
    private boolean retired;
    private long taken;
    private long guarded;
    private long faults;
    private int owed;
    private double ownPart = 1;
    private double fewer = 1;
    private final List<Runnable> whenIdle = new ArrayList<>(1);

    public RequestDispatcher(EventLoop loop, SettingsReader.Boot boot, LoadBalancingPolicy policy, Log log) {
        this.loop = loop;
        this.boot = boot;
        this.policy = policy;
        this.log = log;
    }

    /** {@code by} may be null: a rehearsal has no discovery. */
    public void attach(UpstreamConnectionPool to, DiscoveryClient by) {
        upstreams = to;
        discovery = by;
    }

    /** µs since 1970 by the monotonic clock: comparable with an upstream's start, and never going back. */
    public long now() {
        return unixAtStart + (System.nanoTime() - nanosAtStart) / 1000;
    }

    // ---------------------------------------------------------------- events

    // The module is not re-entrant: what happens while it is at work or an action is carried out waits.
    private void hand(LongConsumer event) {
        if (retired) {
            return;
        }
        waiting.add(event);
        if (handing) {
            return;
        }
        handing = true;
        try {
            for (LongConsumer next = waiting.poll(); next != null; next = waiting.poll()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    // The guard answers what this leaves unanswered; one event must not end the balancer.
                    faults++;
                    StackTraceElement[] trace = e.getStackTrace();
                    log.warn(
                            "fault " + faults + ": " + e + (trace.length == 0 ? "" : " at " + trace[0]),
                            "faults",
                            faults);
                }
            }
        } finally {
            handing = false;
        }
    }

    @Override
    public Runnable take(InboundRequest order, Reply reply) {
        String id = Long.toString(++taken, Character.MAX_RADIX);
        Exchange x = new Exchange(
                id,
                order,
                reply,
                now() + order.timeLeft(),
                boot.settings().limits().maxAttempts());
        table.put(id, x);
        ids.add(order.id());
        owed++;
        if (order.rest() == null) {
            guard(x);
        } else {
            order.rest().whenWhole(() -> guard(x));
        }
        hand(now -> policy.request(
                now,
                id,
                order.requestClass(),
                order.tenant(),
                order.key(),
                Math.max(0, x.deadline - now),
                order.work(),
                order.clientRetry(),
                this));
        return () -> gone(x);
    }

    // From the last byte of a request on its client waits for the answer.
    private void guard(Exchange x) {
        if (!x.closed) {
            x.wholeAt = now();
            x.deadline = x.wholeAt + x.order.timeLeft();
            x.guard =
                    loop.schedule(() -> lastResort(x), Math.max(0, x.order.timeLeft() - GUARD), TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public boolean holds(String id) {
        return ids.contains(id);
    }

    private void gone(Exchange x) {
        if (!x.closed) {
            close(x);
            hand(now -> policy.clientGone(now, x.id, this));
            // Where the module may not cancel: what has not begun to leave is not sent for nobody.
            for (Attempt a : x.attempts) {
                if (!a.ended && a.call != null && a.call.waits()) {
                    giveUp(a, AttemptOutcome.CANCELLED);
                }
            }
            forget(x);
        }
    }

    // Rule 1 where the module stays silent or has thrown: the client gets a failure while it still listens.
    private void lastResort(Exchange x) {
        if (!x.closed) {
            guarded++;
            if (Long.bitCount(guarded) == 1) {
                log.warn("last-resort answers: " + guarded, "last_resort", guarded);
            }
            close(x);
            x.reply.fail();
            hand(now -> policy.clientGone(now, x.id, this));
            for (Attempt a : x.attempts) {
                if (!a.ended) {
                    cancel(x.id, a.number);
                }
            }
            forget(x);
        }
    }

    private void close(Exchange x) {
        x.closed = true;
        if (x.guard != null) {
            x.guard.cancel(false);
        }
        owed--;
        if (owed == 0 && !whenIdle.isEmpty()) {
            whenIdle.forEach(loop::execute);
            whenIdle.clear();
        }
    }

    private void forget(Exchange x) {
        if (x.closed && x.out == 0) {
            if (table.remove(x.id) != null) {
                ids.remove(x.order.id());
            }
        }
    }

    private void ended(Attempt a, AttemptOutcome outcome, ResponseReader.Answer answer, LoadReport load) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        if (a.timer != null) {
            a.timer.cancel(false);
        }
        Exchange x = a.exchange;
        x.out--;
        long latency = Math.max(0, now() - Math.max(a.at, x.wholeAt));
        if (outcome == AttemptOutcome.OK && !x.closed) {
            close(x);
            x.reply.serve(answer);
        }
        hand(now -> policy.outcome(now, x.id, a.number, outcome, latency, x.closed, load, this));
        forget(x);
    }

    // Before the request's last byte is written nothing can have run.
    private void giveUp(Attempt a, AttemptOutcome ifWritten) {
        if (!a.ended) {
            boolean written = a.call != null && a.call.giveUp();
            ended(a, written ? ifWritten : AttemptOutcome.NOT_SENT, null, null);
        }
    }

    /** News of the list of upstreams; null: the call or the watch has failed. */
    public void listed(EndpointListKind kind, EndpointList targets) {
        if (targets != null) {
            upstreams.listed(targets, now());
        }
        hand(now -> policy.endpoints(now, kind, targets == null ? List.of() : targets.endpoints(), this));
    }

    /** Takes new settings, for requests that come from here on; what there was before is matched by name. */
    public void reconfigure(SettingsReader.Boot next) {
        SettingsReader.Boot before = boot;
        boot = next;
        hand(now -> policy.reconfigure(
                now,
                next.settings(),
                former(next.classes(), before.classes()),
                former(next.tenants(), before.tenants())));
    }

    private static int[] former(List<String> names, List<String> before) {
        return names.stream().mapToInt(before::indexOf).toArray();
    }

    /** What the module has learnt, for a process that is to go on in its place. */
    public Map<String, double[]> learnedState() {
        return LearnedStateCodec.encode(policy.learnedState(now()));
    }

    /** Gives the module what another has learnt. */
    public void restore(Map<String, double[]> learnedState) {
        hand(now -> policy.restore(now, LearnedStateCodec.decode(learnedState)));
    }

    /** This process may use that part of what the balancer may send to cold upstreams. */
    public void share(double part) {
        ownPart = part;
        hand(now -> policy.setSlowStartFraction(ownPart * fewer));
    }

    /**
     * Each upstream is held by only every so-many-th balancer, which may send it that many times as much while it is
     * cold: the sum over the fleet stays the same.
     */
    public void holdsPart(EndpointSubset holding) {
        int balancers = boot.settings().balancers();
        long parts = holding.subset().parts();
        fewer = Math.min(parts, balancers);
        hand(now -> policy.setSlowStartFraction(ownPart * fewer));
        String what = holding.summary();
        log.warn(
                what == null
                        ? "holds the whole list of upstreams again"
                        : what
                                + (parts > balancers
                                        ? ": " + balancers
                                                + " balancers can't hold all parts, some upstreams get nothing"
                                        : ""),
                "parts",
                parts,
                "listed",
                holding.listedCount(),
                "most",
                holding.maxEndpoints());
    }

    /** The module is told nothing more, and so asks for nothing. */
    public void retire() {
        retired = true;
    }

    /** Runs {@code then} on the loop, once no final answer is owed any more. */
    public void whenIdle(Runnable then) {
        if (owed == 0) {
            loop.execute(then);
        } else {
            whenIdle.add(then);
        }
    }

    public String summary() {
        return taken + " requests taken, " + owed + " unanswered, " + guarded + " last-resort answers, " + faults
                + " faults";
    }

    // ---------------------------------------------------------------- the module's actions

    @Override
    public void send(String request, String server, long timeout) {
        Exchange x = table.get(request);
        if (x == null) {
            return;
        }
        long now = now();
        Attempt a = new Attempt(x, x.attempts.size(), now);
        x.attempts.add(a);
        x.out++;
        BodyStream rest = x.order.rest();
        boolean coming = rest != null && !rest.whole();
        long left = (coming ? x.order.timeLeft() : x.deadline - now) - GUARD - LAST_WORD;
        long wait = timeout == 0 ? left : Math.min(timeout, left);
        boolean allowed = !x.closed
                && wait > 0
                && a.number < x.attemptsMost
                && (rest == null || !rest.taken()) // what has been passed on can't be sent again
                && x.reply.maySend(a.number);
        if (allowed) {
            if (coming) {
                rest.whenWhole(() -> limit(a, wait));
            } else {
                limit(a, wait);
            }
            a.call = upstreams.send(server, x.order, wait, (outcome, answer, load) -> ended(a, outcome, answer, load));
        } else {
            ended(a, AttemptOutcome.NOT_SENT, null, null);
        }
    }

    private void limit(Attempt a, long wait) {
        if (!a.ended) {
            a.timer = loop.schedule(() -> giveUp(a, AttemptOutcome.TIMEOUT), wait, TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void reject(String request, long retryAfter) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            x.reply.refuse(retryAfter);
            forget(x);
        }
    }

    @Override
    public void fail(String request) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            x.reply.fail();
            forget(x);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Exchange x = table.get(request);
        if (x != null && attempt < x.attempts.size()) {
            giveUp(x.attempts.get(attempt), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void probe(String server) {
        long sent = now();
        boolean reports = boot.settings().loadReporting() != LoadReporting.NONE;
        upstreams.probe(
                server,
                reports,
                (outcome, answer, load) -> hand(now -> policy.probed(now, server, outcome, now - sent, load, this)));
    }

    @Override
    public void watch(boolean on) {
        if (discovery != null) {
            discovery.watch(on);
        }
    }

    @Override
    public void fetchList() {
        if (discovery != null) {
            discovery.poll();
        }
    }

    @Override
    public void closeIdle(String server) {
        upstreams.closeIdle(server);
    }

    /** Balancers share nothing here: the module sends no messages, and there is no way for one. */
    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new UnsupportedOperationException("messages between balancers");
    }

    @Override
    public void wakeAfter(long delay) {
        loop.schedule(() -> hand(now -> policy.wake(now, this)), delay, TimeUnit.MICROSECONDS);
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
