package loadbalancer.routes;

import java.util.Arrays;

/**
 * Divides keys between pools by weight, by weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", 2005): each pool scores each key, and the highest score has it. While one weight only
 * grows, keys move to that pool alone, and none that has moved moves back. Immutable.
 */
public final class TrafficSplit {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int DISCARDED_BITS = 12; // the other 52 are exact in a double
    private static final double UNIT = 0x1.0p-52;

    private final long[] poolHashes;
    private final double[] weights;

    /**
     * Creates a split between pools, each known by a stable name.
     *
     * @param weights 0 or more each; a pool of weight 0 gets nothing
     * @throws IllegalArgumentException for a weight that isn't a number of 0 or more
     */
    public TrafficSplit(String[] names, double[] weights) {
        this.poolHashes = Arrays.stream(names).mapToLong(TrafficSplit::hash).toArray();
        this.weights = weights.clone();
        for (int i = 0; i < weights.length; i++) {
            if (!(weights[i] >= 0) || Double.isInfinite(weights[i])) {
                throw new IllegalArgumentException(
                        "weight of '" + names[i] + "' is " + weights[i] + ": a number of 0 or more is wanted");
            }
        }
    }

    /** The index of the pool that has the key; -1 where all weights are 0. */
    public int choose(long key) {
        int best = -1;
        double highest = 0;
        for (int i = 0; i < poolHashes.length; i++) {
            if (weights[i] <= 0) {
                continue;
            }
            double score = -weights[i] / Math.log(uniform(key ^ poolHashes[i]));
            if (best < 0 || score > highest) {
                best = i;
                highest = score;
            }
        }
        return best;
    }

    /** Uniform between 0 and 1, and neither of them, whose logarithms would be no scores. */
    private static double uniform(long value) {
        return ((mix(value) >>> DISCARDED_BITS) + 0.5) * UNIT;
    }

    /** The 64 bits that stand for a key's text: FNV-1a, and the finalizer of SplitMix64. */
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
