package loadbalancer.subset;

/**
 * The part of an endpoint list that one balancer holds where the list is longer than it can hold. The endpoints are
 * divided by the first {@code level} bits of a hash of their ids into 2^level parts, and a balancer has the part that
 * its own point falls into. No agreement is needed: the parts of a deeper level lie within those of a shallower one, so
 * balancers that see lists of different lengths still spread their load evenly.
 *
 * <p>Balancers' points are multiples of the golden ratio (Knuth, "The Art of Computer Programming", volume 3, section
 * 6.4, Fibonacci hashing): any run of ranks, and any arithmetic sequence of ranks as balancers of one zone often have,
 * falls nearly evenly on the parts, and a balancer that comes or goes moves no other. Immutable.
 *
 * @param point where the balancer stands among all hashes
 * @param level how many times the list has been halved; 0 holds all of it
 */
public record Subset(long point, int level) {
    /** No list is halved more often. */
    public static final int MAX_LEVEL = 32;

    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

    /** Throws IllegalArgumentException for a level out of range. */
    public Subset {
        if (level < 0 || level > MAX_LEVEL) {
            throw new IllegalArgumentException("impossible level: " + level);
        }
    }

    /** The whole list, for the balancer of that rank among all. */
    public static Subset whole(int rank) {
        return new Subset(GOLDEN_RATIO * rank, 0);
    }

    /** The hash of an id, the same on every JVM and spread over all 64 bits: SplitMix64 of its text's hash code. */
    public static long hash(String id) {
        long mixed = id.hashCode() * GOLDEN_RATIO;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    /** Whether it contains the endpoint whose id has that {@link #hash}. */
    public boolean contains(long hash) {
        return level == 0 || (hash ^ point) >>> Long.SIZE - level == 0;
    }

    /** Into how many parts the list is divided; this is one of them. */
    public long partCount() {
        return 1L << level;
    }

    /** Half of this part; itself where it can't be halved any more. */
    public Subset narrower() {
        return level == MAX_LEVEL ? this : new Subset(point, level + 1);
    }

    /** The part of twice the size that contains this one; itself where it is the whole list. */
    public Subset wider() {
        return level == 0 ? this : new Subset(point, level - 1);
    }

    /** Another part of the same level; going on from each to the next visits all of them. */
    public Subset next() {
        return level == 0 ? this : new Subset(point + (1L << Long.SIZE - level), level);
    }
}
