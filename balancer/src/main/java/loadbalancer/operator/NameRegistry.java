package loadbalancer.operator;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import loadbalancer.toml.Section;
import loadbalancer.toml.Suggestion;

/** The names that a file gives to its pools or to its routes, and where it gives them. */
final class NameRegistry {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,63}");

    private final String kind;
    private final Map<String, String> locations = new LinkedHashMap<>();

    /** Creates an empty registry; {@code kind} is the word for what it names, for messages. */
    NameRegistry(String kind) {
        this.kind = kind;
    }

    /** Reads the {@code name} of a table and registers it; one that is malformed or taken is a fault. */
    String register(Section section) {
        String name = section.text("name", null);
        if (!name.isEmpty() && !NAME.matcher(name).matches()) {
            section.fault("name", "'" + name + "' is no name: letters, digits, '.', '_' and '-', 64 at most");
        } else if (locations.containsKey(name)) {
            section.fault("name", "two " + kind + "s are called '" + name + "', the other at " + locations.get(name));
        } else if (!name.isEmpty()) {
            locations.put(name, section.location("name"));
        }
        return name;
    }

    /** Registers a name that exists without the file. */
    void registerImplicit(String name) {
        locations.put(name, "");
    }

    boolean contains(String name) {
        return locations.containsKey(name);
    }

    /** Where the name stands: {@code FILE:LINE}. */
    String location(String name) {
        return locations.get(name);
    }

    Set<String> names() {
        return locations.keySet();
    }

    /** Notes a fault where the name is not registered. */
    void require(Section section, String key, String name) {
        require(section, key, kind, name, names());
    }

    /** Notes a fault where a name that isn't empty is none of the existing ones. */
    static void require(Section section, String key, String kind, String name, Collection<String> existing) {
        if (!name.isEmpty() && !existing.contains(name)) {
            section.fault(key, "no " + kind + " '" + name + "'" + Suggestion.didYouMean(name, existing));
        }
    }
}
