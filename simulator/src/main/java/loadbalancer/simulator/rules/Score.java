package loadbalancer.simulator.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.simulator.world.ClientRequest;
import loadbalancer.simulator.world.Clients;
import loadbalancer.simulator.world.Timeline;
import loadbalancer.simulator.world.World;
import loadbalancer.simulator.world.WorldPlan;
import org.HdrHistogram.Histogram;

/**
 * Scores a day as the operators do: priority weight served within the latency objective over the weight asked for, over
 * the whole day, in the worst 10 s, for the worst class and the worst tenant within its share, less the prices.
 */
public final class Score {
    private static final long SECOND = 1_000_000;
    private static final int WINDOW = 10;
    private static final double OVER_SHARE = 0.1;
    private static final double BACK = 0.95; // of the level before: a service has recovered
    private static final long LONGEST = 60 * SECOND;

    private final WorldPlan plan;
    private final int seconds;
    private final double[] asked;
    private final double[] got;
    private final double[][] classes;
    private final double[][] tenants;
    private final long[] arrivals;
    private final long[] refusals;
    private final long[] attempts;
    private final Histogram[] latencies;
    private final Map<AttemptOutcome, Long> outcomes = new java.util.EnumMap<>(AttemptOutcome.class);
    private final Map<Clients.AttemptResult, Long> ends = new java.util.EnumMap<>(Clients.AttemptResult.class);
    private double coldPressure;
    private long latestToDraining;
    private long leastAnswerMargin = LONGEST;
    private double lateLost;
    private long firstTries;
    private long served;
    private long taken;
    private long sends;
    private long further;
    private long fallen;
    private long lists;
    private long flaps;
    private final Map<Integer, List<String>> pools = new java.util.HashMap<>(); // that each key has been at
    private final double[] done; // work of what was served, by the second of its end
    private final List<int[]> held = new ArrayList<>();
    private final Map<String, Long> sentTo = new java.util.TreeMap<>();

    /**
     * What a day came to, second by second; {@code held}: requests in each upstream, -1 where it is gone.
     * {@code sentTo}: attempts by the id they were sent to.
     */
    public record Series(
            double[] priorityWeight,
            long[] arrivals,
            long[] refusals,
            long[] attempts,
            List<int[]> held,
            List<String> upstreams,
            Map<String, Long> sentTo,
            List<Timeline.FaultInterval> faultIntervals,
            List<double[]> percentiles) {}

    /** Counts nothing yet, for a day of that plan. */
    public Score(WorldPlan plan) {
        this.plan = plan;
        seconds = (int) ((plan.length() + SECOND - 1) / SECOND);
        asked = new double[seconds];
        got = new double[seconds];
        done = new double[seconds];
        arrivals = new long[seconds];
        refusals = new long[seconds];
        attempts = new long[seconds];
        classes = new double[plan.classes().size()][2];
        tenants = new double[plan.tenants().size()][2];
        latencies = new Histogram[classes.length];
        for (int i = 0; i < latencies.length; i++) {
            latencies[i] = new Histogram(LONGEST, 3);
        }
    }

    /** Names of the figures that a day in such a world comes to. */
    public static List<String> names(WorldPlan plan) {
        return new ArrayList<>(new Score(plan)
                .figures(new World.Costs(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1), 0, List.of())
                .keySet());
    }

    private int second(long now) {
        return (int) Math.max(0, Math.min(seconds - 1, (now - World.dayStart()) / SECOND));
    }

    private double priorityWeight(ClientRequest request) {
        return plan.classes().get(request.requestClass()).priorityWeight() * (request.overQuota() ? OVER_SHARE : 1);
    }

    void requestIssued(ClientRequest request, long now) {
        double priorityWeight = priorityWeight(request);
        firstTries++;
        asked[second(now)] += priorityWeight;
        arrivals[second(now)]++;
        classes[request.requestClass()][0] += priorityWeight;
        if (tenants.length > 0 && !request.overQuota()) {
            tenants[request.tenant()][0] += priorityWeight;
        }
    }

    void requestFinished(ClientRequest request, boolean wasServed, long now) {
        WorldPlan.RequestClassPlan kind = plan.classes().get(request.requestClass());
        long latency = now - request.firstAttemptAt();
        double priorityWeight = priorityWeight(request);
        if (!wasServed) {
            lateLost += latency > kind.latencyObjectiveMicros() ? priorityWeight : 0;
            return;
        }
        served++;
        if (now <= request.deadline() && now - World.dayStart() < seconds * SECOND) {
            done[second(now)] += request.work();
        }
        latencies[request.requestClass()].recordValue(Math.max(1, Math.min(LONGEST, latency)));
        double gained = latency <= kind.latencyObjectiveMicros()
                ? priorityWeight
                : latency <= kind.deadline() ? priorityWeight * kind.lateFraction() : 0;
        got[second(request.firstAttemptAt())] += gained;
        classes[request.requestClass()][1] += gained;
        if (tenants.length > 0 && !request.overQuota()) {
            tenants[request.tenant()][1] += gained;
        }
    }

