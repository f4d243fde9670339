package loadbalancer.policy;

import java.util.Arrays;

/**
 * Expected latency of each request class: a moving mean over the answers. Requests that carry a hint of their work are
 * expected to take longer or shorter, by how their hint compares with the mean hint of the class.
 */
final class LatencyTracker {
    /** Weight of one answer, or hint, in the mean of its class. */
    private static final double SMOOTHING = 0.03;

    /** Part of the latency that is proportional to the hinted work. */
    private static final double WORK_DEPENDENT_FRACTION = 0.7;

    /** Latency objectives are this multiple of the latency that is expected before the first answer. */
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

    /** Expected latency of a request of that class without a hint. */
    double expectedMicros(int classIndex) {
        return expectedMicros[classIndex];
    }

    /** Expected latency of that request. */
    double expectedMicros(RequestState request) {
        return expectedMicros[request.classIndex] * request.relativeSize;
    }

    /** Number of classes, including former ones with open requests. */
    int classCount() {
        return expectedMicros.length;
    }

    /** The shortest of the expected latencies, as of the last {@link #refreshShortest}. */
    double shortestExpectedMicros() {
        return shortestExpectedMicros;
    }

    /** Computes the shortest of the expected latencies. */
    void refreshShortest() {
        shortestExpectedMicros = Arrays.stream(expectedMicros).min().getAsDouble();
    }

    /** Records the latency of an answer. */
    void recordLatency(int classIndex, long latencyMicros) {
        expectedMicros[classIndex] += SMOOTHING * (latencyMicros - expectedMicros[classIndex]);
    }

    /**
     * Records the hint of a request.
     *
     * @param work above 0, in any unit that is the same for all requests of the class
     * @return expected latency of the request in multiples of its class's
     */
    double recordWork(int classIndex, long work) {
        double former = meanWork[classIndex];
        meanWork[classIndex] += (former > 0 ? SMOOTHING : 1) * (work - former);
        return 1 + WORK_DEPENDENT_FRACTION * (work / meanWork[classIndex] - 1);
    }

    /** Moves to other numbers of the classes, under the new settings. */
    void remap(ClassRemapping remapping) {
        expectedMicros = remapping.apply(expectedMicros, initialMicros());
        meanWork = remapping.apply(meanWork, new double[0]);
    }

    /** What {@link #restore} of a successor goes on from. */
    LearnedState.Latencies learnedState() {
        return new LearnedState.Latencies(expectedMicros.clone(), meanWork.clone());
    }

    /** Restores what a predecessor has learned; figures of another number of classes are ignored. */
    void restore(LearnedState.Latencies learned) {
        expectedMicros = LearnedState.copyIfSameLength(learned.expectedMicros(), expectedMicros);
        meanWork = LearnedState.copyIfSameLength(learned.meanWork(), meanWork);
    }
}
