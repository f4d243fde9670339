package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Quotas of tenants, tested through the whole policy. */
class TenantQuotasTest {
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    @Test
    void aTenantOverItsQuotaLosesOnlyItsExcess() {
        Harness harness = new Harness(
                        Harness.settings(
                                1,
                                true,
                                DiscoveryMode.PUSH,
                                List.of(new TenantQuota(20), new TenantQuota(20)),
                                NON_IDEMPOTENT),
                        3)
                .list(EndpointListKind.CACHED, Harness.fleet(2));
        Map<Integer, int[]> sentAndServed = Map.of(0, new int[2], 1, new int[2]);
        for (int i = 0; i < 1200; i++) { // tenant 0 sends 80 requests per second, tenant 1 sends 20
            int tenant = i % 5 == 4 ? 1 : 0;
            sentAndServed.get(tenant)[0]++;
            harness.request(tenant + "-" + i, 0, tenant, 2_000_000);
            harness.advance(10_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && harness.now - s.sentAt >= 300_000)
                    .toList()
                    .forEach(s -> harness.end(s, AttemptOutcome.OK));
        }
        harness.finalAnswers.forEach((id, how) -> {
            if (how.equals("ok")) {
                sentAndServed.get(id.charAt(0) - '0')[1]++;
            }
        });
        double firstPerSecond = sentAndServed.get(0)[1] / 12.0;
        double secondServedFraction =
                sentAndServed.get(1)[1] / (double) sentAndServed.get(1)[0];
        assertTrue(
                secondServedFraction > 0.1, "served fraction of the tenant within its quota: " + secondServedFraction);
        assertTrue(firstPerSecond >= 12, "served per second of the tenant with a quota of 20: " + firstPerSecond);
    }

    @Test
    void theExcessOfOneTenantDoesNotRaiseTheQuotasOfAll() {
        List<TenantQuota> tenants = List.of(new TenantQuota(8.4), new TenantQuota(8.4), new TenantQuota(8.4));
        Harness harness = new Harness(Harness.settings(10, true, DiscoveryMode.PUSH, tenants, NON_IDEMPOTENT), 3)
                .list(EndpointListKind.CACHED, Harness.fleet(6));
        int sent = 0;
        for (int i = 0; i < 60; i++) { // 71 s in total, in which this balancer's part of a quota is 60 requests
            sent += harness.serveOneByOne(3, 0, 0, 270_000);
            harness.serveOneByOne(i % 10 < 7 ? 1 : 0, 0, 1, 270_000);
            harness.serveOneByOne(i % 10 < 7 ? 1 : 0, 0, 2, 270_000);
        }
        assertTrue(sent >= 55 && sent <= 80, "sent requests of a tenant with a quota of 60: " + sent);
    }
}
