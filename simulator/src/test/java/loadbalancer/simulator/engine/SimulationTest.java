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
    private record Planned(int time, int order) {}

    /** Whatever is scheduled and called off, the rest happens by time, and by order of scheduling within one. */
    @Property(tries = 200, seed = "11")
    void whatIsLeftHappensInOrder(
            @ForAll @Size(max = 3000) List<@IntRange(max = 200) Integer> times,
            @ForAll @IntRange(min = 1, max = 7) int each) {
        Simulation simulation = new Simulation();
        List<Planned> expected = new ArrayList<>();
        List<Planned> happened = new ArrayList<>();
        List<Simulation.Timer> off = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            Planned p = new Planned(times.get(i), i);
            Simulation.Timer timer = simulation.timer(p.time, now -> {
                assertEquals(p.time, now);
                happened.add(p);
            });
            if (i % each == 0) {
                expected.add(p);
            } else {
                off.add(timer);
            }
        }
        off.forEach(Simulation.Timer::cancel);
        simulation.runUntil(1000);
        expected.sort(Comparator.comparingInt(Planned::time).thenComparingInt(Planned::order));
        assertEquals(expected, happened);
        assertEquals(0, simulation.waiting());
    }

    @Test
    void anEventMayScheduleAtItsOwnInstantAndThatHappensAfterWhatWaitsThere() {
        Simulation simulation = new Simulation();
        List<String> happened = new ArrayList<>();
        simulation.at(5, now -> {
            happened.add("first");
            simulation.at(5, then -> happened.add("third"));
        });
        simulation.at(5, now -> happened.add("second"));
        simulation.runUntil(5);
        assertEquals(List.of("first", "second", "third"), happened);
    }

    @Test
    void aTimerCancelledInTheEventThatFiresItLeavesTheCountsRight() {
        Simulation simulation = new Simulation();
        Simulation.Timer[] own = new Simulation.Timer[1];
        own[0] = simulation.timer(3, now -> own[0].cancel());
        Simulation.Timer other = simulation.timer(4, now -> {});
        simulation.runUntil(3);
        assertFalse(own[0].pending());
        other.cancel();
        other.cancel();
        for (int i = 0; i < 5000; i++) {
            simulation.timer(10, now -> {}).cancel();
        }
        assertTrue(simulation.waiting() < 2500, "called-off timers are swept: " + simulation.waiting());
        simulation.runUntil(20);
        assertEquals(0, simulation.waiting());
    }

    @Test
    void thePastCannotBeScheduled() {
        Simulation simulation = new Simulation();
        simulation.runUntil(10);
        assertThrows(IllegalArgumentException.class, () -> simulation.at(9, now -> {}));
    }

    @Test
    void whatOnePartyDrawsLeavesAnothersDrawsAlone() {
        RandomStreams once = new RandomStreams(7);
        RandomStreams again = new RandomStreams(7);
        for (int i = 0; i < 100; i++) {
            again.of("client", 1, "work").uniform();
        }
        assertEquals(
                once.of("client", 2, "work").bits(),
                again.of("client", 2, "work").bits());
        assertFalse(once.of("client", 2, "work").bits()
                == once.of("client", 2, "key").bits());
        assertFalse(once.of("client", 2, "work").bits()
                == new RandomStreams(8).of("client", 2, "work").bits());
    }

    @Test
    void drawsHaveTheMeansAndSpreadsThatAreAskedFor() {
        RandomStream random = new RandomStreams(3).of("test", 0, "moments");
        int n = 400_000;
        double[] sums = new double[6];
        for (int i = 0; i < n; i++) {
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
        assertEquals(2, sums[0] / n, 0.02);
        assertEquals(8, sums[1] / n, 0.2);
        assertEquals(3, sums[2] / n, 0.05);
        assertEquals(4, sums[3] / n, 0.03);
        assertEquals(0, sums[4] / n, 0.01);
        assertEquals(1, sums[5] / n, 0.02);
    }
}
