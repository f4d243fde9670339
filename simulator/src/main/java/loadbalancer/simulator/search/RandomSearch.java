package loadbalancer.simulator.search;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.RandomStreams;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.Runner;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.variants.Variants;
import loadbalancer.simulator.variants.Variants.Variant;
import loadbalancer.simulator.world.FaultKinds;
import loadbalancer.simulator.world.PolicyFactory;
import loadbalancer.simulator.world.Range;
import loadbalancer.simulator.world.WorldPlan;
import loadbalancer.simulator.world.WorldPlan.Fault;

/**
 * Draws worlds with random faults, plays them, and keeps those in which a rule breaks or a collapse stays when
 * its cause has gone. A find is shrunk by delta debugging (Zeller): whatever can go without losing it goes.
 */
public final class RandomSearch {
    private static final long SECOND = 1_000_000;
    private static final int TROUBLES = 5;
    private static final long CALM = 12 * SECOND; // after the last fault, to recover in
    private static final int LAST = 4; // s at the end that show a collapse
    private static final double COLLAPSED = 0.5; // of the weight served before the first fault, or without any
    private static final int MOST_RUNS = 60;

    /** A world that shows something; {@code runs}: days played to make it as small as it is. */
    public record Find(long seed, WorldPlan plan, Variant variant, String what, int runs) {}

    private final Experiment experiment;
    private final RandomStreams streams;
    private final int threads;
    private final Variant variant;
    private final PolicyFactory policyFactory;

    /**
     * Searches the ranges of an experiment, under its first variant.
     *
     * @param seed of the worlds and their faults
     * @param threads worlds played at once
     */
    public RandomSearch(Experiment experiment, long seed, int threads) {
        this.experiment = experiment;
        this.streams = new RandomStreams(seed);
        this.threads = threads;
        this.variant = experiment.variants().get(0);
        this.policyFactory = Variants.policyFactory(variant);
    }

