package loadbalancer.admin;

/**
 * What operators may do with a running balancer. Called on the event loop's thread; each call takes effect before it
 * returns.
 */
public interface OperatorActions {
    /** Returns why this process cannot serve at the moment; null where it is ready. */
    String notReadyReason();

    /** Returns a note on a ready process, such as that it keeps only a part of the list; null for none. */
    String readinessNote();

    /** Drains an endpoint administratively, whether or not it is drained already; false where nobody knows the id. */
    boolean drain(String endpointId);

    /** Restores an endpoint, whether or not it is drained; false where nobody knows the id. */
    boolean restore(String endpointId);
}
