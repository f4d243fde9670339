package loadbalancer.simulator.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import loadbalancer.simulator.stats.Interval;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares the queueing model with theory. Each simulated mean is over independent seeds. The theoretical value must
 * lie within the 99.8% confidence interval, so that sixteen checks seldom fail by chance. The interval is widened
 * where the theory gives a limit.
 */
class TheoryTest {
    private static final int SEEDS = 6;
    private static final double WIDENING_FACTOR = 5.89 / 2.571; // Student's t, 5 degrees of freedom: 99.8% over 95%

    private static Interval mean(
            String policy, int servers, int cores, double lambda, double fastShare, int sampled, long jobs) {
        return Interval.of(IntStream.rangeClosed(1, SEEDS)
                .mapToDouble(seed -> QueueModel.run(new QueueModel.Setting(
                                policy,
                                servers,
                                cores,
                                lambda,
                                fastShare,
                                fastShare < 1 ? 1.95 : 1,
                                fastShare < 1 ? 0.6 : 1,
                                sampled,
                                sampled / 2,
                                jobs,
                                seed))
                        .meanResponse())
                .toArray());
    }

    private static void assertAgrees(Interval found, double theory, double bias) {
        assertTrue(
                Math.abs(found.mean() - theory) <= WIDENING_FACTOR * found.halfWidth() + bias * theory,
                "simulated " + found + ", theory " + theory);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.7", "1, 0.9", "4, 0.5", "4, 0.7", "4, 0.9"})
    void oneServerAgreesWithTheErlangFormula(int cores, double load) {
        Interval found = mean("random", 1, cores, cores * load, 1, 1, 600_000);
        assertAgrees(found, Theory.mmc(cores, load), 0);
        assertTrue(found.halfWidth() < 0.06 * found.mean(), "interval is too wide for a comparison: " + found);
    }

    /** The limit is for infinitely many servers; with 1000 servers the mean may deviate by up to 1%. */
    @ParameterizedTest
    @CsvSource({"2, 0.7", "2, 0.9", "2, 0.95", "3, 0.7", "3, 0.9", "3, 0.95"})
    void theShortestOfSeveralQueuesAgreesWithMitzenmachersLimit(int sampled, double load) {
        assertAgrees(mean("jsq-d", 1000, 1, load, 1, sampled, 400_000), Theory.jsqD(sampled, load), 0.01);
    }

    @ParameterizedTest
    @CsvSource({"0.5", "0.7", "0.8"})
    void jsqDfDsAgreesWithThePapersFixedPointIfAJobsOwnServiceIsCounted(double lambda) {
        assertAgrees(
                mean("jsq-dfds", 1000, 1, lambda, 0.3, 4, 400_000),
                Theory.jsqDfDs(2, 2, lambda, 0.3, 1.95, 0.6, false),
                0.01);
    }

    private static QueueModel.Result run(String policy, int servers, double lambda, long jobs) {
        return QueueModel.run(new QueueModel.Setting(policy, servers, 1, lambda, 1, 1, 1, 4, 1, jobs, 12));
    }

    @Test
    void theErlangFormulasAgreeForOneCore() {
        assertEquals(Theory.mm1(0.8), Theory.mmc(1, 0.8), 1e-12);
        assertEquals(Theory.mm1(0.8), Theory.jsqD(1, 0.8), 1e-12);
    }

    @Test
    void jsqDasIdentifiesTheFastServersAtHighLoad() {
        QueueModel.Result result =
                QueueModel.run(new QueueModel.Setting("jsq-das", 300, 1, 0.9, 0.3, 1.95, 0.6, 4, 2, 900_000, 5));
        assertTrue(result.fastIdentified() > 0.99, "share of fast servers identified: " + result.fastIdentified());
    }

    @Test
    void theBalancersPolicyBeatsRandomChoiceAndRejectsNothingWithoutDeadlines() {
        QueueModel.Result own = run("balance", 100, 0.8, 60_000);
        QueueModel.Result random = run("random", 100, 0.8, 60_000);
        assertEquals(0, own.refused());
        assertTrue(own.meanResponse() < random.meanResponse() / 2, own + " / " + random);
    }

    @Test
    void aSettingWhoseLoadExceedsCapacityIsRejectedBeforeTheRun() {
        assertThrows(IllegalArgumentException.class, () -> run("random", 10, 1.0, 1000));
    }
}
