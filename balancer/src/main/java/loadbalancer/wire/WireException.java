package loadbalancer.wire;

/** Signals malformed input on the wire; the message describes the location and the problem in one line. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private WireException(String message) {
        super(message);
    }

    /** Creates the exception for a field of a message on {@code line}. */
    static WireException at(long line, String message, String field, String problem) {
        return new WireException("line " + line + ": " + message + ": field " + field + ": " + problem);
    }
}
