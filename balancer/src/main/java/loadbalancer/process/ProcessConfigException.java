package loadbalancer.process;

/** A configuration or operator file that cannot be used. The message is one line that says where and what is wrong. */
final class ProcessConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with what is wrong. */
    ProcessConfigException(String message) {
        super(message);
    }

    /** Creates the exception with what is wrong and the exception that says so. */
    ProcessConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
