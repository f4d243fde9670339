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
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.settings.SettingsReader;
import loadbalancer.subset.Subset;

/**
 * Which upstreams there are for this balancer: what discovery has told, and over it what operators have taken
 * out. All that the module and the connections hear of the list comes from here.
 */
public final class Membership {
    private final Map<String, EndpointList.Target> told = new LinkedHashMap<>(); // as discovery lists them
    private final EndpointSubset holding;
    private final OperatorDrains takenOut;
    private final LongSupplier clock;
    private final BiConsumer<EndpointListKind, EndpointList> news;
    private long rev;
    private boolean held; // what is known is too old to go by
    private Runnable wanting = () -> {};

    /**
     * {@code news} gets each list and change as it holds here; null targets where discovery has failed.
     *
     * @param holding the bound of what is kept here, shared with what reads the lists
     */
    public Membership(
            EndpointSubset holding,
            OperatorDrains takenOut,
            LongSupplier clock,
            BiConsumer<EndpointListKind, EndpointList> news) {
        this.holding = holding;
        this.takenOut = takenOut;
        this.clock = clock;
        this.news = news;
    }

    /** What discovery tells; {@code all} is null where it has failed. */
    public void listed(EndpointListKind kind, EndpointList all) {
        if (all == null) {
            news.accept(kind, null);
            return;
        }
        EndpointList targets = holding.of(all);
        if (targets.all()) {
            told.clear();
        }
        rev = targets.rev();
        for (EndpointList.Target t : targets.list()) {
            if (t.server().state() == EndpointState.GONE) {
                told.remove(t.server().id());
            } else {
                told.put(t.server().id(), t);
            }
        }
        List<EndpointList.Target> passed = targets.list();
        Subset part = targets.part() == null ? holding.subset() : targets.part().subset();
        if (targets.all() && targets.part() != null) {
            holding.become(part, targets.part().named());
        } else if (!targets.all()) {
            passed = within(part.level() > holding.subset().level() ? part : holding.subset(), passed);
        }
        if (held) {
            release(targets.toldAt());
        } else {
            pass(kind, targets.all(), passed, targets.toldAt());
        }
        wanting.run();
    }

    // Changes may add up to more than may be held, though each of them is small. What is let go counts as gone here:
    // nothing is sent to it any more.
    private List<EndpointList.Target> within(Subset part, List<EndpointList.Target> changes) {
        if (part.equals(holding.subset()) && told.size() <= holding.most()) {
            return changes;
        }
        Map<String, EndpointList.Target> passed = new LinkedHashMap<>();
        changes.forEach(t -> passed.put(t.server().id(), t));
        holding.become(part, -1);
        letGo(passed);
        while (told.size() > holding.most() && holding.subset().level() < Subset.DEEPEST) {
            holding.become(holding.subset().narrower(), -1);
            letGo(passed);
        }
        return List.copyOf(passed.values());
    }

    private void letGo(Map<String, EndpointList.Target> passed) {
        for (Iterator<EndpointList.Target> all = told.values().iterator(); all.hasNext(); ) {
            EndpointList.Target t = all.next();
            if (!holding.holds(t.server().id())) {
                all.remove();
                passed.put(
                        t.server().id(),
                        new EndpointList.Target(t.server().withState(EndpointState.GONE), t.endpoint()));
            }
        }
    }

    /** Runs {@code then} after each list and change: see {@link #barren()}. */
    public void onNews(Runnable then) {
        wanting = then;
    }

    /** Whether any upstream may be sent to. */
    public boolean anyUp() {
        return told.values().stream().anyMatch(this::usable);
    }

    /** Whether only a part of the list is held, and nothing of it may be sent to. */
    public boolean barren() {
        return holding.subset().level() > 0 && !anyUp();
    }

    private boolean usable(EndpointList.Target t) {
        return t.server().state() == EndpointState.UP
                && !takenOut.holds(t.server().id());
    }

    /** What is held at most, and which part. */
    public EndpointSubset holding() {
        return holding;
    }

    private void pass(EndpointListKind kind, boolean all, Collection<EndpointList.Target> list, long toldAt) {
        news.accept(
                kind, new EndpointList(rev, all, list.stream().map(this::here).toList(), toldAt));
    }

