package loadbalancer.policy;

/** How an attempt ended. */
public enum AttemptOutcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** True where the outcome proves that the attempt did not run. */
    public boolean neverRan() {
        return neverRan;
    }
}
