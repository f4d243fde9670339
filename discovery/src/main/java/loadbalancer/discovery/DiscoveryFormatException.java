package loadbalancer.discovery;

/** Signals an invalid endpoint list from discovery, or from another process that uses discovery's format. */
public final class DiscoveryFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that says what is invalid. */
    public DiscoveryFormatException(String message) {
        super(message);
    }

    /** Creates the exception with a message that says what is invalid, and the cause. */
    public DiscoveryFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
