package loadbalancer.policy;

/**
 * Infers how long ago the first attempt of a client was, from a request that the client marks as a retry.
 *
 * <p>A client gives each of its attempts the same time, or what is left of the deadline of the class. A retry whose
 * time differs from that of first attempts is therefore of the second sort, and its time tells its age. Its latency
 * objective counts from the first attempt: it is as late for the client as it is old.
 */
final class ClientRetryAge {
    /** Times count as different from this fraction of the deadline on. */
    private static final int TOLERANCE_DIVISOR = 32;

    private final ActiveSettings settings;

    /** By class: the longest time that a first attempt had, µs. */
    private long[] firstAttemptMicros;

    ClientRetryAge(ActiveSettings settings) {
        this.settings = settings;
        this.firstAttemptMicros = new long[settings.current().classes().size()];
    }

    /** Records a request that arrives and returns the time since the client's first attempt in µs, 0 if unknown. */
    long elapsedMicros(int classIndex, long timeLeftMicros, boolean clientRetry) {
        long deadlineMicros = settings.current().classes().get(classIndex).deadlineMicros();
        if (!clientRetry) {
            firstAttemptMicros[classIndex] = Math.max(firstAttemptMicros[classIndex], timeLeftMicros);
            return 0;
        }
        long difference = Math.abs(timeLeftMicros - firstAttemptMicros[classIndex]);
        return difference > deadlineMicros / TOLERANCE_DIVISOR ? Math.max(0, deadlineMicros - timeLeftMicros) : 0;
    }

    /** Moves to other numbers of the classes. */
    void remap(ClassRemapping remapping) {
        double[] moved = remapping.apply(learnedState(), new double[0]);
        firstAttemptMicros = new long[moved.length];
        restore(moved);
    }

    /** By class: the longest time that a first attempt had, µs. */
    double[] learnedState() {
        double[] learned = new double[firstAttemptMicros.length];
        for (int i = 0; i < learned.length; i++) {
            learned[i] = firstAttemptMicros[i];
        }
        return learned;
    }

    /** Restores what a predecessor has learned; ignored where it is null or of another number of classes. */
    void restore(double[] learned) {
        if (learned == null || learned.length != firstAttemptMicros.length) {
            return;
        }
        for (int i = 0; i < learned.length; i++) {
            firstAttemptMicros[i] = Math.max(firstAttemptMicros[i], (long) learned[i]);
        }
    }
}
