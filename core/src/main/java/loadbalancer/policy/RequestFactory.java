package loadbalancer.policy;

/**
 * Creates the state of an arriving request: its deadline, the time at which its latency objective ends, whether it is
 * within its tenant's quota, and its expected latency.
 *
 * <p>The latency objective of a class is extended in proportion to the client's hint of the work. It counts from the
 * client's first attempt if a retry shows when that was.
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

    /** Creates the state of a request that arrives now, with parameters as in {@link LoadBalancingPolicy#request}. */
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
