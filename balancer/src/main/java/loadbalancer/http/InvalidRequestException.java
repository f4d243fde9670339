package loadbalancer.http;

/** A client's request that can't be taken; its message is the reason that the client gets. */
final class InvalidRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String reason) {
        super(reason);
    }
}
