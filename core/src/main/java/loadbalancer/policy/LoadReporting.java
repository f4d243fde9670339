package loadbalancer.policy;

/** When endpoints report their load. */
public enum LoadReporting {
    /** With each answer. */
    WITH_RESPONSES,
    /** When they are probed. */
    PROBE,
    /** Never. */
    NONE
}
