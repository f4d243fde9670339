package loadbalancer.handover;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.handover.HandoverMessage.DescriptorsInUse;
import loadbalancer.handover.HandoverMessage.EndpointDrained;
import loadbalancer.handover.HandoverMessage.EndpointRestored;
import loadbalancer.handover.HandoverMessage.RequestSettled;
import loadbalancer.handover.HandoverMessage.RequestsSent;
import loadbalancer.handover.HandoverMessage.ServingNotice;
import loadbalancer.handover.HandoverMessage.StateReply;
import loadbalancer.handover.HandoverMessage.StateRequest;
import loadbalancer.handover.HandoverMessage.Unrecognized;

/**
 * Encodes and decodes {@link HandoverMessage}s. Each is a JSON object on a line of its own, and the name of its one
 * field is the message type. The field names must not change, because a process may be replaced by one of an older or a
 * newer release.
 */
final class HandoverCodec {
    private static final String STATE_REQUEST = "want";
    private static final String STATE_REQUEST_VALUE = "state";
    private static final String STATE_REPLY = "state";
    private static final String ENDPOINT_DRAINED = "down";
    private static final String ENDPOINT_RESTORED = "up";
    private static final String DESCRIPTORS_IN_USE = "open";
    private static final String SERVING_NOTICE = "serving";
    private static final String REQUESTS_SENT = "sent";
    private static final String REQUEST_SETTLED = "settled";

    private HandoverCodec() {}

    /**
     * Returns the message as a line without a line end.
     *
     * @throws IllegalArgumentException for {@link Unrecognized}, which cannot be encoded
     */
    static String encode(HandoverMessage message) throws IOException {
        return JSON.std.asString(fields(message));
    }

    private static Map<String, Object> fields(HandoverMessage message) {
        if (message instanceof StateRequest) {
            return Map.of(STATE_REQUEST, STATE_REQUEST_VALUE);
        } else if (message instanceof StateReply reply) {
            return Map.of(STATE_REPLY, reply.document().fields());
        } else if (message instanceof EndpointDrained drained) {
            return Map.of(ENDPOINT_DRAINED, drained.endpointId());
        } else if (message instanceof EndpointRestored restored) {
            return Map.of(ENDPOINT_RESTORED, restored.endpointId());
        } else if (message instanceof DescriptorsInUse descriptors) {
            return Map.of(DESCRIPTORS_IN_USE, descriptors.count());
        } else if (message instanceof ServingNotice) {
            return Map.of(SERVING_NOTICE, true);
        }
        if (message instanceof RequestsSent sent) {
            return Map.of(REQUESTS_SENT, sent.idHashes());
        } else if (message instanceof RequestSettled settled) {
            return Map.of(REQUEST_SETTLED, settled.idHash());
        }
        throw new IllegalArgumentException("message cannot be encoded: " + message);
    }

    /**
     * Decodes a line. A state document in it is not decoded further: {@link HandoverDocument} does that.
     *
     * @return the message; {@link Unrecognized} for an object with other fields
     * @throws HandoverFormatException if the line is not a JSON object
     */
    static HandoverMessage decode(String line) throws HandoverFormatException {
        Map<String, Object> fields;
        try {
            fields = JSON.std.mapFrom(line);
        } catch (IOException e) {
            throw new HandoverFormatException("not a JSON object: " + e.getMessage(), e);
        }
        if (fields.containsKey(STATE_REQUEST)) {
            return new StateRequest();
        } else if (fields.get(STATE_REPLY) instanceof Map<?, ?> state) {
            return new StateReply(new HandoverDocument(state));
        } else if (fields.get(ENDPOINT_DRAINED) instanceof String endpointId) {
            return new EndpointDrained(endpointId);
        } else if (fields.get(ENDPOINT_RESTORED) instanceof String endpointId) {
            return new EndpointRestored(endpointId);
        } else if (fields.get(DESCRIPTORS_IN_USE) instanceof Number count) {
            return new DescriptorsInUse(count.intValue());
        } else if (fields.containsKey(SERVING_NOTICE)) {
            return new ServingNotice();
        } else if (fields.get(REQUESTS_SENT) instanceof List<?> hashes) {
            return new RequestsSent(numbers(hashes));
        } else if (fields.get(REQUEST_SETTLED) instanceof Number hash) {
            return new RequestSettled(hash.longValue());
        }
        return new Unrecognized();
    }

    private static List<Long> numbers(List<?> values) throws HandoverFormatException {
        List<Long> numbers = new ArrayList<>(values.size());
        for (Object value : values) {
            if (!(value instanceof Number number)) {
                throw new HandoverFormatException(REQUESTS_SENT + ": not a number: " + value);
            }
            numbers.add(number.longValue());
        }
        return numbers;
    }
}
