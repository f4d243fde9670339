package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.engine.RandomStream;

/**
 * The clients: open-loop arrivals with keys and tenants, timeouts and retries of attempts, and the choice of a balancer
 * for each attempt.
 */
public final class Clients {
    private static final double FULL_CYCLE_RADIANS = 2 * Math.PI;
    private static final long BURST_MICROS = 2_000_000; // length of one burst of the shape BURSTS
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** How an attempt of a client ended. */
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
    private final RandomStream classes;
    private final RandomStream tenantDraws;
    private final RandomStream zones;
    private final RandomStream keys;
    private final RandomStream works;
    private final double rate; // mean first attempts per µs
    private final double swing;
    private final double[] classShares;
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
    final double[] tenantAllowances;
    private final long length;
    private double burst = 1;
    private double maxBurst = 1;
    private double hotKeyShare;
    private int hotKeys = 1;
    private int extraRetries;
    private boolean backoffDisabled;
    private long number;
    private long open;
    private double exactArrivalTime;

    Clients(World world, RandomStream figures) {
        this.world = world;
        this.plan = world.plan;
        this.length = plan.length();
        this.arrivals = world.streams.of("clients", 0, "arrivals");
        this.classes = world.streams.of("clients", 0, "classes");
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
        classShares = cumulative(plan.classes().stream()
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
        tenantShares = cumulative(usage.length == 0 ? new double[] {1} : usage);
        double skew = plan.load().zoneSkew().draw(figures);
        double[] zoneWeights = new double[plan.zones().size()];
        for (int i = 0; i < zoneWeights.length; i++) {
            zoneWeights[i] = 1 + skew * (2 * figures.uniform() - 1);
        }
        zoneShares = cumulative(zoneWeights);
        int keyCount = (int) Math.max(0, plan.load().keys().draw(figures));
        double zipf = plan.load().keyZipf().draw(figures);
        double[] popularity = new double[keyCount];
        for (int i = 0; i < keyCount; i++) {
            popularity[i] = StrictMath.pow(i + 1, -zipf);
        }
        keyShares = cumulative(popularity);
        double meanWork = 0;
        for (int i = 0; i < workMeans.length; i++) {
            meanWork += (classShares[i] - (i == 0 ? 0 : classShares[i - 1])) * workMeans[i];
        }
        world.meanWork = meanWork;
        rate = plan.load().level().draw(figures) * world.nominalCapacity / meanWork;
        double quota = plan.load().quota().draw(figures) * world.nominalCapacity / meanWork * 1e6;
        tenantAllowances =
                plan.tenants().stream().mapToDouble(t -> quota * t.share()).toArray();
        tokens = tenantAllowances.clone();
        tokensAt = new long[tenantAllowances.length];
    }

    private static double[] cumulative(double[] weights) {
        double sum = Arrays.stream(weights).sum();
        double[] cumulativeShares = new double[weights.length];
        double sumSoFar = 0;
        for (int i = 0; i < cumulativeShares.length; i++) {
            sumSoFar += weights[i] / sum;
            cumulativeShares[i] = sumSoFar;
        }
        return cumulativeShares;
    }

    private static int sampleIndex(double[] cumulativeShares, double draw) {
        int index = Arrays.binarySearch(cumulativeShares, draw);
        return Math.min(cumulativeShares.length - 1, index < 0 ? -index - 1 : index + 1);
    }

    /** Mean first attempts per second. */
    double arrivalsPerSecond() {
        return rate * 1e6;
    }

    /** Requests that have neither been served nor abandoned. */
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

    /** Starts a retry storm, in which clients make {@code extra} more retries without backoff; 0 ends it. */
    void setRetryStorm(int extra) {
        extraRetries = extra;
        backoffDisabled = extra > 0;
    }

    void begin() {
        next(world.simulation.now());
    }

    // Thinning (Lewis and Shedler), so that the draws of arrivals don't depend on other events.
    private void next(long now) {
        double maxRate = rate * (1 + swing) * maxBurst;
        exactArrivalTime = Math.max(exactArrivalTime, now) + arrivals.exponential(1 / maxRate);
        long at = Math.round(exactArrivalTime);
        if (at - world.dayStart >= length) {
            return;
        }
        world.simulation.at(Math.max(now, at), time -> {
            if (arrivals.uniform() * maxRate < rate * shape((time - world.dayStart) / (double) length) * burst) {
                arrive(time);
            }
            next(time);
        });
    }

    private double shape(double part) {
        return switch (plan.load().shape()) {
            case STEADY -> 1;
            case RAMP -> 1 + swing * (2 * part - 1);
            case DAILY -> 1 - swing * StrictMath.cos(FULL_CYCLE_RADIANS * part);
            case BURSTS -> (long) (part * length) / BURST_MICROS % 4 == 0 ? 1 + swing : 1 - swing / 3;
        };
    }

    /** Multiplies the arrivals of one tenant until {@code until}, with draws of their own that change no others. */
    void flood(int tenant, double factor, long until) {
        if (tenant < 0 || tenant >= tenantAllowances.length) {
            return;
        }
        double share = tenantShares[tenant] - (tenant == 0 ? 0 : tenantShares[tenant - 1]);
        double extra = rate * share * Math.max(0, factor - 1);
        if (extra > 0) {
            scheduleFlood(tenant, extra, until, world.streams.of("clients", 1 + tenant, "flood"));
        }
    }

    private void scheduleFlood(int tenant, double extra, long until, RandomStream random) {
        long at = world.simulation.now() + Math.max(1, Math.round(random.exponential(1 / extra)));
        if (at < until && at - world.dayStart < length) {
            world.simulation.at(at, now -> {
                arrive(now, tenant, random, random, random, random);
                scheduleFlood(tenant, extra, until, random);
            });
        }
    }

    private void arrive(long now) {
        arrive(now, -1, classes, zones, keys, works);
    }

    private void arrive(
            long now,
            int fixedTenant,
            RandomStream classDraws,
            RandomStream zoneDraws,
            RandomStream keyDraws,
            RandomStream workDraws) {
        int requestClass = sampleIndex(classShares, classDraws.uniform());
        int tenant = fixedTenant >= 0 ? fixedTenant : sampleIndex(tenantShares, tenantDraws.uniform());
        int zone = sampleIndex(zoneShares, zoneDraws.uniform());
        double hotDraw = keyDraws.uniform();
        double keyDraw = keyDraws.uniform();
        int key = keyShares.length == 0
                ? -1
                : hotDraw < hotKeyShare
                        ? keyShares.length - 1 - (int) (keyDraw * Math.min(hotKeys, keyShares.length))
                        : sampleIndex(keyShares, keyDraw);
        WorldPlan.RequestClassPlan requestClassPlan = plan.classes().get(requestClass);
        double work =
                switch (requestClassPlan.spread()) {
                    case EXPONENTIAL -> workDraws.exponential(workMeans[requestClass]);
                    case LOGNORMAL -> workDraws.lognormal(workMeans[requestClass], variations[requestClass]);
                    case PARETO -> workDraws.pareto(workMeans[requestClass], variations[requestClass]);
                    case FIXED -> workMeans[requestClass];
                };
        ClientRequest request = new ClientRequest(
                number++,
                requestClass,
                tenant,
                zone,
                key,
                work,
                now,
                now + requestClassPlan.deadline(),
                overQuota(tenant, now));
        open++;
        world.offeredWork += work;
        world.observer.requestIssued(request, now);
        attempt(request, now);
    }

    private boolean overQuota(int tenant, long now) {
        if (tenantAllowances.length == 0) {
            return false;
        }
        double perMicro = tenantAllowances[tenant] / 1e6;
        tokens[tenant] =
                Math.min(Math.max(1, tenantAllowances[tenant]), tokens[tenant] + perMicro * (now - tokensAt[tenant]));
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
            if (requestDelay >= attemptTimeoutMicros) { // the client timed out before the request arrived
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
                world.simulation.after(Math.round(part * attemptTimeoutMicros), leftAt -> {
                    if (!balancerRequest.answered && !balancerRequest.clientGone && balancer.alive()) {
                        balancer.abandon(balancerRequest, leftAt);
                        ended(request, AttemptResult.LEFT, 0, leftAt, serial);
                    }
                });
            }
        });
    }

    /** Reports the end of a client attempt at its balancer; the client receives it after the network delay. */
    void attemptEnded(BalancerRequest request, AttemptResult result, long retryAfter, long now) {
        ended(
                request.clientRequest(),
                result,
                retryAfter,
                now + world.network.client(request.serial, 1),
                request.serial);
    }

    private void ended(ClientRequest request, AttemptResult result, long retryAfter, long receivedAt, long serial) {
        world.simulation.at(receivedAt, now -> {
            if (request.finished) {
                return;
            }
            if (result == AttemptResult.SERVED || result == AttemptResult.LEFT || !mayRetry(request, result)) {
                finish(request, result == AttemptResult.SERVED, now);
                return;
            }
            double mean = backoff * (1L << Math.min(MAX_BACKOFF_DOUBLINGS, request.attempts - 1));
            double wait = backoffDisabled ? 1_000 : mean * IndexedRandom.exponential(world.randomSeed, serial, 4);
            if (retryAfter > 0
                    && !backoffDisabled
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

    private boolean mayRetry(ClientRequest request, AttemptResult result) {
        if (request.attempts > Math.min(15, retries + extraRetries)) {
            return false;
        }
        boolean idempotent = plan.classes().get(request.requestClass).effect() != Idempotency.NON_IDEMPOTENT;
        return idempotent || result == AttemptResult.REFUSED || result == AttemptResult.UNREACHABLE;
    }

    private void finish(ClientRequest request, boolean served, long now) {
        request.finished = true;
        open--;
        world.observer.requestFinished(request, served, now);
    }

    /** The slots of a zone, or all slots if the zone has none. */
    static List<BalancerSlot> of(List<BalancerSlot> all, int zone) {
        List<BalancerSlot> inZone = new ArrayList<>();
        for (BalancerSlot slot : all) {
            if (slot.zone == zone) {
                inZone.add(slot);
            }
        }
        return inZone.isEmpty() ? all : inZone;
    }
}
