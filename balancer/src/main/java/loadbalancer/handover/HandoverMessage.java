package loadbalancer.handover;

import java.util.List;

/** A message between a process and its predecessor or successor. {@link HandoverCodec} defines its wire form. */
public sealed interface HandoverMessage {
    /** Requests the state that a successor starts from. */
    record StateRequest() implements HandoverMessage {}

    /**
     * The reply to a {@link StateRequest}.
     *
     * @param document the state of the sender, which the receiver decodes with its own settings
     */
    record StateReply(HandoverDocument document) implements HandoverMessage {}

    /**
     * An operator has drained an endpoint at the sender; the receiver is to do the same.
     *
     * @param endpointId the endpoint's id
     */
    record EndpointDrained(String endpointId) implements HandoverMessage {}

    /**
     * An operator has restored a drained endpoint at the sender; the receiver is to do the same.
     *
     * @param endpointId the endpoint's id
     */
    record EndpointRestored(String endpointId) implements HandoverMessage {}

    /**
     * The number of descriptors that the sender's connections use, sent at regular intervals.
     *
     * @param count the number of the sender's connections to clients and upstreams
     */
    record DescriptorsInUse(int count) implements HandoverMessage {}

    /**
     * The sender has sent requests, or is about to, that must not run again.
     *
     * @param idHashes the hashes of their ids
     */
    record RequestsSent(List<Long> idHashes) implements HandoverMessage {}

    /**
     * The sender has answered a request of {@link RequestsSent}, or it has certainly not run.
     *
     * @param idHash the hash of its id
     */
    record RequestSettled(long idHash) implements HandoverMessage {}

    /** The sender has started to serve clients. */
    record ServingNotice() implements HandoverMessage {}

    /** A message of another release that this release does not know; the receiver ignores it. */
    record Unrecognized() implements HandoverMessage {}
}
