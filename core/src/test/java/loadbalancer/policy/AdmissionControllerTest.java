package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdmissionControllerTest {
    private static final long STEP = 10_000; // µs
    private static final double AIM = 200_000; // µs
    private static final double[] ONE_TIER = {1};

    /** Many balancers before one queue that serves in the order of arrival; what is too late is given up by clients. */
    private static final class Fleet {
        private record Job(int owner, long at) {}

        private static final long PATIENCE = 1_000_000;
        private final SplittableRandom random = new SplittableRandom(7);
        private final List<AdmissionController> balancers = new ArrayList<>();
        private final ArrayDeque<Job> queue = new ArrayDeque<>();
        private final double[] perStep; // arrivals of each balancer
        private final double[] rate;
        private double credit;
        private long now;
        int arrived;
        int admitted;
        int served;

        Fleet(int size, double perSecond, double spread) {
            perStep = new double[size];
            rate = new double[size];
            for (int i = 0; i < size; i++) {
                balancers.add(new AdmissionController(ONE_TIER, 1, random.split()));
                double part = 1 + spread * (2.0 * i / Math.max(1, size - 1) - 1);
                rate[i] = part * perSecond / size;
                perStep[i] = rate[i] * STEP / 1e6;
            }
        }

        /** So long, with so many answers a second that the queue can give. */
        void pass(long time, double capacity) {
            arrived = 0;
            admitted = 0;
            served = 0;
            for (long end = now + time; now < end; now += STEP) {
                for (int i = 0; i < perStep.length; i++) {
                    arrive(i);
                }
                serve(capacity);
                for (int i = 0; i < perStep.length; i++) {
                    balancers.get(i).update(STEP, rate[i], 0);
                }
            }
        }

        private void arrive(int balancer) {
            int whole = (int) perStep[balancer];
            int arrivals = whole + (random.nextDouble() < perStep[balancer] - whole ? 1 : 0);
            for (int i = 0; i < arrivals; i++) {
                arrived++;
                if (balancers.get(balancer).admit(0)) {
                    admitted++;
                    queue.add(new Job(balancer, now));
                }
            }
        }

        private void serve(double capacity) {
            for (credit += capacity * STEP / 1e6; credit >= 1; credit--) {
                Job job = queue.poll();
                while (job != null && now - job.at > PATIENCE) {
                    balancers.get(job.owner).recordOverload();
                    job = queue.poll();
                }
                if (job == null) {
                    credit = 0;
                    return;
                }
                double latency = 0.25 * AIM + now - job.at;
                balancers.get(job.owner).recordCompletion();
                balancers.get(job.owner).recordLatency(latency / AIM);
                served += latency <= AIM ? 1 : 0;
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "12, 0.5", "100, 0", "100, 0.9", "300, 0.5"})
    void anOverloadIsShedWithoutACollapseHoweverManyShareIt(int balancers, double spread) {
        Fleet fleet = new Fleet(balancers, 1000, spread);
        fleet.pass(10_000_000, 2000);
        assertTrue(fleet.admitted > 0.99 * fleet.arrived, "admitted on a calm day: " + fleet.admitted);
        fleet.pass(3_000_000, 700);
        for (int second = 0; second < 10; second++) {
            fleet.pass(1_000_000, 700);
            assertTrue(fleet.admitted >= 350, "of 1000 admitted where 700 can be served: " + fleet.admitted);
        }
        fleet.pass(1_000_000, 2000);
        fleet.pass(5_000_000, 2000);
        assertTrue(fleet.admitted >= 0.95 * fleet.arrived, "from a second after the end: " + fleet.admitted);
    }

    @Test
    void aBurstFromRestIsAdmittedWhileItsAnswersCanNotBeThereYet() {
        AdmissionController admission = new AdmissionController(ONE_TIER, 1, new SplittableRandom(1));
        admission.update(60_000_000, 0.1, 0);
        for (int pending = 1; pending <= 20; pending++) {
            assertTrue(admission.admit(0));
            admission.update(1_000, 0.1, pending);
        }
        assertEquals(0, admission.shedLevel());
    }

    @Test
    void failuresOfOtherKindsAreNoOverload() {
        AdmissionController admission = new AdmissionController(ONE_TIER, 1, new SplittableRandom(1));
        for (int i = 0; i < 200; i++) {
            assertTrue(admission.admit(0));
            admission.recordCompletion();
            admission.update(50_000, 20, 0);
        }
    }

    @Test
    void theLowestTierIsRejectedFirst() {
        AdmissionController admission = new AdmissionController(new double[] {0.5, 1}, 0.5, new SplittableRandom(1));
        for (int i = 0; i < 400; i++) { // half of each tier, and three quarters can be served
            admission.admit(i % 2);
            if (i % 4 != 3) {
                admission.recordCompletion();
                admission.recordLatency(0.55);
            }
            admission.update(50_000, 20, 0);
        }
        assertTrue(admission.shedLevel() > 0.2 && admission.shedLevel() <= 1, "level " + admission.shedLevel());
    }

    private static double[] figures(AdmissionController admission) {
        return LearnedStateCodec.encode(admission.learnedState());
    }

    @Test
    void aSuccessorGoesOnAtTheSameLevelUnlessTheTiersDiffer() {
        double[] tiers = {0.1, 1};
        AdmissionController former = new AdmissionController(tiers, 1, new SplittableRandom(1));
        former.admit(1);
        former.recordOverload();
        former.update(10_000, 1, 0);
        AdmissionController next = new AdmissionController(tiers, 1, new SplittableRandom(2));
        next.restore(former.learnedState());
        assertArrayEquals(figures(former), figures(next));
        AdmissionController other = new AdmissionController(ONE_TIER, 1, new SplittableRandom(2));
        double[] before = figures(other);
        other.restore(former.learnedState());
        assertArrayEquals(before, figures(other));
    }

    @Test
    void otherTiersKeepTheSumOfArrivals() {
        AdmissionController admission = new AdmissionController(ONE_TIER, 1, new SplittableRandom(1));
        for (int i = 0; i < 6; i++) {
            admission.admit(0);
        }
        admission.updateTiers(new double[] {0.1, 0.5, 1}, 0.5);
        double[] learnedState = figures(admission);
        assertArrayEquals(new double[] {2, 2, 2}, java.util.Arrays.copyOf(learnedState, 3));
    }
}
