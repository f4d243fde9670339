package loadbalancer.discovery;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.subset.AdaptiveSample;
import loadbalancer.subset.Subset;

/**
 * How many upstreams of one list a process holds at most, and which part of a longer list it holds now. Shared by what
 * reads lists and what keeps them; not thread-safe, all of it runs on one event loop.
 */
public final class EndpointSubset {
    /** Bytes of heap for an upstream that is held: its entry, the module's books and its points on the ring. */
    private static final int EACH = 1_280;
    /** Of the heap, for what is held: reading a list, requests and answers need the rest. */
    private static final int SHARE = 4;

    private final int most;
    private Subset subset;
    private Subset sought; // instead, of the next whole list; null: the same
    private long named;
    private Consumer<EndpointSubset> changed = h -> {};

    /**
     * For the balancer of that rank.
     *
     * @param most upstreams that may be held
     */
    public EndpointSubset(int most, int rank) {
        this.most = most;
        subset = Subset.whole(rank);
    }

    /** How many upstreams a process may hold with a heap of that many bytes. */
    public static int most(long heap) {
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, heap / SHARE / EACH));
    }

    /** Whom to tell when it holds another part than before, or the first part of a list of another length. */
    public void onChange(Consumer<EndpointSubset> then) {
        changed = then;
    }

    /** Upstreams that may be held. */
    public int most() {
        return most;
    }

    /** The part that is held. */
    public Subset subset() {
        return subset;
    }

    /** How many upstreams the last whole list named. */
    public long named() {
        return named;
    }

    /** Whether an upstream of that id is held, if there is one. */
    public boolean holds(String id) {
        return subset.holds(Subset.hash(id));
    }

    /** Begins to gather a list; {@code whole} where it says that it names all there are. */
    AdaptiveSample<EndpointList.Target> gather(boolean whole) {
        return new AdaptiveSample<>(
                whole && sought != null ? sought : subset,
                whole,
                most,
                t -> Subset.hash(t.server().id()));
    }

    /** Seeks the next part in the next whole list, for nothing in this one is of use. Until then this one is held. */
    void seekNext() {
        sought = (sought == null ? subset : sought).next();
    }

    /** The same list, or what is held of it where it names more than that and nobody has looked yet. */
    EndpointList of(EndpointList list) {
        if (list.part() != null || list.list().size() <= most) {
            return list;
        }
        AdaptiveSample<EndpointList.Target> gathering = gather(list.all());
        for (EndpointList.Target t : list.list()) {
            if (gathering.wants(Subset.hash(t.server().id()))) {
                gathering.add(t);
            } else {
                gathering.pass();
            }
        }
        List<EndpointList.Target> held = List.copyOf(gathering.end());
        return new EndpointList(
                list.rev(),
                list.all(),
                held,
                list.toldAt(),
                new EndpointList.Part(gathering.subset(), gathering.named()));
    }

    /** Holds that part from here on, of a list that names so many; -1 where it isn't whole. */
    void become(Subset next, long of) {
        boolean other = !next.equals(subset);
        subset = next;
        sought = of < 0 ? sought : null;
        named = of < 0 ? named : of;
        if (other) {
            changed.accept(this);
        }
    }

    /** What operators are told, where not all is held; null else. */
    public String summary() {
        return subset.level() == 0
                ? null
                : "holds one part in " + subset.parts() + " of a list of " + named + " upstreams, " + most + " at most";
    }
}
