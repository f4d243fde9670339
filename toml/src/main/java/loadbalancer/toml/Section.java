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
 * One table of a file. Its accessors read keys strictly: a value that is missing, of the wrong type or out of range is
 * noted as a fault in the {@link Source}, and a placeholder is returned, so that one reading finds all faults.
 */
public final class Section {
    private final Source source;
    private final ObjectNode node;
    private final String path;
    private final boolean silent; // a placeholder for what is at fault already: notes no faults of its own
    private final Set<String> readKeys = new HashSet<>();
    private final Set<String> knownKeys = new HashSet<>(); // asked for, whether given or not

    /** The table {@code node}, which stands at {@code path} in the file. */
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

    /** Notes a fault at one of its keys, or at the table itself for an empty key. */
    public void fault(String key, String what) {
        if (!silent) {
            source.fault(pathOf(key), what);
        }
    }

    private void faultyValue(String key, JsonNode value, String expected) {
        fault(key, "'" + key + "' is " + value + ": expected " + expected);
    }

    private void missing(String key, String form) {
        fault(key, "'" + key + "' is missing in [" + path + "]: expected " + form);
    }

    /** Whether the key is given. */
    public boolean has(String key) {
        knownKeys.add(key);
        return node.has(key);
    }

    /** A figure, or two for a range: the first and the last; a missing one is a fault. */
    public double[] range(String key, Measure measure) {
        JsonNode value = read(key);
        if (value == null) {
            missing(key, measure.form() + " or a pair of them");
        } else if (!value.isArray()) {
            double figure = figure(key, value, measure);
            return new double[] {figure, figure};
        } else if (value.size() == 2) {
            return new double[] {figure(key, value.get(0), measure), figure(key, value.get(1), measure)};
        } else {
            fault(key, "'" + key + "' has " + value.size() + " values: expected one, or two for a range");
        }
        return new double[] {measure.placeholder(), measure.placeholder()};
    }

    /** A figure; a missing one is a fault. */
    public double number(String key, Measure measure) {
        JsonNode value = read(key);
        if (value == null) {
            missing(key, measure.form());
            return measure.placeholder();
        }
        return figure(key, value, measure);
    }

    /** A figure, or {@code fallback} where it is missing. */
    public double number(String key, Measure measure, double fallback) {
        return has(key) ? number(key, measure) : fallback;
    }

    private double figure(String key, JsonNode value, Measure measure) {
        Double figure = measure == Measure.TIME ? time(value) : number(value);
        if (figure == null || !measure.allows(figure)) {
            faultyValue(key, value, measure.form());
            return measure.placeholder();
        }
        return figure;
    }

    private static Double time(JsonNode value) {
        return Units.TIME.parse(value.isTextual() ? value.asText() : "");
    }

    private static Double number(JsonNode value) {
        return value.isNumber() ? value.asDouble() : null;
    }

    /** A time in microseconds; a missing one is a fault. */
    public long time(String key) {
        return Math.round(number(key, Measure.TIME));
    }

    /** A time in microseconds, or {@code fallbackMicros} where it is missing. */
    public long time(String key, long fallbackMicros) {
        return has(key) ? time(key) : fallbackMicros;
    }

    /** True or false, or {@code fallback} where it is missing. */
    public boolean flag(String key, boolean fallback) {
        JsonNode value = read(key);
        if (value == null) {
            return fallback;
        }
        if (!value.isBoolean()) {
            faultyValue(key, value, "true or false");
        }
        return value.asBoolean();
    }

    /** A text, or {@code fallback} where it is missing; null makes that a fault, and the text empty. */
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
            faultyValue(key, value, "a string in quotes");
        }
        return value.asText();
    }

    /** The constant of an enumeration whose name in lower case is given; null as {@code fallback} makes it required. */
    public <E extends Enum<E>> E choice(String key, Class<E> words, E fallback) {
        Map<String, E> table = new LinkedHashMap<>();
        for (E constant : words.getEnumConstants()) {
            table.put(constant.name().toLowerCase(Locale.ROOT), constant);
        }
        return choice(key, table, fallback);
    }

    /** The value of one of the words of a table, whose keys are in lower case; null makes it required. */
    public <E> E choice(String key, Map<String, E> words, E fallback) {
        String fallbackWord = words.keySet().stream()
                .filter(word -> words.get(word) == fallback)
                .findFirst()
                .orElse(null);
        String text = text(key, fallbackWord);
        E found = words.get(text.toLowerCase(Locale.ROOT));
        if (found != null) {
            return found;
        }
        List<String> names = List.copyOf(words.keySet());
        fault(
                key,
                "'" + key + "' is \"" + text + "\": expected one of " + String.join(", ", names)
                        + Suggestion.didYouMean(text, names));
        return fallback == null ? words.values().iterator().next() : fallback;
    }

    /** A list of texts, or {@code fallback} where it is missing. */
    public List<String> texts(String key, List<String> fallback) {
        JsonNode value = read(key);
        if (value == null) {
            return fallback;
        }
        if (!value.isArray()) {
            faultyValue(key, value, "a list of strings");
        }
        List<String> texts = new ArrayList<>();
        value.forEach(item -> texts.add(item.asText()));
        return texts;
    }

    /** A figure with a unit, such as a rate or a size, in base units; null where missing or at fault. */
    public Double quantity(String key, Units units) {
        JsonNode value = read(key);
        if (value == null) {
            return null;
        }
        Double figure = value.isTextual() ? units.parse(value.asText()) : null;
        if (figure == null) {
            faultyValue(key, value, units.form());
        }
        return figure;
    }

    /** The values of a list, or one value without a list; none where missing. */
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

    /** Whether the key is given as an empty list. */
    public boolean isEmptyList(String key) {
        JsonNode value = node.get(key);
        return value != null && value.isArray() && value.isEmpty();
    }

    /** Names of all its keys, in the order of the file. */
    public List<String> keys() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Where one of its keys stands, or the table itself for an empty key: {@code FILE:LINE}. */
    public String location(String key) {
        return source.location(pathOf(key));
    }

    /** A table within this one; an empty one where it is missing. */
    public Section table(String key) {
        JsonNode value = read(key);
        boolean faulty = value != null && !value.isObject();
        if (faulty) {
            faultyValue(key, value, "a table");
        }
        ObjectNode table = value instanceof ObjectNode given ? given : node.objectNode();
        return new Section(source, table, pathOf(key), silent || faulty);
    }

    /** The tables of a list; none where it is missing. */
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

    /** Ends the reading of the table: each key that was never read is a fault. */
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
