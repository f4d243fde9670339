package junctionhead.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import junctionhead.lab.world.Range;

/** One table of an experiment: reads its keys strictly, notes every fault, and names keys it doesn't know. */
final class Section {
    private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(us|ms|s|m|h)");
    private static final int CLOSE = 3;

    /** What a figure measures: how it is written, and what is possible. */
    enum Measure {
        SHARE("a share from 0 to 1", 0, 1), NUMBER("a number of 0 or more", 0, 1e12),
        SIGNED("a number", -1e12, 1e12), TIME("a time with its unit, such as \"200ms\"", 0, 1e12),
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

    Section(Source source, ObjectNode node, String path) {
        this.source = source;
        this.node = node;
        this.path = path;
    }

    private String at(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private JsonNode take(String key) {
        used.add(key);
        return node.get(key);
    }

    void fault(String key, String what) {
        source.fault(at(key), what);
    }

    boolean has(String key) {
        return node.has(key);
    }

    /** A figure or a range of two; a missing one is a fault. */
    Range range(String key, Measure measure) {
        JsonNode value = take(key);
        if (value == null) {
            fault(key, "'" + key + "' is missing in [" + path + "]: " + measure.form + " or a pair of them");
            return Range.of(Math.max(1, measure.least));
        }
        if (value.isArray()) {
            if (value.size() != 2) {
                fault(key, "'" + key + "' has " + value.size() + " values; one, or two for a range, are wanted");
                return Range.of(Math.max(1, measure.least));
            }
            return new Range(figure(key, value.get(0), measure), figure(key, value.get(1), measure));
        }
        return Range.of(figure(key, value, measure));
    }

    Range range(String key, Measure measure, Range otherwise) {
        return has(key) ? range(key, measure) : otherwise;
    }

    double number(String key, Measure measure) {
        JsonNode value = take(key);
        if (value == null) {
            fault(key, "'" + key + "' is missing in [" + path + "]: " + measure.form);
            return Math.max(1, measure.least);
        }
        return figure(key, value, measure);
    }

    double number(String key, Measure measure, double otherwise) {
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
            read = Double.parseDouble(m.group(1)) * switch (m.group(2)) {
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

    long time(String key) {
        return Math.round(number(key, Measure.TIME));
    }

    long time(String key, long otherwise) {
        return has(key) ? time(key) : otherwise;
    }

    boolean flag(String key, boolean otherwise) {
        JsonNode value = take(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.isBoolean()) {
            fault(key, "'" + key + "' is " + value + ": true or false is wanted");
        }
        return value.asBoolean();
    }

    String text(String key, String otherwise) {
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

    <E extends Enum<E>> E word(String key, Class<E> words, E otherwise) {
        String text = text(key, otherwise == null ? null : otherwise.name());
        return choice(key, text, words, otherwise);
    }

    private <E extends Enum<E>> E choice(String key, String text, Class<E> words, E otherwise) {
        List<String> names = new ArrayList<>();
        for (E e : words.getEnumConstants()) {
            if (e.name().equalsIgnoreCase(text)) {
                return e;
            }
            names.add(e.name().toLowerCase(Locale.ROOT));
        }
        fault(key, "'" + key + "' is \"" + text + "\"; there are " + String.join(", ", names) + meant(text, names));
        return otherwise == null ? words.getEnumConstants()[0] : otherwise;
    }

    List<String> texts(String key, List<String> otherwise) {
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

    /** A table within this one; an empty one where it is missing. */
    Section table(String key) {
        JsonNode value = take(key);
        if (value != null && !value.isObject()) {
            fault(key, "'" + key + "' is " + value + ": a table is wanted");
        }
        ObjectNode table = value instanceof ObjectNode o ? o : node.objectNode();
        return new Section(source, table, at(key));
    }

    /** The tables of a list; none where it is missing. */
    List<Section> tables(String key) {
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
    void done() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext();) {
            String name = names.next();
            if (!used.contains(name)) {
                fault(name, "unknown key '" + name + "'" + (path.isEmpty() ? "" : " in [" + path + "]")
                    + meant(name, used));
            }
        }
    }

    /** "; did you mean ...?" where a known name is close to {@code word}. */
    static String meant(String word, Collection<String> known) {
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

    private static int distance(String a, String b) {       // Levenshtein's
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
