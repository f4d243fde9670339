package loadbalancer.policy;

/** Checks the components of records. Messages use the field names of the settings. */
final class Requirements {
    private Requirements() {}

    /**
     * Throws if the condition doesn't hold.
     *
     * @throws IllegalArgumentException naming the field and its value
     */
    static void require(boolean condition, String name, Object value) {
        if (!condition) {
            throw new IllegalArgumentException("impossible " + name + ": " + value);
        }
    }
}
