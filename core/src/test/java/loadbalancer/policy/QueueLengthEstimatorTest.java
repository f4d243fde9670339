package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how load reports count in the queue length. */
class QueueLengthEstimatorTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void loadReportsCountInQueueLengthsUnlessTheyAreImpossible() {
        for (double reportedInFlight : new double[] {50, Double.NaN, -3, 1e18}) {
            Harness harness = Harness.withFleet(4, IDEMPOTENT);
            for (int i = 0; i < 200; i++) {
                Harness.Sent sent = harness.request("r" + i, 0);
                harness.now += 20_000;
                harness.reportedInFlight = sent.endpoint.equals("s1") ? reportedInFlight : 2;
                harness.end(sent, AttemptOutcome.OK);
            }
            long sentToS1 = harness.sends.stream()
                    .skip(100)
                    .filter(s -> s.endpoint.equals("s1"))
                    .count();
            assertTrue(
                    reportedInFlight != 50 || sentToS1 <= 15,
                    "requests to the endpoint that reports a long queue: " + sentToS1);
        }
    }
}
