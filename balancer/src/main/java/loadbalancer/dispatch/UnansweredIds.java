package loadbalancer.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.subset.Subset;

/**
 * The ids of requests that may have run and must not run again, and that have no answer: they are open, or their
 * clients have left. If such an id comes again, running it could run the request twice. One object serves all pools of
 * a process, and learns from the other process of a handover what that one has sent. Holds the most recent {@link
 * #MAX_IDS}, as hashes. Used on the event loop's thread only.
 */
public final class UnansweredIds {
    /** Some 300 kB of heap. */
    static final int MAX_IDS = 4_096;

    /** Is notified of the ids of this process, for the other process of a handover. */
    public interface Listener {
        /** An attempt of a request is about to be sent. */
        void sent(long idHash);

        /** A request has been answered, or has certainly not run. */
        void settled(long idHash);
    }

    private static final Listener NO_LISTENER = new Listener() {
        @Override
        public void sent(long idHash) {}

        @Override
        public void settled(long idHash) {}
    };

    private final Set<Long> hashes = new LinkedHashSet<>(); // the oldest one is first
    private Listener listener = NO_LISTENER;

    /** Sets the listener, which replaces an earlier one. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /** Returns whether a request with this id may have run and has no answer, here or in the other process. */
    boolean contains(String id) {
        return hashes.contains(Subset.hash(id));
    }

    /** Called before an attempt is sent. */
    void sent(String id) {
        long hash = Subset.hash(id);
        sentElsewhere(hash);
        listener.sent(hash);
    }

    /** Called when a request has been answered, or when all its attempts have certainly not run. */
    void settled(String id) {
        long hash = Subset.hash(id);
        if (hashes.remove(hash)) {
            listener.settled(hash);
        }
    }

    /** Called when the other process has sent an attempt. */
    public void sentElsewhere(long idHash) {
        hashes.remove(idHash);
        hashes.add(idHash);
        if (hashes.size() > MAX_IDS) {
            hashes.remove(hashes.iterator().next());
        }
    }

    /** Called when the other process has answered a request, or it has certainly not run there. */
    public void settledElsewhere(long idHash) {
        hashes.remove(idHash);
    }

    /** Returns the hashes of all ids, the oldest first. */
    public List<Long> all() {
        return List.copyOf(hashes);
    }
}
