package loadbalancer.policy;

import java.util.Arrays;

/**
 * Tracks the expected latency of each request class, a moving mean over its responses. For a request with an estimate
 * of its work, the expected latency is scaled by how the estimate compares with the mean estimate of the class.
 */
final class LatencyTracker {
    /** Weight of one latency, or of one work estimate, in the mean of its class. */
    private static final double SMOOTHING = 0.03;

    /** Fraction of the latency that is proportional to the estimated work. */
    private static final double WORK_DEPENDENT_FRACTION = 0.7;

    /** Ratio of the latency objective to the latency that is expected before the first response. */
    private static final double OBJECTIVE_PER_INITIAL_LATENCY = 4;

    private final ActiveSettings settings;
    private double[] expectedMicros;
    private double[] meanWork;
    private double shortestExpectedMicros;

    LatencyTracker(ActiveSettings settings) {
        this.settings = settings;
        this.expectedMicros = initialMicros();
        this.meanWork = new double[expectedMicros.length];
        refreshShortest();
    }

    private double[] initialMicros() {
        return settings.current().classes().stream()
                .mapToDouble(each -> each.latencyObjectiveMicros() / OBJECTIVE_PER_INITIAL_LATENCY)
                .toArray();
    }

    /** Expected latency of a request of the class without a work estimate. */
    double expectedMicros(int classIndex) {
        return expectedMicros[classIndex];
    }

    /** Expected latency of the request. */
    double expectedMicros(RequestState request) {
        return expectedMicros[request.classIndex] * request.relativeSize;
    }

    /** Number of request classes, including former ones that still have open requests. */
    int classCount() {
        return expectedMicros.length;
    }

    /** Shortest expected latency of any class, as of the last {@link #refreshShortest}. */
    double shortestExpectedMicros() {
        return shortestExpectedMicros;
    }

    /** Updates the shortest expected latency. */
    void refreshShortest() {
        shortestExpectedMicros = Arrays.stream(expectedMicros).min().getAsDouble();
    }

    /** Records the latency of a response. */
    void recordLatency(int classIndex, long latencyMicros) {
        expectedMicros[classIndex] += SMOOTHING * (latencyMicros - expectedMicros[classIndex]);
    }

    /**
     * Records the work estimate of a request.
     *
     * @param work above 0, in any unit that is the same for all requests of the class
     * @return expected latency of the request as a multiple of that of its class
     */
    double recordWork(int classIndex, long work) {
        double former = meanWork[classIndex];
        meanWork[classIndex] += (former > 0 ? SMOOTHING : 1) * (work - former);
        return 1 + WORK_DEPENDENT_FRACTION * (work / meanWork[classIndex] - 1);
    }

    /** Switches to the class indexes of the new settings. */
    void remap(ClassRemapping remapping) {
        expectedMicros = remapping.apply(expectedMicros, initialMicros());
        meanWork = remapping.apply(meanWork, new double[0]);
    }

    /** Returns the learned latencies, to {@link #restore} them in a successor process. */
    LearnedState.Latencies learnedState() {
        return new LearnedState.Latencies(expectedMicros.clone(), meanWork.clone());
    }

    /** Restores what a predecessor process has learned; values for another number of classes are ignored. */
    void restore(LearnedState.Latencies learned) {
        expectedMicros = LearnedState.copyIfSameLength(learned.expectedMicros(), expectedMicros);
        meanWork = LearnedState.copyIfSameLength(learned.meanWork(), meanWork);
    }
}
