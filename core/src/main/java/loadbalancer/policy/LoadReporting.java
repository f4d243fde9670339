package loadbalancer.policy;

/** When servers report their load. */
public enum LoadReporting {
    WITH_RESPONSES,
    PROBE,
    NONE
}
