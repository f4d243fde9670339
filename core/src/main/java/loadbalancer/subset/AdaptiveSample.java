package loadbalancer.subset;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Gathers of one list what a balancer holds, in one pass and never more than a bound: each time it would be more, the
 * part is halved and what no longer belongs to it is let go (as Wegman's adaptive sampling does: Flajolet, "On adaptive
 * sampling", 1990). Which entries are held at the end depends on the list and the balancer's point alone, not on the
 * order of the entries.
 *
 * @param <T> an entry
 */
public final class AdaptiveSample<T> {
    /** A part of twice the size is taken up again only where it leaves this much room, so that lists that vary don't
     * make a balancer let go and take up half of its upstreams in turns. */
    private static final double ROOM = 0.25;

    private final Subset before;
    private final int most;
    private final ToLongFunction<T> hash;
    private final List<T> held = new ArrayList<>();
    private Subset subset;
    private long named;

    /**
     * Begins.
     *
     * @param before the part held so far
     * @param whole whether the list names all upstreams there are, so that a larger part may be taken up
     * @param most entries that may be held
     * @param hash of an entry's id, spread over all 64 bits
     */
    public AdaptiveSample(Subset before, boolean whole, int most, ToLongFunction<T> hash) {
        if (most < 1) {
            throw new IllegalArgumentException("impossible bound: " + most);
        }
        this.before = before;
        this.most = most;
        this.hash = hash;
        subset = whole ? before.wider() : before;
    }

    /** Whether an entry of that hash would be held: one that wouldn't need not be read further. */
    public boolean wants(long of) {
        return subset.holds(of);
    }

    /** An entry that isn't wanted. */
    public void pass() {
        named++;
    }

    /** An entry that is. */
    public void add(T entry) {
        named++;
        held.add(entry);
        while (held.size() > most && subset.level() < Subset.DEEPEST) {
            narrow(subset.narrower());
        }
        if (held.size() > most) { // so many of one hash: no list that anybody means
            held.remove(held.size() - 1);
        }
    }

    private void narrow(Subset to) {
        subset = to;
        held.removeIf(t -> !to.holds(hash.applyAsLong(t)));
    }

    /** The list is over; what is held of it. */
    public List<T> end() {
        if (subset.level() < before.level() && held.size() > most * (1 - ROOM)) {
            narrow(before);
        }
        return held;
    }

    /** The part that {@link #end()} gave. */
    public Subset subset() {
        return subset;
    }

    /** How many entries the list named. */
    public long named() {
        return named;
    }
}
