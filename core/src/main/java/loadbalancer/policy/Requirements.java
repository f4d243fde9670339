package loadbalancer.policy;

/** Checks of the components of a record. Names in messages are those of the settings file. */
final class Requirements {
    private Requirements() {}

    /**
     * Returns where the condition holds.
     *
     * @throws IllegalArgumentException naming the figure and its value, where it doesn't
     */
    static void require(boolean condition, String name, Object value) {
        if (!condition) {
            throw new IllegalArgumentException("impossible " + name + ": " + value);
        }
    }
}
