package loadbalancer.policy;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint answered with success. */
    OK(false),
    /** The endpoint answered with an error. */
    ERROR(false),
    /** The endpoint rejected the attempt for lack of capacity. */
    FULL(true),
    /** No answer came before the timeout of the attempt. */
    TIMEOUT(false),
    /** No connection could be made. */
    CONNECT_FAILED(true),
    /** The connection was closed before the answer was complete. */
    RESET(false),
    /** The attempt was cancelled at the request of the policy. */
    CANCELLED(false),
    /** The balancer itself could not send the attempt. */
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether the outcome proves that the request was not executed by this attempt. */
    public boolean neverRan() {
        return neverRan;
    }
}
