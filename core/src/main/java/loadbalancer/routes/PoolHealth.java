package loadbalancer.routes;

/**
 * What part of its usual work a pool can do: the listed upstreams against its full strength, and the requests that
 * it serves against those that it is given. Pure; times in µs.
 */
public final class PoolHealth {
    private static final double FADE = 1e6; // µs over which ends count
    private static final double FULL_STRENGTH_FADE = 600e6; // a fleet made smaller on purpose is the full one by then
    private static final double WELL = 0.9; // served of what was given, above which nothing is wrong
    private static final double PRIOR = 5; // ends that a new or idle pool is credited with

    private final int fullStrength;
    private double strength;
    private int up;
    private boolean told;
    private long listedAt;
    private double served;
    private double given;
    private long endedAt = Long.MIN_VALUE;

    /** {@code fullStrength}: how many upstreams the pool has as a rule, or 0 to learn it. */
    public PoolHealth(int fullStrength) {
        this.fullStrength = fullStrength;
        this.strength = fullStrength;
    }

    /** So many upstreams may be sent to now. */
    public void listed(long now, int upstreams) {
        fade(now);
        up = upstreams;
        told = true;
        listedAt = now;
        if (fullStrength == 0) {
            strength = Math.max(strength, up);
        }
    }

    // The strength that was learnt falls towards what there is; a quarter of an hour on, that is the usual.
    private void fade(long now) {
        if (told && fullStrength == 0) {
            strength = up + (strength - up) * Math.exp(-Math.max(0, now - listedAt) / FULL_STRENGTH_FADE);
            listedAt = Math.max(listedAt, now);
        }
    }

    /** A request that the pool was given has ended. */
    public void ended(long now, boolean wasServed) {
        recall(now);
        given++;
        served += wasServed ? 1 : 0;
    }

    private void recall(long now) {
        if (endedAt != Long.MIN_VALUE && now > endedAt) {
            double kept = Math.exp(-(now - endedAt) / FADE);
            served *= kept;
            given *= kept;
        }
        endedAt = Math.max(endedAt, now);
    }

    /**
     * From 0 to 1.
     *
     * @param share the share of the traffic that the pool gets now
     * @param spare what a healthy upstream can take of others' work, as {@link Overflow} has it
     */
    public double healthy(long now, double share, double spare) {
        fade(now);
        recall(now);
        double listed = strength <= 0 ? 0 : Math.min(1, up / strength);
        double well = (served + PRIOR) / (given + PRIOR);
        // What it serves of what it gets, it can: no more than that is asked of it until it does well again.
        return Math.min(listed, well >= WELL ? 1 : well * share / spare);
    }

    /** Upstreams that may be sent to, as last told. */
    public int up() {
        return up;
    }
}
