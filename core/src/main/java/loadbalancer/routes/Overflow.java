package loadbalancer.routes;

import java.util.Arrays;

/**
 * Divides traffic between pools in an order of preference. A pool takes all while it is healthy enough; as the healthy
 * share of its upstreams falls, the rest goes to the next by degrees, never more than that one's own limit allows.
 * What has left returns slowly, so that a pool that has just come back is not pushed over again.
 *
 * <p>A state machine on the caller's clock (µs, never back), without I/O. Envoy's priority levels have the same first
 * part, without limits and with return at once.
 */
public final class Overflow {
    private final double spare;
    private final double returnPerSecond;
    private final double[] limits;
    private final double[] shares;
    private long at = Long.MIN_VALUE;

    /**
     * Between pools, the preferred one first.
     *
     * @param spare what a healthy upstream can take of others' work, 1 or more: with 1.4 a pool keeps all its traffic
     *     until under 1 / 1.4 of it is healthy
     * @param returnPerSecond share of the traffic that returns per second at the most
     * @param limits share of the traffic that each pool may take at the most, over 0
     */
    public Overflow(double spare, double returnPerSecond, double... limits) {
        if (!(spare >= 1)
                || !(returnPerSecond > 0)
                || limits.length == 0
                || Arrays.stream(limits).anyMatch(l -> !(l > 0))) {
            throw new IllegalArgumentException("impossible overflow: spare " + spare + ", return " + returnPerSecond
                    + ", limits " + Arrays.toString(limits));
        }
        this.spare = spare;
        this.returnPerSecond = returnPerSecond;
        this.limits = limits.clone();
        this.shares = new double[limits.length];
        shares[0] = 1;
    }

    /**
     * The share of the traffic that each pool gets from now on. They add up to at most 1: what no pool can take is to
     * be refused.
     *
     * @param healthy for each pool the healthy share of its upstreams, from 0 to 1
     */
    public double[] shares(long now, double... healthy) {
        double seconds = at == Long.MIN_VALUE ? 0 : Math.max(0, now - at) / 1e6;
        at = Math.max(at, now);
        double before = 0; // what this pool and the preferred ones had
        double sum = 0; // and what they get
        for (int i = 0; i < shares.length; i++) {
            before += shares[i];
            // Leaving is immediate, and so is what no later pool can take; returning from those is not.
            double most = Math.max(before + returnPerSecond * seconds, 1 - capacity(i + 1, healthy));
            shares[i] = Math.max(0, Math.min(able(i, healthy), Math.min(1, most) - sum));
            sum += shares[i];
        }
        return shares.clone();
    }

    /** Goes on from another's shares, where it is between as many pools. */
    public void restore(Overflow former) {
        if (former.shares.length == shares.length) {
            System.arraycopy(former.shares, 0, shares, 0, shares.length);
            at = former.at;
        }
    }

    private double able(int pool, double[] healthy) {
        return Math.min(limits[pool], Math.min(1, spare * Math.max(0, healthy[pool])));
    }

    private double capacity(int from, double[] healthy) {
        double sum = 0;
        for (int i = from; i < limits.length; i++) {
            sum += able(i, healthy);
        }
        return sum;
    }
}
