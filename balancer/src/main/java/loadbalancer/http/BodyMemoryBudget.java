package loadbalancer.http;

/**
 * The memory that clients' bodies may take together, while they come in and until they are answered. Guards
 * against a heap that many connections fill at once: each of them keeps to its own limit.
 */
public final class BodyMemoryBudget {
    private final long most;
    private long held;

    public BodyMemoryBudget(long most) {
        this.most = most;
    }

    /** False where there is no room: nothing is taken then. */
    public boolean take(int bytes) {
        if (held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    /** The same for what could also wait where it is: half of the room stays for what can't. */
    public boolean spare(int bytes) {
        return held + bytes <= most / 2 && take(bytes);
    }

    public void give(int bytes) {
        held -= bytes;
    }
}
