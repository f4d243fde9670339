package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import loadbalancer.policy.Policy.ListKind;
import org.junit.jupiter.api.Test;

/** What a module has learnt: over a change of settings, and in a successor. */
class ReconfigureTest {
    private static final int[] NONE = {};
    private static final Policy.RequestClass SAFE = Harness.kind(Policy.Effect.SAFE, Policy.Scope.ALL);
    private static final Policy.RequestClass UNSAFE = Harness.kind(Policy.Effect.UNSAFE, Policy.Scope.ALL);

    @Test
    void figuresOfClassesMoveWithTheirNames() {
        Harness harness = new Harness(Harness.settings(SAFE, UNSAFE), 1).list(ListKind.PERSISTED, Harness.fleet(3));
        double[] before = harness.policy.learnt(harness.now).get("usual");
        harness.policy.reconfigure(harness.now, Harness.settings(UNSAFE, SAFE), new int[] {1, 0}, NONE);
        assertArrayEquals(
                new double[] {before[1], before[0]},
                harness.policy.learnt(harness.now).get("usual"));
    }

    @Test
    void aSuccessorGoesOnFromWhatWasLearnt() {
        Harness harness = new Harness(Harness.settings(SAFE), 1).list(ListKind.PERSISTED, Harness.fleet(3));
        Harness next = new Harness(Harness.settings(SAFE), 2).list(ListKind.PERSISTED, Harness.fleet(3));
        Map<String, double[]> learnt = harness.policy.learnt(harness.now);
        learnt.put("usual", new double[] {1234});
        learnt.put("work", new double[] {1, 2, 3}); // of another number of classes: passed over
        next.policy.resume(next.now, learnt);
        assertEquals(1234, next.policy.learnt(next.now).get("usual")[0]);
        assertEquals(1, next.policy.learnt(next.now).get("work").length);
    }
}
