package loadbalancer.simulator.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.variants.Variants;
import loadbalancer.simulator.variants.Variants.Variant;

/** Plays an experiment's days on several threads. Each day is a world of its own, so their number changes nothing. */
public final class Runner {
    private Runner() {}

    /** Receives progress: {@code done} days of {@code all}. It is called on the threads that play. */
    @FunctionalInterface
    public interface Progress {
        /** {@code done} of {@code all} days have been played. */
        void played(int done, int all);
    }

    /**
     * Plays all variants on all seeds.
     *
     * @throws IllegalStateException where a policy failed; its cause is the failure
     */
    public static Results run(Experiment experiment, int threads, Progress progress) {
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, threads));
        try {
            Map<String, List<Future<Day>>> playing = new LinkedHashMap<>();
            int all = experiment.variants().size() * experiment.seeds();
            java.util.concurrent.atomic.AtomicInteger done = new java.util.concurrent.atomic.AtomicInteger();
            for (Variant variant : experiment.variants()) {
                playing.put(variant.name(), new ArrayList<>());
            }
            for (int i = 0; i < experiment.seeds(); i++) {
                long seed = experiment.firstSeed() + i;
                for (Variant variant : experiment.variants()) {
                    playing.get(variant.name()).add(pool.submit(() -> {
                        Day day = Day.play(
                                variant.calm() ? experiment.plan().withFaults(List.of()) : experiment.plan(),
                                seed,
                                Variants.policyFactory(variant, experiment.plan()));
                        progress.played(done.incrementAndGet(), all);
                        return day;
                    }));
                }
            }
            Map<String, List<Day>> days = new LinkedHashMap<>();
            for (Map.Entry<String, List<Future<Day>>> e : playing.entrySet()) {
                List<Day> own = new ArrayList<>();
                for (Future<Day> future : e.getValue()) {
                    own.add(future.get());
                }
                days.put(e.getKey(), own);
            }
            return new Results(experiment, days);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a day failed: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            pool.shutdownNow();
        }
    }
}