    void requestAccepted(long now) {
        taken++;
    }

    void attemptStarted(String upstream, int earlier, int key, String pool, long now) {
        sends++;
        if (key >= 0) {
            List<String> been = pools.computeIfAbsent(key, k -> new ArrayList<>(2));
            if (!been.contains(pool)) {
                been.add(pool);
            } else if (!been.get(been.size() - 1).equals(pool)) {
                been.remove(pool);
                been.add(pool);
                flaps++;
            }
        }
        sentTo.merge(upstream, 1L, Long::sum);
        further += earlier > 0 ? 1 : 0;
        attempts[second(now)]++;
    }

    void attemptEnded(AttemptOutcome outcome, long now) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    void requestAnswered(Clients.AttemptResult end, long now) {
        ends.merge(end, 1L, Long::sum);
        refusals[second(now)] += end == Clients.AttemptResult.REFUSED ? 1 : 0;
    }

    void coldLoad(double part) {
        coldPressure = Math.max(coldPressure, part);
    }

    void sentToDraining(long after) {
        latestToDraining = Math.max(latestToDraining, after);
    }

    void answerMargin(long left) {
        leastAnswerMargin = Math.min(leastAnswerMargin, left);
    }

    void upstreamOverloaded() {
        fallen++;
    }

    void endpointListNotified(EndpointListKind kind) {
        lists++;
    }

    void sample(int[] inUpstreams) {
        held.add(inUpstreams);
    }

    Series series(World world) {
        double[] priorityWeight = new double[seconds];
        for (int i = 0; i < seconds; i++) {
            priorityWeight[i] = asked[i] <= 0 ? 1 : got[i] / asked[i];
        }
        List<double[]> percentiles = new ArrayList<>();
        for (Histogram histogram : latencies) {
            double[] ms = new double[101];
            for (int p = 0; p < ms.length; p++) {
                ms[p] = histogram.getValueAtPercentile(p == 100 ? 99.9 : p) / 1000.0;
            }
            percentiles.add(ms);
        }
        return new Series(
                priorityWeight,
                arrivals,
                refusals,
                attempts,
                held,
                world.upstreamIds(),
                sentTo,
                world.faultIntervals(),
                percentiles);
    }

    /** All figures of the day by name; shares from 0 to 1, times in the unit that the name ends with. */
    Map<String, Double> figures(World.Costs costs, long brokenRules, List<Timeline.FaultInterval> faultIntervals) {
        Map<String, Double> figures = new LinkedHashMap<>();
        double allAsked = sum(asked, 0, seconds);
        double whole = ratio(sum(got, 0, seconds), allAsked);
        double window = worstWindow();
        double worstClass = worst(classes);
        double worstTenant = worst(tenants);
        WorldPlan.Goal goal = plan.goal();
        WorldPlan.Prices prices = plan.prices();
        double first = Math.max(1, firstTries);
        double price = prices.crossZone() * costs.crossings() / first
                + prices.handshake() * costs.handshakes() / first
                + prices.probe() * costs.probes() / first
                + prices.waste() * ratio0(costs.wastedWork(), costs.offeredWork())
                + prices.lateFail() * ratio0(lateLost, allAsked);
        figures.put(
                "G",
                goal.whole() * whole
                        + goal.worstWindow() * window
                        + goal.worstClass() * worstClass
                        + goal.worstTenant() * worstTenant
                        - price);
        figures.put("rules.broken", (double) brokenRules);
        figures.put("whole", whole);
        figures.put("worst_window", window);
        figures.put("worst_class", worstClass);
        figures.put("worst_tenant", worstTenant);
        figures.put("price", price);
        putAttempts(figures);
        putClassesAndTenants(figures);
        putCosts(figures, costs, faultIntervals);
        return figures;
    }

