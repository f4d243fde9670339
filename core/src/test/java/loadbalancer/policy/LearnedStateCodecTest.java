package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Names and positions of the handover document, which processes of different releases exchange. */
class LearnedStateCodecTest {
    private static Map<String, double[]> document() {
        Map<String, double[]> document = new LinkedHashMap<>();
        document.put("usual", new double[] {1500, 2500});
        document.put("work", new double[] {0, 3.5});
        document.put("first", new double[] {1_000_000, 2_000_000});
        document.put("admission", new double[] {7, 8, 9, 1, 2, 3, 0.5, 0.75});
        document.put("brought", new double[] {4, 5, 6});
        document.put("share", new double[] {0.1, 0.2, 0.3});
        document.put("own", new double[] {11, 12, 9.5, 13});
        document.put("server a:80", new double[] {77, 1.5, 2.5, 3.5, 1.25, 1_000_000, 2, 3, 0.5, 42, 1});
        return document;
    }

    @Test
    void eachValueIsReadFromItsNameAndPosition() {
        LearnedState state = LearnedStateCodec.decode(document());
        assertArrayEquals(new double[] {1500, 2500}, state.latencies().expectedMicros());
        assertArrayEquals(new double[] {0, 3.5}, state.latencies().meanWork());
        assertArrayEquals(new double[] {1_000_000, 2_000_000}, state.firstAttemptMicros());
        assertArrayEquals(new double[] {7, 8, 9}, state.admission().arrivals());
        assertEquals(1, state.admission().completed());
        assertEquals(2, state.admission().scored());
        assertEquals(3, state.admission().scoreSum());
        assertEquals(0.5, state.admission().lowTierLevel());
        assertEquals(0.75, state.admission().level());
        assertArrayEquals(new double[] {4, 5, 6}, state.tenants().demand());
        assertArrayEquals(new double[] {0.1, 0.2, 0.3}, state.tenants().quotaTokens());
        assertEquals(new LearnedState.Traffic(11, 12, 9.5, 13), state.traffic());
        assertEquals(
                Map.of(
                        "a:80",
                        new LearnedState.EndpointHistory(77, 1.5, 2.5, 3.5, 1.25, 1_000_000, 2, 3, 0.5, 42, true)),
                state.endpoints());
    }

    @Test
    void decodedStateIsEncodedUnchanged() {
        Map<String, double[]> written = LearnedStateCodec.encode(LearnedStateCodec.decode(document()));
        assertEquals(document().keySet(), written.keySet());
        document().forEach((name, values) -> assertArrayEquals(values, written.get(name), name));
    }

    @Test
    void missingOrUnknownNamesAndArraysOfAnotherLengthAreIgnored() {
        LearnedState state = LearnedStateCodec.decode(Map.of(
                "own", new double[] {1},
                "admission", new double[5],
                "server a:80", new double[10],
                "unknown", new double[] {1}));
        assertNull(state.traffic());
        assertNull(state.admission());
        assertNull(state.latencies().expectedMicros());
        assertEquals(Map.of(), state.endpoints());
        assertEquals(Map.of(), LearnedStateCodec.encode(state));
    }
}
