package loadbalancer.routes;

import java.util.Arrays;

/**
 * Divides traffic between pools in an order of preference. A pool takes all traffic while it is healthy enough. As the
 * healthy fraction of its endpoints falls, the excess gradually moves to the next pool, up to that pool's maximum
 * share. Traffic that has left a pool returns slowly, so that a pool that has just recovered is not overloaded again.
 * Envoy's priority levels spill in the same way, but have no maximum shares and return traffic at once.
 *
 * <p>A state machine on the caller's clock, which must not go back. Not thread-safe.
 */
public final class Overflow {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double overprovisioningFactor;
    private final double returnPerSecond;
    private final double[] maxShares;
    private final double[] shares;
    private long updatedAtMicros = Long.MIN_VALUE;

    /**
     * Creates an overflow that sends all traffic to the first pool.
     *
     * @param overprovisioningFactor load that a healthy endpoint can take relative to its usual load, 1 or more; with
     *     1.4 a pool keeps all its traffic until less than 1 / 1.4 of it is healthy
     * @param returnPerSecond fraction of the traffic that returns per second, at most
     * @param maxShares largest fraction of the traffic that each pool may take, over 0; the preferred pool first
     * @throws IllegalArgumentException if a parameter is out of range
     */
    public Overflow(double overprovisioningFactor, double returnPerSecond, double... maxShares) {
        if (!(overprovisioningFactor >= 1)
                || !(returnPerSecond > 0)
                || maxShares.length == 0
                || Arrays.stream(maxShares).anyMatch(share -> !(share > 0))) {
            throw new IllegalArgumentException("overprovisioningFactor is " + overprovisioningFactor
                    + " (expected 1 or more), returnPerSecond is " + returnPerSecond
                    + " (expected over 0), maxShares are " + Arrays.toString(maxShares)
                    + " (expected one at least, each over 0)");
        }
        this.overprovisioningFactor = overprovisioningFactor;
        this.returnPerSecond = returnPerSecond;
        this.maxShares = maxShares.clone();
        this.shares = new double[maxShares.length];
        shares[0] = 1;
    }

    /**
     * Returns the fraction of the traffic that each pool gets from now on. The fractions add up to at most 1; the
     * caller rejects what no pool can take.
     *
     * @param healthyFractions healthy fraction of each pool's endpoints, from 0 to 1
     */
    public double[] shares(long nowMicros, double... healthyFractions) {
        double elapsedSeconds =
                updatedAtMicros == Long.MIN_VALUE ? 0 : Math.max(0, nowMicros - updatedAtMicros) / MICROS_PER_SECOND;
        updatedAtMicros = Math.max(updatedAtMicros, nowMicros);
        double formerSum = 0; // former shares of this pool and the more preferred ones
        double sum = 0; // new shares of the same pools
        for (int i = 0; i < shares.length; i++) {
            formerSum += shares[i];
            // Traffic leaves a pool at once, and returns at once if no later pool can take it; the rest returns slowly.
            double maxSum =
                    Math.max(formerSum + returnPerSecond * elapsedSeconds, 1 - capacityFrom(i + 1, healthyFractions));
            shares[i] = Math.max(0, Math.min(capacity(i, healthyFractions), Math.min(1, maxSum) - sum));
            sum += shares[i];
        }
        return shares.clone();
    }

    /** Takes over the shares of a former overflow if that has as many pools. */
    public void restore(Overflow former) {
        if (former.shares.length == shares.length) {
            System.arraycopy(former.shares, 0, shares, 0, shares.length);
            updatedAtMicros = former.updatedAtMicros;
        }
    }

    private double capacity(int pool, double[] healthyFractions) {
        return Math.min(maxShares[pool], Math.min(1, overprovisioningFactor * Math.max(0, healthyFractions[pool])));
    }

    private double capacityFrom(int firstPool, double[] healthyFractions) {
        double sum = 0;
        for (int i = firstPool; i < maxShares.length; i++) {
            sum += capacity(i, healthyFractions);
        }
        return sum;
    }
}
