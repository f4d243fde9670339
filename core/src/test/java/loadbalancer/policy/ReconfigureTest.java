package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Learned state over a change of settings, and in a successor. */
class ReconfigureTest {
    private static final int[] NO_TENANTS = {};
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    private static Map<String, double[]> learnedState(Harness harness) {
        return LearnedStateCodec.encode(harness.policy.learnedState(harness.now));
    }

    @Test
    void statisticsFollowTheirClassToItsNewIndex() {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT, NON_IDEMPOTENT), 1)
                .list(EndpointListKind.CACHED, Harness.fleet(3));
        double[] before = learnedState(harness).get("usual");
        harness.policy.reconfigure(
                harness.now, Harness.settings(NON_IDEMPOTENT, IDEMPOTENT), new int[] {1, 0}, NO_TENANTS);
        assertArrayEquals(
                new double[] {before[1], before[0]}, learnedState(harness).get("usual"));
    }

    @Test
    void aSuccessorRestoresTheLearnedState() {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT), 1).list(EndpointListKind.CACHED, Harness.fleet(3));
        Harness successor =
                new Harness(Harness.settings(IDEMPOTENT), 2).list(EndpointListKind.CACHED, Harness.fleet(3));
        Map<String, double[]> learnedState = learnedState(harness);
        learnedState.put("usual", new double[] {1234});
        learnedState.put("work", new double[] {1, 2, 3}); // ignored, as the number of classes differs
        successor.policy.restore(successor.now, LearnedStateCodec.decode(learnedState));
        assertEquals(1234, learnedState(successor).get("usual")[0]);
        assertEquals(1, learnedState(successor).get("work").length);
    }
}
