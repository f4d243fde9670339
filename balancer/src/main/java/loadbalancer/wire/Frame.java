package loadbalancer.wire;

import java.util.Base64;
import java.util.Map;

/**
 * One line of the wire: the name of a message and its fields, separated by tabs. Positions of fields start at 1. Every
 * accessor throws a {@link WireException} with the line, message and field if the field is missing or malformed.
 * Immutable.
 */
final class Frame {
    /** The text of a field that has no value. */
    static final String ABSENT = "-";

    private final long line;
    private final String[] parts; // the name of the message, followed by its fields

    Frame(long line, String text) {
        this.line = line;
        this.parts = text.split("\t", -1);
    }

    /** Returns the name of the message. */
    String name() {
        return parts[0];
    }

    /** Returns the number of fields. */
    int size() {
        return parts.length - 1;
    }

    /** Returns the exception for a problem with one of the fields. */
    WireException error(String field, String problem) {
        return WireException.at(line, name(), field, problem);
    }

    /** Checks that the message has exactly these fields, so that a truncated or joined line is detected. */
    Frame expect(String... fields) {
        if (size() < fields.length) {
            throw error(fields[size()], "is missing");
        }
        if (size() > fields.length) {
            throw error(
                    fields.length == 0 ? "1" : fields[fields.length - 1],
                    "is followed by " + (size() - fields.length) + " more value(s) than the message has");
        }
        return this;
    }

    /** Returns the text of a field, which may be absent or empty. */
    String raw(int position, String field) {
        if (position > size()) {
            throw error(field, "is missing");
        }
        return parts[position];
    }

    /** Returns a required text. */
    String text(int position, String field) {
        String value = raw(position, field);
        if (value.isEmpty() || value.equals(ABSENT)) {
            throw error(field, "is absent");
        }
        return value;
    }

    /** Whether the field has no value. */
    boolean absent(int position, String field) {
        return raw(position, field).equals(ABSENT);
    }

    /** Returns a required whole number. */
    long number(int position, String field) {
        String value = text(position, field);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw error(field, "not a whole number: '" + value + "'");
        }
    }

    /** Returns a whole number, or {@code fallback} if it is absent. */
    long number(int position, String field, long fallback) {
        return absent(position, field) ? fallback : number(position, field);
    }

    /** Returns a required whole number from 0 to {@code size - 1}. */
    int index(int position, String field, int size) {
        long value = number(position, field);
        if (value < 0 || value >= size) {
            throw error(field, "not between 0 and " + (size - 1) + ": " + value);
        }
        return (int) value;
    }

    /** Returns an index, or -1 if it is absent. */
    int optionalIndex(int position, String field) {
        return absent(position, field) ? -1 : index(position, field, Integer.MAX_VALUE);
    }

    /** Returns a required finite number. */
    double decimal(int position, String field) {
        return decimal(text(position, field), field);
    }

    /** Parses a finite number that is a part of a field. */
    double decimal(String value, String field) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw error(field, "not a number: '" + value + "'");
        }
        throw error(field, "not a finite number: '" + value + "'");
    }

    /** Returns a required boolean, 0 or 1. */
    boolean flag(int position, String field) {
        return switch (text(position, field)) {
            case "1" -> true;
            case "0" -> false;
            default -> throw error(field, "not 0 or 1: '" + raw(position, field) + "'");
        };
    }

    /** Returns bytes that are encoded in base64; no bytes if the field is absent. */
    byte[] bytes(int position, String field) {
        if (absent(position, field)) {
            return new byte[0];
        }
        try {
            return Base64.getDecoder().decode(raw(position, field));
        } catch (IllegalArgumentException e) {
            throw error(field, "not base64: '" + raw(position, field) + "'");
        }
    }

    /**
     * Returns the value that a table maps a required word to.
     *
     * @param problem the error text for a word that is not in the table
     */
    <E> E word(int position, String field, Map<String, E> table, String problem) {
        E value = table.get(text(position, field));
        if (value == null) {
            throw error(field, problem + ": '" + raw(position, field) + "'");
        }
        return value;
    }
}
