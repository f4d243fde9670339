package loadbalancer.simulator.engine;

import org.apache.commons.rng.simple.RandomSource;

/**
 * Independent streams of random numbers, one for each component and purpose, derived from one seed by name. Draws
 * from one stream never change those of another, so that two variants of an experiment run in the same world.
 */
public final class RandomStreams {
    private final long seed;

    /** Derives all streams from {@code seed}. */
    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of one component and purpose; equal arguments give equal draws. */
    public RandomStream of(String component, long number, String purpose) {
        long componentHash = mix(seed ^ hash(component));
        long streamHash = mix(componentHash + number * 0x9e3779b97f4a7c15L) ^ hash(purpose);
        return new RandomStream(RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {mix(componentHash ^ streamHash), mix(streamHash + 1)}));
    }

    /** A seed for a component that has its own random number generator. */
    public long seed(String component, long number) {
        return mix(mix(seed ^ hash(component)) + number * 0x9e3779b97f4a7c15L);
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
