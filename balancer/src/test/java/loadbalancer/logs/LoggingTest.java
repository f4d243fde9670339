package loadbalancer.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class LoggingTest {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void textOmitsFieldsAndJsonHoldsThem() throws IOException {
        AsyncLogWriter sink = new AsyncLogWriter(written, "load-balancer: ");
        Log log = Log.to(Slf4jProvider.logger("load-balancer", sink));
        log.info("set-down s1", "call", "set-down", "known", true);
        sink.drain(20_000);
        assertEquals(List.of("load-balancer: set-down s1"), lines());
        written.reset();
        sink.configure(true, 100);
        log.warn("a \"quoted\"\nline", "count", 3, "pool", "a b");
        log.info("{} stays");
        sink.drain(20_000);
        assertEquals(2, lines().size(), "one line each, whatever is in it");
        Map<String, Object> line = JSON.std.mapFrom(lines().get(0));
        assertEquals("a \"quoted\"\nline", line.get("message"));
        assertEquals("warn", line.get("level"));
        assertEquals(3, line.get("count"));
        assertEquals("a b", line.get("pool"));
        assertEquals("{} stays", JSON.std.mapFrom(lines().get(1)).get("message"));
    }

    @Test
    void aStalledReaderDropsLinesWithoutBlockingCallers() throws InterruptedException {
        CountDownLatch reads = new CountDownLatch(1);
        AsyncLogWriter sink = new AsyncLogWriter(
                new OutputStream() {
                    @Override
                    public void write(int value) {
                        written.write(value);
                    }

                    @Override
                    public void write(byte[] bytes, int offset, int length) {
                        try {
                            reads.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        written.write(bytes, offset, length);
                    }
                },
                "");
        sink.configure(false, 10);
        Log log = Log.to(Slf4jProvider.logger("x", sink));
        for (int i = 0; i < 1000; i++) {
            log.info("line " + i); // would never return if it waited
        }
        assertEquals(990, sink.dropped());
        reads.countDown();
        long until = System.nanoTime() + 20_000_000_000L;
        while (lines().size() < 11 && System.nanoTime() < until) {
            Thread.sleep(1);
        }
        assertEquals("line 9", lines().get(9));
        assertEquals("log lines dropped: 990", lines().get(10));
        log.info("again");
        sink.drain(20_000);
        assertTrue(lines().contains("again"));
    }
}
