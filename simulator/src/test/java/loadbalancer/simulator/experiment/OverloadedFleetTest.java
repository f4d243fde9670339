package loadbalancer.simulator.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.rules.Score;
import loadbalancer.simulator.variants.Variants;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A hundred balancers that share nothing meet an overload: what they do in sum. */
class OverloadedFleetTest {
    private static final Path FOLDER = Path.of("../experiments/overload");

    private static Score.Series play(String experiment, long seed) throws IOException {
        Experiment read = ExperimentReader.read(FOLDER.resolve(experiment + ".toml"));
        Day day = Day.play(
                read.plan(), seed, Variants.policyFactory(read.variants().get(0)));
        assertEquals(0.0, day.figures().get("rules.broken"));
        return day.series();
    }

    private static double priorityWeight(Score.Series day, int from, int to) {
        double sum = 0;
        for (int second = from; second < to; second++) {
            sum += day.priorityWeight()[second];
        }
        return sum / (to - from);
    }

    /** Queues that had gone long ago were answered for by refusing 97 of 100 requests, for six seconds. */
    @Test
    void aFleetWhoseUpstreamsTurnSlowerGoesOnServingAndIsNormalSoonAfter() throws IOException {
        Score.Series day = play("slowed-100", 2); // slower from 8 s to 17 s
        for (int second = 8; second < 17; second++) {
            double sent = day.attempts()[second] / (double) day.arrivals()[second];
            assertTrue(sent > 0.5, "sent in second " + second + ", of what arrived: " + sent);
        }
        assertTrue(priorityWeight(day, 10, 17) > 0.4, "of the worth while slower: " + priorityWeight(day, 10, 17));
        assertTrue(priorityWeight(day, 19, 30) > 0.9, "of the worth from 2 s after: " + priorityWeight(day, 19, 30));
    }

    /**
     * Where each balancer saw little of each key the keys went everywhere, and servers did twice the work. On seed 2 a
     * single request of 206 times the mean work reaches a cold upstream, which is nobody's fault.
     */
    @ParameterizedTest
    @CsvSource({"1", "2", "5"})
    void aFleetThatIsReplacedWithinSecondsServesOn(long seed) throws IOException {
        Score.Series day = play("replaced-100", seed); // from 6 s to 13 s
        for (int third = 0; third < 3; third++) {
            double priorityWeight = priorityWeight(day, 10 * third, 10 * third + 10);
            assertTrue(priorityWeight > 0.92, "of the worth in third " + third + ": " + priorityWeight);
        }
    }

    /** False alarms of each balancer add up: 2% of a quiet day was refused. */
    @Test
    void aQuietDayIsServedWholeOnceTheFleetHasStarted() throws IOException {
        Score.Series day = play("calm-100", 1);
        long refused = 0;
        for (int second = 6; second < 30; second++) {
            refused += day.refusals()[second];
        }
        assertTrue(refused < 100, "of 38,000 requests were refused: " + refused);
    }
}
