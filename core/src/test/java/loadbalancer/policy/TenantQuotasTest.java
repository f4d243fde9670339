package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Quotas of tenants, as the whole policy shows them. */
class TenantQuotasTest {
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    @Test
    void aTenantOverItsQuotaLosesItsExcessAndKeepsItsQuota() {
        Harness harness = new Harness(
                        Harness.settings(
                                1,
                                true,
                                DiscoveryMode.PUSH,
                                List.of(new TenantQuota(20), new TenantQuota(20)),
                                NON_IDEMPOTENT),
                        3)
                .list(EndpointListKind.CACHED, Harness.fleet(2));
        Map<Integer, int[]> served = Map.of(0, new int[2], 1, new int[2]);
        for (int i = 0; i < 1200; i++) { // tenant 0 brings 80 a second, tenant 1 20
            int tenant = i % 5 == 4 ? 1 : 0;
            served.get(tenant)[0]++;
            harness.request(tenant + "-" + i, 0, tenant, 2_000_000);
            harness.advance(10_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && harness.now - s.sentAt >= 300_000)
                    .toList()
                    .forEach(s -> harness.end(s, AttemptOutcome.OK));
        }
        harness.finalAnswers.forEach((id, how) -> {
            if (how.equals("ok")) {
                served.get(id.charAt(0) - '0')[1]++;
            }
        });
        double ofFirst = served.get(0)[1] / 12.0;
        double fractionOfSecond = served.get(1)[1] / (double) served.get(1)[0];
        assertTrue(fractionOfSecond > 0.1, "the tenant within its quota comes first: " + fractionOfSecond);
        assertTrue(ofFirst >= 12, "the other keeps most of its quota of 20 a second: " + ofFirst);
    }

    @Test
    void oneTenantsExcessDoesNotWidenTheQuotasOfAll() {
        List<TenantQuota> tenants = List.of(new TenantQuota(8.4), new TenantQuota(8.4), new TenantQuota(8.4));
        Harness harness = new Harness(Harness.settings(10, true, DiscoveryMode.PUSH, tenants, NON_IDEMPOTENT), 3)
                .list(EndpointListKind.CACHED, Harness.fleet(6));
        int sent = 0;
        for (int i = 0; i < 60; i++) { // 71 s of 270 ms each: this balancer's part of a quota is 60
            sent += harness.serveOneByOne(3, 0, 0, 270_000);
            harness.serveOneByOne(i % 10 < 7 ? 1 : 0, 0, 1, 270_000);
            harness.serveOneByOne(i % 10 < 7 ? 1 : 0, 0, 2, 270_000);
        }
        assertTrue(sent >= 55 && sent <= 80, "its quota of 60 is served, not its excess: " + sent);
    }
}
