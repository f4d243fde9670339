package loadbalancer.routing;

import loadbalancer.operator.PoolOverrides;
import loadbalancer.operator.PoolSpec;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.SiteLimits;
import loadbalancer.settings.BootSettings;

/** Derives a pool's settings from the platform's and from the pool's overrides in the operator file. */
final class PoolSettings {
    private PoolSettings() {}

    /** The platform's settings with the pool's overrides applied. */
    static BootSettings derive(BootSettings site, PoolSpec spec) {
        Long idleCloseMicros = spec.overrides().idleCloseMicros();
        return new BootSettings(
                policySettings(site.policySettings(), spec),
                site.loadFields(),
                site.classes(),
                site.tenants(),
                site.zones(),
                site.kinds(),
                idleCloseMicros == null ? site.idleCloseMicros() : idleCloseMicros);
    }

    private static PolicySettings policySettings(PolicySettings site, PoolSpec spec) {
        // A list that stands in the operator file never changes by itself, so it is never polled.
        DiscoveryMode discovery = spec.discovery() == null ? DiscoveryMode.PUSH : site.discovery();
        return new PolicySettings(
                site.balancers(),
                site.rank(),
                site.zone(),
                site.classes(),
                site.tenants(),
                site.overQuotaWeight(),
                site.objective(),
                site.costs(),
                site.weightByWork(),
                discovery,
                site.loadReporting(),
                site.keyAffinity(),
                limits(site.limits(), spec.overrides()),
                site.bounds(),
                site.tickMicros());
    }

    private static SiteLimits limits(SiteLimits site, PoolOverrides overrides) {
        return new SiteLimits(
                overrides.maxAttempts() == null ? site.maxAttempts() : overrides.maxAttempts(),
                site.hedgingAllowed(),
                site.cancellationAllowed(),
                overrides.probes() == null ? site.probingAllowed() : overrides.probes(),
                overrides.connectTimeoutMicros() == null
                        ? site.connectTimeoutMicros()
                        : overrides.connectTimeoutMicros(),
                site.maxRetryAfterMicros());
    }
}