    /**
     * Begins with a list that is too old to go by: it is passed on with what discovery has to say of it, as one, or by
     * {@link #release()}.
     */
    public void hold(EndpointList known) {
        EndpointList old = holding.of(known);
        rev = old.rev();
        old.list().forEach(t -> told.put(t.server().id(), t));
        if (old.part() != null) {
            holding.become(old.part().subset(), old.part().named());
        }
        held = true;
    }

    /** Goes by what is known, for want of anything newer. */
    public void release() {
        if (held) {
            release(Long.MAX_VALUE);
        }
    }

    private void release(long toldAt) {
        held = false;
        pass(EndpointListKind.SNAPSHOT, true, told.values(), toldAt);
    }

    /** How many upstreams may be sent to. */
    public int up() {
        int many = 0;
        for (EndpointList.Target t : told.values()) {
            many += usable(t) ? 1 : 0;
        }
        return many;
    }

    /** All that discovery has told, whatever operators have taken out. */
    public EndpointList told() {
        return new EndpointList(rev, true, List.copyOf(told.values()));
    }

    /**
     * Takes over what another process of this balancer knows: its taken-out set, and its list where that is
     * the newer one. Discovery has told it to the balancer, if not to this process.
     */
    public void inherit(Set<String> out, Map<String, Long> back, EndpointList theirs) {
        takenOut.become(out, back);
        List<EndpointList.Target> now = new ArrayList<>();
        if (theirs.rev() >= rev) {
            Set<String> listed =
                    theirs.list().stream().map(t -> t.server().id()).collect(Collectors.toSet());
            for (EndpointList.Target t : told.values()) {
                if (!listed.contains(t.server().id())) {
                    now.add(new EndpointList.Target(t.server().withState(EndpointState.GONE), t.endpoint()));
                }
            }
            told.clear();
            theirs.list().stream()
                    .filter(t -> holding.holds(t.server().id()))
                    .forEach(t -> told.put(t.server().id(), t));
            within(holding.subset(), List.of()); // the other may hold more: that process may have a larger heap
        }
        told.values().forEach(t -> now.add(here(t)));
        news.accept(EndpointListKind.LOCAL_OVERRIDE, new EndpointList(rev, false, now));
    }

    /** The numbers of zones and kinds change with the settings; their names don't. */
    public void renumber(SettingsReader.Boot before, SettingsReader.Boot next) {
        if (before.zones().equals(next.zones()) && before.kinds().equals(next.kinds())) {
            return;
        }
        EndpointList again = EndpointList.of(told().toJson(before), next);
        again.list().forEach(t -> told.put(t.server().id(), t));
        news.accept(
                EndpointListKind.LOCAL_OVERRIDE,
                new EndpointList(
                        rev, false, again.list().stream().map(this::here).toList()));
    }

    /** Takes an upstream out; false where nobody knows it. */
    public boolean setDown(String id) {
        if (!knows(id)) {
            return false;
        }
        if (takenOut.takeOut(id)) {
            changed(id);
        }
        return true;
    }

    /** Puts an upstream back; false where nobody knows it. */
    public boolean setUp(String id) {
        if (!knows(id)) {
            return false;
        }
        if (takenOut.putBack(id, clock.getAsLong())) {
            changed(id);
        }
        return true;
    }

    // One that is out stays known even while discovery lists it no more: it is being restarted. Of what belongs to
    // another part of the list nobody here can say that there is no such upstream, and it may come to be held.
    private boolean knows(String id) {
        return told.containsKey(id) || takenOut.holds(id) || !holding.holds(id);
    }

    /** What operators have taken out. */
    public OperatorDrains takenOut() {
        return takenOut;
    }

    private void changed(String id) {
        EndpointList.Target t = told.get(id);
        if (t != null) {
            news.accept(EndpointListKind.LOCAL_OVERRIDE, new EndpointList(rev, false, List.of(here(t))));
        }
    }

    private EndpointList.Target here(EndpointList.Target t) {
        return new EndpointList.Target(takenOut.apply(t.server()), t.endpoint());
    }
}
