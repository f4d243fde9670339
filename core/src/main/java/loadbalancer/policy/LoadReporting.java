package loadbalancer.policy;

/** When endpoints report their load. */
public enum LoadReporting {
    /** With each response. */
    WITH_RESPONSES,
    /** When they are probed. */
    PROBE,
    /** Never. */
    NONE
}
