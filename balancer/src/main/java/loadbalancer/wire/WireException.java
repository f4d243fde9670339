package loadbalancer.wire;

/** Malformed input on the wire; the message says in one line where and what is wrong. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private WireException(String message) {
        super(message);
    }

    /** The exception for a field of a message on that line. */
    static WireException at(long line, String message, String field, String problem) {
        return new WireException("line " + line + ": " + message + ": field " + field + ": " + problem);
    }
}
