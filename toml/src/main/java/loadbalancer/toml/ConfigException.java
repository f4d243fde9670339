package loadbalancer.toml;

import java.util.List;

/** A file that can't be used: every fault in a line of its own, with file, line and what is wrong. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> lines;

    ConfigException(List<String> lines) {
        super(String.join(System.lineSeparator(), lines));
        this.lines = List.copyOf(lines);
    }

    /** The faults, in the order of the file. */
    public List<String> lines() {
        return lines;
    }
}