    private void putAttempts(Map<String, Double> figures) {
        figures.put("served", served / Math.max(1.0, firstTries));
        figures.put("refused", ends.getOrDefault(Clients.AttemptResult.REFUSED, 0L) / Math.max(1.0, taken));
        figures.put("failed", ends.getOrDefault(Clients.AttemptResult.FAILED, 0L) / Math.max(1.0, taken));
        figures.put("attempts", sends / Math.max(1.0, taken));
        figures.put("further_attempts", further / Math.max(1.0, taken));
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            figures.put(
                    "attempts." + outcome.name().toLowerCase(java.util.Locale.ROOT),
                    outcomes.getOrDefault(outcome, 0L) / Math.max(1.0, sends));
        }
    }

    private void putClassesAndTenants(Map<String, Double> figures) {
        for (int i = 0; i < latencies.length; i++) {
            String name = plan.classes().get(i).name();
            figures.put("class." + name, ratio(classes[i][1], classes[i][0]));
            figures.put("p50_ms." + name, latencies[i].getValueAtPercentile(50) / 1000.0);
            figures.put("p99_ms." + name, latencies[i].getValueAtPercentile(99) / 1000.0);
        }
        for (int i = 0; i < tenants.length; i++) {
            figures.put("tenant." + plan.tenants().get(i).name(), ratio(tenants[i][1], tenants[i][0]));
        }
    }

    private void putCosts(Map<String, Double> figures, World.Costs costs, List<Timeline.FaultInterval> faultIntervals) {
        double first = Math.max(1, firstTries);
        figures.put("goodput", goodput(faultIntervals, costs.capacity()));
        figures.put("least_goodput", leastGoodput(faultIntervals, costs.capacity()));
        figures.put("served_per_s", served / (double) Math.max(1, seconds));
        figures.put("flaps", (double) flaps);
        figures.put("recovery_s", recovery(faultIntervals));
        figures.put("wasted", ratio0(costs.wastedWork(), costs.offeredWork()));
        figures.put("handshakes", costs.handshakes() / first);
        figures.put("crossings", costs.crossings() / first);
        figures.put("probes", costs.probes() / first);
        figures.put("register_calls", (double) costs.registerCalls());
        figures.put("lists", (double) lists);
        figures.put("fallen", (double) fallen);
        figures.put("margin.cold", 1 - coldPressure);
        figures.put("margin.drain_ms", (plan.rules().drainGracePeriodMicros() - latestToDraining) / 1000.0);
        figures.put("margin.answer_ms", leastAnswerMargin / 1000.0);
        figures.put("requests", (double) firstTries);
        figures.put("events", (double) costs.events());
    }

    // While faults last, or over the whole day where there are none: work served in time, of what the fleet can do.
    private double goodput(List<Timeline.FaultInterval> faultIntervals, double capacity) {
        int[] span = span(faultIntervals);
        return sum(done, span[0], span[1]) / (Math.max(1, span[1] - span[0]) * capacity * SECOND);
    }

    private double leastGoodput(List<Timeline.FaultInterval> faultIntervals, double capacity) {
        int[] span = span(faultIntervals);
        double least = Double.MAX_VALUE;
        for (int i = span[0]; i + 5 <= span[1]; i++) {
            least = Math.min(least, sum(done, i, i + 5) / (5 * capacity * SECOND));
        }
        return least == Double.MAX_VALUE ? goodput(faultIntervals, capacity) : least;
    }

    private int[] span(List<Timeline.FaultInterval> faultIntervals) {
        long first = faultIntervals.stream()
                .mapToLong(Timeline.FaultInterval::from)
                .min()
                .orElse(0);
        long last = faultIntervals.stream()
                .mapToLong(Timeline.FaultInterval::to)
                .max()
                .orElse(seconds * SECOND);
        return new int[] {(int) Math.min(seconds, first / SECOND), (int) Math.min(seconds, last / SECOND)};
    }

    private double worstWindow() {
        double worst = 1;
        for (int i = 0; i + Math.min(WINDOW, seconds) <= seconds; i++) {
            int to = i + Math.min(WINDOW, seconds);
            double wanted = sum(asked, i, to);
            worst = wanted <= 0 ? worst : Math.min(worst, sum(got, i, to) / wanted);
        }
        return worst;
    }

    private static double worst(double[][] parts) {
        double worst = 1;
        for (double[] p : parts) {
            worst = p[0] <= 0 ? worst : Math.min(worst, p[1] / p[0]);
        }
        return worst;
    }

    // From the end of the last fault until two seconds running are back near the level of before the first.
    private double recovery(List<Timeline.FaultInterval> faultIntervals) {
        if (faultIntervals.isEmpty()) {
            return 0;
        }
        long first = faultIntervals.stream()
                .mapToLong(Timeline.FaultInterval::from)
                .min()
                .getAsLong();
        long last = faultIntervals.stream()
                .mapToLong(Timeline.FaultInterval::to)
                .max()
                .getAsLong();
        int before = (int) Math.max(1, Math.min(seconds, first / SECOND));
        double level = BACK * ratio(sum(got, 0, before), sum(asked, 0, before));
        int from = (int) Math.min(seconds, last / SECOND);
        for (int i = from; i + 2 <= seconds; i++) {
            double wanted = sum(asked, i, i + 2);
            if (wanted <= 0 || sum(got, i, i + 2) / wanted >= level) {
                return Math.max(0, i - from);
            }
        }
        return Math.max(0, seconds - from);
    }

    private static double sum(double[] values, int from, int to) {
        double sum = 0;
        for (int i = from; i < to; i++) {
            sum += values[i];
        }
        return sum;
    }

    private static double ratio(double part, double all) {
        return all <= 0 ? 1 : part / all;
    }

    private static double ratio0(double part, double all) {
        return all <= 0 ? 0 : part / all;
    }
}
