package loadbalancer.admin;

/**
 * The actions of operators on a running balancer. All methods are called on the event loop's thread, and each takes
 * effect before it returns.
 */
public interface OperatorActions {
    /** Returns why this process is not ready to serve; null if it is ready. */
    String notReadyReason();

    /** Returns a note about a ready process, such as that it uses only a part of the endpoint list; null for none. */
    String readinessNote();

    /** Drains an endpoint administratively, even if it is drained already; returns false if the id is unknown. */
    boolean drain(String endpointId);

    /** Restores an endpoint, even if it is not drained; returns false if the id is unknown. */
    boolean restore(String endpointId);
}
