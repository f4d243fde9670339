package loadbalancer.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * One table of a file. Its accessors read keys strictly: if a value is missing, of the wrong type or out of range, they
 * record a fault in the {@link Source} and return a placeholder, so that all faults are found in one pass.
 */
public final class Section {
    private final Source source;
    private final ObjectNode node;
    private final String path;
    private final boolean silent; // a placeholder for an invalid table: records no further faults
    private final Set<String> readKeys = new HashSet<>();
    private final Set<String> knownKeys = new HashSet<>(); // keys asked for, whether present or not

    /** Creates a section for the table {@code node}, which is at {@code path} in the file. */
    public Section(Source source, ObjectNode node, String path) {
        this(source, node, path, false);
    }

    private Section(Source source, ObjectNode node, String path, boolean silent) {
        this.source = source;
        this.node = node;
        this.path = path;
        this.silent = silent;
    }

    private String pathOf(String key) {
        if (key.isEmpty()) {
            return path;
        }
        return path.isEmpty() ? key : path + "." + key;
    }

    private JsonNode read(String key) {
        readKeys.add(key);
        knownKeys.add(key);
        return node.get(key);
    }

    /** Records a fault at one of its keys, or at the table itself if the key is empty. */
    public void fault(String key, String what) {
        if (!silent) {
            source.fault(pathOf(key), what);
        }
    }

    private void invalidValue(String key, JsonNode value, String expected) {
        fault(key, "'" + key + "' is " + value + ": expected " + expected);
    }

    private void missing(String key, String expected) {
        fault(key, "'" + key + "' is missing in [" + path + "]: expected " + expected);
    }

    /** Whether the key is present. */
    public boolean has(String key) {
        knownKeys.add(key);
        return node.has(key);
    }

    /** Returns the first and the last number of a range; a single number stands for both. A missing key is a fault. */
    public double[] range(String key, Measure measure) {
        JsonNode value = read(key);
        if (value == null) {
            missing(key, measure.description() + " or a pair of them");
        } else if (!value.isArray()) {
            double number = parseNumber(key, value, measure);
            return new double[] {number, number};
        } else if (value.size() == 2) {
            return new double[] {parseNumber(key, value.get(0), measure), parseNumber(key, value.get(1), measure)};
        } else {
            fault(key, "'" + key + "' has " + value.size() + " values: expected one, or two for a range");
        }
        return new double[] {measure.placeholder(), measure.placeholder()};
    }

    /** Returns a number; a missing key is a fault. */
    public double number(String key, Measure measure) {
        JsonNode value = read(key);
        if (value == null) {
            missing(key, measure.description());
            return measure.placeholder();
        }
        return parseNumber(key, value, measure);
    }

    /** Returns a number, or {@code fallback} if the key is missing. */
    public double number(String key, Measure measure, double fallback) {
        return has(key) ? number(key, measure) : fallback;
    }

    private double parseNumber(String key, JsonNode value, Measure measure) {
        Double number = measure == Measure.TIME ? time(value) : number(value);
        if (number == null || !measure.allows(number)) {
            invalidValue(key, value, measure.description());
            return measure.placeholder();
        }
        return number;
    }

    private static Double time(JsonNode value) {
        return Units.TIME.parse(value.isTextual() ? value.asText() : "");
    }

    private static Double number(JsonNode value) {
        return value.isNumber() ? value.asDouble() : null;
    }

    /** Returns a time in microseconds; a missing key is a fault. */
    public long time(String key) {
        return Math.round(number(key, Measure.TIME));
    }

    /** Returns a time in microseconds, or {@code fallbackMicros} if the key is missing. */
    public long time(String key, long fallbackMicros) {
        return has(key) ? time(key) : fallbackMicros;
    }

    /** Returns a boolean, or {@code fallback} if the key is missing. */
    public boolean flag(String key, boolean fallback) {
        JsonNode value = read(key);
        if (value == null) {
            return fallback;
        }
        if (!value.isBoolean()) {
            invalidValue(key, value, "true or false");
        }
        return value.asBoolean();
    }

    /**
     * Returns a string, or {@code fallback} if the key is missing. If {@code fallback} is null, a missing key is a
     * fault and an empty string is returned.
     */
    public String text(String key, String fallback) {
        JsonNode value = read(key);
        if (value == null) {
            if (fallback == null) {
                missing(key, "a string");
                return "";
            }
            return fallback;
        }
        if (!value.isTextual()) {
            invalidValue(key, value, "a string in quotes");
        }
        return value.asText();
    }

