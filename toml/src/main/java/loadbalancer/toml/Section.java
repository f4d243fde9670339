package loadbalancer.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One table of a file: reads its keys strictly, notes every fault, and names keys it doesn't know. */
public final class Section {
    private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(us|ms|s|m|h)");
    private static final int CLOSE = 3;

    /** What a figure measures: how it is written, and what is possible. */
    public enum Measure {
        SHARE("a share from 0 to 1", 0, 1),
        NUMBER("a number of 0 or more", 0, 1e12),
        SIGNED("a number", -1e12, 1e12),
        TIME("a time with its unit, such as \"200ms\"", 0, 1e12),
        COUNT("a whole number of 1 or more", 1, 1e9);

        private final String form;
        private final double least;
        private final double most;

        Measure(String form, double least, double most) {
            this.form = form;
            this.least = least;
            this.most = most;
        }
    }

    private final Source source;
    private final ObjectNode node;
    private final String path;
    private final Set<String> used = new HashSet<>();
    private final Set<String> known = new HashSet<>(); // asked for, whether there or not
    private final boolean silent; // it stands for what is at fault already

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

    private String at(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private JsonNode take(String key) {
        used.add(key);
        known.add(key);
        return node.get(key);
    }

    /** Notes a fault at one of its keys. */
    public void fault(String key, String what) {
        if (!silent) {
            source.fault(key.isEmpty() ? path : at(key), what);
        }
    }

    /** Whether the key is given. */
    public boolean has(String key) {
        known.add(key);
        return node.has(key);
    }

    /** A figure, or two for a range: the first and the last; a missing one is a fault. */
    public double[] pair(String key, Measure measure) {
        JsonNode value = take(key);
        if (value == null) {
            fault(key, "'" + key + "' is missing in [" + path + "]: " + measure.form + " or a pair of them");
        } else if (!value.isArray()) {
            double figure = figure(key, value, measure);
            return new double[] {figure, figure};
        } else if (value.size() == 2) {
            return new double[] {figure(key, value.get(0), measure), figure(key, value.get(1), measure)};
        } else {
            fault(key, "'" + key + "' has " + value.size() + " values; one, or two for a range, are wanted");
        }
        double least = Math.max(1, measure.least);
        return new double[] {least, least};
    }

    /** A figure; a missing one is a fault. */
    public double number(String key, Measure measure) {
        JsonNode value = take(key);
        if (value == null) {
            fault(key, "'" + key + "' is missing in [" + path + "]: " + measure.form);
            return Math.max(1, measure.least);
        }
        return figure(key, value, measure);
    }

    /** A figure, or {@code otherwise} where it is missing. */
    public double number(String key, Measure measure, double otherwise) {
        return has(key) ? number(key, measure) : otherwise;
    }

    private double figure(String key, JsonNode value, Measure measure) {
        double read;
        if (measure == Measure.TIME) {
            Matcher m = TIME.matcher(value.isTextual() ? value.asText().strip() : "");
            if (!m.matches()) {
                fault(key, "'" + key + "' is " + value + ": " + measure.form + " is wanted");
                return 1;
            }
            read = Double.parseDouble(m.group(1))
                    * switch (m.group(2)) {
                        case "us" -> 1;
                        case "ms" -> 1e3;
                        case "s" -> 1e6;
                        case "m" -> 60e6;
                        default -> 3600e6;
                    };
        } else if (value.isNumber()) {
            read = value.asDouble();
        } else {
            fault(key, "'" + key + "' is " + value + ": " + measure.form + " is wanted");
            return Math.max(1, measure.least);
        }
        boolean whole = measure != Measure.COUNT || read == Math.rint(read);
        if (read < measure.least || read > measure.most || !whole) {
            fault(key, "'" + key + "' is " + value + ": " + measure.form + " is wanted");
            return Math.max(1, measure.least);
        }
        return read;
    }

    /** A time in µs; a missing one is a fault. */
    public long time(String key) {
        return Math.round(number(key, Measure.TIME));
    }

    /** A time in µs. */
    public long time(String key, long otherwise) {
        return has(key) ? time(key) : otherwise;
    }

    /** True or false. */
    public boolean flag(String key, boolean otherwise) {
        JsonNode value = take(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.isBoolean()) {
            fault(key, "'" + key + "' is " + value + ": true or false is wanted");
        }
        return value.asBoolean();
    }

    /** A text; a missing one is a fault where {@code otherwise} is null. */
    public String text(String key, String otherwise) {
        JsonNode value = take(key);
        if (value == null) {
            if (otherwise == null) {
                fault(key, "'" + key + "' is missing in [" + path + "]: a text");
                return "";
            }
            return otherwise;
        }
        if (!value.isTextual()) {
            fault(key, "'" + key + "' is " + value + ": a text in quotes is wanted");
        }
        return value.asText();
    }

    /** One of the words of an enumeration, in lower case. */
    public <E extends Enum<E>> E word(String key, Class<E> words, E otherwise) {
        Map<String, E> table = new LinkedHashMap<>();
        for (E e : words.getEnumConstants()) {
            table.put(e.name().toLowerCase(Locale.ROOT), e);
        }
        return word(key, table, otherwise);
    }

    /** The value of one of the words of a table, whose keys are in lower case. */
    public <E> E word(String key, Map<String, E> words, E otherwise) {
        String word = words.keySet().stream()
                .filter(known -> words.get(known) == otherwise)
                .findFirst()
                .orElse(null);
        String text = text(key, word);
        E found = words.get(text.toLowerCase(Locale.ROOT));
        if (found != null) {
            return found;
        }
        List<String> names = List.copyOf(words.keySet());
        fault(key, "'" + key + "' is \"" + text + "\"; there are " + String.join(", ", names) + meant(text, names));
        return otherwise == null ? words.values().iterator().next() : otherwise;
    }

    /** A list of texts. */
    public List<String> texts(String key, List<String> otherwise) {
        JsonNode value = take(key);
        if (value == null) {
            return otherwise;
        }
        List<String> all = new ArrayList<>();
        if (!value.isArray()) {
            fault(key, "'" + key + "' is " + value + ": a list of texts is wanted");
        }
        value.forEach(v -> all.add(v.asText()));
        return all;
    }

    /** A figure with a unit of its own, such as a rate or a size; null where missing or at fault. */
    public Double figure(String key, Units units) {
        JsonNode value = take(key);
        if (value == null) {
            return null;
        }
        Double read = value.isTextual() ? units.read(value.asText()) : null;
        if (read == null) {
            fault(key, "'" + key + "' is " + value + ": " + units.form() + " is wanted");
        }
        return read;
    }

    /** The values of a list, or the one value that stands without a list, as texts or tables; none where missing. */
    public List<Object> items(String key) {
        JsonNode value = take(key);
        List<Object> all = new ArrayList<>();
        if (value == null) {
            return all;
        }
        if (!value.isArray()) {
            item(key, value, at(key), all);
        }
        for (int i = 0; value.isArray() && i < value.size(); i++) {
            item(key, value.get(i), at(key) + "[" + i + "]", all);
        }
        return all;
    }

    private void item(String key, JsonNode value, String at, List<Object> all) {
        if (value.isTextual()) {
            all.add(value.asText());
        } else if (value instanceof ObjectNode o) {
            all.add(new Section(source, o, at));
        } else {
            fault(key, "'" + key + "' holds " + value + ": a text or a table is wanted");
        }
    }

    /** Whether the key is given as an empty list. */
    public boolean holdsNothing(String key) {
        JsonNode value = node.get(key);
        return value != null && value.isArray() && value.isEmpty();
    }

    /** Names of all its keys, in the order of the file. */
    public List<String> keys() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Where it stands, or one of its keys: {@code FILE:LINE}. */
    public String place(String key) {
        return source.place(key.isEmpty() ? path : at(key));
    }

    /** A table within this one; an empty one where it is missing. */
    public Section table(String key) {
        JsonNode value = take(key);
        if (value != null && !value.isObject()) {
            fault(key, "'" + key + "' is " + value + ": a table is wanted");
        }
        ObjectNode table = value instanceof ObjectNode o ? o : node.objectNode();
        return new Section(source, table, at(key), silent || value != null && !value.isObject());
    }

    /** The tables of a list; none where it is missing. */
    public List<Section> tables(String key) {
        JsonNode value = take(key);
        List<Section> all = new ArrayList<>();
        if (value == null) {
            return all;
        }
        for (int i = 0; value.isArray() && i < value.size(); i++) {
            if (value.get(i) instanceof ObjectNode o) {
                all.add(new Section(source, o, at(key) + "[" + i + "]"));
            }
        }
        if (all.isEmpty() && !(value.isArray() && value.isEmpty())) {
            fault(key, "'" + key + "' is " + value + ": tables [[" + key + "]] are wanted");
        }
        return all;
    }

    /** Names keys that nobody asked for. */
    public void done() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!used.contains(name)) {
                fault(
                        name,
                        "unknown key '" + name + "'" + (path.isEmpty() ? "" : " in [" + path + "]")
                                + meant(name, known));
            }
        }
    }

    /** "; did you mean ...?" where a known name is close to {@code word}. */
    public static String meant(String word, Collection<String> known) {
        String best = null;
        int least = CLOSE;
        for (String k : known.stream().sorted().toList()) {
            int distance = distance(word, k);
            if (distance < least) {
                least = distance;
                best = k;
            }
        }
        return best == null ? "" : "; did you mean '" + best + "'?";
    }

    private static int distance(String a, String b) { // Levenshtein's
        int[] row = new int[b.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int keep = row[j];
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
                diagonal = keep;
            }
        }
        return row[b.length()];
    }
}
