package loadbalancer.simulator.search;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.variants.Variants;
import loadbalancer.simulator.world.Worlds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RandomSearchTest {
    @TempDir
    private Path folder;

    private static Experiment experiment(String policy) {
        return new Experiment(
                "hunted",
                "",
                Worlds.small(0.6, 6, Idempotency.IDEMPOTENT),
                1,
                1,
                List.of(Worlds.variant(policy)),
                List.of());
    }

    /** Least in flight by itself pushes a cold successor over in some worlds: that is found, and shrinks. */
    @Test
    void aFindIsShrunkAndWrittenAsAnExperimentThatStillShowsIt() throws IOException {
        Experiment site = ExperimentReader.read(Path.of("../experiments/booking-day.toml"))
                .under(List.of(Worlds.variant("least-in-flight")));
        RandomSearch hunt = new RandomSearch(site, 3, 4);
        List<RandomSearch.Find> finds = hunt.search(60, (done, all) -> {});
        assertTrue(finds.size() > 0, "something is found in 60 rough worlds");
        RandomSearch.Find small = hunt.shrink(finds.get(0));
        assertTrue(small.plan().faults().size() <= finds.get(0).plan().faults().size());
        assertEquals(finds.get(0).what(), small.what());
        Path file = Files.writeString(folder.resolve("find.toml"), ExperimentWriter.write(small));
        Experiment read = ExperimentReader.read(file);
        assertEquals(small.plan(), read.plan(), "what is written reads as the same world");
        Day day = Day.play(
                read.plan(),
                read.firstSeed(),
                Variants.policyFactory(read.variants().get(0)));
        Day direct = Day.play(small.plan(), small.seed(), Variants.policyFactory(small.variant()));
        assertEquals(direct.figures(), day.figures());
    }

    @Test
    void theSameSeedHuntsTheSameWorlds() {
        List<RandomSearch.Find> once = new RandomSearch(experiment("random"), 5, 1).search(6, (done, all) -> {});
        List<RandomSearch.Find> again = new RandomSearch(experiment("random"), 5, 3).search(6, (done, all) -> {});
        assertEquals(once, again);
    }
}
