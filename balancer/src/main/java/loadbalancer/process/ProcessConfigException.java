package loadbalancer.process;

/** A configuration or operator file is invalid. The message is one line that says where and what is wrong. */
final class ProcessConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message. */
    ProcessConfigException(String message) {
        super(message);
    }

    /** Creates the exception with a message and its cause. */
    ProcessConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
