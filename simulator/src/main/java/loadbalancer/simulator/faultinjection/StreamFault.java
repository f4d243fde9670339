package loadbalancer.simulator.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a script: on which connections, in which direction, what, and from where on.
 *
 * <pre>
 * on 2 up half-close at body-first+3      # connection 2, towards the server, before the 4th byte of its body
 * on * down cut at 37                     # every connection, towards the client, before byte 37 of the stream (from 0)
 * on 3- down garble 0.01 seed 7           # the third and later ones
 * on 4 refuse                             # closed as soon as it is accepted
 * </pre>
 *
 * @param from first connection, from 1; {@code to} the last
 * @param up towards the server; else towards the client
 * @param what what happens
 * @param message in which message of the stream a named point is, from 1
 * @param point null: {@code offset} counts from the beginning of the stream
 * @param amount of what takes one: bytes of a piece, µs of a delay, bytes a second, the share of a garble
 * @param seed of a garble
 */
public record StreamFault(
        int from, int to, boolean up, FaultType what, int message, Point point, long offset, double amount, long seed) {

    /** What a fault does at its place; all but the last five end the bytes of their direction there. */
    public enum FaultType {
        CUT,
        HALF_CLOSE,
        RESET,
        SILENCE,
        REFUSE,
        MUTE,
        PAUSE,
        TWICE,
        GARBLE,
        PIECES,
        DELAY,
        RATE
    }

    /** A place in a message; the fault comes before the byte it names, {@code END} after the last. */
    public enum Point {
        HEAD,
        HEAD_LAST,
        BODY_FIRST,
        BODY_LAST,
        END
    }

    private static final Pattern LINE = Pattern.compile("on\\s+(\\*|\\d+(?:-\\d*)?)(?:\\s+(up|down))?\\s+([a-z-]+)"
            + "(?:\\s+([0-9.]+)([A-Za-z/]*))?(?:\\s+seed\\s+(\\d+))?"
            + "(?:\\s+at\\s+(?:(?:#(\\d+)\\s+)?([a-z-]+)?([+]?\\d+)?))?");

    /** A script: its lines in order, faults as read; {@code #} at the beginning of a word begins a comment. */
    public static List<StreamFault> script(String name, String text) {
        List<StreamFault> faults = new ArrayList<>();
        List<String> wrong = new ArrayList<>();
        int number = 0;
        for (String raw : text.split("\\R", -1)) {
            number++;
            String line = raw.replaceAll("(^|\\s)#(\\s.*|$)", "").strip();
            if (line.isEmpty()) {
                continue;
            }
            try {
                faults.add(of(line));
            } catch (IllegalArgumentException e) {
                wrong.add(name + ":" + number + ": " + e.getMessage());
            }
        }
        if (!wrong.isEmpty()) {
            throw new IllegalArgumentException(String.join(System.lineSeparator(), wrong));
        }
        return faults;
    }

    /**
     * Reads one line.
     *
     * @throws IllegalArgumentException that says what is wrong
     */
    public static StreamFault of(String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "\"" + line + "\" can't be read: such as" + " \"on 2 up cut at body-first+3\"");
        }
        FaultType what = word(FaultType.class, matcher.group(3), "fault");
        boolean whole = what == FaultType.REFUSE || what == FaultType.MUTE;
        if (whole != (matcher.group(2) == null)) {
            throw new IllegalArgumentException("\"" + line + "\": "
                    + (whole
                            ? matcher.group(3) + " has no direction"
                            : "a direction is missing, up (towards the server) or down"));
        }
        int from = 1;
        int to = Integer.MAX_VALUE;
        if (!matcher.group(1).equals("*")) {
            String[] ends = matcher.group(1).split("-", -1);
            from = Integer.parseInt(ends[0]);
            to = ends.length == 1 ? from : ends[1].isEmpty() ? Integer.MAX_VALUE : Integer.parseInt(ends[1]);
        }
        if (from < 1 || to < from) {
            throw new IllegalArgumentException("\"" + line + "\": connections are counted from 1");
        }
        Point point = matcher.group(8) == null ? null : word(Point.class, matcher.group(8), "point");
        String off = matcher.group(9);
        if (point == null && off != null && off.startsWith("+")) {
            throw new IllegalArgumentException("\"" + line + "\": '" + off + "' from which point?");
        }
        long offset = off == null ? 0 : Long.parseLong(off.startsWith("+") ? off.substring(1) : off);
        return new StreamFault(
                from,
                to,
                "up".equals(matcher.group(2)),
                what,
                matcher.group(7) == null ? 1 : Integer.parseInt(matcher.group(7)),
                point,
                offset,
                amount(line, what, matcher.group(4), matcher.group(5)),
                matcher.group(6) == null ? 0 : Long.parseLong(matcher.group(6)));
    }

    private static double amount(String line, FaultType what, String figure, String unit) {
        String wanted =
                switch (what) {
                    case PIECES -> "bytes of a piece, such as 1";
                    case GARBLE -> "a share of bytes, such as 0.01";
                    case DELAY -> "a time with its unit, such as 20ms";
                    case RATE -> "bytes a second with their unit, such as 64KiB/s";
                    default -> null;
                };
        if (wanted == null) {
            if (figure != null) {
                throw new IllegalArgumentException(
                        "\"" + line + "\": " + what.name().toLowerCase(Locale.ROOT) + " takes no figure");
            }
            return 0;
        }
        Double scale = figure == null
                ? null
                : switch (what.name() + " " + unit) {
                    case "PIECES ", "GARBLE ", "DELAY us", "RATE B/s" -> Double.valueOf(1);
                    case "DELAY ms" -> Double.valueOf(1e3);
                    case "DELAY s" -> Double.valueOf(1e6);
                    case "RATE KiB/s" -> Double.valueOf(1024);
                    case "RATE MiB/s" -> Double.valueOf(1048576);
                    default -> null;
                };
        double value = scale == null ? 0 : Double.parseDouble(figure) * scale;
        if (scale == null
                || value <= 0
                || what == FaultType.GARBLE && value > 1
                || what == FaultType.PIECES && value != Math.rint(value)) {
            throw new IllegalArgumentException("\"" + line + "\": " + wanted + " is wanted");
        }
        return value;
    }

    private static <E extends Enum<E>> E word(Class<E> type, String text, String what) {
        List<String> names = new ArrayList<>();
        for (E e : type.getEnumConstants()) {
            String name = e.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (name.equals(text)) {
                return e;
            }
            names.add(name);
        }
        throw new IllegalArgumentException("no " + what + " '" + text + "'; there are " + String.join(", ", names));
    }

    /** Whether it is meant for that connection. */
    public boolean concerns(int connection) {
        return connection >= from && connection <= to;
    }
}
