package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a module has learnt: over a change of settings, and in a successor. */
class ReconfigureTest {
    private static final int[] NONE = {};
    private static final RequestClass SAFE = Harness.kind(Idempotency.SAFE, KeyScope.ALL);
    private static final RequestClass UNSAFE = Harness.kind(Idempotency.UNSAFE, KeyScope.ALL);

    @Test
    void figuresOfClassesMoveWithTheirNames() {
        Harness harness =
                new Harness(Harness.settings(SAFE, UNSAFE), 1).list(EndpointListKind.PERSISTED, Harness.fleet(3));
        double[] before = harness.policy.learnt(harness.now).get("usual");
        harness.policy.reconfigure(harness.now, Harness.settings(UNSAFE, SAFE), new int[] {1, 0}, NONE);
        assertArrayEquals(
                new double[] {before[1], before[0]},
                harness.policy.learnt(harness.now).get("usual"));
    }

    @Test
    void aSuccessorGoesOnFromWhatWasLearnt() {
        Harness harness = new Harness(Harness.settings(SAFE), 1).list(EndpointListKind.PERSISTED, Harness.fleet(3));
        Harness next = new Harness(Harness.settings(SAFE), 2).list(EndpointListKind.PERSISTED, Harness.fleet(3));
        Map<String, double[]> learnt = harness.policy.learnt(harness.now);
        learnt.put("usual", new double[] {1234});
        learnt.put("work", new double[] {1, 2, 3}); // of another number of classes: passed over
        next.policy.resume(next.now, learnt);
        assertEquals(1234, next.policy.learnt(next.now).get("usual")[0]);
        assertEquals(1, next.policy.learnt(next.now).get("work").length);
    }
}
