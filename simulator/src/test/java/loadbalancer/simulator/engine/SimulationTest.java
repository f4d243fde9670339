package loadbalancer.simulator.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class SimulationTest {
    private record PlannedEvent(int time, int order) {}

    /** Events that are not cancelled run in order of time; events at the same time run in order of scheduling. */
    @Property(tries = 200, seed = "11")
    void uncancelledEventsRunInOrderOfTimeAndScheduling(
            @ForAll @Size(max = 3000) List<@IntRange(max = 200) Integer> times,
            @ForAll @IntRange(min = 1, max = 7) int keptInterval) {
        Simulation simulation = new Simulation();
        List<PlannedEvent> expected = new ArrayList<>();
        List<PlannedEvent> executed = new ArrayList<>();
        List<Simulation.Timer> cancelledTimers = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            PlannedEvent planned = new PlannedEvent(times.get(i), i);
            Simulation.Timer timer = simulation.timer(planned.time, now -> {
                assertEquals(planned.time, now);
                executed.add(planned);
            });
            if (i % keptInterval == 0) {
                expected.add(planned);
            } else {
                cancelledTimers.add(timer);
            }
        }
        cancelledTimers.forEach(Simulation.Timer::cancel);
        simulation.runUntil(1000);
        expected.sort(Comparator.comparingInt(PlannedEvent::time).thenComparingInt(PlannedEvent::order));
        assertEquals(expected, executed);
        assertEquals(0, simulation.waiting());
    }

    @Test
    void anEventScheduledForTheCurrentTimeRunsAfterThoseAlreadyQueued() {
        Simulation simulation = new Simulation();
        List<String> executed = new ArrayList<>();
        simulation.at(5, now -> {
            executed.add("first");
            simulation.at(5, then -> executed.add("third"));
        });
        simulation.at(5, now -> executed.add("second"));
        simulation.runUntil(5);
        assertEquals(List.of("first", "second", "third"), executed);
    }

    @Test
    void aTimerCancelledByItsOwnEventDoesNotCorruptTheCancelledCount() {
        Simulation simulation = new Simulation();
        Simulation.Timer[] selfCancelling = new Simulation.Timer[1];
        selfCancelling[0] = simulation.timer(3, now -> selfCancelling[0].cancel());
        Simulation.Timer other = simulation.timer(4, now -> {});
        simulation.runUntil(3);
        assertFalse(selfCancelling[0].pending());
        other.cancel();
        other.cancel();
        for (int i = 0; i < 5000; i++) {
            simulation.timer(10, now -> {}).cancel();
        }
        assertTrue(
                simulation.waiting() < 2500,
                "cancelled timers should have been removed; events in the queue: " + simulation.waiting());
        simulation.runUntil(20);
        assertEquals(0, simulation.waiting());
    }

    @Test
    void schedulingAnEventInThePastIsRejected() {
        Simulation simulation = new Simulation();
        simulation.runUntil(10);
        assertThrows(IllegalArgumentException.class, () -> simulation.at(9, now -> {}));
    }

    @Test
    void drawsFromOneStreamDoNotChangeAnotherStream() {
        RandomStreams untouched = new RandomStreams(7);
        RandomStreams drawnFrom = new RandomStreams(7);
        for (int i = 0; i < 100; i++) {
            drawnFrom.of("client", 1, "work").uniform();
        }
        assertEquals(
                untouched.of("client", 2, "work").bits(),
                drawnFrom.of("client", 2, "work").bits());
        assertFalse(untouched.of("client", 2, "work").bits()
                == untouched.of("client", 2, "key").bits());
        assertFalse(untouched.of("client", 2, "work").bits()
                == new RandomStreams(8).of("client", 2, "work").bits());
    }

    @Test
    void drawsHaveTheRequestedMeansAndVariances() {
        RandomStream random = new RandomStreams(3).of("test", 0, "moments");
        int draws = 400_000;
        double[] sums = new double[6];
        for (int i = 0; i < draws; i++) {
            double e = random.exponential(2);
            double l = random.lognormal(3, 1.5);
            double p = random.pareto(4, 0.5);
            double g = random.gaussian();
            sums[0] += e;
            sums[1] += e * e;
            sums[2] += l;
            sums[3] += p;
            sums[4] += g;
            sums[5] += g * g;
        }
        assertEquals(2, sums[0] / draws, 0.02);
        assertEquals(8, sums[1] / draws, 0.2);
        assertEquals(3, sums[2] / draws, 0.05);
        assertEquals(4, sums[3] / draws, 0.03);
        assertEquals(0, sums[4] / draws, 0.01);
        assertEquals(1, sums[5] / draws, 0.02);
    }
}
