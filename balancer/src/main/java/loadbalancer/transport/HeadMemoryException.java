package loadbalancer.transport;

/** There is no memory for the head of a message: other peers make the process hold too much. */
public final class HeadMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** Creates the exception without a stack trace, as many connections may meet it at once. */
    public HeadMemoryException() {
        super("no room for heads", null, false, false);
    }
}
