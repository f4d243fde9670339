package loadbalancer.simulator.faultinjection;

import java.util.Locale;

/**
 * Tells byte by byte where in a stream of HTTP/1.1 messages it is (RFC 9112, section 6), as far as faults care: which
 * message, and whether the byte is the first or last of its head or body. Interim answers (1xx) count as no message.
 * What can't be framed is one body without an end.
 */
final class Framing {
    private enum In {
        HEAD,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        ENDLESS
    }

    private static final int HEAD_MOST = 64 * 1024;

    private final boolean answers;
    private final StringBuilder head = new StringBuilder();
    private final StringBuilder line = new StringBuilder();
    private In in = In.HEAD;
    private long left;
    private int message = 1;
    private boolean begun;
    private boolean first;
    private boolean last;

    /** {@code answers}: the stream carries answers, so a body without a length ends with the connection. */
    Framing(boolean answers) {
        this.answers = answers;
    }

    /** Where a byte is. */
    record Position(int message, boolean headFirst, boolean headLast, boolean bodyFirst, boolean messageLast) {}

    /** The place of the next byte, which is {@code octet}. */
    Position next(byte octet) {
        int number = message;
        boolean headFirst = in == In.HEAD && head.length() == 0;
        boolean headLast = false;
        boolean bodyFirst = false;
        last = false;
        switch (in) {
            case HEAD -> headLast = head(octet);
            case BODY -> {
                bodyFirst = first();
                left--;
                ended(left == 0);
            }
            case CHUNK_SIZE -> {
                bodyFirst = first();
                chunkSize(octet);
            }
            case CHUNK -> {
                left--;
                in = left == 0 ? In.CHUNK_END : In.CHUNK;
            }
            case CHUNK_END -> in = octet == '\n' ? In.CHUNK_SIZE : In.CHUNK_END;
            case TRAILER -> trailer(octet);
            default -> bodyFirst = first();
        }
        return new Position(number, headFirst, headLast, bodyFirst, last);
    }

    private boolean first() {
        boolean was = first;
        first = false;
        return was;
    }

    private void ended(boolean text) {
        if (text) {
            last = true;
            message++;
            in = In.HEAD;
            head.setLength(0);
        }
    }

    private boolean head(byte octet) {
        head.append((char) (octet & 0xff));
        int length = head.length();
        boolean over = length >= 4
                && head.charAt(length - 1) == '\n'
                && head.charAt(length - 2) == '\r'
                && head.charAt(length - 3) == '\n';
        if (!over) {
            if (length > HEAD_MOST) {
                in = In.ENDLESS;
            }
            return false;
        }
        String text = head.toString().toLowerCase(Locale.ROOT);
        first = true;
        boolean interim = answers && text.matches("(?s)http/1\\.[01] 1\\d\\d.*");
        boolean bodiless = answers && text.matches("(?s)http/1\\.[01] (204|304).*");
        int at = text.indexOf("\r\ncontent-length:");
        if (interim) {
            head.setLength(0);
        } else if (text.contains("\r\ntransfer-encoding:") && !bodiless) {
            in = In.CHUNK_SIZE;
        } else if (at >= 0 && !bodiless) {
            left = length(text.substring(at + 17, text.indexOf("\r\n", at + 2)).strip());
            in = In.BODY;
            if (left <= 0) {
                in = left < 0 ? In.ENDLESS : In.HEAD;
                ended(left == 0);
            }
        } else if (answers && !bodiless) {
            in = In.ENDLESS;
        } else {
            ended(true);
        }
        return !interim;
    }

    private static long length(String text) {
        return text.matches("\\d{1,15}") ? Long.parseLong(text) : -1;
    }

    private void chunkSize(byte octet) {
        if (octet != '\n') {
            line.append((char) (octet & 0xff));
            return;
        }
        String size = line.toString().split(";")[0].strip();
        line.setLength(0);
        left = size.matches("[0-9a-fA-F]{1,12}") ? Long.parseLong(size, 16) : -1;
        in = left < 0 ? In.ENDLESS : left == 0 ? In.TRAILER : In.CHUNK;
    }

    private void trailer(byte octet) {
        line.append((char) (octet & 0xff));
        String text = line.toString();
        if (text.endsWith("\r\n")) {
            boolean over = text.equals("\r\n");
            line.setLength(0);
            ended(over);
        }
    }
}
