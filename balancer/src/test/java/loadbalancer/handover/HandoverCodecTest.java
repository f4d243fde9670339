package loadbalancer.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import loadbalancer.settings.BootSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the wire form of handover messages, and how messages of other releases are read. */
class HandoverCodecTest {
    private static final BootSettings SETTINGS =
            new BootSettings(null, List.of(), List.of("read"), List.of(), List.of(), List.of(), 0);
    private static final String STATE_JSON =
            "{\"out\":[\"s1\"],\"back\":{\"s2\":7},\"list\":{\"rev\":1,\"targets\":[]},"
                    + "\"classes\":[\"read\"],\"learnt\":{\"own\":[0.5],\"server s1\":[1]}}";

    static Stream<Arguments> messages() {
        return Stream.of(
                Arguments.of("{\"want\":\"state\"}", new HandoverMessage.StateRequest()),
                Arguments.of("{\"down\":\"s1\"}", new HandoverMessage.EndpointDrained("s1")),
                Arguments.of("{\"up\":\"s1\"}", new HandoverMessage.EndpointRestored("s1")),
                Arguments.of("{\"open\":3}", new HandoverMessage.DescriptorsInUse(3)),
                Arguments.of("{\"sent\":[7,-9]}", new HandoverMessage.RequestsSent(List.of(7L, -9L))),
                Arguments.of("{\"settled\":-9}", new HandoverMessage.RequestSettled(-9)),
                Arguments.of("{\"serving\":true}", new HandoverMessage.ServingNotice()));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void eachMessageIsEncodedToAndDecodedFromItsLine(String line, HandoverMessage message) throws IOException {
        assertEquals(message, HandoverCodec.decode(line));
        assertEquals(line, HandoverCodec.encode(message));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "{\"later\":1}", "{\"down\":1}", "{\"state\":\"none\"}"})
    void anUnknownMessageIsDecodedAsUnrecognized(String line) throws IOException {
        assertEquals(new HandoverMessage.Unrecognized(), HandoverCodec.decode(line));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{", "state", "{\"sent\":[\"x\"]}"})
    void aLineThatIsNotAJsonObjectIsRejected(String line) {
        assertThrows(HandoverFormatException.class, () -> HandoverCodec.decode(line));
    }

    private static HandoverDocument document(String stateJson) throws IOException {
        return ((HandoverMessage.StateReply) HandoverCodec.decode("{\"state\":" + stateJson + "}")).document();
    }

    @Test
    void aStateIsDecodedWithTheReceiversSettings() throws IOException {
        HandoverState state = document(STATE_JSON).site(SETTINGS);
        assertEquals(Map.of("s2", 7L), state.restoredAtMicros());
        assertEquals(2, state.learnedState().size());
        assertEquals(0.5, state.learnedState().get("own")[0]);
    }

    @Test
    void learnedValuesPerClassAreDroppedIfTheClassesDiffer() throws IOException {
        HandoverState state =
                document(STATE_JSON.replace("[\"read\"]", "[\"write\"]")).site(SETTINGS);
        assertEquals(List.of("server s1"), List.copyOf(state.learnedState().keySet()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"out", "back", "list", "learnt"})
    void aStateWithAMissingFieldIsRejectedByTheNameOfTheField(String field) throws IOException {
        Map<String, Object> state = JSON.std.mapFrom(STATE_JSON);
        state.remove(field);
        HandoverDocument document = document(JSON.std.asString(state));
        HandoverFormatException error = assertThrows(HandoverFormatException.class, () -> document.site(SETTINGS));
        assertTrue(error.getMessage().startsWith(field + ": "), error.getMessage());
    }

    @Test
    void aMalformedPoolDoesNotPreventDecodingTheOthers() throws IOException {
        HandoverDocument document =
                document(STATE_JSON.replaceFirst("\\}$", ",\"pools\":{\"good\":" + STATE_JSON + ",\"bad\":{}}}"));
        assertEquals(List.of("good", "bad"), List.copyOf(document.poolNames()));
        assertEquals(
                List.of("s1"),
                List.copyOf(document.pool("good", SETTINGS).orElseThrow().drained()));
        assertThrows(HandoverFormatException.class, () -> document.pool("bad", SETTINGS));
        assertTrue(document.pool("none", SETTINGS).isEmpty());
    }
}
