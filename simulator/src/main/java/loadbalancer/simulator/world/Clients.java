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
    public enum AttemptResult {
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
    private final double attemptTimeoutFraction;
    private final double backoff;
    private final double retryAfterCompliance;
    private final double abandonFraction;
    final double[] allowances;
    private final long length;
    private double burst = 1;
    private double maxBurst = 1;
    private double hotKeyShare;
    private int hotKeys = 1;
    private int extraRetries;
    private boolean withoutBackoff;
    private long number;
    private long open;
    private double exactArrivalTime;

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
        WorldPlan.Clients clients = plan.clients();
        retries = (int) clients.retries().draw(figures);
        attemptTimeoutFraction = clients.attemptTimeoutFraction().draw(figures);
        backoff = clients.backoff().draw(figures);
        retryAfterCompliance = clients.retryAfterCompliance().draw(figures);
        abandonFraction = clients.abandonFraction().draw(figures);
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
        rate = plan.load().level().draw(figures) * world.nominalCapacity / meanWork;
        double quota = plan.load().quota().draw(figures) * world.nominalCapacity / meanWork * 1e6;
        allowances = plan.tenants().stream().mapToDouble(t -> quota * t.share()).toArray();
        tokens = allowances.clone();
        tokensAt = new long[allowances.length];
    }

    private static double[] cumulated(double[] weights) {
        double sum = Arrays.stream(weights).sum();
        double[] cumulated = new double[weights.length];
        double cumulative = 0;
        for (int i = 0; i < cumulated.length; i++) {
            cumulative += weights[i] / sum;
            cumulated[i] = cumulative;
        }
        return cumulated;
    }

    private static int sampleIndex(double[] cumulated, double draw) {
        int at = Arrays.binarySearch(cumulated, draw);
        return Math.min(cumulated.length - 1, at < 0 ? -at - 1 : at + 1);
    }

    /** Mean first tries per second. */
    double arrivalsPerSecond() {
        return rate * 1e6;
    }

    /** Requests that have neither been served nor given up. */
    long open() {
        return open;
    }

    void setBurst(double factor) {
        burst = factor;
    }

    void raiseMaxBurst(double factor) {
        maxBurst = Math.max(maxBurst, factor);
    }

    void setHotKeys(double share, int count) {
        hotKeyShare = share;
        hotKeys = Math.max(1, count);
    }

    /** Clients lose their patience: further tries, without waits. */
    void setRetryStorm(int extra) {
        extraRetries = extra;
        withoutBackoff = extra > 0;
    }

    void begin() {
        next(world.simulation.now());
    }

    // Thinning (Lewis and Shedler): the draws of arrivals don't depend on what happens.
    private void next(long now) {
        double maxRate = rate * (1 + swing) * maxBurst;
        exactArrivalTime = Math.max(exactArrivalTime, now) + arrivals.exponential(1 / maxRate);
        long at = Math.round(exactArrivalTime);
        if (at - world.begin >= length) {
            return;
        }
        world.simulation.at(Math.max(now, at), time -> {
            if (arrivals.uniform() * maxRate < rate * shape((time - world.begin) / (double) length) * burst) {
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
    void flood(int tenant, double factor, long until) {
        if (tenant < 0 || tenant >= allowances.length) {
            return;
        }
        double share = tenantShares[tenant] - (tenant == 0 ? 0 : tenantShares[tenant - 1]);
        double extra = rate * share * Math.max(0, factor - 1);
        if (extra > 0) {
            scheduleFlood(tenant, extra, until, world.streams.of("clients", 1 + tenant, "flood"));
        }
    }

    private void scheduleFlood(int tenant, double extra, long until, RandomStream own) {
        long at = world.simulation.now() + Math.max(1, Math.round(own.exponential(1 / extra)));
        if (at < until && at - world.begin < length) {
            world.simulation.at(at, now -> {
                arrive(now, tenant, own, own, own, own);
                scheduleFlood(tenant, extra, until, own);
            });
        }
    }

    private void arrive(long now) {
        arrive(now, -1, kinds, zones, keys, works);
    }

    private void arrive(
            long now,
            int fixedTenant,
            RandomStream ofKind,
            RandomStream ofZone,
            RandomStream ofKey,
            RandomStream ofWork) {
        int kind = sampleIndex(kindShares, ofKind.uniform());
        int tenant = fixedTenant >= 0 ? fixedTenant : sampleIndex(tenantShares, tenantDraws.uniform());
        int zone = sampleIndex(zoneShares, ofZone.uniform());
        double hotDraw = ofKey.uniform();
        double keyDraw = ofKey.uniform();
        int key = keyShares.length == 0
                ? -1
                : hotDraw < hotKeyShare
                        ? keyShares.length - 1 - (int) (keyDraw * Math.min(hotKeys, keyShares.length))
                        : sampleIndex(keyShares, keyDraw);
        WorldPlan.RequestClassPlan requestKind = plan.classes().get(kind);
        double work =
                switch (requestKind.spread()) {
                    case EXPONENTIAL -> ofWork.exponential(workMeans[kind]);
                    case LOGNORMAL -> ofWork.lognormal(workMeans[kind], variations[kind]);
                    case PARETO -> ofWork.pareto(workMeans[kind], variations[kind]);
                    case FIXED -> workMeans[kind];
                };
        ClientRequest request = new ClientRequest(
                number++, kind, tenant, zone, key, work, now, now + requestKind.deadline(), overQuota(tenant, now));
        open++;
        world.offeredWork += work;
        world.observer.requestIssued(request, now);
        attempt(request, now);
    }

    private boolean overQuota(int tenant, long now) {
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

    private void attempt(ClientRequest request, long now) {
        WorldPlan.RequestClassPlan kind = plan.classes().get(request.requestClass);
        long attemptTimeoutMicros =
                Math.min(Math.round(attemptTimeoutFraction * kind.deadline()), request.deadline - now);
        if (attemptTimeoutMicros <= 0) {
            finish(request, false, now);
            return;
        }
        int attemptNumber = request.attempts++;
        long serial = request.number * 16 + Math.min(15, attemptNumber);
        BalancerSlot slot = world.pickSlot(request.zone, IndexedRandom.uniform(world.randomSeed, serial, 1));
        long requestDelay = slot == null ? 0 : world.network.client(serial, 0);
        world.simulation.after(requestDelay, at -> {
            Balancer balancer = slot == null ? null : slot.serving();
            if (balancer == null) {
                ended(request, AttemptResult.UNREACHABLE, 0, at + world.network.client(serial, 1), serial);
                return;
            }
            if (requestDelay >= attemptTimeoutMicros) { // given up before it arrived
                ended(request, AttemptResult.SILENT, 0, at, serial);
                return;
            }
            BalancerRequest balancerRequest = new BalancerRequest(
                    "r" + request.number + "." + attemptNumber,
                    serial,
                    request,
                    balancer,
                    at,
                    now + attemptTimeoutMicros);
            balancer.accept(
                    balancerRequest,
                    attemptTimeoutMicros - requestDelay,
                    plan.clients().marksRetries() && attemptNumber > 0,
                    at);
            if (!balancerRequest.answered && IndexedRandom.uniform(world.randomSeed, serial, 2) < abandonFraction) {
                double part = IndexedRandom.uniform(world.randomSeed, serial, 3);
                world.simulation.after(Math.round(part * attemptTimeoutMicros), leaves -> {
                    if (!balancerRequest.answered && !balancerRequest.clientGone && balancer.alive()) {
                        balancer.abandon(balancerRequest, leaves);
                        ended(request, AttemptResult.LEFT, 0, leaves, serial);
                    }
                });
            }
        });
    }

    /** A try has ended at its balancer; the client gets it after its way back. */
    void attemptEnded(BalancerRequest request, AttemptResult end, long retryAfter, long now) {
        ended(request.clientRequest(), end, retryAfter, now + world.network.client(request.serial, 1), request.serial);
    }

    private void ended(ClientRequest request, AttemptResult end, long retryAfter, long receivedAt, long serial) {
        world.simulation.at(receivedAt, now -> {
            if (request.finished) {
                return;
            }
            if (end == AttemptResult.SERVED || end == AttemptResult.LEFT || !mayRetry(request, end)) {
                finish(request, end == AttemptResult.SERVED, now);
                return;
            }
            double mean = backoff * (1L << Math.min(MAX_BACKOFF_DOUBLINGS, request.attempts - 1));
            double wait = withoutBackoff ? 1_000 : mean * IndexedRandom.exponential(world.randomSeed, serial, 4);
            if (retryAfter > 0
                    && !withoutBackoff
                    && IndexedRandom.uniform(world.randomSeed, serial, 5) < retryAfterCompliance) {
                wait = Math.max(wait, Math.min(retryAfter, plan.rules().maxRetryAfterMicros()));
            }
            if (now + wait >= request.deadline) {
                finish(request, false, now);
            } else {
                world.simulation.at(now + Math.round(wait), at -> attempt(request, at));
            }
        });
    }

    private boolean mayRetry(ClientRequest request, AttemptResult end) {
        if (request.attempts > Math.min(15, retries + extraRetries)) {
            return false;
        }
        boolean safe = plan.classes().get(request.requestClass).effect() != Idempotency.NON_IDEMPOTENT;
        return safe || end == AttemptResult.REFUSED || end == AttemptResult.UNREACHABLE;
    }

    private void finish(ClientRequest request, boolean served, long now) {
        request.finished = true;
        open--;
        world.observer.requestFinished(request, served, now);
    }

    /** Slots of a zone, or of all where the zone has none. */
    static List<BalancerSlot> of(List<BalancerSlot> all, int zone) {
        List<BalancerSlot> own = new ArrayList<>();
        for (BalancerSlot slot : all) {
            if (slot.zone == zone) {
                own.add(slot);
            }
        }
        return own.isEmpty() ? all : own;
    }
}
