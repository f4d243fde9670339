package loadbalancer.toml;

import java.util.List;

/** Thrown for an invalid file. Each fault has its own line in the message: {@code FILE:LINE: description}. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> lines;

    ConfigException(List<String> lines) {
        super(String.join(System.lineSeparator(), lines));
        this.lines = List.copyOf(lines);
    }

    /** Returns the faults, in the order of the file. */
    public List<String> lines() {
        return lines;
    }
}
