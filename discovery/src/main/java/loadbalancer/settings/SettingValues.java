package loadbalancer.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;

/**
 * Typed look-ups in path=value pairs. A value that is missing or malformed causes an exception that names its path.
 * A value of "-" counts as missing. Immutable if the map is not changed; not thread-safe.
 */
final class SettingValues {
    private static final String ABSENT = "-";
    private static final String INDEX_FORM = "\\d{1,9}";

    private final Map<String, String> values;
    private final BiFunction<String, String, ? extends RuntimeException> error;

    /**
     * Creates look-ups in {@code values}.
     *
     * @param error creates the exception from a path and a description of the problem there
     */
    SettingValues(Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> error) {
        this.values = values;
        this.error = error;
    }

    /** Returns the exception for a problem at a path. */
    RuntimeException error(String path, String problem) {
        return error.apply(path, problem);
    }

    /** Whether the path is present, even if its value is "-". */
    boolean has(String path) {
        return values.containsKey(path);
    }

    /** Returns the text at a path, or {@code fallback} if it is missing; null makes the setting required. */
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

    /** Returns a whole number; a null {@code fallback} makes the setting required. */
    long wholeNumber(String path, Long fallback) {
        String value = text(path, fallback == null ? null : fallback.toString());
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw error(path, "not a whole number: '" + value + "'");
        }
    }

    /** Returns a required whole number, capped at the largest int. */
    int cappedInt(String path) {
        return (int) Math.min(Integer.MAX_VALUE, wholeNumber(path, null));
    }

    /** Returns a finite number; a null {@code fallback} makes the setting required. */
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

    /** Returns a boolean; a null {@code fallback} makes the setting required. */
    boolean flag(String path, Boolean fallback) {
        String value = text(path, fallback == null ? null : fallback.toString());
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw error(path, "not true or false: '" + value + "'");
        };
    }

    /** Returns the number of entries under a path. */
    int count(String path, boolean required) {
        long count = wholeNumber(path + ".count", required ? null : 0L);
        if (count < 0 || count > values.size()) {
            throw error(path + ".count", "not a valid number of entries: " + count);
        }
        return (int) count;
    }

    /** Returns the texts of a list; an empty list if it is missing. */
    List<String> list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    /** Returns how many names a list contains; a missing list counts as one unnamed entry. */
    int listSize(String path) {
        return text(path, "").split(",").length;
    }

    /** Returns the value of {@code key} in each entry under a path; an empty text if it is missing there. */
    List<String> each(String path, String key) {
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < count(path, false); i++) {
            texts.add(text(path + "." + i + "." + key, ""));
        }
        return List.copyOf(texts);
    }

    /** Returns indexes into a list of {@code size} names; an empty set if the setting is missing. */
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

    /** Returns the value that {@code table} maps the word to; a null {@code fallback} makes the setting required. */
    <E> E word(Map<String, E> table, String path, String fallback) {
        String value = text(path, fallback);
        E found = table.get(value.toLowerCase(Locale.ROOT));
        if (found == null) {
            throw error(path, "unknown word: '" + value + "'");
        }
        return found;
    }
}
