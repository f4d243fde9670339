package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Creates and connects the components of a {@link JsqDasPolicy}. Each component is passed only what it depends on;
 * classes that work with many components are passed this object.
 *
 * <p>All random choices are drawn from one generator, so that a run can be repeated from its seed. Only the advice to
 * rejected clients has its own generator, so that a rejection doesn't change later selections.
 */
final class PolicyComponents {
    final ActiveSettings settings;
    final DecayScale scale = new DecayScale();
    final TrafficCounts traffic = new TrafficCounts();
    final RetryBudget retryBudget = new RetryBudget();
    final RateLimitedLog log = new RateLimitedLog();
    final LatencyTracker latencies;
    final ClientRetryAge clientRetryAge;
    final SlowStart slowStart;
    final EndpointTable endpoints;
    final QueueLengthEstimator queueLengths;
    final AccomplishmentRanking ranking;
    final JsqDasSelector selector;
    final OutlierDetector outliers;
    final KeyAffinity keyAffinity;
    final CandidateSelector candidates;
    final KeySequencer sequencer;
    final TenantQuotas quotas;
    final AdmissionController admission;
    final RetryPolicy retries;
    final HedgingPolicy hedging;
    final RequestQueue queue;
    final OutcomeRecorder outcomes;
    final OpenRequests openRequests;
    final RequestFactory requestFactory;
    final PollSchedule polls;

    PolicyComponents(PolicySettings initialSettings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        settings = new ActiveSettings(initialSettings);
        latencies = new LatencyTracker(settings);
        clientRetryAge = new ClientRetryAge(settings);
        slowStart = new SlowStart(settings, scale);
        endpoints = new EndpointTable(settings, random, slowStart);
        queueLengths = new QueueLengthEstimator(settings, endpoints, latencies);
        ranking = new AccomplishmentRanking(scale);
        selector = new JsqDasSelector(random, queueLengths);
        outliers = new OutlierDetector(settings, endpoints, latencies, scale, random);
        keyAffinity = new KeyAffinity(settings, scale);
        candidates = new CandidateSelector(settings, endpoints, keyAffinity, slowStart, outliers, traffic);
        sequencer = new KeySequencer(settings);
        quotas = new TenantQuotas(settings, random);
        admission = new AdmissionController(
                settings.tiers().weights(), settings.tiers().lowestWithinQuota(), random);
        retries = new RetryPolicy(settings, retryBudget);
        hedging = new HedgingPolicy(settings, latencies, retryBudget);
        queue = new RequestQueue(settings, latencies);
        outcomes = new OutcomeRecorder(latencies, ranking, queueLengths, outliers, admission, log);
        RetryAfterAdvice retryAfter = new RetryAfterAdvice(settings, new SplittableRandom(~seed));
        openRequests = new OpenRequests(settings, admission, sequencer, retryAfter);
        requestFactory = new RequestFactory(settings, clientRetryAge, quotas, latencies);
        polls = new PollSchedule(random);
    }
}
