package loadbalancer.routes;

import java.util.Arrays;

/**
 * Divides traffic between pools in an order of preference. A pool takes all while it is healthy enough; as the healthy
 * fraction of its endpoints falls, the rest goes to the next by degrees, never more than that one's own limit allows.
 * What has left returns slowly, so that a pool that has just come back is not overloaded again. Envoy's priority levels
 * do the first, without limits and with return at once.
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
     * Creates an overflow whose traffic all goes to the first pool.
     *
     * @param overprovisioningFactor what a healthy endpoint can take of others' work, 1 or more: with 1.4 a pool keeps all its
     *     traffic until under 1 / 1.4 of it is healthy
     * @param returnPerSecond fraction of the traffic that returns per second at the most
     * @param maxShares fraction of the traffic that each pool may take at the most, over 0; the preferred pool first
     * @throws IllegalArgumentException where one of them is out of its range
     */
    public Overflow(double overprovisioningFactor, double returnPerSecond, double... maxShares) {
        if (!(overprovisioningFactor >= 1)
                || !(returnPerSecond > 0)
                || maxShares.length == 0
                || Arrays.stream(maxShares).anyMatch(share -> !(share > 0))) {
            throw new IllegalArgumentException("impossible overflow: spare " + overprovisioningFactor + ", return "
                    + returnPerSecond + ", limits " + Arrays.toString(maxShares));
        }
        this.overprovisioningFactor = overprovisioningFactor;
        this.returnPerSecond = returnPerSecond;
        this.maxShares = maxShares.clone();
        this.shares = new double[maxShares.length];
        shares[0] = 1;
    }

    /**
     * The fraction of the traffic that each pool gets from now on. They add up to at most 1: what no pool can take is
     * to be rejected.
     *
     * @param healthyFractions for each pool the healthy fraction of its endpoints, from 0 to 1
     */
    public double[] shares(long nowMicros, double... healthyFractions) {
        double seconds =
                updatedAtMicros == Long.MIN_VALUE ? 0 : Math.max(0, nowMicros - updatedAtMicros) / MICROS_PER_SECOND;
        updatedAtMicros = Math.max(updatedAtMicros, nowMicros);
        double formerSum = 0; // what this pool and the preferred ones had
        double sum = 0; // and what they get
        for (int i = 0; i < shares.length; i++) {
            formerSum += shares[i];
            // Leaving is immediate, and so is what no later pool can take; returning from those is not.
            double maxSum = Math.max(formerSum + returnPerSecond * seconds, 1 - capacityFrom(i + 1, healthyFractions));
            shares[i] = Math.max(0, Math.min(capacity(i, healthyFractions), Math.min(1, maxSum) - sum));
            sum += shares[i];
        }
        return shares.clone();
    }

    /** Goes on from another's shares, where it is between as many pools. */
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
