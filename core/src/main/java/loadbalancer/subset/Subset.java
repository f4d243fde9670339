package loadbalancer.subset;

/**
 * The part of an endpoint list that a balancer holds if the list is longer than it can hold. The endpoints are divided
 * into 2^level parts by the first {@code level} bits of a hash of their ids, and a balancer holds the part into which
 * its own point falls. Balancers need not agree on a level: the parts of a higher level lie within those of a lower
 * one, so balancers that see lists of different lengths still spread their load evenly.
 *
 * <p>The points of balancers are multiples of the golden ratio (Fibonacci hashing: Knuth, "The Art of Computer
 * Programming", volume 3, section 6.4). Any run of ranks, and any arithmetic sequence of ranks such as the balancers of
 * one zone often have, is spread nearly evenly over the parts. A balancer that is added or removed does not move any
 * other. Immutable.
 *
 * @param point position of the balancer in the range of hashes
 * @param level how many times the list has been halved; 0 for the whole list
 */
public record Subset(long point, int level) {
    /** A list is halved at most this many times. */
    public static final int MAX_LEVEL = 32;

    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

    /** Throws IllegalArgumentException if the level is out of range. */
    public Subset {
        if (level < 0 || level > MAX_LEVEL) {
            throw new IllegalArgumentException("level is " + level + ": expected 0 to " + MAX_LEVEL);
        }
    }

    /** Returns the whole list, for the balancer with this rank among all balancers. */
    public static Subset whole(int rank) {
        return new Subset(GOLDEN_RATIO * rank, 0);
    }

    /**
     * Returns the hash of an id, SplitMix64 of the string's hash code: the same on every JVM, spread over all 64 bits.
     */
    public static long hash(String id) {
        long mixed = id.hashCode() * GOLDEN_RATIO;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    /** Whether it contains the endpoint whose id has this {@link #hash}. */
    public boolean contains(long hash) {
        return level == 0 || (hash ^ point) >>> Long.SIZE - level == 0;
    }

    /** Returns the number of parts that the list is divided into. */
    public long partCount() {
        return 1L << level;
    }

    /** Returns the half of this part that contains the point, or this part at the highest level. */
    public Subset narrower() {
        return level == MAX_LEVEL ? this : new Subset(point, level + 1);
    }

    /** Returns the part of twice the size that contains this one, or this part if it is the whole list. */
    public Subset wider() {
        return level == 0 ? this : new Subset(point, level - 1);
    }

    /** Returns the next part of the same level; repeated calls visit all of them. */
    public Subset next() {
        return level == 0 ? this : new Subset(point + (1L << Long.SIZE - level), level);
    }
}
