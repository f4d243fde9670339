package loadbalancer.simulator.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.world.WorldPlan;
import loadbalancer.simulator.world.Worlds;
import org.junit.jupiter.api.Test;

class LiveSiteTest {
    private static WorldPlan plan(WorldPlan.Fault... faults) {
        return Worlds.small(0.2, 3, Idempotency.NON_IDEMPOTENT, faults);
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> targets(LiveSite site) throws InterruptedException {
        long until = System.nanoTime() + 20_000_000_000L;
        while (((List<?>) site.known().get("targets")).size() < 3 && System.nanoTime() < until) {
            Thread.sleep(1);
        }
        return (List<Map<String, Object>>) site.known().get("targets");
    }

    private static InetSocketAddress at(Map<String, Object> target) {
        String endpoint = String.valueOf(target.get("endpoint"));
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(endpoint.split(":")[1]));
    }

    @Test
    void upstreamsAnswerByTheModelAndTheLedgerCountsEachRun() throws IOException, InterruptedException {
        try (LiveSite site = new LiveSite(plan(), 3)) {
            for (Map<String, Object> t : targets(site)) {
                String request = "POST /api/k1 HTTP/1.1\r\nHost: h\r\nReq-Id: " + t.get("uid")
                        + "\r\nReq-Kind: read\r\nContent-Length: 2\r\n\r\nhi";
                assertEquals(200, Exchange.of(at(t), request, 20_000).status());
                assertEquals(
                        200,
                        Exchange.of(at(t), "GET /-/healthy HTTP/1.1\r\nHost: h\r\n\r\n", 20_000)
                                .status());
                assertEquals(1, site.ledger().get(String.valueOf(t.get("uid"))));
            }
            assertEquals(3, site.ledger().size(), "health is no request");
        }
    }

    @Test
    void theRegisterTellsWhoeverWatchesOfADeath() throws IOException, InterruptedException {
        try (LiveSite site = new LiveSite(plan(Worlds.fault("death", 1, 1, 0.34, 0, 0)), 3);
                Socket watch =
                        new Socket(site.register().getAddress(), site.register().getPort())) {
            targets(site);
            watch.setSoTimeout(20_000);
            watch.getOutputStream()
                    .write("GET /api/targets?watch=1&from=0 HTTP/1.1\r\nHost: h\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
            StringBuilder seen = new StringBuilder();
            while (seen.indexOf("terminated") < 0) {
                String line = in.readLine();
                assertTrue(line != null, "the watch ended: " + seen);
                seen.append(line);
            }
            assertTrue(seen.indexOf("\"all\":true") < seen.indexOf("\"all\":false"), "the whole list first: " + seen);
        }
    }

    @Test
    void anOpenLoopCountsFromTheIntendedStartAndReachesEveryRequestsEnd() throws IOException, InterruptedException {
        WorldPlan plan = plan();
        try (LiveSite site = new LiveSite(plan, 3)) {
            List<InetSocketAddress> straight =
                    targets(site).stream().map(LiveSiteTest::at).toList();
            try (Load load = new Load(new Load.Plan(straight, 100, 2_000_000, 2, 20, 5), plan.classes())) {
                load.run(() -> {});
                assertTrue(load.outcomes().size() > 120, load.outcomes().size() + " requests");
                assertEquals(List.of(), new DemoPage(plan, load, site.ledger()).violations());
                for (Load.Outcome outcome : load.outcomes()) {
                    assertTrue(outcome.served() || outcome.status() != 200);
                }
                assertTrue(new DemoPage(plan, load, site.ledger()).html("q").contains("<polyline"));
            }
        }
    }
}