    /** Plays that many worlds; what was found, in the order of the worlds. */
    public List<Find> search(int worlds, Runner.Progress progress) {
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, threads));
        try {
            List<Future<Find>> playing = new ArrayList<>();
            java.util.concurrent.atomic.AtomicInteger done = new java.util.concurrent.atomic.AtomicInteger();
            for (int i = 0; i < worlds; i++) {
                long number = i;
                playing.add(pool.submit(() -> {
                    long seed = streams.seed("world", number) >>> 32;
                    WorldPlan plan = draw(streams.of("hunt", number, "troubles"));
                    String what = shows(plan, seed);
                    progress.played(done.incrementAndGet(), worlds);
                    return what == null ? null : new Find(seed, plan, variant, what, 1);
                }));
            }
            List<Find> finds = new ArrayList<>();
            for (Future<Find> future : playing) {
                if (future.get() != null) {
                    finds.add(future.get());
                }
            }
            return finds;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a world failed: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            pool.shutdownNow();
        }
    }

    private WorldPlan draw(RandomStream random) {
        List<String> kinds = FaultKinds.DESCRIPTIONS.keySet().stream().sorted().toList();
        long length = Math.max(experiment.plan().length(), 30 * SECOND);
        int many = 1 + random.below(TROUBLES);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            String kind = kinds.get(random.below(kinds.size()));
            double at = random.between(3 * SECOND, (length - CALM) / 2.0);
            double last = Math.min(random.between(SECOND, 12 * SECOND), length - CALM - at);
            faults.add(new Fault(
                    kind,
                    Range.of(Math.rint(at)),
                    Range.of(Math.rint(Math.max(SECOND, last))),
                    Range.of(round(part(kind, random.uniform()))),
                    Range.of(round(size(kind, random.uniform()))),
                    Range.of(round(extra(kind, random.uniform())))));
        }
        return experiment.plan().withLength(length).withFaults(faults);
    }

    private static double round(double value) {
        return Math.rint(value * 1000) / 1000;
    }

    private static double part(String kind, double draw) {
        return kind.equals("deploy") || kind.startsWith("balancers") ? 0.3 + 0.65 * draw : 0.05 + 0.25 * draw;
    }

    private static double size(String kind, double draw) {
        return switch (kind) {
            case "slow" -> 2 + 8 * draw;
            case "shared_slow", "network_slow" -> 1.3 + 1.7 * draw;
            case "fast_errors", "grey" -> 0.3 + 0.7 * draw;
            case "hot_key" -> 0.03 + 0.22 * draw;
            case "deploy" -> 0.08 + 0.12 * draw;
            case "burst" -> 1.2 + 0.8 * draw;
            case "retry_storm" -> 1 + Math.floor(5 * draw);
            case "loss" -> 0.002 + 0.03 * draw;
            default -> draw < 0.5 ? 0 : 1;
        };
    }

    private static double extra(String kind, double draw) {
        return switch (kind) {
            case "deploy" -> 2 + 4 * draw;
            case "hot_key" -> 1 + Math.floor(3 * draw);
            case "grey" -> 1 + 3 * draw;
            case "clock_step" -> -5 + 10 * draw;
            default -> 0.2 + 2 * draw;
        };
    }

    /** What that world shows, in plain words; null where nothing is wrong. */
    private String shows(WorldPlan plan, long seed) {
        Day day = Day.play(plan, seed, policyFactory);
        if (!day.violations().isEmpty()) {
            return "rule " + day.violations().get(0).rule() + " broken";
        }
        double before = mean(day, 0, (int) Math.max(1, first(plan)));
        double after = atTheEnd(day);
        if (after >= COLLAPSED * before) {
            return null;
        }
        // The load may be what ends it: the same world without faults tells.
        double calm = atTheEnd(Day.play(plan.withFaults(List.of()), seed, policyFactory));
        return after < COLLAPSED * calm ? "a collapse that outlives its cause" : null;
    }

    private static double first(WorldPlan plan) {
        return plan.faults().stream().mapToDouble(t -> t.at().min()).min().orElse(0) / SECOND;
    }

    private static double atTheEnd(Day day) {
        int seconds = day.series().priorityWeight().length;
        return mean(day, Math.max(0, seconds - LAST), seconds);
    }

    private static double mean(Day day, int from, int to) {
        double[] values = day.series().priorityWeight();
        double sum = 0;
        for (int i = from; i < to; i++) {
            sum += values[i];
        }
        return to <= from ? 1 : sum / (to - from);
    }

    /** The smallest world and timeline found that still shows the same. */
    public Find shrink(Find find) {
        WorldPlan plan = find.plan();
        int runs = 0;
        boolean smaller = true;
        while (smaller && runs < MOST_RUNS) {
            smaller = false;
            for (WorldPlan next : steps(plan)) {
                runs++;
                if (find.what().equals(shows(next, find.seed()))) {
                    plan = next;
                    smaller = true;
                    break;
                }
                if (runs >= MOST_RUNS) {
                    break;
                }
            }
        }
        return new Find(find.seed(), plan, variant, find.what(), runs);
    }

    private static List<WorldPlan> steps(WorldPlan plan) {
        List<WorldPlan> all = new ArrayList<>();
        for (int i = 0; i < plan.faults().size() && plan.faults().size() > 1; i++) {
            List<Fault> fewer = new ArrayList<>(plan.faults());
            fewer.remove(i);
            all.add(plan.withFaults(fewer));
        }
        if (plan.balancers().max() >= 2) {
            all.add(plan.withSize(half(plan.balancers(), 1), plan.upstreams()));
        }
        if (plan.upstreams().max() >= 4) {
            all.add(plan.withSize(plan.balancers(), half(plan.upstreams(), 2)));
        }
        double end = plan.faults().stream()
                .mapToDouble(t -> t.at().max() + t.length().max())
                .max()
                .orElse(0);
        if (plan.length() > end + CALM + SECOND) {
            all.add(plan.withLength(Math.round((end + CALM) / SECOND) * SECOND));
        }
        for (int i = 0; i < plan.faults().size(); i++) {
            Fault fault = plan.faults().get(i);
            if (fault.length().max() >= 2 * SECOND) {
                List<Fault> shorter = new ArrayList<>(plan.faults());
                shorter.set(
                        i,
                        new Fault(
                                fault.kind(),
                                fault.at(),
                                Range.of(Math.rint(fault.length().max() / 2)),
                                fault.fraction(),
                                fault.size(),
                                fault.extra(),
                                fault.pool()));
                all.add(plan.withFaults(shorter));
            }
        }
        return all;
    }

    private static Range half(Range range, int least) {
        return Range.of(Math.max(least, Math.floor(range.max() / 2)));
    }
}
