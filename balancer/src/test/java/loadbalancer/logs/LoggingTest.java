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

/** Tests both formats of log lines, and that a reader that stalls never blocks callers. */
class LoggingTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private List<String> lines() {
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void textLinesOmitFieldsAndJsonLinesIncludeThem() throws IOException {
        AsyncLogWriter writer = new AsyncLogWriter(output, "load-balancer: ");
        Log log = Log.to(Slf4jProvider.logger("load-balancer", writer));
        log.info("set-down s1", "call", "set-down", "known", true);
        writer.drain(20_000);
        assertEquals(List.of("load-balancer: set-down s1"), lines());
        output.reset();
        writer.configure(true, 100);
        log.warn("a \"quoted\"\nline", "count", 3, "pool", "a b");
        log.info("{} stays");
        writer.drain(20_000);
        assertEquals(2, lines().size(), "a message that contains a line end is still one line");
        Map<String, Object> line = JSON.std.mapFrom(lines().get(0));
        assertEquals("a \"quoted\"\nline", line.get("message"));
        assertEquals("warn", line.get("level"));
        assertEquals(3, line.get("count"));
        assertEquals("a b", line.get("pool"));
        assertEquals("{} stays", JSON.std.mapFrom(lines().get(1)).get("message"));
    }

    @Test
    void aStalledReaderDropsLinesWithoutBlockingCallers() throws InterruptedException {
        CountDownLatch readerResumes = new CountDownLatch(1);
        AsyncLogWriter writer = new AsyncLogWriter(
                new OutputStream() {
                    @Override
                    public void write(int value) {
                        output.write(value);
                    }

                    @Override
                    public void write(byte[] bytes, int offset, int length) {
                        try {
                            readerResumes.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        output.write(bytes, offset, length);
                    }
                },
                "");
        writer.configure(false, 10);
        Log log = Log.to(Slf4jProvider.logger("x", writer));
        for (int i = 0; i < 1000; i++) {
            log.info("line " + i); // the test would hang here if callers waited for the reader
        }
        assertEquals(990, writer.dropped());
        readerResumes.countDown();
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (lines().size() < 11 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(1);
        }
        assertEquals("line 9", lines().get(9));
        assertEquals("log lines dropped: 990", lines().get(10));
        log.info("again");
        writer.drain(20_000);
        assertTrue(lines().contains("again"));
    }
}
