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

/** Reading of lists in pieces, sampling of long lists, and format errors. */
class ListReaderTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100_000})
    void aListWithinTheBoundIsReadInFullWhateverThePieceSize(int pieceBytes) {
        EndpointList list =
                Lists.read(new EndpointSubset(100, 3), Lists.list(41, true, 0, 100, "in_service"), pieceBytes);
        assertEquals(100, list.entries().size());
        assertEquals(41, list.version());
        assertTrue(list.complete());
        assertEquals(0, list.sample().subset().level());
        EndpointList.Entry entry = list.entries().get(5);
        assertEquals(new Endpoint("s-5", EndpointState.UP, 7_000, 1.5, 1, 1, 1), entry.endpoint());
        assertEquals(1_005, entry.address().getPort());
    }

    /** The memory for a list is bounded, however long the list is. */
    @Test
    void aLongListIsSampledWithinTheBound() {
        EndpointSubset subset = new EndpointSubset(1_000, 3);
        EndpointList list = Lists.read(subset, Lists.list(41, true, 0, 40_000, "in_service"), 9_973);
        assertTrue(
                list.entries().size() <= 1_000 && list.entries().size() > 250,
                "kept " + list.entries().size());
        assertEquals(40_000, list.sample().listedCount());
        assertTrue(list.entries().stream().allMatch(entry -> list.sample()
                .subset()
                .contains(loadbalancer.subset.Subset.hash(entry.endpoint().id()))));
        assertEquals(0, subset.subset().level(), "the reader must not change the subset: Membership does");
    }

    @Test
    void fieldsMayComeInAnyOrder() {
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
                "{\"rev\":1} | 'targets' is missing or not an array",
                "{\"targets\":3} | 'targets' is missing or not an array",
                "{\"targets\":[3]} | an entry of 'targets' is not an object with a 'uid'",
                "{\"targets\":[[]]} | an entry of 'targets' is not an object with a 'uid'",
                "{\"targets\":[{\"uid\":\"\"}]} | an entry of 'targets' is not an object with a 'uid'",
                "{\"targets\":[{\"uid\":\"a\",\"state\":\"odd\"}]}"
                        + " | 'state' is 'odd': expected in_service, terminating or terminated",
                "{\"targets\":[{\"uid\":\"a\",\"state\":\"in_service\",\"endpoint\":\"x\"}]} | not address:port: 'x'",
                "{\"targets\":[nonsense]} | not valid JSON",
            })
    void aFormatErrorSaysWhatIsWrong(String text, String message) {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> Lists.read(new EndpointSubset(5, 0), text.strip(), 1_000));
        assertEquals(message.strip(), e.getMessage());
    }

    /** Entries that are not kept are validated too: a damaged list must not be taken for a valid one. */
    @Test
    void anInvalidEntryOutsideTheSubsetIsAFormatError() {
        String validList = Lists.list(1, true, 0, 200, "in_service").strip();
        for (int i = 0; i < 200; i += 7) {
            String invalidList = validList.replace("\"uid\":\"s-" + i + "\"", "\"uid\":7");
            assertThrows(
                    IllegalArgumentException.class, () -> Lists.read(new EndpointSubset(2, 0), invalidList, 50_000));
        }
    }

    @Test
    void aListWithoutAnEndIsAFormatError() {
        ListReader reader = new ListReader(Lists::boot, new EndpointSubset(5, 0));
        reader.read("{\"x\":[".getBytes(), list -> {});
        byte[] endlessArray = "1,".repeat(1 << 18).getBytes();
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> {
            for (int i = 0; i < 20; i++) {
                reader.read(endlessArray, list -> {});
            }
        });
        assertTrue(e.getMessage().startsWith("over "), e.getMessage());
    }

    /** Ids are kept for each endpoint: long ones would take more of the heap than the bound on endpoints allows. */
    @Test
    void aListWithALongIdIsAFormatError() {
        String list = Lists.list(1, true, 0, 5, "in_service");
        assertEquals(
                5, Lists.read(new EndpointSubset(9, 0), list, 1_000).entries().size());
        String longId = list.replace("\"uid\":\"s-3\"", "\"uid\":\"" + "s".repeat(257) + "\"");
        assertThrows(DiscoveryFormatException.class, () -> Lists.read(new EndpointSubset(9, 0), longId, 1_000));
    }

    /** Guards against a size limit for the whole list: lists of over 4 MB were once rejected as too long. */
    @Test
    void aListOfOver4MegabytesIsRead() {
        EndpointList list =
                Lists.read(new EndpointSubset(1_000_000, 0), Lists.list(1, true, 0, 50_000, "in_service"), 65_536);
        assertEquals(50_000, list.entries().size());
    }

    @Test
    void aListNestedInAnotherObjectIsReadWithoutWhatFollows() throws IOException {
        String text =
                "{\"a\":1,\"known\":" + Lists.list(3, true, 0, 50, "in_service").strip() + ",\"b\":2}";
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            while (parser.nextToken() != JsonToken.START_OBJECT || !"known".equals(parser.currentName())) {
                assertTrue(parser.currentToken() != null);
            }
            EndpointList list = ListReader.readOne(parser, Lists.boot(), new EndpointSubset(10, 0));
            assertEquals(50, list.sample().listedCount());
            assertTrue(list.entries().size() <= 10);
            assertEquals("b", parser.nextFieldName());
        }
        try (JsonParser parser = new JsonFactory().createParser("{\"rev\":1,\"targets\":[")) {
            parser.nextToken();
            assertThrows(IOException.class, () -> ListReader.readOne(parser, Lists.boot(), new EndpointSubset(10, 0)));
        }
    }

    @Test
    void aDeltaIsNotCompleteAndAnUnfinishedListIsNotReported() {
        EndpointList list = Lists.read(new EndpointSubset(10, 0), Lists.list(3, false, 0, 50, "in_service"), 1_000);
        assertTrue(!list.complete() && list.entries().size() <= 10);
        assertNull(Lists.read(new EndpointSubset(10, 0), "{\"rev\":1", 3));
    }
}
