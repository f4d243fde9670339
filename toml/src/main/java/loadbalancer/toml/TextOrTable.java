package loadbalancer.toml;

/**
 * A value that may be written short, as a text, or in full, as a table. Exactly one of the two is not null.
 *
 * @param text null for a table
 * @param table null for a text
 */
public record TextOrTable(String text, Section table) {
    /** Whether it is written in full. */
    public boolean isTable() {
        return table != null;
    }
}
