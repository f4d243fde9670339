package loadbalancer.simulator.queue;

/** Mean response times that theory gives for the bare model, in units of mean service time unless said. */
public final class Theory {
    private static final int TERMS = 400;

    private Theory() {}

    /** M/M/1: Kleinrock, "Queueing Systems" vol. 1, (3.26). */
    public static double mm1(double lambda) {
        return 1 / (1 - lambda);
    }

    /** M/M/c with service rate 1 a core and {@code load} per core, by Erlang's C formula. */
    public static double mmc(int cores, double load) {
        double offered = cores * load;
        double blocking = 1; // Erlang B by its recursion
        for (int i = 1; i <= cores; i++) {
            blocking = offered * blocking / (i + offered * blocking);
        }
        double waits = blocking / (1 - load * (1 - blocking));
        return 1 + waits / (cores * (1 - load));
    }

    /** JSQ(d) with infinitely many servers: Mitzenmacher 2001, corollary 1. */
    public static double jsqD(int sampled, double lambda) {
        if (sampled == 1) {
            return mm1(lambda);
        }
        double sum = 0;
        double power = 1; // d^i
        for (int i = 1; i < TERMS; i++) {
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
     * The fixed point of JSQ-(dF, dS) as the paper has it, its equations 1 to 5, in units of time.
     *
     * @param fastRate the paper's mu_F; {@code fastShare} the share of fast servers
     * @param asPrinted equation 5 as printed, where a job that joins a queue of i jobs takes i services; else
     *     i + 1, its own included
     */
    public static double jsqDfDs(
            int dF, int dS, double lambda, double fastShare, double fastRate, double slowRate, boolean asPrinted) {
        double fast = lambda / (fastShare * fastRate);
        double slow = 0;
        for (int i = 0; i < 200_000; i++) { // a damped iteration: it contracts where stable
            double busyFast = Math.pow(fast, dF);
            double nextSlow = lambda * busyFast * (1 - Math.pow(slow, dS)) / (slowRate * (1 - fastShare));
            double nextFast = lambda * (1 - busyFast + busyFast * Math.pow(slow, dS)) / (fastRate * fastShare);
            double change = Math.abs(nextSlow - slow) + Math.abs(nextFast - fast);
            slow += 0.05 * (Math.min(1, nextSlow) - slow);
            fast += 0.05 * (Math.min(1, nextFast) - fast);
            if (change < 1e-13) {
                break;
            }
        }
        double noneFast = Math.pow(fast, dF);
        double noneSlow = Math.pow(slow, dS);
        // Equation 3 summed from i on: s_{i+1} = lambda rho_S^dS / (p mu_F) * s_i^dF.
        double factor = lambda * noneSlow / (fastShare * fastRate);
        double fractionLonger = fast;
        double joined = 0;
        for (int i = 1; i < TERMS && fractionLonger > 1e-14; i++) {
            double next = factor * Math.pow(fractionLonger, dF);
            joined += (asPrinted ? i : i + 1) * (Math.pow(fractionLonger, dF) - Math.pow(next, dF)) / noneFast;
            fractionLonger = next;
        }
        return (1 - noneFast) / fastRate
                + noneFast * (1 - noneSlow) / slowRate
                + noneFast * noneSlow * joined / fastRate;
    }
}
