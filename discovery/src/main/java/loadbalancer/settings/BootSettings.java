package loadbalancer.settings;

import java.util.List;
import loadbalancer.policy.PolicySettings;

/**
 * The settings that a balancer is started with.
 *
 * @param policySettings the settings of the policy, which knows classes, tenants, zones and kinds by their numbers
 * @param loadFields names of the values in a load report, in their order on the simulator's wire
 * @param classes names of the request classes, by number
 * @param tenants names of the tenants, by number
 * @param zones names of the zones, by number
 * @param kinds names of the kinds of hardware, by number
 * @param idleCloseMicros time after which an endpoint closes an idle connection; 0: never
 */
public record BootSettings(
        PolicySettings policySettings,
        List<String> loadFields,
        List<String> classes,
        List<String> tenants,
        List<String> zones,
        List<String> kinds,
        long idleCloseMicros) {}
