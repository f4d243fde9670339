package loadbalancer.subset;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Gathers the entries of one list that a balancer holds, in one pass and never more than a bound: each time there
 * would be more, the subset is halved and entries outside of it are removed, as in Wegman's adaptive sampling
 * (Flajolet, "On adaptive sampling", 1990). Which entries remain depends on the list and the balancer's point alone,
 * not on the order of the entries. Not thread-safe.
 *
 * @param <T> an entry
 */
public final class AdaptiveSample<T> {
    /**
     * A subset of twice the size is only kept where it leaves this fraction of the bound free, so that lists of varying
     * length don't make a balancer drop and add half of its endpoints in turn.
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
     * @param former the subset held so far
     * @param completeList whether the list names all endpoints there are, so that a wider subset may be held
     * @param maxEntries entries that may be held, 1 or more
     * @param hash of an entry's id, spread over all 64 bits
     * @throws IllegalArgumentException for a bound under 1
     */
    public AdaptiveSample(Subset former, boolean completeList, int maxEntries, ToLongFunction<T> hash) {
        if (maxEntries < 1) {
            throw new IllegalArgumentException("impossible bound: " + maxEntries);
        }
        this.former = former;
        this.maxEntries = maxEntries;
        this.hash = hash;
        subset = completeList ? former.wider() : former;
    }

    /** Whether an entry of that hash would be held; one that would not need not be read further. */
    public boolean accepts(long entryHash) {
        return subset.contains(entryHash);
    }

    /** Counts an entry that is not accepted. */
    public void skip() {
        listedCount++;
    }

    /** Adds an entry that is accepted. */
    public void add(T entry) {
        listedCount++;
        entries.add(entry);
        while (entries.size() > maxEntries && subset.level() < Subset.MAX_LEVEL) {
            narrowTo(subset.narrower());
        }
        if (entries.size() > maxEntries) { // more entries of one hash than any real list has
            entries.remove(entries.size() - 1);
        }
    }

    private void narrowTo(Subset narrower) {
        subset = narrower;
        entries.removeIf(entry -> !narrower.contains(hash.applyAsLong(entry)));
    }

    /** Ends the list; returns the entries that are held of it. */
    public List<T> finish() {
        if (subset.level() < former.level() && entries.size() > maxEntries * (1 - WIDENING_HEADROOM)) {
            narrowTo(former);
        }
        return entries;
    }

    /** The subset that contains what {@link #finish} returned. */
    public Subset subset() {
        return subset;
    }

    /** How many entries the list has named. */
    public long listedCount() {
        return listedCount;
    }
}
