package loadbalancer.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.policy.Endpoint;
import loadbalancer.subset.Subset;

/**
 * A list of endpoints: all of them (a snapshot), or those that have changed (a delta). Immutable.
 *
 * @param version discovery's version of the list, which rises with each change
 * @param complete whether the list names all endpoints, not only those that have changed
 * @param notifiedAtMicros the latest time from which the balancer counts as notified of the changes, in µs on its
 *     clock; a time in the future means their arrival
 * @param sample the part of discovery's list that this list holds; null if it holds all of it
 */
public record EndpointList(long version, boolean complete, List<Entry> entries, long notifiedAtMicros, Sample sample) {
    /** An endpoint as the policy knows it, and the address at which this balancer reaches it. */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * The part that was kept of a longer list.
     *
     * @param subset the part
     * @param listedCount the number of endpoints in the longer list
     */
    public record Sample(Subset subset, long listedCount) {}

    /** Creates a list without a sample, of whose changes the balancer is notified by their arrival. */
    public EndpointList(long version, boolean complete, List<Entry> entries) {
        this(version, complete, entries, Long.MAX_VALUE);
    }

    /** Creates a list without a sample. */
    public EndpointList(long version, boolean complete, List<Entry> entries, long notifiedAtMicros) {
        this(version, complete, entries, notifiedAtMicros, null);
    }

    /** Returns the same list with another time of notification, in µs. */
    public EndpointList withNotifiedAt(long micros) {
        return new EndpointList(version, complete, entries, micros, sample);
    }

    /** Returns the endpoints of the entries, in their order. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
