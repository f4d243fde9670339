package loadbalancer.policy;

/** Decayed counts of the requests that arrive at this balancer, and of the attempts that were never executed. */
final class TrafficCounts {
    private static final double MICROS_PER_SECOND = 1e6;

    private double arrivals;
    private double rejectedAttempts;

    /** Counts a request that a client sends for the first time. */
    void recordArrival() {
        arrivals++;
    }

    /** Counts an attempt that was rejected, found no connection or could not be sent. */
    void recordRejectedAttempt() {
        rejectedAttempts++;
    }

    /** Decays the counts to this fraction. */
    void decay(double retained) {
        arrivals *= retained;
        rejectedAttempts *= retained;
    }

    double arrivals() {
        return arrivals;
    }

    double rejectedAttempts() {
        return rejectedAttempts;
    }

    double arrivalsPerSecond() {
        return arrivals / DecayScale.COUNT_DECAY_MICROS * MICROS_PER_SECOND;
    }

    /** Restores the counts of a predecessor. */
    void restore(double formerArrivals, double formerRejectedAttempts) {
        arrivals = formerArrivals;
        rejectedAttempts = formerRejectedAttempts;
    }
}
