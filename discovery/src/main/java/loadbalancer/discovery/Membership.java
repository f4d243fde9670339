package loadbalancer.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.settings.BootSettings;
import loadbalancer.subset.Subset;

/**
 * Holds the endpoints of this balancer: those that discovery lists, with the operators' drains applied. All that the
 * policy and the connections receive of the endpoint list comes from here. Confined to the event loop's thread.
 */
public final class Membership {
    private final Map<String, EndpointList.Entry> listed = new LinkedHashMap<>(); // by id, without drains
    private final EndpointSubset subset;
    private final OperatorDrains drains;
    private final LongSupplier clockMicros;
    private final BiConsumer<EndpointListKind, EndpointList> listener;
    private long version;
    private boolean heldBack; // the list is too old to be published
    private Runnable onUpdate = () -> {};

    /**
     * Starts without a list.
     *
     * @param subset the part of a longer list that is kept, shared with {@link ListReader}
     * @param clockMicros the clock that gives the start time of restored endpoints
     * @param listener receives each list and delta with drains applied; null as the list if discovery is unavailable
     */
    public Membership(
            EndpointSubset subset,
            OperatorDrains drains,
            LongSupplier clockMicros,
            BiConsumer<EndpointListKind, EndpointList> listener) {
        this.subset = subset;
        this.drains = drains;
        this.clockMicros = clockMicros;
        this.listener = listener;
    }

    /** Applies a list or delta from discovery; {@code received} is null if discovery is unavailable. */
    public void update(EndpointListKind kind, EndpointList received) {
        if (received == null) {
            listener.accept(kind, null);
            return;
        }
        EndpointList list = subset.restrict(received);
        store(list);
        List<EndpointList.Entry> changes = keepWithinBound(list);
        if (heldBack) {
            release(list.notifiedAtMicros());
        } else {
            publish(kind, list.complete(), changes, list.notifiedAtMicros());
        }
        onUpdate.run();
    }

