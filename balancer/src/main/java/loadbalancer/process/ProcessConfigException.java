package loadbalancer.process;

/** A configuration or operator file that cannot be used. The message is one line that says where and what is wrong. */
public final class ProcessConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with what is wrong. */
    public ProcessConfigException(String message) {
        super(message);
    }

    /** Creates the exception with what is wrong and the exception that says so. */
    public ProcessConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
