package loadbalancer.policy;

/** Restricts the requests of a class to zones and machine kinds. The restriction holds for every attempt. */
final class PlacementRule {
    private PlacementRule() {}

    /** Whether requests of the class may be sent to the endpoint. */
    static boolean permits(RequestClass requestClass, Endpoint endpoint) {
        return (requestClass.zones().isEmpty() || requestClass.zones().contains(endpoint.zone()))
                && (requestClass.machineKinds().isEmpty()
                        || requestClass.machineKinds().contains(endpoint.machineKind()));
    }

    /** Whether requests of the class may be sent to any endpoint. */
    static boolean permitsAll(RequestClass requestClass) {
        return requestClass.zones().isEmpty() && requestClass.machineKinds().isEmpty();
    }
}
