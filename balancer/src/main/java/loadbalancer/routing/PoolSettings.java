package loadbalancer.routing;

import loadbalancer.operator.PoolOverrides;
import loadbalancer.operator.PoolSpec;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.SiteLimits;
import loadbalancer.settings.BootSettings;

/** Derives a pool's settings from the site's settings and the pool's overrides in the operator file. */
final class PoolSettings {
    private PoolSettings() {}

    /** Returns the site's settings with the pool's overrides applied. */
    static BootSettings derive(BootSettings siteSettings, PoolSpec spec) {
        Long idleCloseMicros = spec.overrides().idleCloseMicros();
        return new BootSettings(
                policySettings(siteSettings.policySettings(), spec),
                siteSettings.loadFields(),
                siteSettings.classes(),
                siteSettings.tenants(),
                siteSettings.zones(),
                siteSettings.kinds(),
                idleCloseMicros == null ? siteSettings.idleCloseMicros() : idleCloseMicros);
    }

    private static PolicySettings policySettings(PolicySettings siteSettings, PoolSpec spec) {
        // A static endpoint list of the operator file changes only with the file, so there is nothing to poll.
        DiscoveryMode discovery = spec.discovery() == null ? DiscoveryMode.PUSH : siteSettings.discovery();
        return new PolicySettings(
                siteSettings.balancers(),
                siteSettings.rank(),
                siteSettings.zone(),
                siteSettings.classes(),
                siteSettings.tenants(),
                siteSettings.overQuotaWeight(),
                siteSettings.objective(),
                siteSettings.costs(),
                siteSettings.weightByWork(),
                discovery,
                siteSettings.loadReporting(),
                siteSettings.keyAffinity(),
                limits(siteSettings.limits(), spec.overrides()),
                siteSettings.bounds(),
                siteSettings.tickMicros());
    }

    private static SiteLimits limits(SiteLimits siteLimits, PoolOverrides overrides) {
        return new SiteLimits(
                overrides.maxAttempts() == null ? siteLimits.maxAttempts() : overrides.maxAttempts(),
                siteLimits.hedgingAllowed(),
                siteLimits.cancellationAllowed(),
                overrides.probes() == null ? siteLimits.probingAllowed() : overrides.probes(),
                overrides.connectTimeoutMicros() == null
                        ? siteLimits.connectTimeoutMicros()
                        : overrides.connectTimeoutMicros(),
                siteLimits.maxRetryAfterMicros());
    }
}
