package loadbalancer.policy;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * Load balancing by JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems"), within the
 * rules of the site. This class receives the events and tracks each request until it is closed. The decisions are made
 * by the classes that it calls, one for each rule:
 *
 * <ul>
 *   <li>whether a request is admitted: {@link AdmissionController}, {@link PriorityTiers}, {@link TenantQuotas};
 *   <li>which endpoints it may go to: {@link CandidateSelector} with {@link KeyAffinity}, {@link PlacementRule}, {@link
 *       RetrySafetyRule}, {@link SlowStart} and {@link OutlierDetector};
 *   <li>which of them it goes to: {@link JsqDasSelector} with {@link AccomplishmentRanking} and {@link
 *       QueueLengthEstimator};
 *   <li>when it is sent: {@link RequestQueue}, {@link KeySequencer};
 *   <li>what happens after an attempt: {@link OutcomeRecorder}, {@link RetryPolicy}, {@link HedgingPolicy};
 *   <li>when discovery is polled: {@link PollSchedule}.
 * </ul>
 *
 * <p>Not thread-safe, as {@link LoadBalancingPolicy} says.
 */
public final class JsqDasPolicy implements LoadBalancingPolicy {
    private final PolicyComponents components;
    private final AttemptDispatcher dispatcher;
    private final StatisticsUpdater statistics;
    private final LearnedStateTransfer learnedStates;
    private long wakeAt = Long.MAX_VALUE;

    /**
     * Creates a policy for a balancer that has just started.
     *
     * @param seed seed of all random choices: with the same seed, the same events in the same order give the same
     *     actions
     */
    public JsqDasPolicy(PolicySettings settings, long seed) {
        components = new PolicyComponents(settings, seed);
        dispatcher = new AttemptDispatcher(components);
        statistics = new StatisticsUpdater(components);
        learnedStates = new LearnedStateTransfer(components);
    }

    @Override
    public void endpoints(long now, EndpointListKind kind, List<Endpoint> list, Actions actions) {
        if (wakeAt == Long.MAX_VALUE) {
            statistics.start(now);
            requestWakeUp(now, components.settings.tickMicros(), actions);
        }
        if (kind == EndpointListKind.UNAVAILABLE) {
            pollFailed(now, actions);
            return;
        }
        if (kind == EndpointListKind.CACHED && components.settings.current().discovery() == DiscoveryMode.POLL) {
            poll(now, actions);
        } else if (kind.isFromDiscovery()) {
            components.polls.recordResponse();
        }
        if (!kind.isComplete() && list.isEmpty()) {
            return; // no changes, or only to endpoints outside of this balancer's subset of the list
        }
        components.endpoints.update(now, kind.isComplete(), list);
        components.selector.updateTopFraction(components.endpoints.listed());
        dispatcher.drainQueue(now, actions);
    }

    private void pollFailed(long now, Actions actions) {
        long pollIntervalMicros = components.settings.current().bounds().pollIntervalMicros();
        int failures = components.polls.recordFailure(now, pollIntervalMicros);
        components.log.log(now, () -> "discovery failed " + failures + " times, polling again", actions);
    }

    private void poll(long now, Actions actions) {
        components.polls.recordPoll(now, components.settings.current().bounds().pollIntervalMicros());
        actions.watch(true);
    }

    @Override
    public void request(
            long now,
            String id,
            int requestClass,
            int tenant,
            String key,
            long timeLeftMicros,
            long work,
            boolean clientRetry,
            Actions actions) {
        if (!clientRetry) {
            components.keyAffinity.recordArrival(key);
            components.traffic.recordArrival();
            components.quotas.recordArrival(tenant);
        }
        RequestState request =
                components.requestFactory.create(now, id, requestClass, tenant, key, timeLeftMicros, work, clientRetry);
        components.openRequests.add(request);
        requestWakeUp(now, components.settings.tickMicros(), actions);
        components.retryBudget.deposit();
        if (!components.admission.admit(components.settings.tiers().tierOf(request))) {
            components.log.log(now, this::sheddingLogLine, actions);
            components.openRequests.endNotAdmitted(request, actions);
            return;
        }
        if (request.requestClass.orderedDelivery() && key != null) {
            components.sequencer.add(request);
        }
        dispatcher.sendOrQueue(request, now, actions);
    }

    private String sheddingLogLine() {
        return String.format(
                Locale.ROOT,
                "overload: rejecting requests, shed level %.2f, overload score %.2f",
                components.admission.shedLevel(),
                components.admission.overloadScore());
    }

