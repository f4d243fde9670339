package loadbalancer.handover;

import java.util.Map;
import java.util.Set;
import loadbalancer.discovery.EndpointList;
import loadbalancer.settings.BootSettings;

/**
 * The state of one pool that a process hands over to its successor.
 *
 * @param drained ids of the endpoints that operators have drained
 * @param restoredAtMicros when drained endpoints were restored, by id, in µs on the balancer's clock
 * @param endpoints the endpoint list that discovery sent last
 * @param learnedState the policy's learned values by name
 * @param settings the settings that map the numbers of zones, endpoint kinds and request classes to their names
 */
public record HandoverState(
        Set<String> drained,
        Map<String, Long> restoredAtMicros,
        EndpointList endpoints,
        Map<String, double[]> learnedState,
        BootSettings settings) {}
