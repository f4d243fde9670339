package loadbalancer.subset;

/**
 * The part of a list of upstreams that one balancer holds where the list is longer than it can hold: the upstreams are
 * divided by the first {@code level} bits of a hash of their ids into 2^level parts, and a balancer has the part that
 * its own point falls into. Nobody has to agree on anything: the parts of a deeper level lie within those of a
 * shallower one, so balancers that see lists of other lengths still spread their load evenly.
 *
 * <p>Balancers' points are multiples of the golden section (Knuth, "The Art of Computer Programming", volume 3, section
 * 6.4, Fibonacci hashing): any run of ranks, and any every-so-many-th rank as balancers of one zone often have, falls
 * nearly evenly on the parts, and a balancer that comes or goes moves nobody else.
 *
 * @param point where the balancer stands among all hashes
 * @param level how many times the list has been halved; 0 holds all of it
 */
public record Subset(long point, int level) {
    /** No list is halved more often. */
    public static final int DEEPEST = 32;

    private static final long GOLDEN = 0x9e3779b97f4a7c15L;
    private static final int BITS = 64;

    /** Throws IllegalArgumentException for a level that there isn't. */
    public Subset {
        if (level < 0 || level > DEEPEST) {
            throw new IllegalArgumentException("impossible level: " + level);
        }
    }

    /** All of the list, for the balancer of that rank among all. */
    public static Subset whole(int rank) {
        return new Subset(GOLDEN * rank, 0);
    }

    /** The hash of an id: that of its text, the same on every JVM, spread over all 64 bits (SplitMix64's finaliser). */
    public static long hash(String id) {
        long z = id.hashCode() * GOLDEN;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Whether an upstream is held whose id has that {@link #hash}. */
    public boolean holds(long hash) {
        return level == 0 || (hash ^ point) >>> BITS - level == 0;
    }

    /** Into how many parts the list is divided; one of them is held. */
    public long parts() {
        return 1L << level;
    }

    /** Half of this part; itself where it can't be halved any more. */
    public Subset narrower() {
        return level == DEEPEST ? this : new Subset(point, level + 1);
    }

    /** The part of twice the size that this one lies in; itself where it is all. */
    public Subset wider() {
        return level == 0 ? this : new Subset(point, level - 1);
    }

    /** Another part of the same level; going on from each to the next meets all of them. */
    public Subset next() {
        return level == 0 ? this : new Subset(point + (1L << BITS - level), level);
    }
}
