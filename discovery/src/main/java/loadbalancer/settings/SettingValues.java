package loadbalancer.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;

/**
 * Typed look-ups in path=value pairs. A value that is missing or malformed ends in an exception that names its path.
 * A value of "-" counts as missing. Immutable as far as the values are; one reader at a time.
 */
final class SettingValues {
    private static final String ABSENT = "-";
    private static final String INDEX_FORM = "\\d{1,9}";

    private final Map<String, String> values;
    private final BiFunction<String, String, ? extends RuntimeException> error;

    /**
     * Reads from {@code values}.
     *
     * @param error makes the exception for a path and what is wrong there
     */
    SettingValues(Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> error) {
        this.values = values;
        this.error = error;
    }

    /** The exception for a path and what is wrong there. */
    RuntimeException error(String path, String problem) {
        return error.apply(path, problem);
    }

    /** Whether the path is given, even if as absent. */
    boolean has(String path) {
        return values.containsKey(path);
    }

    /** The text at a path; {@code fallback} where it is missing, and null makes it required. */
    String text(String path, String fallback) {
        String value = values.get(path);
        if (value != null && !value.equals(ABSENT)) {
            return value;
        }
        if (fallback == null) {
            throw error(path, "required setting is missing");
        }
        return fallback;
    }

    /** A whole number; {@code fallback} null: required. */
    long wholeNumber(String path, Long fallback) {
        String value = text(path, fallback == null ? null : fallback.toString());
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw error(path, "not a whole number: '" + value + "'");
        }
    }

    /** A required whole number; one over the largest int counts as that. */
    int cappedInt(String path) {
        return (int) Math.min(Integer.MAX_VALUE, wholeNumber(path, null));
    }

    /** A finite number; {@code fallback} null: required. */
    double decimal(String path, Double fallback) {
        String value = text(path, fallback == null ? null : fallback.toString());
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw error(path, "not a number: '" + value + "'");
        }
        throw error(path, "not a finite number: '" + value + "'");
    }

    /** A truth value; {@code fallback} null: required. */
    boolean flag(String path, Boolean fallback) {
        String value = text(path, fallback == null ? null : fallback.toString());
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw error(path, "not true or false: '" + value + "'");
        };
    }

    /** How many entries follow under a path. */
    int count(String path, boolean required) {
        long count = wholeNumber(path + ".count", required ? null : 0L);
        if (count < 0 || count > values.size()) {
            throw error(path + ".count", "not a count of what follows: " + count);
        }
        return (int) count;
    }

    /** The texts of a list; empty where it is missing. */
    List<String> list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    /** How many names a list holds; a missing list counts as one unnamed entry. */
    int listSize(String path) {
        return text(path, "").split(",").length;
    }

    /** The values of {@code key} in each entry under a path; empty text where one is missing. */
    List<String> each(String path, String key) {
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < count(path, false); i++) {
            texts.add(text(path + "." + i + "." + key, ""));
        }
        return List.copyOf(texts);
    }

    /** Positions in a list of {@code size} names; empty where the setting is missing. */
    Set<Integer> indexes(String path, int size) {
        Set<Integer> found = new TreeSet<>();
        String value = text(path, "");
        for (String part : value.isEmpty() ? new String[0] : value.split(",", -1)) {
            if (!part.matches(INDEX_FORM) || Integer.parseInt(part) >= size) {
                throw error(path, "not between 0 and " + (size - 1) + ": '" + part + "'");
            }
            found.add(Integer.valueOf(part));
        }
        return found;
    }

    /** The value that a table gives for the word at a path; {@code fallback} null: required. */
    <E> E word(Map<String, E> table, String path, String fallback) {
        String value = text(path, fallback);
        E found = table.get(value.toLowerCase(Locale.ROOT));
        if (found == null) {
            throw error(path, "unknown word: '" + value + "'");
        }
        return found;
    }
}
