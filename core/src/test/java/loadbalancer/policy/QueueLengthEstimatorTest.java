package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Load reports in the queue length. */
class QueueLengthEstimatorTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void loadReportsCountInQueueLengthsAndImpossibleOnesAreIgnored() {
        for (double filled : new double[] {50, Double.NaN, -3, 1e18}) {
            Harness harness = Harness.withFleet(4, IDEMPOTENT);
            for (int i = 0; i < 200; i++) {
                Harness.Sent s = harness.request("r" + i, 0);
                harness.now += 20_000;
                harness.reportedInFlight = s.endpoint.equals("s1") ? filled : 2;
                harness.end(s, AttemptOutcome.OK);
            }
            long last = harness.sends.stream()
                    .skip(100)
                    .filter(s -> s.endpoint.equals("s1"))
                    .count();
            assertTrue(filled != 50 || last <= 15, "a long reported queue is avoided: " + last);
        }
    }
}
