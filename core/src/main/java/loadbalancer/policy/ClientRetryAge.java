package loadbalancer.policy;

/**
 * Infers the time since a client's first attempt from a request that the client marks as a retry.
 *
 * <p>Some clients give each of their attempts the same time; others give a retry what is left of the deadline of the
 * class. If the time of a retry differs from that of first attempts, the client is of the second kind, and the time
 * left shows the age of the request. The latency objective of a retry counts from the first attempt, as that is when
 * the client began to wait.
 */
final class ClientRetryAge {
    /** Two times count as different if they differ by more than the deadline divided by this. */
    private static final int TOLERANCE_DIVISOR = 32;

    private final ActiveSettings settings;

    /** By class: the longest time that a client allowed for a first attempt. */
    private long[] firstAttemptMicros;

    ClientRetryAge(ActiveSettings settings) {
        this.settings = settings;
        this.firstAttemptMicros = new long[settings.current().classes().size()];
    }

    /** Records an arriving request; returns the time since the client's first attempt, or 0 if it is unknown. */
    long elapsedMicros(int classIndex, long timeLeftMicros, boolean clientRetry) {
        long deadlineMicros = settings.current().classes().get(classIndex).deadlineMicros();
        if (!clientRetry) {
            firstAttemptMicros[classIndex] = Math.max(firstAttemptMicros[classIndex], timeLeftMicros);
            return 0;
        }
        long difference = Math.abs(timeLeftMicros - firstAttemptMicros[classIndex]);
        return difference > deadlineMicros / TOLERANCE_DIVISOR ? Math.max(0, deadlineMicros - timeLeftMicros) : 0;
    }

    /** Adopts new class indexes. */
    void remap(ClassRemapping remapping) {
        double[] remapped = remapping.apply(learnedState(), new double[0]);
        firstAttemptMicros = new long[remapped.length];
        restore(remapped);
    }

    /** By class: the longest time that a client allowed for a first attempt, in µs. */
    double[] learnedState() {
        double[] learned = new double[firstAttemptMicros.length];
        for (int i = 0; i < learned.length; i++) {
            learned[i] = firstAttemptMicros[i];
        }
        return learned;
    }

    /** Restores the state of a predecessor; it is ignored if it is null or has another number of classes. */
    void restore(double[] learned) {
        if (learned == null || learned.length != firstAttemptMicros.length) {
            return;
        }
        for (int i = 0; i < learned.length; i++) {
            firstAttemptMicros[i] = Math.max(firstAttemptMicros[i], (long) learned[i]);
        }
    }
}
