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
    private static final long STEP_MICROS = 10_000;
    private static final double LATENCY_OBJECTIVE_MICROS = 200_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double[] ONE_TIER = {1};

    /** Balancers that share one first-in, first-out queue. Requests that wait for too long in it time out. */
    private static final class Fleet {
        private record QueuedRequest(int balancer, long arrivedAt) {}

        private static final long TIMEOUT_MICROS = 1_000_000;
        private final SplittableRandom random = new SplittableRandom(7);
        private final List<AdmissionController> balancers = new ArrayList<>();
        private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
        private final double[] arrivalsPerStep; // by balancer
        private final double[] arrivalsPerSecond; // by balancer
        private double serviceCredit;
        private long now;
        int arrived;
        int admitted;
        int served;

        Fleet(int size, double totalPerSecond, double spread) {
            arrivalsPerStep = new double[size];
            arrivalsPerSecond = new double[size];
            for (int i = 0; i < size; i++) {
                balancers.add(new AdmissionController(ONE_TIER, 1, random.split()));
                double relativeRate = 1 + spread * (2.0 * i / Math.max(1, size - 1) - 1);
                arrivalsPerSecond[i] = relativeRate * totalPerSecond / size;
                arrivalsPerStep[i] = arrivalsPerSecond[i] * STEP_MICROS / MICROS_PER_SECOND;
            }
        }

        /** Runs for that time, while the queue serves up to that many requests per second. */
        void run(long durationMicros, double capacityPerSecond) {
            arrived = 0;
            admitted = 0;
            served = 0;
            for (long end = now + durationMicros; now < end; now += STEP_MICROS) {
                for (int i = 0; i < arrivalsPerStep.length; i++) {
                    arrive(i);
                }
                serve(capacityPerSecond);
                for (int i = 0; i < arrivalsPerStep.length; i++) {
                    balancers.get(i).update(STEP_MICROS, arrivalsPerSecond[i], 0);
                }
            }
        }

        private void arrive(int balancer) {
            int integerPart = (int) arrivalsPerStep[balancer];
            int arrivals = integerPart + (random.nextDouble() < arrivalsPerStep[balancer] - integerPart ? 1 : 0);
            for (int i = 0; i < arrivals; i++) {
                arrived++;
                if (balancers.get(balancer).admit(0)) {
                    admitted++;
                    queue.add(new QueuedRequest(balancer, now));
                }
            }
        }

        private void serve(double capacityPerSecond) {
            for (serviceCredit += capacityPerSecond * STEP_MICROS / MICROS_PER_SECOND;
                    serviceCredit >= 1;
                    serviceCredit--) {
                QueuedRequest request = queue.poll();
                while (request != null && now - request.arrivedAt > TIMEOUT_MICROS) {
                    balancers.get(request.balancer).recordOverload();
                    request = queue.poll();
                }
                if (request == null) {
                    serviceCredit = 0;
                    return;
                }
                double latencyMicros = 0.25 * LATENCY_OBJECTIVE_MICROS + now - request.arrivedAt;
                balancers.get(request.balancer).recordCompletion();
                balancers.get(request.balancer).recordLatency(latencyMicros / LATENCY_OBJECTIVE_MICROS);
                served += latencyMicros <= LATENCY_OBJECTIVE_MICROS ? 1 : 0;
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "12, 0.5", "100, 0", "100, 0.9", "300, 0.5"})
    void overloadIsShedWithoutACollapseForAnyNumberOfBalancers(int balancers, double spread) {
        Fleet fleet = new Fleet(balancers, 1000, spread);
        fleet.run(10_000_000, 2000);
        assertTrue(fleet.admitted > 0.99 * fleet.arrived, "admitted without overload: " + fleet.admitted);
        fleet.run(3_000_000, 700);
        for (int second = 0; second < 10; second++) {
            fleet.run(1_000_000, 700);
            assertTrue(fleet.admitted >= 350, "admitted of 1000 requests, with a capacity of 700: " + fleet.admitted);
        }
        fleet.run(1_000_000, 2000);
        fleet.run(5_000_000, 2000);
        assertTrue(
                fleet.admitted >= 0.95 * fleet.arrived,
                "admitted from one second after the overload: " + fleet.admitted);
    }

    @Test
    void aBurstAfterAnIdleTimeIsAdmittedWhileItsAnswersArePending() {
        AdmissionController admission = new AdmissionController(ONE_TIER, 1, new SplittableRandom(1));
        admission.update(60_000_000, 0.1, 0);
        for (int pending = 1; pending <= 20; pending++) {
            assertTrue(admission.admit(0));
            admission.update(1_000, 0.1, pending);
        }
        assertEquals(0, admission.shedLevel());
    }

    @Test
    void failuresForOtherReasonsThanLoadDoNotCountAsOverload() {
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
        for (int i = 0; i < 400; i++) { // half of the requests are of each tier, and three quarters of them complete
            admission.admit(i % 2);
            if (i % 4 != 3) {
                admission.recordCompletion();
                admission.recordLatency(0.55);
            }
            admission.update(50_000, 20, 0);
        }
        assertTrue(admission.shedLevel() > 0.2 && admission.shedLevel() <= 1, "shed level " + admission.shedLevel());
    }

    private static double[] encodedState(AdmissionController admission) {
        return LearnedStateCodec.encode(admission.learnedState());
    }

    @Test
    void aSuccessorRestoresTheLearnedStateUnlessTheNumberOfTiersDiffers() {
        double[] tiers = {0.1, 1};
        AdmissionController predecessor = new AdmissionController(tiers, 1, new SplittableRandom(1));
        predecessor.admit(1);
        predecessor.recordOverload();
        predecessor.update(10_000, 1, 0);
        AdmissionController successor = new AdmissionController(tiers, 1, new SplittableRandom(2));
        successor.restore(predecessor.learnedState());
        assertArrayEquals(encodedState(predecessor), encodedState(successor));
        AdmissionController other = new AdmissionController(ONE_TIER, 1, new SplittableRandom(2));
        double[] before = encodedState(other);
        other.restore(predecessor.learnedState());
        assertArrayEquals(before, encodedState(other));
    }

    @Test
    void arrivalsAreSplitEvenlyOverNewTiers() {
        AdmissionController admission = new AdmissionController(ONE_TIER, 1, new SplittableRandom(1));
        for (int i = 0; i < 6; i++) {
            admission.admit(0);
        }
        admission.updateTiers(new double[] {0.1, 0.5, 1}, 0.5);
        double[] state = encodedState(admission);
        assertArrayEquals(new double[] {2, 2, 2}, java.util.Arrays.copyOf(state, 3));
    }
}
