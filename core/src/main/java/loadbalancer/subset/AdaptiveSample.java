package loadbalancer.subset;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Collects the entries of a list that a balancer holds, in one pass and never more than a maximum. Each time the
 * maximum is exceeded, the subset is halved and entries outside of it are removed, as in Wegman's adaptive sampling
 * (Flajolet, "On adaptive sampling", 1990). The entries that remain depend only on the list and on the balancer's
 * point, not on the order of the entries. Not thread-safe.
 *
 * @param <T> type of an entry
 */
public final class AdaptiveSample<T> {
    /**
     * A subset of twice the size is kept only if this fraction of the maximum remains free. Otherwise a list whose
     * length varies around the maximum would make a balancer drop and add half of its endpoints again and again.
     */
    private static final double WIDENING_HEADROOM = 0.25;

    private final Subset former;
    private final int maxEntries;
    private final ToLongFunction<T> hash;
    private final List<T> entries = new ArrayList<>();
    private Subset subset;
    private long listedCount;

    /**
     * Creates an empty sample.
     *
     * @param former the subset that the balancer has held so far
     * @param completeList whether the list contains all endpoints, so that the subset may become wider
     * @param maxEntries maximum number of entries to hold, 1 or more
     * @param hash returns the hash of an entry's id, spread over all 64 bits
     * @throws IllegalArgumentException if {@code maxEntries} is under 1
     */
    public AdaptiveSample(Subset former, boolean completeList, int maxEntries, ToLongFunction<T> hash) {
        if (maxEntries < 1) {
            throw new IllegalArgumentException("maxEntries is " + maxEntries + ": expected 1 or more");
        }
        this.former = former;
        this.maxEntries = maxEntries;
        this.hash = hash;
        subset = completeList ? former.wider() : former;
    }

    /** Whether an entry with this hash belongs to the subset. Others need not be decoded completely. */
    public boolean accepts(long entryHash) {
        return subset.contains(entryHash);
    }

    /** Counts an entry that is not accepted. */
    public void skip() {
        listedCount++;
    }

    /** Adds an accepted entry. */
    public void add(T entry) {
        listedCount++;
        entries.add(entry);
        while (entries.size() > maxEntries && subset.level() < Subset.MAX_LEVEL) {
            narrowTo(subset.narrower());
        }
        if (entries.size() > maxEntries) { // more entries with the same hash than any real list has
            entries.remove(entries.size() - 1);
        }
    }

    private void narrowTo(Subset narrower) {
        subset = narrower;
        entries.removeIf(entry -> !narrower.contains(hash.applyAsLong(entry)));
    }

    /** Ends the list and returns the entries to hold. */
    public List<T> finish() {
        if (subset.level() < former.level() && entries.size() > maxEntries * (1 - WIDENING_HEADROOM)) {
            narrowTo(former);
        }
        return entries;
    }

    /** Returns the subset to which the entries belong that {@link #finish} returned. */
    public Subset subset() {
        return subset;
    }

    /** Returns the number of entries in the list. */
    public long listedCount() {
        return listedCount;
    }
}