    private void store(EndpointList list) {
        if (list.complete()) {
            listed.clear();
        }
        version = list.version();
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().state() == EndpointState.GONE) {
                listed.remove(entry.endpoint().id());
            } else {
                listed.put(entry.endpoint().id(), entry);
            }
        }
    }

    private List<EndpointList.Entry> keepWithinBound(EndpointList list) {
        EndpointList.Sample sample = list.sample();
        if (list.complete()) {
            if (sample != null) {
                subset.keep(sample.subset(), sample.listedCount());
            }
            return list.entries();
        }
        boolean narrower =
                sample != null && sample.subset().level() > subset.subset().level();
        return narrowToBound(narrower ? sample.subset() : subset.subset(), list.entries());
    }

    // Deltas may add up to more endpoints than may be kept, though each of them is small. Endpoints that are no longer
    // kept are published as gone: no more requests are sent to them.
    private List<EndpointList.Entry> narrowToBound(Subset next, List<EndpointList.Entry> changes) {
        if (next.equals(subset.subset()) && listed.size() <= subset.maxEndpoints()) {
            return changes;
        }
        Map<String, EndpointList.Entry> published = new LinkedHashMap<>();
        changes.forEach(entry -> published.put(entry.endpoint().id(), entry));
        subset.keep(next);
        removeOthers(published);
        while (listed.size() > subset.maxEndpoints() && subset.subset().level() < Subset.MAX_LEVEL) {
            subset.keep(subset.subset().narrower());
            removeOthers(published);
        }
        return List.copyOf(published.values());
    }

    private void removeOthers(Map<String, EndpointList.Entry> published) {
        for (Iterator<EndpointList.Entry> entries = listed.values().iterator(); entries.hasNext(); ) {
            EndpointList.Entry entry = entries.next();
            if (!subset.contains(entry.endpoint().id())) {
                entries.remove();
                published.put(entry.endpoint().id(), gone(entry));
            }
        }
    }

    private static EndpointList.Entry gone(EndpointList.Entry entry) {
        return new EndpointList.Entry(entry.endpoint().withState(EndpointState.GONE), entry.address());
    }

    /** Sets the action that runs after each list and delta, as {@link #needsOtherSubset()} may have changed. */
    public void onUpdate(Runnable action) {
        onUpdate = action;
    }

    /** Whether any endpoint is usable: it is up, and operators have not drained it. */
    public boolean hasUsableEndpoint() {
        return listed.values().stream().anyMatch(this::isUsable);
    }

    /** Whether only a subset of the list is kept, and no endpoint of the subset is usable. */
    public boolean needsOtherSubset() {
        return subset.subset().level() > 0 && !hasUsableEndpoint();
    }

    /** Returns how many endpoints are usable. */
    public int usableCount() {
        int count = 0;
        for (EndpointList.Entry entry : listed.values()) {
            count += isUsable(entry) ? 1 : 0;
        }
        return count;
    }

    private boolean isUsable(EndpointList.Entry entry) {
        return entry.endpoint().state() == EndpointState.UP
                && !drains.isDrained(entry.endpoint().id());
    }

    /** Returns the bound on the number of endpoints, and the subset of a longer list that is kept. */
    public EndpointSubset subset() {
        return subset;
    }

    /**
     * Starts with a cached list that is too old to be used. It is published as one list with the next update from
     * discovery, or by {@link #release()}.
     */
    public void holdBack(EndpointList cached) {
        EndpointList list = subset.restrict(cached);
        version = list.version();
        list.entries().forEach(entry -> listed.put(entry.endpoint().id(), entry));
        if (list.sample() != null) {
            subset.keep(list.sample().subset(), list.sample().listedCount());
        }
        heldBack = true;
    }

    /** Publishes the list that is held back, as no newer one has arrived. */
    public void release() {
        if (heldBack) {
            release(Long.MAX_VALUE);
        }
    }

    private void release(long notifiedAtMicros) {
        heldBack = false;
        publish(EndpointListKind.SNAPSHOT, true, listed.values(), notifiedAtMicros);
    }

    private void publish(
            EndpointListKind kind, boolean complete, Collection<EndpointList.Entry> entries, long notifiedAtMicros) {
        List<EndpointList.Entry> applied =
                entries.stream().map(this::withDrains).toList();
        listener.accept(kind, new EndpointList(version, complete, applied, notifiedAtMicros));
    }

    private void publishOverride(List<EndpointList.Entry> entries) {
        listener.accept(EndpointListKind.LOCAL_OVERRIDE, new EndpointList(version, false, entries));
    }

    private EndpointList.Entry withDrains(EndpointList.Entry entry) {
        return new EndpointList.Entry(drains.apply(entry.endpoint()), entry.address());
    }

    /** Returns the kept endpoints as discovery lists them, without drains. */
    public EndpointList listed() {
        return new EndpointList(version, true, List.copyOf(listed.values()));
    }

    /**
     * Takes over the state of another process of this balancer: its drains, and its list if that is not older than
     * this one. The other process got it from discovery, so this one may use it.
     */
    public void restoreState(Set<String> drained, Map<String, Long> restoredAtMicros, EndpointList otherList) {
        drains.replaceWith(drained, restoredAtMicros);
        List<EndpointList.Entry> changes = new ArrayList<>();
        if (otherList.version() >= version) {
            changes.addAll(replaceListed(otherList));
        }
        listed.values().forEach(entry -> changes.add(withDrains(entry)));
        publishOverride(changes);
    }

    private List<EndpointList.Entry> replaceListed(EndpointList otherList) {
        Set<String> otherIds =
                otherList.entries().stream().map(entry -> entry.endpoint().id()).collect(Collectors.toSet());
        List<EndpointList.Entry> removed = listed.values().stream()
                .filter(entry -> !otherIds.contains(entry.endpoint().id()))
                .map(Membership::gone)
                .toList();
        listed.clear();
        otherList.entries().stream()
                .filter(entry -> subset.contains(entry.endpoint().id()))
                .forEach(entry -> listed.put(entry.endpoint().id(), entry));
        narrowToBound(subset.subset(), List.of()); // the other process may have a larger heap, and keep more endpoints
        return removed;
    }

    /** Maps zones and kinds to the numbers that they have in new settings, by their names. */
    public void renumber(BootSettings before, BootSettings next) {
        if (before.zones().equals(next.zones()) && before.kinds().equals(next.kinds())) {
            return;
        }
        listed.replaceAll(
                (id, entry) -> new EndpointList.Entry(renumbered(entry.endpoint(), before, next), entry.address()));
        publishOverride(listed.values().stream().map(this::withDrains).toList());
    }

    private static Endpoint renumbered(Endpoint endpoint, BootSettings before, BootSettings next) {
        return new Endpoint(
                endpoint.id(),
                endpoint.state(),
                endpoint.startedAt(),
                endpoint.weight(),
                endpoint.cell(),
                renumbered(endpoint.machineKind(), before.kinds(), next.kinds()),
                renumbered(endpoint.zone(), before.zones(), next.zones()));
    }

    private static int renumbered(int number, List<String> before, List<String> next) {
        return number < 0 ? number : next.indexOf(before.get(number));
    }

    /** Drains an endpoint administratively; returns false if the endpoint is unknown. */
    public boolean drain(String endpointId) {
        if (!isKnown(endpointId)) {
            return false;
        }
        if (drains.drain(endpointId)) {
            publishChange(endpointId);
        }
        return true;
    }

    /** Restores a drained endpoint; returns false if the endpoint is unknown. */
    public boolean restore(String endpointId) {
        if (!isKnown(endpointId)) {
            return false;
        }
        if (drains.restore(endpointId, clockMicros.getAsLong())) {
            publishChange(endpointId);
        }
        return true;
    }

    // A drained endpoint stays known while discovery does not list it, as it may be restarting. An id outside of the
    // subset counts as known too: this process can't tell whether it exists, and may keep it later.
    private boolean isKnown(String endpointId) {
        return listed.containsKey(endpointId) || drains.isDrained(endpointId) || !subset.contains(endpointId);
    }

    private void publishChange(String endpointId) {
        EndpointList.Entry entry = listed.get(endpointId);
        if (entry != null) {
            publishOverride(List.of(withDrains(entry)));
        }
    }

    /** Returns the operators' drains. */
    public OperatorDrains drains() {
        return drains;
    }
}
