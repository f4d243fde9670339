package loadbalancer.simulator.world;

/**
 * Counter-based random numbers: a pure function of a seed and two indexes, the item and the purpose of the draw. Where
 * the order of draws depends on decisions (retries, attempts, messages), a stream would give the same request different
 * values in two variants of an experiment; this class gives it the same values.
 */
final class IndexedRandom {
    private IndexedRandom() {}

    /** Uniform in [0, 1). */
    static double uniform(long seed, long number, long purpose) {
        long mixed = seed + number * 0x9e3779b97f4a7c15L + purpose * 0xd1b54a32d192ed03L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        mixed ^= mixed >>> 31;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        return ((mixed ^ mixed >>> 27) >>> 11) * 0x1.0p-53;
    }

    /** Exponential with mean 1. */
    static double exponential(long seed, long number, long purpose) {
        return -StrictMath.log(1 - uniform(seed, number, purpose));
    }

    /** Standard normal (Box and Muller). */
    static double gaussian(long seed, long number, long purpose) {
        double radius = 1 - uniform(seed, number, 2 * purpose);
        double angle = uniform(seed, number, 2 * purpose + 1);
        return Math.sqrt(-2 * StrictMath.log(radius)) * StrictMath.cos(2 * Math.PI * angle);
    }
}
