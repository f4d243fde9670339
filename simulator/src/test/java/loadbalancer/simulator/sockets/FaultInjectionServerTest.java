package loadbalancer.simulator.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.simulator.faultinjection.StreamFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FaultInjectionServerTest {
    private static final String BOOK = "POST /a HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 6\r\n\r\nseat 7";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private StandInEndpoint box;
    private FaultInjectionServer wreck;
    private InetSocketAddress at;

    @BeforeEach
    void open() throws IOException {
        box = new StandInEndpoint(head -> StandInEndpoint.ok("booked"));
        wreck = new FaultInjectionServer(group.next(), box.address(), List.of());
        at = wreck.listen(0);
    }

    @AfterEach
    void close() throws IOException {
        wreck.close();
        box.close();
        group.shutdownGracefully();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "# nothing | answer | 1",
                "on 1 up half-close at body-first+3 | closed | 0",
                "on 1 up cut at body-last | closed | 0",
                "on 1 up reset at head-last | reset | 0",
                "on 1 up cut at end | closed | 1",
                "on 1 down cut at 0 | closed | 1",
                "on 1 down cut at body-first+2 | partial | 1",
                "on 1 down reset at body-last | partial | 1",
                "on 1 down half-close at body-last | partial | 1",
                "on 1 down silence at 0 | silent | 1",
                "on 1 up silence at 4 | silent | 0",
                "on 1 refuse | reset | 0",
                "on 1 mute | silent | 0",
                "on 1 up pieces 1 | answer | 1",
                "on 1 down pieces 3 | answer | 1",
                "on 1 down rate 64KiB/s | answer | 1",
                "on 1 up delay 2ms | answer | 1",
            })
    void aFaultIsFeltByBothSides(String script, String end, int ran) throws InterruptedException {
        wreck.script(StreamFault.script("s", script));
        Exchange seen = Exchange.of(at, BOOK, end.equals("silent") ? 300 : 20_000);
        assertEquals(end.strip(), seen.end(), seen.toString());
        long until = System.nanoTime() + 20_000_000_000L;
        while (box.ran("r1") < ran && System.nanoTime() < until) {
            Thread.sleep(1); // a client that was cut off may be ahead of the box
        }
        assertEquals(ran, box.ran("r1"));
    }

    @Test
    void theSameScriptGivesTheSameTraceTwentyTimes() {
        Set<List<String>> traces = new HashSet<>();
        List<StreamFault> script = StreamFault.script(
                "s",
                "on 1 up pieces 7\non 1 down garble 0.2 seed 5\non 2 up cut at 40\n"
                        + "on 3 down twice\non 4 down half-close at body-first+1\non 5 refuse\n");
        for (int i = 0; i < 20; i++) {
            FaultInjectionServer once = new FaultInjectionServer(group.next(), box.address(), script);
            try {
                InetSocketAddress here = once.listen(0);
                for (int c = 0; c < 5; c++) {
                    Exchange.of(here, BOOK, 20_000);
                }
                traces.add(new ArrayList<>(once.trace()));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            } finally {
                once.close();
            }
        }
        assertEquals(1, traces.size(), traces.toString());
        assertTrue(traces.iterator().next().size() >= 5, traces.toString());
    }

    /** A sample of the whole matrix, which is a command of its own; the jar is built before this module. */
    @Test
    void nothingRunsTwiceWhereverAConnectionBreaks() throws IOException {
        Path jar = Path.of("../balancer/target/load-balancer.jar");
        Assumptions.assumeTrue(Files.isReadable(jar), "the balancer is built in the same run");
        List<KillMatrix.Result> results = new KillMatrix(jar, 40).run(2, (done, all) -> {});
        List<KillMatrix.Result> wrong = results.stream()
                .filter(r -> r.wrong() != null && !r.wrong().startsWith("answered after"))
                .toList();
        assertEquals(List.of(), wrong);
        assertTrue(
                results.stream().filter(KillMatrix.Result::struck).count() > results.size() * 0.9,
                results.stream().filter(r -> !r.struck()).toList().toString());
    }
}
