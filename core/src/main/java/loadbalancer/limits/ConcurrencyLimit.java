package loadbalancer.limits;

/**
 * How many requests may be open at once at a pool. An implementation learns from how requests end; it is pure, and
 * times are the caller's, in µs.
 */
public interface ConcurrencyLimit {
    /** Requests that may be open at once, 1 or more; or 0 where nothing may. */
    int limit();

    /**
     * A request has ended.
     *
     * @param latency µs from its taking to its end
     * @param dropped it wasn't served: timed out, failed or turned away for want of room
     * @param open how many were open when it was taken, itself included
     */
    void ended(long now, long latency, boolean dropped, int open);

    /** How a limit learns. */
    enum Kind {
        FIXED,
        AIMD,
        VEGAS,
        GRADIENT
    }

    /**
     * A limit as it is asked for. All are at least 1, except that a fixed one may be 0.
     *
     * @param start where it begins; for a fixed one, where it stays
     * @param least it never falls below this
     * @param most nor rises above this
     */
    record Plan(Kind kind, int start, int least, int most) {
        public Plan {
            boolean ordered = least >= 1 && start >= least && most >= start;
            if (kind == Kind.FIXED ? start < 0 : !ordered) {
                throw new IllegalArgumentException(
                        "impossible limit: from " + least + " to " + most + ", at first " + start);
            }
        }

        /** A limit that never changes. */
        public static Plan fixed(int limit) {
            return new Plan(Kind.FIXED, limit, limit, limit);
        }

        /** A new limit of that kind. */
        public ConcurrencyLimit make() {
            return switch (kind) {
                case FIXED -> new FixedLimit(start);
                case AIMD -> new AimdLimit(this);
                case VEGAS -> new VegasLimit(this);
                case GRADIENT -> new GradientLimit(this);
            };
        }
    }
}
