package loadbalancer.handover;

import java.io.IOException;

/** A message, or a part of a state document, that is not in the form in which processes exchange it. */
public final class HandoverFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with what is wrong. */
    public HandoverFormatException(String message) {
        super(message);
    }

    /** Creates the exception with what is wrong and the exception that says so. */
    public HandoverFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
