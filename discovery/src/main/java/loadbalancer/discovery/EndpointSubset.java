package loadbalancer.discovery;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.subset.AdaptiveSample;
import loadbalancer.subset.Subset;

/**
 * Bounds how many endpoints of one list a process keeps, and holds which subset of a longer list it keeps now. Shared
 * by {@link ListReader} and {@link Membership}. Not thread-safe: confined to one event loop.
 */
public final class EndpointSubset {
    /** Heap that a kept endpoint takes: its entry, the policy's state and its points on the hash ring. */
    private static final int BYTES_PER_ENDPOINT = 1_280;
    /** The heap is divided by this for endpoints: reading a list, requests and responses need the rest. */
    private static final int HEAP_DIVISOR = 4;

    private final int maxEndpoints;
    private Subset subset;
    private Subset nextSubset; // takes the place of subset with the next complete list; null: no change
    private long listedCount;
    private Consumer<EndpointSubset> onChange = changed -> {};

    /**
     * Starts with the subset that contains all endpoints.
     *
     * @param maxEndpoints how many endpoints may be kept
     * @param rank the balancer's rank among all balancers, which determines its subset of a longer list
     */
    public EndpointSubset(int maxEndpoints, int rank) {
        this.maxEndpoints = maxEndpoints;
        subset = Subset.whole(rank);
    }

    /** Returns how many endpoints a process may keep with a heap of {@code heapBytes}. */
    public static int maxEndpointsForHeap(long heapBytes) {
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, heapBytes / HEAP_DIVISOR / BYTES_PER_ENDPOINT));
    }

    /** Sets the listener that runs when the subset changes. */
    public void onChange(Consumer<EndpointSubset> listener) {
        onChange = listener;
    }

    /** Returns how many endpoints may be kept. */
    public int maxEndpoints() {
        return maxEndpoints;
    }

    /** Returns the subset that is kept. */
    public Subset subset() {
        return subset;
    }

    /** Returns how many endpoints the last complete list contained. */
    public long listedCount() {
        return listedCount;
    }

    /** Whether the subset contains this id; the endpoint need not exist. */
    public boolean contains(String endpointId) {
        return subset.contains(Subset.hash(endpointId));
    }

    /**
     * Begins to sample a list.
     *
     * @param complete whether the list is marked as complete
     */
    AdaptiveSample<EndpointList.Entry> beginSample(boolean complete) {
        return new AdaptiveSample<>(
                complete && nextSubset != null ? nextSubset : subset,
                complete,
                maxEndpoints,
                entry -> Subset.hash(entry.endpoint().id()));
    }

    /** Changes to another subset with the next complete list, as no endpoint of this one is usable. */
    void changeToNextSubset() {
        nextSubset = (nextSubset == null ? subset : nextSubset).next();
    }

    /** Returns the list, or a sample of it if it exceeds the bound and has not been sampled yet. */
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

    /** Sets the subset to keep of a new complete list, which contains {@code newListedCount} endpoints. */
    void keep(Subset next, long newListedCount) {
        boolean changed = !next.equals(subset);
        subset = next;
        nextSubset = null;
        listedCount = newListedCount;
        if (changed) {
            onChange.accept(this);
        }
    }

    /** Sets the subset to keep of the last complete list and the deltas since. */
    void keep(Subset next) {
        boolean changed = !next.equals(subset);
        subset = next;
        if (changed) {
            onChange.accept(this);
        }
    }

    /** Returns a line for operators if only a part of the list is kept; null if all of it is. */
    public String summary() {
        return subset.level() == 0
                ? null
                : "holds one part in " + subset.partCount() + " of a list of " + listedCount + " upstreams, "
                        + maxEndpoints + " at most";
    }
}
