package loadbalancer.wire;

import java.util.Base64;
import java.util.Map;

/**
 * One line of the wire: the name of a message and its fields, separated by tabs. Fields are counted from 1. Every
 * accessor throws a {@link WireException} that names line, message and field where the field is missing or malformed.
 * Immutable.
 */
final class Frame {
    /** What stands for a field that has no value. */
    static final String ABSENT = "-";

    private final long line;
    private final String[] parts; // the message's name, then its fields

    Frame(long line, String text) {
        this.line = line;
        this.parts = text.split("\t", -1);
    }

    /** The name of the message. */
    String name() {
        return parts[0];
    }

    /** How many fields it has. */
    int size() {
        return parts.length - 1;
    }

    /** The exception for what is wrong with one of its fields. */
    WireException error(String field, String problem) {
        return WireException.at(line, name(), field, problem);
    }

    /** Checks that it has exactly these fields, so that a cut or joined line is noticed. */
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

    /** The field as it stands; it may be absent or empty. */
    String raw(int position, String field) {
        if (position > size()) {
            throw error(field, "is missing");
        }
        return parts[position];
    }

    /** A required text. */
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

    /** A required whole number. */
    long number(int position, String field) {
        String value = text(position, field);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw error(field, "not a whole number: '" + value + "'");
        }
    }

    /** A whole number that may be absent. */
    long number(int position, String field, long whenAbsent) {
        return absent(position, field) ? whenAbsent : number(position, field);
    }

    /** A required whole number from 0 to under {@code size}. */
    int index(int position, String field, int size) {
        long value = number(position, field);
        if (value < 0 || value >= size) {
            throw error(field, "not between 0 and " + (size - 1) + ": " + value);
        }
        return (int) value;
    }

    /** An index that may be absent: -1 then. */
    int optionalIndex(int position, String field) {
        return absent(position, field) ? -1 : index(position, field, Integer.MAX_VALUE);
    }

    /** A required finite number. */
    double decimal(int position, String field) {
        return decimal(text(position, field), field);
    }

    /** A finite number that is a part of a field. */
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

    /** A required 0 or 1. */
    boolean flag(int position, String field) {
        return switch (text(position, field)) {
            case "1" -> true;
            case "0" -> false;
            default -> throw error(field, "not 0 or 1: '" + raw(position, field) + "'");
        };
    }

    /** Bytes in base64; none where the field is absent. */
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
     * The value that a table gives for a required word.
     *
     * @param problem what to say of a word that is not in the table
     */
    <E> E word(int position, String field, Map<String, E> table, String problem) {
        E value = table.get(text(position, field));
        if (value == null) {
            throw error(field, problem + ": '" + raw(position, field) + "'");
        }
        return value;
    }
}
