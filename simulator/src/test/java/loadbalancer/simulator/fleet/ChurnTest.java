package loadbalancer.simulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ChurnTest {
    private static final long LENGTH = 3_600_000_000L;

    private static Machines machines(int many) {
        return new Machines(many, List.of("a", "b", "c"), 4, List.of("127.0.0.1:40001", "127.0.0.1:40002"));
    }

    private static Churn.Rates rates(double speed) {
        return new Churn.Rates(0.05, 0.005, 0.001, 0.1, speed, 2_000_000, 1_000_000);
    }

    private static List<Churn.Event> events(long seed, double speed) {
        return new Churn(machines(60), rates(speed), seed).events(LENGTH);
    }

    @Test
    void aSeedGivesTheSameEventsAndAnotherGivesOthers() {
        assertEquals(events(7, 1), events(7, 1));
        assertNotEquals(events(7, 1), events(8, 1));
    }

    @Test
    void eventsComeInOrderAtTheirRates() {
        List<Churn.Event> all = events(3, 1);
        for (int i = 1; i < all.size(); i++) {
            assertTrue(all.get(i - 1).at() <= all.get(i).at());
        }
        long configurations =
                all.stream().filter(e -> e.what() == Churn.What.CONFIGURATION).count();
        long racks = all.stream()
                .filter(e -> e.what() == Churn.What.RACK && e.state().equals("terminating"))
                .count();
        assertTrue(configurations > 280 && configurations <= 420, "0.1 a second for an hour: " + configurations);
        assertTrue(racks > 5 && racks < 40, "0.005 a second for an hour: " + racks);
        long faster = events(3, 4).stream()
                .filter(e -> e.what() == Churn.What.CONFIGURATION)
                .count();
        assertTrue(faster > 3 * configurations, "four times the speed: " + faster);
    }

    @Test
    void aMachineDrainsThenGoesThenComesBackWhateverElseHits() {
        Map<Integer, String> state = new HashMap<>();
        Map<Integer, Long> since = new HashMap<>();
        for (Churn.Event event : events(11, 2)) {
            for (int machine : event.machines()) {
                String before = state.getOrDefault(machine, "in_service");
                if (event.what() == Churn.What.CONFIGURATION) {
                    assertEquals("in_service", before);
                    continue;
                }
                String expected = before.equals("in_service")
                        ? "terminating"
                        : before.equals("terminating") ? "terminated" : "in_service";
                assertEquals(expected, event.state());
                if (!event.state().equals("terminating")) {
                    assertEquals(
                            event.state().equals("terminated") ? 2_000_000L : 1_000_000L,
                            event.at() - since.get(machine));
                }
                state.put(machine, event.state());
                since.put(machine, event.at());
            }
        }
        assertFalse(state.isEmpty());
    }

    @Test
    void racksAndZonesAreHitWhole() {
        List<Churn.Event> racks =
                new Churn(machines(60), new Churn.Rates(0, 0.01, 0, 0, 1, 1_000, 1_000), 5).events(LENGTH);
        assertTrue(!racks.isEmpty() && racks.stream().allMatch(e -> e.machines().size() == 4), racks.toString());
        List<Churn.Event> zones =
                new Churn(machines(60), new Churn.Rates(0, 0, 0.01, 0, 1, 1_000, 1_000), 5).events(LENGTH);
        assertTrue(!zones.isEmpty() && zones.stream().allMatch(e -> e.machines().size() == 20), zones.toString());
        Machines machines = machines(10);
        assertEquals(3, machines.racks());
        assertEquals(10, machines.rackFrom(3));
        assertEquals(10, machines.zoneFrom(3));
    }

    @Test
    void whatIsToldNamesTheStartAndKeepsItAfterwards() {
        Machines machines = machines(4);
        Churn churn = new Churn(machines, rates(1), 1);
        String back = json(churn, new Churn.Event(0, Churn.What.MACHINE, List.of(2), "in_service", 1, true), 1_234);
        assertTrue(back.contains("\"boot_ms\":1234"), back);
        String changed =
                json(churn, new Churn.Event(1, Churn.What.CONFIGURATION, List.of(2), "in_service", 0.75, false), 5_678);
        assertTrue(changed.contains("\"boot_ms\":1234") && changed.contains("\"capacity_hint\":0.75"), changed);
    }

    private static String json(Churn churn, Churn.Event event, long unixMs) {
        return new String(churn.changes(event, unixMs).get(0).json(), StandardCharsets.US_ASCII);
    }
}
