package loadbalancer.routes;

import java.util.Arrays;

/**
 * Divides keys between pools by weight, with weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", 2005): each pool has a score for each key, and the pool with the highest score gets the
 * key. While only one weight grows, keys move only to that pool, and a key that has moved does not move back.
 * Immutable.
 */
public final class TrafficSplit {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int DISCARDED_BITS = 12; // a double represents the remaining 52 bits exactly
    private static final double UNIFORM_SCALE = 0x1.0p-52;

    private final long[] poolHashes;
    private final double[] weights;

    /**
     * Creates a split between pools.
     *
     * @param names names of the pools; they must be stable, because the split depends on them
     * @param weights weights of the pools, 0 or more; a pool of weight 0 gets nothing
     * @throws IllegalArgumentException if a weight isn't a finite number of 0 or more
     */
    public TrafficSplit(String[] names, double[] weights) {
        this.poolHashes = Arrays.stream(names).mapToLong(TrafficSplit::hash).toArray();
        this.weights = weights.clone();
        for (int i = 0; i < weights.length; i++) {
            if (!(weights[i] >= 0) || Double.isInfinite(weights[i])) {
                throw new IllegalArgumentException(
                        "weight of '" + names[i] + "' is " + weights[i] + ": expected a finite number of 0 or more");
            }
        }
    }

    /** Returns the index of the pool for a key; -1 if all weights are 0. */
    public int choose(long key) {
        int best = -1;
        double highestScore = 0;
        for (int i = 0; i < poolHashes.length; i++) {
            if (weights[i] <= 0) {
                continue;
            }
            double score = -weights[i] / Math.log(toUniform(key ^ poolHashes[i]));
            if (best < 0 || score > highestScore) {
                best = i;
                highestScore = score;
            }
        }
        return best;
    }

    /** Returns a number between 0 and 1, but neither 0 nor 1, because their logarithms give no usable score. */
    private static double toUniform(long value) {
        return ((mix(value) >>> DISCARDED_BITS) + 0.5) * UNIFORM_SCALE;
    }

    /** Returns a 64-bit hash of a key: FNV-1a, followed by the finalizer of SplitMix64. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static long mix(long value) { // the finalizer of SplitMix64
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
