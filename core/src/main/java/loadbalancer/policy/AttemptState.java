package loadbalancer.policy;

/** State of one attempt of a request at an endpoint. */
final class AttemptState {
    final EndpointStats target;

    /** The endpoint as it was listed when the attempt was sent; its zone and cell may change later. */
    final Endpoint endpoint;

    final RequestState request;
    final long sentAt;
    boolean inFlight = true;

    /** Whether the endpoint may have executed the request; true until the outcome proves otherwise. */
    boolean mayHaveRun = true;

    AttemptState(EndpointStats target, RequestState request, long sentAt) {
        this.target = target;
        this.endpoint = target.endpoint;
        this.request = request;
        this.sentAt = sentAt;
    }
}
