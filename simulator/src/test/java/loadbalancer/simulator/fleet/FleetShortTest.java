package loadbalancer.simulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The short form of the scale runs, with a fixed seed: what is counted, never how long it took. */
class FleetShortTest {
    private static final int UPSTREAMS = 60;
    private static final long LENGTH = 1_000_000;

    @TempDir
    private Path folder;

    private FleetPlan plan(String mode, String more) throws IOException {
        return FleetReader.read(Files.writeString(
                folder.resolve("short.toml"),
                """
            [fleet]
            mode = "%s"
            upstreams = %d
            decisions_per_s = 4
            idle = "100ms"
            length = "1s"
            reach = "60s"
            [churn]
            machines_per_hour = 3600
            racks_per_hour = 720
            configurations_per_day = 172800
            speed = 6
            drain = "300ms"
            gone = "200ms"
            %s
            [[axis]]
            name = "balancers"
            sizes = [1]
            """
                        .formatted(mode, UPSTREAMS, more)));
    }

    private static Map<String, Double> figures(FleetPlan plan, long size) throws IOException, InterruptedException {
        ScalePoint point =
                Axes.of("balancers", new Axes.Setup(plan, Path.of(".."))).measure(size);
        assertEquals(List.of(), point.missed());
        return point.figures();
    }

    // What the seed gives, worked out apart from the run.
    private static List<Churn.Event> events(FleetPlan plan) {
        return new Churn(
                        new Machines(
                                UPSTREAMS, plan.fleet().zones(), plan.fleet().rackSize(), List.of("127.0.0.1:9")),
                        plan.churn(),
                        plan.seed())
                .events(LENGTH);
    }

    private static void assertEachChangeReachedEachBalancerOnce(FleetPlan plan, int size, Map<String, Double> figures) {
        int changes = events(plan).size();
        assertTrue(changes >= 8, "the seed gives " + changes);
        assertEquals(size, figures.get("start_calls_count"));
        assertEquals((double) size * UPSTREAMS, figures.get("entries_held_count"));
        assertEquals(changes, figures.get("changes_count"));
        assertEquals((double) changes * size, figures.get("in_force_pairs_count"));
        // An entry takes under 200 bytes, a line 120 around them with its chunk; the rest is empty lines.
        double entries =
                events(plan).stream().mapToInt(e -> e.machines().size()).sum();
        assertEquals(entries, figures.get("changed_entries_count"));
        assertTrue(figures.get("line_per_change_bytes") <= 120 + 200 * entries / changes, figures.toString());
        assertTrue(figures.get("list_bytes") <= 200.0 * UPSTREAMS, figures.toString());
        assertTrue(figures.get("decisions_count") > 0, figures.toString());
    }

    private static void assertBetween(double least, double most, String figure, Map<String, Double> figures) {
        assertTrue(
                figures.get(figure) >= least && figures.get(figure) <= most,
                figure + " between " + least + " and " + most + ": " + figures);
    }

    // A call may be made twice where a machine is so busy that the first one times out.

    @Test
    void whereListsAreAskedForAJointRestartCostsOneWholeListEach() throws IOException, InterruptedException {
        int size = 40;
        FleetPlan plan = plan("ask", "[restart]\n[outage]\nkind = \"down\"\nlength = \"1500ms\"");
        Map<String, Double> figures = figures(plan, size);
        assertEachChangeReachedEachBalancerOnce(plan, size, figures);
        assertBetween(size, 2 * size, "restart_calls_count", figures);
        assertBetween(size, 2 * size, "restart_wholes_count", figures);
        assertBetween(
                size * figures.get("list_bytes"),
                2 * size * (figures.get("list_bytes") + 400),
                "restart_sent_bytes",
                figures);
        assertEquals(0, figures.get("restart_refused_count"));
        assertBetween(size, 20 * size, "outage_during_calls_count", figures);
        assertBetween(size, 3 * size, "outage_after_calls_count", figures);
        assertEquals(0, figures.get("outage_after_wholes_count"));
        assertTrue(figures.containsKey("outage_after_all_listed_ms"), figures.toString());
    }

    @Test
    void whereListsArePushedARestartWithTheListAtHandCostsOnlyWhatChanged() throws IOException, InterruptedException {
        int size = 16;
        FleetPlan plan = plan("push", "[restart]\nknown = true\n[outage]\nkind = \"cut_off\"\nlength = \"1500ms\"");
        Map<String, Double> figures = figures(plan, size);
        assertEachChangeReachedEachBalancerOnce(plan, size, figures);
        assertEquals(0, figures.get("restart_wholes_count"));
        assertBetween(size, 2 * size, "restart_calls_count", figures);
        assertBetween(1, 2 * size * 400, "restart_sent_bytes", figures);
        assertBetween(0, 3 * size, "outage_after_calls_count", figures);
        assertTrue(figures.containsKey("outage_after_all_listed_ms"), figures.toString());
    }

    @Test
    void beforeASlowDiscoveryChangesComeOverTheWatchesThatAreOpen() throws IOException, InterruptedException {
        int size = 8;
        Map<String, Double> figures =
                figures(plan("ask", "[outage]\nkind = \"slow\"\nlength = \"1s\"\ncall_time = \"50ms\""), size);
        assertBetween(0, 2 * size, "outage_during_calls_count", figures);
        assertTrue(figures.containsKey("outage_after_all_listed_ms"), figures.toString());
    }
}