    @Override
    public void outcome(
            long now,
            String id,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            Actions actions) {
        RequestState request = components.openRequests.get(id);
        if (request == null || attemptNumber >= request.attempts.size()) {
            return;
        }
        AttemptState attempt = request.attempts.get(attemptNumber);
        if (!attempt.inFlight) {
            return;
        }
        attemptEnded(attempt, outcome, now);
        components.queueLengths.recordReport(attempt.target, load, now);
        components.outcomes.record(attempt, outcome, latencyMicros, now, actions);
        if (closed) {
            components.openRequests.close(request, actions);
        } else if (!request.closed && request.attemptsInFlight == 0) {
            retryOrFail(request, outcome, now, actions);
        }
        components.openRequests.removeIfFinished(request);
        dispatcher.drainQueue(now, actions);
    }

    private void attemptEnded(AttemptState attempt, AttemptOutcome outcome, long now) {
        RequestState request = attempt.request;
        attempt.inFlight = false;
        attempt.mayHaveRun = !outcome.neverRan();
        request.lastAttemptOverloaded = outcome == AttemptOutcome.FULL || outcome == AttemptOutcome.TIMEOUT;
        request.attemptsInFlight--;
        if (outcome.neverRan()) {
            components.traffic.recordRejectedAttempt();
        }
        components.queueLengths.attemptEnded(attempt.target);
        components.sequencer.attemptEnded(attempt, outcome, now);
    }

    private void retryOrFail(RequestState request, AttemptOutcome outcome, long now, Actions actions) {
        if (components.retries.grantRetry(request, outcome, now)) {
            dispatcher.sendOrQueue(request, now, actions);
        } else {
            components.openRequests.endUnserved(request, actions);
        }
    }

    private void hedgeIfDue(RequestState request, long now, Actions actions) {
        if (components.hedging.isDue(request, now) && dispatcher.sendElsewhere(request, now, actions)) {
            components.hedging.recordHedge();
        }
    }

    @Override
    public void streamStarted(long now, String id, int attempt, Actions actions) {
        RequestState request = components.openRequests.get(id);
        if (request != null) {
            request.streaming = true;
        }
    }

    @Override
    public void clientGone(long now, String id, Actions actions) {
        RequestState request = components.openRequests.get(id);
        if (request != null && !request.closed) {
            components.openRequests.close(request, actions);
            components.queue.dequeue(request);
            components.openRequests.removeIfFinished(request);
        }
    }

    @Override
    public void probed(
            long now, String endpoint, AttemptOutcome outcome, long latencyMicros, LoadReport load, Actions actions) {}

    @Override
    public void wake(long now, Actions actions) {
        if (now < wakeAt) {
            return; // an outdated wake-up: an earlier one was requested after it
        }
        wakeAt = Long.MAX_VALUE;
        statistics.advance(now);
        dispatcher.drainQueue(now, actions);
        for (RequestState request : components.queue.expired(now)) {
            components.queue.dequeue(request);
            components.openRequests.endUnserved(request, actions);
        }
        if (components.hedging.isActive(components.admission.shedLevel(), components.traffic)) {
            components.openRequests.all().forEach(request -> hedgeIfDue(request, now, actions));
        }
        if (components.polls.isDue(now)) {
            poll(now, actions);
        }
        boolean idle = components.openRequests.all().isEmpty();
        requestWakeUp(
                now, idle ? StatisticsUpdater.REFRESH_INTERVAL_MICROS : components.settings.tickMicros(), actions);
    }

    private void requestWakeUp(long now, long delayMicros, Actions actions) {
        if (now + delayMicros < wakeAt) {
            wakeAt = now + delayMicros;
            actions.wakeAfter(delayMicros);
        }
    }

    @Override
    public void reconfigure(long now, PolicySettings newSettings, int[] formerClasses, int[] formerTenants) {
        Collection<RequestState> openRequests = components.openRequests.all();
        ClassRemapping remapping = ClassRemapping.of(formerClasses, components.latencies.classCount(), openRequests);
        components.settings.replace(newSettings);
        openRequests.forEach(remapping::apply);
        components.latencies.remap(remapping);
        components.clientRetryAge.remap(remapping);
        components.admission.updateTiers(
                components.settings.tiers().weights(),
                components.settings.tiers().lowestWithinQuota());
        components.quotas.remap(now, formerTenants);
    }

    @Override
    public void setSlowStartBudgetFactor(double factor) {
        components.slowStart.setBudgetFactor(factor);
    }

    @Override
    public LearnedState learnedState(long now) {
        return learnedStates.collect(now);
    }

    @Override
    public void restore(long now, LearnedState learnedState) {
        learnedStates.restore(learnedState, now);
        statistics.refresh(now);
    }
}
