package loadbalancer.routes;

import java.util.Arrays;

/**
 * Divides keys between pools by weight, by weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", 2005): each pool scores each key, the highest score has it. While one weight only grows,
 * keys move to that pool alone, and none that has moved moves back.
 */
public final class Split {
    private final long[] pools;
    private final double[] weights;

    /**
     * Between pools, each known by a stable name.
     *
     * @param weights 0 or more each; a pool of weight 0 gets nothing
     * @throws IllegalArgumentException for a weight that isn't a number of 0 or more
     */
    public Split(String[] names, double[] weights) {
        this.pools = Arrays.stream(names).mapToLong(Split::hash).toArray();
        this.weights = weights.clone();
        for (int i = 0; i < weights.length; i++) {
            if (!(weights[i] >= 0) || Double.isInfinite(weights[i])) {
                throw new IllegalArgumentException(
                        "weight of '" + names[i] + "' is " + weights[i] + ": a number of 0 or more is wanted");
            }
        }
    }

    /** The number of the pool that has the key; -1 where all weights are 0. */
    public int choose(long key) {
        int best = -1;
        double highest = 0;
        for (int i = 0; i < pools.length; i++) {
            if (weights[i] <= 0) {
                continue;
            }
            // Uniform in (0, 1): neither end, whose logarithm would be no score.
            double u = ((mix(key ^ pools[i]) >>> 12) + 0.5) * 0x1.0p-52;
            double score = -weights[i] / Math.log(u);
            if (best < 0 || score > highest) {
                best = i;
                highest = score;
            }
        }
        return best;
    }

    /** The number that stands for a key's text. */
    public static long hash(String text) { // FNV-1a, 64 bits, and a finalizer
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    private static long mix(long value) { // the finalizer of SplitMix64
        long z = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
