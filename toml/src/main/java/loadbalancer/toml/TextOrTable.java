package loadbalancer.toml;

/**
 * A value that is written in short form as a string, or in full as a table. Exactly one of the two is not null.
 *
 * @param text null for a table
 * @param table null for a string
 */
public record TextOrTable(String text, Section table) {
    /** Whether the value is a table. */
    public boolean isTable() {
        return table != null;
    }
}
