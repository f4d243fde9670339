package loadbalancer.simulator.rules;

import java.util.List;

/** A broken rule: which, when (µs of the day), whose request, and the chain of events that led there. */
public record RuleViolation(Rule rule, long at, String subject, String description, List<String> events) {
    /** The rules that every balancer keeps. */
    public enum Rule {
        LOST,
        ANSWERED_TWICE,
        DUPLICATE,
        TWO_AT_ONCE,
        DRAIN,
        COLD,
        MALFORMED
    }
}
