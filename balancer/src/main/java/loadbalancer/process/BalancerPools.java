package loadbalancer.process;

import loadbalancer.discovery.Membership;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.handover.HandoverDocument;
import loadbalancer.handover.HandoverFormatException;
import loadbalancer.handover.HandoverState;
import loadbalancer.routing.RoutingGateway;
import loadbalancer.settings.BootSettings;

/**
 * The site's pool and, once an operator file is in force, the pools that the file defines. Carries out the operations
 * that concern all of them. Confined to the event loop's thread.
 */
final class BalancerPools {
    private final Membership membership;
    private final RequestDispatcher dispatcher;
    private RoutingGateway gateway; // null while no operator file is in force

    /** Creates the set with the site's pool alone. */
    BalancerPools(Membership membership, RequestDispatcher dispatcher) {
        this.membership = membership;
        this.dispatcher = dispatcher;
    }

    /** Adds the pools of an operator file. */
    void attach(RoutingGateway newGateway) {
        gateway = newGateway;
    }

    /**
     * Returns the gateway that routes requests to the operator file's pools; null while no operator file is in force.
     */
    RoutingGateway gateway() {
        return gateway;
    }

    /**
     * Drains an endpoint administratively; one that is drained already stays so.
     *
     * @return false where no pool knows the id
     */
    boolean drain(String endpointId) {
        return membership.drain(endpointId) || gateway != null && gateway.drainEndpoint(endpointId);
    }

    /**
     * Restores an endpoint; one that is not drained stays so.
     *
     * @return false where no pool knows the id
     */
    boolean restore(String endpointId) {
        return membership.restore(endpointId) || gateway != null && gateway.restoreEndpoint(endpointId);
    }

    /** Sets the fraction of the balancer's slow-start budget that this process may use, 0 to 1. */
    void setSlowStartFraction(double fraction) {
        dispatcher.setSlowStartFraction(fraction);
        if (gateway != null) {
            gateway.setSlowStartFraction(fraction);
        }
    }

    /**
     * Applies new settings to the operator file's pools. {@link Reconfiguration} applies them to the site's pool.
     */
    void reconfigure(BootSettings settings) {
        if (gateway != null) {
            gateway.reconfigure(settings);
        }
    }

    /** Returns the state that a successor starts from. */
    HandoverDocument handoverDocument(BootSettings settings) {
        OperatorDrains drains = membership.drains();
        HandoverState site = new HandoverState(
                drains.drained(), drains.restoredAtMicros(), membership.listed(), dispatcher.learnedState(), settings);
        return gateway == null ? HandoverDocument.of(site) : HandoverDocument.of(site, gateway.handoverState());
    }

    /**
     * Restores the predecessor's state: the site's pool first, then the others.
     *
     * @return the restored state of the site's pool
     * @throws HandoverFormatException if the state of a pool cannot be read; the pools before it stay restored
     */
    HandoverState restore(HandoverDocument document, BootSettings settings) throws HandoverFormatException {
        HandoverState site = document.site(settings);
        membership.restoreState(site.drained(), site.restoredAtMicros(), site.endpoints());
        dispatcher.restore(site.learnedState());
        if (gateway != null && document.hasPools()) {
            gateway.restore(document);
        }
        return site;
    }

    /** Runs {@code callback} on the event loop's thread once every pool has answered all of its requests. */
    void whenIdle(Runnable callback) {
        dispatcher.whenIdle(() -> {
            if (gateway == null) {
                callback.run();
            } else {
                gateway.whenIdle(callback);
            }
        });
    }

    /** Returns the counts of all pools, for the log. */
    String summary() {
        return dispatcher.summary() + (gateway == null ? "" : gateway.summary());
    }
}
