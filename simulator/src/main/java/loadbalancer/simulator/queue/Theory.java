package loadbalancer.simulator.queue;

/** Theoretical mean response times of {@link QueueModel}, in units of mean service time unless stated otherwise. */
public final class Theory {
    private static final int MAX_TERMS = 400;

    private Theory() {}

    /** M/M/1: Kleinrock, "Queueing Systems" vol. 1, (3.26). */
    public static double mm1(double lambda) {
        return 1 / (1 - lambda);
    }

    /** M/M/c with service rate 1 per core and {@code load} per core, by Erlang's C formula. */
    public static double mmc(int cores, double load) {
        double offered = cores * load;
        double blocking = 1; // Erlang B, by recursion
        for (int i = 1; i <= cores; i++) {
            blocking = offered * blocking / (i + offered * blocking);
        }
        double waitProbability = blocking / (1 - load * (1 - blocking));
        return 1 + waitProbability / (cores * (1 - load));
    }

    /** JSQ(d) with infinitely many servers: Mitzenmacher 2001, corollary 1. */
    public static double jsqD(int sampled, double lambda) {
        if (sampled == 1) {
            return mm1(lambda);
        }
        double sum = 0;
        double power = 1; // d^i
        for (int i = 1; i < MAX_TERMS; i++) {
            power *= sampled;
            double term = Math.pow(lambda, (power - sampled) / (sampled - 1));
            sum += term;
            if (term < 1e-15) {
                break;
            }
        }
        return sum;
    }

    /**
     * The fixed point of JSQ-(dF, dS) by equations 1 to 5 of the paper, in units of time.
     *
     * @param fastRate the paper's mu_F; {@code fastShare} the share of fast servers
     * @param asPrinted true for equation 5 as printed, where a job that joins a queue of i jobs takes i services; false
     *     for i + 1 services, which includes its own
     */
    public static double jsqDfDs(
            int dF, int dS, double lambda, double fastShare, double fastRate, double slowRate, boolean asPrinted) {
        double fastBusyShare = lambda / (fastShare * fastRate);
        double slowBusyShare = 0;
        for (int i = 0; i < 200_000; i++) { // damped iteration; converges where the system is stable
            double fastSampledBusy = Math.pow(fastBusyShare, dF);
            double nextSlow =
                    lambda * fastSampledBusy * (1 - Math.pow(slowBusyShare, dS)) / (slowRate * (1 - fastShare));
            double nextFast = lambda
                    * (1 - fastSampledBusy + fastSampledBusy * Math.pow(slowBusyShare, dS))
                    / (fastRate * fastShare);
            double change = Math.abs(nextSlow - slowBusyShare) + Math.abs(nextFast - fastBusyShare);
            slowBusyShare += 0.05 * (Math.min(1, nextSlow) - slowBusyShare);
            fastBusyShare += 0.05 * (Math.min(1, nextFast) - fastBusyShare);
            if (change < 1e-13) {
                break;
            }
        }
        double allFastSampledBusy = Math.pow(fastBusyShare, dF);
        double allSlowSampledBusy = Math.pow(slowBusyShare, dS);
        // Equation 3 summed from i on: s_{i+1} = lambda rho_S^dS / (p mu_F) * s_i^dF.
        double factor = lambda * allSlowSampledBusy / (fastShare * fastRate);
        double fractionLonger = fastBusyShare;
        double servicesOnJoining = 0;
        for (int i = 1; i < MAX_TERMS && fractionLonger > 1e-14; i++) {
            double next = factor * Math.pow(fractionLonger, dF);
            servicesOnJoining +=
                    (asPrinted ? i : i + 1) * (Math.pow(fractionLonger, dF) - Math.pow(next, dF)) / allFastSampledBusy;
            fractionLonger = next;
        }
        return (1 - allFastSampledBusy) / fastRate
                + allFastSampledBusy * (1 - allSlowSampledBusy) / slowRate
                + allFastSampledBusy * allSlowSampledBusy * servicesOnJoining / fastRate;
    }
}
