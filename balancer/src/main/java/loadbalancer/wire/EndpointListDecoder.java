package loadbalancer.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;

/**
 * Reads LIST messages into numbered buffers. SYNC messages refer to a buffer until it is overwritten. Not thread-safe.
 */
final class EndpointListDecoder {
    private static final int BUFFER_COUNT = 16;
    private static final Map<String, EndpointState> STATES =
            Map.of("U", EndpointState.UP, "L", EndpointState.DRAINING, "D", EndpointState.GONE);

    private final FrameReader frames;
    private final Map<Integer, List<Endpoint>> buffers = new HashMap<>();

    EndpointListDecoder(FrameReader frames) {
        this.frames = frames;
    }

    /** Reads the ITEM lines that follow a LIST line. */
    void read(Frame head) throws IOException {
        int buffer = head.expect("Buffer", "Entries").index(1, "Buffer", BUFFER_COUNT);
        int size = head.index(2, "Entries", Integer.MAX_VALUE);
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Frame item = frames.next();
            if (item == null || !item.name().equals("ITEM")) {
                throw frames.error("LIST", "Entries", size + " ITEM lines announced, " + i + " found");
            }
            list.add(endpoint(item));
        }
        buffers.put(buffer, List.copyOf(list));
    }

    private static Endpoint endpoint(Frame item) {
        item.expect("StartTime", "Upstream", "StageState", "Heft", "Group", "GenerationHw", "Locality");
        EndpointState state = item.word(3, "StageState", STATES, "unknown word");
        return new Endpoint(
                item.text(2, "Upstream"),
                state,
                item.number(1, "StartTime", 0),
                item.absent(4, "Heft") ? 1 : item.decimal(4, "Heft"),
                item.optionalIndex(5, "Group"),
                item.optionalIndex(6, "GenerationHw"),
                item.optionalIndex(7, "Locality"));
    }

    /** Returns the list in the buffer whose number a field holds. */
    List<Endpoint> list(Frame frame, int position) {
        List<Endpoint> list = buffers.get(frame.index(position, "Buffer", BUFFER_COUNT));
        if (list == null) {
            throw frame.error("Buffer", "no LIST has that number: " + frame.raw(position, "Buffer"));
        }
        return list;
    }
}
