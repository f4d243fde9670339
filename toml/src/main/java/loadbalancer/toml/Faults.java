package loadbalancer.toml;

import java.util.List;

/** An experiment that can't be used: every fault in a line of its own, with file, line and what is wrong. */
public final class Faults extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;
    private final transient List<String> lines;

    Faults(List<String> lines) {
        super(String.join(System.lineSeparator(), lines));
        this.lines = List.copyOf(lines);
    }

    /** The faults, in the order of the file. */
    public List<String> lines() {
        return lines;
    }
}
