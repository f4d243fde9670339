package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ListReaderTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100_000})
    void aListWithinTheBoundIsReadInFullWhereverItIsSplit(int piece) {
        EndpointList list = Lists.read(new EndpointSubset(100, 3), Lists.list(41, true, 0, 100, "in_service"), piece);
        assertEquals(100, list.entries().size());
        assertEquals(41, list.version());
        assertTrue(list.complete());
        assertEquals(0, list.sample().subset().level());
        EndpointList.Entry t = list.entries().get(5);
        assertEquals(new Endpoint("s-5", EndpointState.UP, 7_000, 1.5, 1, 1, 1), t.endpoint());
        assertEquals(1_005, t.address().getPort());
    }

    /** The memory that a list takes doesn't grow with it. */
    @Test
    void ofALongListOneSubsetIsKept() {
        EndpointSubset subset = new EndpointSubset(1_000, 3);
        EndpointList list = Lists.read(subset, Lists.list(41, true, 0, 40_000, "in_service"), 9_973);
        assertTrue(
                list.entries().size() <= 1_000 && list.entries().size() > 250,
                "held " + list.entries().size());
        assertEquals(40_000, list.sample().listedCount());
        assertTrue(list.entries().stream().allMatch(t -> list.sample()
                .subset()
                .contains(loadbalancer.subset.Subset.hash(t.endpoint().id()))));
        assertEquals(0, subset.subset().level(), "the reader decides nothing: whoever keeps the list does");
    }

    @Test
    void theOrderOfTheFieldsIsFree() {
        String text = "{\"targets\":[" + Lists.entry(1, "in_service") + "],\"x\":[[1],{\"targets\":[{}]}],"
                + "\"all\":true,\"rev\":9}";
        EndpointList list = Lists.read(new EndpointSubset(5, 0), text, 3);
        assertEquals(1, list.entries().size());
        assertTrue(list.complete());
        assertEquals(9, list.version());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[1] | not an object: [",
                "{\"rev\":1} | no list of targets",
                "{\"targets\":3} | no list of targets",
                "{\"targets\":[3]} | a target without uid",
                "{\"targets\":[[]]} | a target without uid",
                "{\"targets\":[{\"uid\":\"\"}]} | a target without uid",
                "{\"targets\":[{\"uid\":\"a\",\"state\":\"odd\"}]} | unknown state: 'odd'",
                "{\"targets\":[{\"uid\":\"a\",\"state\":\"in_service\",\"endpoint\":\"x\"}]} | not address:port: 'x'",
                "{\"targets\":[nonsense]} | not JSON",
            })
    void aFormatErrorSaysWhatIsWrong(String text, String complaint) {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> Lists.read(new EndpointSubset(5, 0), text.strip(), 1_000));
        assertEquals(complaint.strip(), e.getMessage());
    }

    /** Also of what is not held each entry must be one: half a list must not pass for a whole one. */
    @Test
    void anInvalidEntryOutsideOfTheSubsetIsAFormatError() {
        String long200 = Lists.list(1, true, 0, 200, "in_service").strip();
        for (int i = 0; i < 200; i += 7) {
            String broken = long200.replace("\"uid\":\"s-" + i + "\"", "\"uid\":7");
            assertThrows(IllegalArgumentException.class, () -> Lists.read(new EndpointSubset(2, 0), broken, 50_000));
        }
    }

    @Test
    void aListWithoutAnEndIsAFormatError() {
        ListReader reader = new ListReader(Lists::boot, new EndpointSubset(5, 0));
        reader.read("{\"x\":[".getBytes(), t -> {});
        byte[] junk = "1,".repeat(1 << 18).getBytes();
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> {
            for (int i = 0; i < 20; i++) {
                reader.read(junk, t -> {});
            }
        });
        assertTrue(e.getMessage().startsWith("over "), e.getMessage());
    }

    /** A list of over 4 MB was once refused as too long. */
    @Test
    void aListMayBeLong() {
        EndpointList list =
                Lists.read(new EndpointSubset(1_000_000, 0), Lists.list(1, true, 0, 50_000, "in_service"), 65_536);
        assertEquals(50_000, list.entries().size());
    }

    @Test
    void aListWithinAnotherObjectIsReadAndNoFurther() throws IOException {
        String text =
                "{\"a\":1,\"known\":" + Lists.list(3, true, 0, 50, "in_service").strip() + ",\"b\":2}";
        try (JsonParser p = new JsonFactory().createParser(text)) {
            while (p.nextToken() != JsonToken.START_OBJECT || !"known".equals(p.currentName())) {
                assertTrue(p.currentToken() != null);
            }
            EndpointList list = ListReader.readOne(p, Lists.boot(), new EndpointSubset(10, 0));
            assertEquals(50, list.sample().listedCount());
            assertTrue(list.entries().size() <= 10);
            assertEquals("b", p.nextFieldName());
        }
        try (JsonParser p = new JsonFactory().createParser("{\"rev\":1,\"targets\":[")) {
            p.nextToken();
            assertThrows(IOException.class, () -> ListReader.readOne(p, Lists.boot(), new EndpointSubset(10, 0)));
        }
    }

    @Test
    void aDeltaIsNotACompleteList() {
        EndpointList list = Lists.read(new EndpointSubset(10, 0), Lists.list(3, false, 0, 50, "in_service"), 1_000);
        assertTrue(!list.complete() && list.entries().size() <= 10);
        assertNull(Lists.read(new EndpointSubset(10, 0), "{\"rev\":1", 3));
    }
}
