package loadbalancer.simulator.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FaultedStreamTest {
    private static final String REQUEST = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nseats";
    private static final String CHUNKED = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n";

    private static String play(FaultedStream lane, String text, int... pieces) {
        StringBuilder out = new StringBuilder();
        byte[] all = text.getBytes(StandardCharsets.ISO_8859_1);
        int at = 0;
        for (int i = 0; at < all.length; i++) {
            int n = pieces.length == 0 ? all.length : Math.min(all.length - at, pieces[i % pieces.length]);
            for (FaultedStream.Step step : lane.take(Arrays.copyOfRange(all, at, at + n))) {
                out.append(
                        step instanceof FaultedStream.Pass p
                                ? new String(p.bytes(), StandardCharsets.ISO_8859_1)
                                : "<" + ((FaultedStream.Perform) step).what() + ">");
            }
            at += n;
        }
        return out.toString();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "on 1 up cut at 0 | <CUT>",
                "on 1 up cut at 4 | POST<CUT>",
                "on 1 up reset at head-last | POST /a HTTP/1.1~Content-Length: 5~^<RESET>",
                "on 1 up half-close at body-first | POST /a HTTP/1.1~Content-Length: 5~~<HALF_CLOSE>",
                "on 1 up half-close at body-first+2 | POST /a HTTP/1.1~Content-Length: 5~~se<HALF_CLOSE>",
                "on 1 up silence at body-last | POST /a HTTP/1.1~Content-Length: 5~~seat<SILENCE>",
                "on 1 up reset at end | POST /a HTTP/1.1~Content-Length: 5~~seats<RESET>",
                "on 1 up pause at body-first | POST /a HTTP/1.1~Content-Length: 5~~<PAUSE>seatsGET / HTTP/1.1~~",
                "on 1 up cut at #2 head+3 | POST /a HTTP/1.1~Content-Length: 5~~seatsGET<CUT>",
                "on 2- up cut at 0 | POST /a HTTP/1.1~Content-Length: 5~~seatsGET / HTTP/1.1~~",
            })
    void faultsComeAtTheByteTheyName(String fault, String expected) {
        FaultedStream lane = new FaultedStream(1, true, List.of(StreamFault.of(fault)));
        assertEquals(
                expected.strip().replace("^", "\r").replace("~", "\r\n"),
                play(lane, REQUEST + "GET / HTTP/1.1\r\n\r\n"));
    }

    @Test
    void answersAreFramedBehindInterimOnesAndByTheirChunks() {
        FaultedStream lane = new FaultedStream(
                1, false, StreamFault.script("s", "on * down reset at body-last # before the very last byte\n"));
        assertEquals(CHUNKED.substring(0, CHUNKED.length() - 1) + "<RESET>", play(lane, CHUNKED, 1));
        FaultedStream twice = new FaultedStream(1, false, List.of(StreamFault.of("on 1 down twice")));
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        assertEquals(answer + answer, play(twice, answer, 7));
        FaultedStream none = new FaultedStream(1, false, List.of(StreamFault.of("on 1 down cut at #2 head")));
        String empty = "HTTP/1.1 204 No Content\r\n\r\n";
        assertEquals(empty + "<CUT>", play(none, empty + answer, 5));
    }

    /** The whole promise: pieces change neither what comes out nor the trace. */
    @Property(tries = 400, seed = "17")
    void piecesDontMatter(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 40) Integer> pieces,
            @ForAll @IntRange(max = 140) int offset,
            @ForAll @IntRange(max = 6) int which,
            @ForAll long seed) {
        List<String> scripts = List.of(
                "on 1 down cut at " + offset,
                "on 1 down pause at " + offset,
                "on 1 down half-close at body-first+" + offset % 20,
                "on 1 down reset at end",
                "on 1 down twice",
                "on 1 down garble 0.1 seed " + Math.abs(seed % 1000),
                "on 1 down silence at #2 head+" + offset % 9);
        List<StreamFault> faults = new ArrayList<>(List.of(StreamFault.of(scripts.get(which))));
        String text = CHUNKED + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz";
        FaultedStream whole = new FaultedStream(1, false, faults);
        FaultedStream cut = new FaultedStream(1, false, faults);
        assertEquals(
                play(whole, text),
                play(cut, text, pieces.stream().mapToInt(i -> i).toArray()));
        assertEquals(whole.trace(), cut.trace());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "on 1 up ctu at 3 | refuse, mute, pause, twice, garble, pieces, delay, rate",
                "on 1 cut at 3 | a direction is missing, up (towards the server) or down",
                "on 1 up refuse | refuse has no direction",
                "on 0 up cut at 3 | connections are counted from 1",
                "on 1 up cut at +3 | '+3' from which point?",
                "on 1 up cut at bdoy | no point 'bdoy'; there are head, head-last, body-first, body-last, end",
                "on 1 up delay 20 | a time with its unit, such as 20ms is wanted",
                "on 1 up garble 2 | a share of bytes, such as 0.01 is wanted",
                "on 1 up pieces 1.5 | bytes of a piece, such as 1 is wanted",
                "on 1 up cut 3 at 2 | cut takes no figure",
                "cut everything | can't be read: such as \"on 2 up cut at body-first+3\"",
            })
    void aLineThatCantBeIsNamedWithItsPlace(String line, String fault) {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> StreamFault.script("script", "# first\n" + line + "\n"));
        assertTrue(e.getMessage().startsWith("script:2: ") && e.getMessage().endsWith(fault), e.getMessage());
    }
}
