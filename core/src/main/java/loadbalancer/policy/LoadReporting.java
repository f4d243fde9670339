package loadbalancer.policy;

/** When servers report their load. */
public enum LoadReporting {
    ANSWERS,
    PROBE,
    NONE
}
