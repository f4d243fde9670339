package loadbalancer.simulator.engine;

import org.apache.commons.rng.simple.RandomSource;

/**
 * Independent streams of random numbers, one for each party and concern, derived from one seed by name. What one
 * party draws, or how often, leaves every other's draws alone: two variants of an experiment meet the same world.
 */
public final class RandomStreams {
    private final long seed;

    /** Streams that are all derived from {@code seed}. */
    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of a party's concern: the same names give the same numbers. */
    public RandomStream of(String party, long number, String concern) {
        long a = mix(seed ^ hash(party));
        long b = mix(a + number * 0x9e3779b97f4a7c15L) ^ hash(concern);
        return new RandomStream(RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {mix(a ^ b), mix(b + 1)}));
    }

    /** A seed for a party that draws for itself. */
    public long seed(String party, long number) {
        return mix(mix(seed ^ hash(party)) + number * 0x9e3779b97f4a7c15L);
    }

    private static long hash(String text) { // FNV-1a, 64 bits
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    private static long mix(long value) { // the finalizer of SplitMix64
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
