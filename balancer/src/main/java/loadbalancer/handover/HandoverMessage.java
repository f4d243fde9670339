package loadbalancer.handover;

/** A message between a process and its predecessor or successor. {@link HandoverCodec} holds its wire form. */
public sealed interface HandoverMessage {
    /** A successor asks for the state that it starts from. */
    record StateRequest() implements HandoverMessage {}

    /**
     * The answer to a {@link StateRequest}.
     *
     * @param document the state of the sender, decoded with the receiver's settings
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
     * How many descriptors the sender's connections hold, sent in regular intervals.
     *
     * @param count the sender's connections to clients and upstreams
     */
    record DescriptorsInUse(int count) implements HandoverMessage {}

    /** The sender serves clients from now on. */
    record ServingNotice() implements HandoverMessage {}

    /** A message of another release that this one does not know; to be ignored. */
    record Unrecognized() implements HandoverMessage {}
}
