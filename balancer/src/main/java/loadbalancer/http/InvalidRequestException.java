package loadbalancer.http;

/** Thrown for an invalid request of a client; the message is sent to the client. */
final class InvalidRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String reason) {
        super(reason);
    }
}
