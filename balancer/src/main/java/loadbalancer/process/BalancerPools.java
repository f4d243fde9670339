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
 * The site's pool and, once an operator file is in use, the pools that the file defines: what concerns all of them goes
 * through here. Belongs to the event loop's thread.
 */
final class BalancerPools {
    private final Membership membership;
    private final RequestDispatcher dispatcher;
    private RoutingGateway gateway; // null without an operator file

    /** Creates the set with the site's pool alone. */
    BalancerPools(Membership membership, RequestDispatcher dispatcher) {
        this.membership = membership;
        this.dispatcher = dispatcher;
    }

    /** Adds the pools of an operator file. */
    void attach(RoutingGateway newGateway) {
        gateway = newGateway;
    }

    /** Returns what routes requests to the pools of the operator file; null without one. */
    RoutingGateway gateway() {
        return gateway;
    }

    /** Drains an endpoint administratively, drained or not; false where no pool knows the id. */
    boolean drain(String endpointId) {
        return membership.drain(endpointId) || gateway != null && gateway.drainEndpoint(endpointId);
    }

    /** Restores an endpoint, drained or not; false where no pool knows the id. */
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
     * Makes the operator file's pools go by new settings; the site's pool is reconfigured by {@link
     * Reconfiguration}.
     */
    void reconfigure(BootSettings settings) {
        if (gateway != null) {
            gateway.reconfigure(settings);
        }
    }

    /** Returns what a successor starts from. */
    HandoverDocument handoverDocument(BootSettings settings) {
        OperatorDrains drains = membership.drains();
        HandoverState site = new HandoverState(
                drains.drained(), drains.restoredAtMicros(), membership.listed(), dispatcher.learnedState(), settings);
        return gateway == null ? HandoverDocument.of(site) : HandoverDocument.of(site, gateway.handoverState());
    }

    /**
     * Restores what the predecessor knew: the site's pool first, then the others.
     *
     * @return what was restored of the site's pool
     * @throws HandoverFormatException where the state of a pool cannot be read; those before it are restored
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

    /** Runs {@code then} on the event loop's thread once no pool owes an answer. */
    void whenIdle(Runnable then) {
        dispatcher.whenIdle(() -> {
            if (gateway == null) {
                then.run();
            } else {
                gateway.whenIdle(then);
            }
        });
    }

    /** Returns the figures of all pools, for the log. */
    String summary() {
        return dispatcher.summary() + (gateway == null ? "" : gateway.summary());
    }
}
