package loadbalancer.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.policy.Endpoint;
import loadbalancer.subset.Subset;

/**
 * A list of endpoints: all of them, or those that have changed. Immutable.
 *
 * @param version discovery's number of the list, rising with each change
 * @param complete whether the list names all endpoints there are; else it names those that have changed
 * @param notifiedAtMicros when the list's changes count as notified at the latest, in µs on the balancer's clock; a
 *     time that has not come yet says that they count from their arrival on
 * @param sample which part of the list that discovery sent this is; null where it is all of it
 */
public record EndpointList(long version, boolean complete, List<Entry> entries, long notifiedAtMicros, Sample sample) {
    /** An endpoint as the policy knows it, and the address at which this balancer reaches it. */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * The part of a longer list that is kept.
     *
     * @param subset the part
     * @param listedCount how many endpoints the longer list named
     */
    public record Sample(Subset subset, long listedCount) {}

    /** Creates a list in full whose changes count as notified from their arrival on. */
    public EndpointList(long version, boolean complete, List<Entry> entries) {
        this(version, complete, entries, Long.MAX_VALUE);
    }

    /** Creates a list in full. */
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
