package loadbalancer.operator;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import loadbalancer.toml.Section;
import loadbalancer.toml.Suggestion;

/** The names of a file's pools or routes, and the locations of their definitions. */
final class NameRegistry {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,63}");

    private final String kind;
    private final Map<String, String> locations = new LinkedHashMap<>(); // FILE:LINE by name

    /** Creates an empty registry; {@code kind} is the word for a named object in messages. */
    NameRegistry(String kind) {
        this.kind = kind;
    }

    /** Reads the {@code name} of a table and registers it; a malformed or duplicate name is a fault. */
    String register(Section section) {
        String name = section.text("name", null);
        if (!name.isEmpty() && !NAME.matcher(name).matches()) {
            section.fault(
                    "name",
                    "'name' is \"" + name + "\": expected a letter or digit, then letters, digits, '.', '_' and '-',"
                            + " 64 characters at most");
        } else if (locations.containsKey(name)) {
            section.fault(
                    "name", "two " + kind + "s have the name '" + name + "', the other at " + locations.get(name));
        } else if (!name.isEmpty()) {
            locations.put(name, section.location("name"));
        }
        return name;
    }

    /** Registers a name that exists without being defined in the file. */
    void registerImplicit(String name) {
        locations.put(name, "");
    }

    boolean contains(String name) {
        return locations.containsKey(name);
    }

    /** Returns the location of a name's definition: {@code FILE:LINE}. */
    String location(String name) {
        return locations.get(name);
    }

    Set<String> names() {
        return locations.keySet();
    }

    /** Adds a fault if the name is not registered. */
    void require(Section section, String key, String name) {
        require(section, key, kind, name, names());
    }

    /** Adds a fault if a name that isn't empty is not among the existing ones. */
    static void require(Section section, String key, String kind, String name, Collection<String> existing) {
        if (!name.isEmpty() && !existing.contains(name)) {
            section.fault(key, "no " + kind + " '" + name + "'" + Suggestion.didYouMean(name, existing));
        }
    }
}
