package loadbalancer.handover;

import java.util.Map;
import java.util.Set;
import loadbalancer.discovery.EndpointList;
import loadbalancer.settings.BootSettings;

/**
 * What a process hands to its successor of one pool.
 *
 * @param drained ids of the endpoints that operators have drained
 * @param restoredAtMicros when drained endpoints were restored, by id, in µs on the balancer's clock
 * @param endpoints the list as discovery last gave it
 * @param learnedState the policy's learned figures by name
 * @param settings by which the numbers of zones, endpoint kinds and request classes stand for their names
 */
public record HandoverState(
        Set<String> drained,
        Map<String, Long> restoredAtMicros,
        EndpointList endpoints,
        Map<String, double[]> learnedState,
        BootSettings settings) {}
