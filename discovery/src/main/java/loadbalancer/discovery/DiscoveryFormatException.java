package loadbalancer.discovery;

/** Discovery, or another process in discovery's form, has sent something that is no list of endpoints. */
public final class DiscoveryFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with what is wrong. */
    public DiscoveryFormatException(String message) {
        super(message);
    }

    /** Creates the exception with what is wrong and the exception that says so. */
    public DiscoveryFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
