package loadbalancer.policy;

/**
 * Makes the state of a request that arrives: its deadline, when its answer is due by the latency objective, whether it
 * is within its tenant's quota, and how long it is expected to take.
 *
 * <p>The objective of a class is stretched by the client's hint of the work, and counts from the client's first attempt
 * where a retry shows when that was.
 */
final class RequestFactory {
    private final ActiveSettings settings;
    private final ClientRetryAge clientRetryAge;
    private final TenantQuotas quotas;
    private final LatencyTracker latencies;

    RequestFactory(
            ActiveSettings settings, ClientRetryAge clientRetryAge, TenantQuotas quotas, LatencyTracker latencies) {
        this.settings = settings;
        this.clientRetryAge = clientRetryAge;
        this.quotas = quotas;
        this.latencies = latencies;
    }

    /** The state of a request that arrives now; parameters as in {@link LoadBalancingPolicy#request}. */
    RequestState create(
            long now,
            String id,
            int classIndex,
            int tenant,
            String key,
            long timeLeftMicros,
            long work,
            boolean clientRetry) {
        RequestClass requestClass = settings.current().classes().get(classIndex);
        long elapsedMicros = clientRetryAge.elapsedMicros(classIndex, timeLeftMicros, clientRetry);
        RequestState request = new RequestState(
                id,
                classIndex,
                requestClass,
                key == null ? 0 : Hashing.hash(key),
                now,
                timeLeftMicros,
                now + objectiveMicros(requestClass, work) - elapsedMicros,
                quotas.isOverQuota(tenant, now),
                settings.current().limits().maxAttempts());
        if (work > 0) {
            request.relativeSize = latencies.recordWork(classIndex, work);
        }
        return request;
    }

    private static long objectiveMicros(RequestClass requestClass, long work) {
        long stretchMicros = work > 0 ? (long) (requestClass.objectiveStretch() * work) : 0;
        return requestClass.latencyObjectiveMicros() + stretchMicros;
    }
}
