package loadbalancer.policy;

/** Hash functions that give the same values on every machine and in every run. */
final class Hashing {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashing() {}

    /** Hashes the characters of the text with FNV-1a, then applies {@link #mix}. */
    static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Spreads numbers that are close together over all 64 bits (the finalizer of SplitMix64). */
    static long mix(long number) {
        long mixed = (number + 0x9e3779b97f4a7c15L ^ number >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
