package loadbalancer.discovery;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.subset.AdaptiveSample;
import loadbalancer.subset.Subset;

/**
 * How many endpoints of one list a process keeps at most, and which part of a longer list it keeps now. Shared by what
 * reads the lists and what keeps them; not thread-safe, all of it belongs to one event loop.
 */
public final class EndpointSubset {
    /** Heap for an endpoint that is kept: its entry, the policy's state and its points on the hash ring. */
    private static final int BYTES_PER_ENDPOINT = 1_280;
    /** One part in so many of the heap is for endpoints: reading a list, requests and responses need the rest. */
    private static final int HEAP_DIVISOR = 4;

    private final int maxEndpoints;
    private Subset subset;
    private Subset nextSubset; // to change to with the next complete list; null: the same
    private long listedCount;
    private Consumer<EndpointSubset> onChange = changed -> {};

    /**
     * Begins with the complete list.
     *
     * @param maxEndpoints endpoints that may be kept
     * @param rank of the balancer among all, which gives its part of a longer list
     */
    public EndpointSubset(int maxEndpoints, int rank) {
        this.maxEndpoints = maxEndpoints;
        subset = Subset.whole(rank);
    }

    /** Returns how many endpoints a process may keep with a heap of that many bytes. */
    public static int maxEndpointsForHeap(long heapBytes) {
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, heapBytes / HEAP_DIVISOR / BYTES_PER_ENDPOINT));
    }

    /** Sets what runs when another part of the list than before is kept. */
    public void onChange(Consumer<EndpointSubset> then) {
        onChange = then;
    }

    /** Returns how many endpoints may be kept. */
    public int maxEndpoints() {
        return maxEndpoints;
    }

    /** Returns the part that is kept. */
    public Subset subset() {
        return subset;
    }

    /** Returns how many endpoints the last complete list named. */
    public long listedCount() {
        return listedCount;
    }

    /** Whether an endpoint of that id is kept, if there is one. */
    public boolean contains(String endpointId) {
        return subset.contains(Subset.hash(endpointId));
    }

    /**
     * Begins to sample a list.
     *
     * @param complete whether the list says that it names all endpoints there are
     */
    AdaptiveSample<EndpointList.Entry> beginSample(boolean complete) {
        return new AdaptiveSample<>(
                complete && nextSubset != null ? nextSubset : subset,
                complete,
                maxEndpoints,
                entry -> Subset.hash(entry.endpoint().id()));
    }

    /** Changes to another part with the next complete list, as nothing in this one can be used. */
    void changeToNextSubset() {
        nextSubset = (nextSubset == null ? subset : nextSubset).next();
    }

    /** Returns the list, or what is kept of it where it names more than that and has not been sampled yet. */
    EndpointList restrict(EndpointList list) {
        if (list.sample() != null || list.entries().size() <= maxEndpoints) {
            return list;
        }
        AdaptiveSample<EndpointList.Entry> sampling = beginSample(list.complete());
        for (EndpointList.Entry entry : list.entries()) {
            if (sampling.accepts(Subset.hash(entry.endpoint().id()))) {
                sampling.add(entry);
            } else {
                sampling.skip();
            }
        }
        List<EndpointList.Entry> kept = List.copyOf(sampling.finish());
        return new EndpointList(
                list.version(),
                list.complete(),
                kept,
                list.notifiedAtMicros(),
                new EndpointList.Sample(sampling.subset(), sampling.listedCount()));
    }

    /** Keeps that part from here on, of a complete list of {@code newListedCount} endpoints. */
    void keep(Subset next, long newListedCount) {
        boolean changed = !next.equals(subset);
        subset = next;
        nextSubset = null;
        listedCount = newListedCount;
        if (changed) {
            onChange.accept(this);
        }
    }

    /** Keeps that part from here on, of the list that was last complete and its changes since. */
    void keep(Subset next) {
        boolean changed = !next.equals(subset);
        subset = next;
        if (changed) {
            onChange.accept(this);
        }
    }

    /** Returns a line for operators where only a part is kept; null where all of the list is. */
    public String summary() {
        return subset.level() == 0
                ? null
                : "holds one part in " + subset.partCount() + " of a list of " + listedCount + " upstreams, "
                        + maxEndpoints + " at most";
    }
}
