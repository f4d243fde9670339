package loadbalancer.policy;

/** Checks of what a record is made with. */
final class Requirements {
    private Requirements() {}

    /**
     * Passes where the condition holds.
     *
     * @throws IllegalArgumentException that names the figure and its value
     */
    static void require(boolean holds, String name, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("impossible " + name + ": " + value);
        }
    }
}
