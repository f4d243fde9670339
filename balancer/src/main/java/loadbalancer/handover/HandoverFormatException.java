package loadbalancer.handover;

import java.io.IOException;

/** Thrown when a handover message, or a part of a state document, is malformed. */
public final class HandoverFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that says what is malformed. */
    public HandoverFormatException(String message) {
        super(message);
    }

    /** Creates an exception with a message that says what is malformed, and its cause. */
    public HandoverFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
