package loadbalancer.router;

/**
 * The router's decision about a request.
 *
 * @param lease held by the request until {@link RequestRouter#ended}; null unless it was admitted
 * @param retryAfterMicros time after which the client may retry; 0 to send none
 */
public record RoutingDecision(RoutingOutcome outcome, RejectionReason reason, RouteLease lease, long retryAfterMicros) {
    static RoutingDecision admitted(RouteLease lease) {
        return new RoutingDecision(RoutingOutcome.ADMITTED, RejectionReason.NONE, lease, 0);
    }

    static RoutingDecision rejected(RejectionReason reason, long retryAfterMicros) {
        return new RoutingDecision(RoutingOutcome.REJECTED, reason, null, retryAfterMicros);
    }

    static RoutingDecision notFound() {
        return new RoutingDecision(RoutingOutcome.NOT_FOUND, RejectionReason.NO_ROUTE, null, 0);
    }

    static RoutingDecision badPath() {
        return new RoutingDecision(RoutingOutcome.BAD_PATH, RejectionReason.BAD_PATH, null, 0);
    }
}
