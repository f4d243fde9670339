package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.engine.RandomStream;

/** Clients: open-loop arrivals, keys, tenants, tries given up, retries; and the front that spreads them. */
public final class Clients {
    private static final double DAY_PART = 2 * Math.PI;
    private static final long BURST = 2_000_000; // µs that a burst of that shape lasts
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** How a try ended. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        SILENT,
        CUT,
        UNREACHABLE,
        LEFT
    }

    private final World world;
    private final WorldPlan plan;
    private final RandomStream arrivals;
    private final RandomStream kinds;
    private final RandomStream tenantDraws;
    private final RandomStream zones;
    private final RandomStream keys;
    private final RandomStream works;
    private final double rate; // mean first tries per µs
    private final double swing;
    private final double[] kindShares;
    private final double[] tenantShares;
    private final double[] zoneShares;
    private final double[] keyShares;
    private final double[] tokens;
    private final long[] tokensAt;
    private final double[] workMeans;
    private final double[] variations;
    private final int retries;
    private final double tryShare;
    private final double backoff;
    private final double honour;
    private final double impatient;
    final double[] allowances;
    private final long length;
    private double burst = 1;
    private double burstMost = 1;
    private double hotShare;
    private int hotKeys = 1;
    private int moreRetries;
    private boolean hasty;
    private long number;
    private long open;
    private double exact;

    Clients(World world, RandomStream figures) {
        this.world = world;
        this.plan = world.plan;
        this.length = plan.length();
        this.arrivals = world.streams.of("clients", 0, "arrivals");
        this.kinds = world.streams.of("clients", 0, "classes");
        this.tenantDraws = world.streams.of("clients", 0, "tenants");
        this.zones = world.streams.of("clients", 0, "zones");
        this.keys = world.streams.of("clients", 0, "keys");
        this.works = world.streams.of("clients", 0, "work");
        WorldPlan.Clients c = plan.clients();
        retries = (int) c.retries().draw(figures);
        tryShare = c.tryShare().draw(figures);
        backoff = c.backoff().draw(figures);
        honour = c.honour().draw(figures);
        impatient = c.impatient().draw(figures);
        swing = plan.load().swing().draw(figures);
        kindShares = cumulated(plan.classes().stream()
                .mapToDouble(k -> k.share().draw(figures))
                .toArray());
        workMeans =
                plan.classes().stream().mapToDouble(k -> k.work().draw(figures)).toArray();
        variations = plan.classes().stream()
                .mapToDouble(k -> k.variation().draw(figures))
                .toArray();
        double[] usage = plan.tenants().stream()
                .mapToDouble(t -> t.share() * t.usage().draw(figures))
                .toArray();
        tenantShares = cumulated(usage.length == 0 ? new double[] {1} : usage);
        double skew = plan.load().zoneSkew().draw(figures);
        double[] zoneWeights = new double[plan.zones().size()];
        for (int i = 0; i < zoneWeights.length; i++) {
            zoneWeights[i] = 1 + skew * (2 * figures.uniform() - 1);
        }
        zoneShares = cumulated(zoneWeights);
        int keyCount = (int) Math.max(0, plan.load().keys().draw(figures));
        double zipf = plan.load().keyZipf().draw(figures);
        double[] popularity = new double[keyCount];
        for (int i = 0; i < keyCount; i++) {
            popularity[i] = StrictMath.pow(i + 1, -zipf);
        }
        keyShares = cumulated(popularity);
        double meanWork = 0;
        for (int i = 0; i < workMeans.length; i++) {
            meanWork += (kindShares[i] - (i == 0 ? 0 : kindShares[i - 1])) * workMeans[i];
        }
        world.meanWork = meanWork;
        rate = plan.load().level().draw(figures) * world.nominal / meanWork;
        double quota = plan.load().quota().draw(figures) * world.nominal / meanWork * 1e6;
        allowances = plan.tenants().stream().mapToDouble(t -> quota * t.share()).toArray();
        tokens = allowances.clone();
        tokensAt = new long[allowances.length];
    }

    private static double[] cumulated(double[] weights) {
        double sum = Arrays.stream(weights).sum();
        double[] c = new double[weights.length];
        double so = 0;
        for (int i = 0; i < c.length; i++) {
            so += weights[i] / sum;
            c[i] = so;
        }
        return c;
    }

    private static int drawn(double[] cumulated, double u) {
        int at = Arrays.binarySearch(cumulated, u);
        return Math.min(cumulated.length - 1, at < 0 ? -at - 1 : at + 1);
    }

    /** Mean first tries per second. */
    double perSecond() {
        return rate * 1e6;
    }

    /** Requests that have neither been served nor given up. */
    long open() {
        return open;
    }

    void burst(double times) {
        burst = times;
    }

    void burstMost(double times) {
        burstMost = Math.max(burstMost, times);
    }

    void hot(double share, int many) {
        hotShare = share;
        hotKeys = Math.max(1, many);
    }

    /** Clients lose their patience: further tries, without waits. */
    void storm(int more) {
        moreRetries = more;
        hasty = more > 0;
    }

    void begin() {
        next(world.simulation.now());
    }

    // Thinning (Lewis and Shedler): the draws of arrivals don't depend on what happens.
    private void next(long now) {
        double most = rate * (1 + swing) * burstMost;
        exact = Math.max(exact, now) + arrivals.exponential(1 / most);
        long at = Math.round(exact);
        if (at - world.begin >= length) {
            return;
        }
        world.simulation.at(Math.max(now, at), time -> {
            if (arrivals.uniform() * most < rate * shape((time - world.begin) / (double) length) * burst) {
                arrive(time);
            }
            next(time);
        });
    }

    private double shape(double part) {
        return switch (plan.load().shape()) {
            case STEADY -> 1;
            case RAMP -> 1 + swing * (2 * part - 1);
            case DAILY -> 1 - swing * StrictMath.cos(DAY_PART * part);
            case BURSTS -> (long) (part * length) / BURST % 4 == 0 ? 1 + swing : 1 - swing / 3;
        };
    }

    /** The tenant of that number sends so many times as much until then, by draws that leave all others' alone. */
    void flood(int tenant, double times, long until) {
        if (tenant < 0 || tenant >= allowances.length) {
            return;
        }
        double share = tenantShares[tenant] - (tenant == 0 ? 0 : tenantShares[tenant - 1]);
        double more = rate * share * Math.max(0, times - 1);
        if (more > 0) {
            flooding(tenant, more, until, world.streams.of("clients", 1 + tenant, "flood"));
        }
    }

    private void flooding(int tenant, double more, long until, RandomStream own) {
        long at = world.simulation.now() + Math.max(1, Math.round(own.exponential(1 / more)));
        if (at < until && at - world.begin < length) {
            world.simulation.at(at, now -> {
                arrive(now, tenant, own, own, own, own);
                flooding(tenant, more, until, own);
            });
        }
    }

    private void arrive(long now) {
        arrive(now, -1, kinds, zones, keys, works);
    }

    private void arrive(
            long now, int whose, RandomStream ofKind, RandomStream ofZone, RandomStream ofKey, RandomStream ofWork) {
        int kind = drawn(kindShares, ofKind.uniform());
        int tenant = whose >= 0 ? whose : drawn(tenantShares, tenantDraws.uniform());
        int zone = drawn(zoneShares, ofZone.uniform());
        double heat = ofKey.uniform();
        double which = ofKey.uniform();
        int key = keyShares.length == 0
                ? -1
                : heat < hotShare
                        ? keyShares.length - 1 - (int) (which * Math.min(hotKeys, keyShares.length))
                        : drawn(keyShares, which);
        WorldPlan.RequestKind k = plan.classes().get(kind);
        double work =
                switch (k.spread()) {
                    case EXPONENTIAL -> ofWork.exponential(workMeans[kind]);
                    case LOGNORMAL -> ofWork.lognormal(workMeans[kind], variations[kind]);
                    case PARETO -> ofWork.pareto(workMeans[kind], variations[kind]);
                    case FIXED -> workMeans[kind];
                };
        ClientRequest r = new ClientRequest(
                number++, kind, tenant, zone, key, work, now, now + k.deadline(), overShare(tenant, now));
        open++;
        world.offered += work;
        world.judge.asked(r, now);
        attempt(r, now);
    }

    private boolean overShare(int tenant, long now) {
        if (allowances.length == 0) {
            return false;
        }
        double perMicro = allowances[tenant] / 1e6;
        tokens[tenant] =
                Math.min(Math.max(1, allowances[tenant]), tokens[tenant] + perMicro * (now - tokensAt[tenant]));
        tokensAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    private void attempt(ClientRequest r, long now) {
        WorldPlan.RequestKind k = plan.classes().get(r.kind);
        long patience = Math.min(Math.round(tryShare * k.deadline()), r.deadline - now);
        if (patience <= 0) {
            over(r, false, now);
            return;
        }
        int tryNumber = r.tries++;
        long serial = r.number * 16 + Math.min(15, tryNumber);
        BalancerSlot slot = world.front(r.zone, IndexedRandom.uniform(world.chanceSeed, serial, 1));
        long there = slot == null ? 0 : world.network.client(serial, 0);
        world.simulation.after(there, at -> {
            Balancer b = slot == null ? null : slot.serving();
            if (b == null) {
                ended(r, End.UNREACHABLE, 0, at + world.network.client(serial, 1), serial);
                return;
            }
            if (there >= patience) { // given up before it arrived
                ended(r, End.SILENT, 0, at, serial);
                return;
            }
            BalancerRequest t = new BalancerRequest("r" + r.number + "." + tryNumber, serial, r, b, at, now + patience);
            b.take(t, patience - there, plan.clients().marksRetry() && tryNumber > 0, at);
            if (!t.answered && IndexedRandom.uniform(world.chanceSeed, serial, 2) < impatient) {
                double part = IndexedRandom.uniform(world.chanceSeed, serial, 3);
                world.simulation.after(Math.round(part * patience), leaves -> {
                    if (!t.answered && !t.gone && b.alive()) {
                        b.clientLeft(t, leaves);
                        ended(r, End.LEFT, 0, leaves, serial);
                    }
                });
            }
        });
    }

    /** A try has ended at its balancer; the client hears of it after its way back. */
    void tryEnded(BalancerRequest t, End end, long retryAfter, long now) {
        ended(t.client(), end, retryAfter, now + world.network.client(t.serial, 1), t.serial);
    }

    private void ended(ClientRequest r, End end, long retryAfter, long heardAt, long serial) {
        world.simulation.at(heardAt, now -> {
            if (r.over) {
                return;
            }
            if (end == End.SERVED || end == End.LEFT || !again(r, end)) {
                over(r, end == End.SERVED, now);
                return;
            }
            double mean = backoff * (1L << Math.min(MAX_BACKOFF_DOUBLINGS, r.tries - 1));
            double wait = hasty ? 1_000 : mean * IndexedRandom.exponential(world.chanceSeed, serial, 4);
            if (retryAfter > 0 && !hasty && IndexedRandom.uniform(world.chanceSeed, serial, 5) < honour) {
                wait = Math.max(wait, Math.min(retryAfter, plan.rules().maxRetryAfterMicros()));
            }
            if (now + wait >= r.deadline) {
                over(r, false, now);
            } else {
                world.simulation.at(now + Math.round(wait), at -> attempt(r, at));
            }
        });
    }

    private boolean again(ClientRequest r, End end) {
        if (r.tries > Math.min(15, retries + moreRetries)) {
            return false;
        }
        boolean safe = plan.classes().get(r.kind).effect() != Idempotency.NON_IDEMPOTENT;
        return safe || end == End.REFUSED || end == End.UNREACHABLE;
    }

    private void over(ClientRequest r, boolean served, long now) {
        r.over = true;
        open--;
        world.judge.over(r, served, now);
    }

    /** Slots of a zone, or of all where the zone has none. */
    static List<BalancerSlot> of(List<BalancerSlot> all, int zone) {
        List<BalancerSlot> own = new ArrayList<>();
        for (BalancerSlot s : all) {
            if (s.zone == zone) {
                own.add(s);
            }
        }
        return own.isEmpty() ? all : own;
    }
}