    /** Returns the enum constant whose name in lower case is given; the key is required if {@code fallback} is null. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E fallback) {
        Map<String, E> choices = new LinkedHashMap<>();
        for (E constant : type.getEnumConstants()) {
            choices.put(constant.name().toLowerCase(Locale.ROOT), constant);
        }
        return choice(key, choices, fallback);
    }

    /**
     * Returns the value for one of the given lower-case names; the key is required if {@code fallback} is null.
     */
    public <E> E choice(String key, Map<String, E> choices, E fallback) {
        String fallbackName = choices.keySet().stream()
                .filter(name -> choices.get(name) == fallback)
                .findFirst()
                .orElse(null);
        String text = text(key, fallbackName);
        E found = choices.get(text.toLowerCase(Locale.ROOT));
        if (found != null) {
            return found;
        }
        List<String> names = List.copyOf(choices.keySet());
        fault(
                key,
                "'" + key + "' is \"" + text + "\": expected one of " + String.join(", ", names)
                        + Suggestion.didYouMean(text, names));
        return fallback == null ? choices.values().iterator().next() : fallback;
    }

    /** Returns a list of strings, or {@code fallback} if the key is missing. */
    public List<String> texts(String key, List<String> fallback) {
        JsonNode value = read(key);
        if (value == null) {
            return fallback;
        }
        if (!value.isArray()) {
            invalidValue(key, value, "a list of strings");
        }
        List<String> texts = new ArrayList<>();
        value.forEach(item -> texts.add(item.asText()));
        return texts;
    }

    /** Returns a quantity with a unit, such as a rate or a size, in base units; null if it is missing or invalid. */
    public Double quantity(String key, Units units) {
        JsonNode value = read(key);
        if (value == null) {
            return null;
        }
        Double quantity = value.isTextual() ? units.parse(value.asText()) : null;
        if (quantity == null) {
            invalidValue(key, value, units.description());
        }
        return quantity;
    }

    /** Returns the values of a list, or a single value; none if the key is missing. */
    public List<TextOrTable> items(String key) {
        JsonNode value = read(key);
        List<TextOrTable> items = new ArrayList<>();
        if (value == null) {
            return items;
        }
        if (!value.isArray()) {
            addItem(key, value, pathOf(key), items);
            return items;
        }
        for (int i = 0; i < value.size(); i++) {
            addItem(key, value.get(i), pathOf(key) + "[" + i + "]", items);
        }
        return items;
    }

    private void addItem(String key, JsonNode value, String itemPath, List<TextOrTable> items) {
        if (value.isTextual()) {
            items.add(new TextOrTable(value.asText(), null));
        } else if (value instanceof ObjectNode table) {
            items.add(new TextOrTable(null, new Section(source, table, itemPath)));
        } else {
            fault(key, "'" + key + "' contains " + value + ": expected a string or a table");
        }
    }

    /** Whether the value of the key is an empty list. */
    public boolean isEmptyList(String key) {
        JsonNode value = node.get(key);
        return value != null && value.isArray() && value.isEmpty();
    }

    /** Returns the names of all its keys, in the order of the file. */
    public List<String> keys() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Returns the location of one of its keys, or of the table itself if the key is empty, as {@code FILE:LINE}. */
    public String location(String key) {
        return source.location(pathOf(key));
    }

    /** Returns a table within this one; an empty one if the key is missing. */
    public Section table(String key) {
        JsonNode value = read(key);
        boolean invalid = value != null && !value.isObject();
        if (invalid) {
            invalidValue(key, value, "a table");
        }
        ObjectNode table = value instanceof ObjectNode object ? object : node.objectNode();
        return new Section(source, table, pathOf(key), silent || invalid);
    }

    /** Returns the tables of an array of tables; none if the key is missing. */
    public List<Section> tables(String key) {
        JsonNode value = read(key);
        List<Section> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        for (int i = 0; value.isArray() && i < value.size(); i++) {
            if (value.get(i) instanceof ObjectNode table) {
                tables.add(new Section(source, table, pathOf(key) + "[" + i + "]"));
            }
        }
        if (tables.isEmpty() && !(value.isArray() && value.isEmpty())) {
            fault(key, "'" + key + "' is " + value + ": expected an array of tables, [[" + key + "]]");
        }
        return tables;
    }

    /** Records a fault for each key that was never read; to be called after all others. */
    public void rejectUnknownKeys() {
        for (String key : keys()) {
            if (!readKeys.contains(key)) {
                fault(
                        key,
                        "unknown key '" + key + "'" + (path.isEmpty() ? "" : " in [" + path + "]")
                                + Suggestion.didYouMean(key, knownKeys));
            }
        }
    }
}
