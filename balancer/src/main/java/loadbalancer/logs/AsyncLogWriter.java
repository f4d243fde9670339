package loadbalancer.logs;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;

/**
 * Writes lines from a thread of its own. A reader of the log that stops reading blocks that thread alone: callers
 * never wait, what doesn't fit the queue is dropped, and how many were is said as soon as lines are written again.
 */
public final class AsyncLogWriter {
    private static final int QUEUE = 1024;

    private record Line(long at, Level level, String text, List<KeyValuePair> fields, Throwable thrown) {}

    private final OutputStream out;
    private final String prefix;
    private final LinkedBlockingQueue<Line> queue = new LinkedBlockingQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();
    private volatile int most = QUEUE;
    private volatile boolean json;
    private long said; // of what was dropped, the writer's
    private Thread writer;

    /** Writes to {@code out}; each line of text begins with {@code prefix}. */
    public AsyncLogWriter(OutputStream out, String prefix) {
        this.out = out;
        this.prefix = prefix;
    }

    /** From here on lines are JSON or text, and so many may wait. */
    public void configure(boolean asJson, int queueMost) {
        json = asJson;
        most = queueMost;
    }

    /** Lines that were dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    void add(Level level, String text, List<KeyValuePair> fields, Throwable thrown) {
        if (waiting.incrementAndGet() > most) {
            waiting.decrementAndGet();
            dropped.incrementAndGet();
            return;
        }
        queue.add(new Line(System.currentTimeMillis(), level, text, fields, thrown));
        begin();
    }

    private synchronized void begin() {
        if (writer == null) {
            writer = new Thread(this::write, "log");
            writer.setDaemon(true);
            writer.start();
        }
    }

    private void write() {
        try {
            while (true) {
                Line line = queue.take();
                put(line);
                waiting.decrementAndGet();
                long lost = dropped.get() - said;
                if (lost > 0 && queue.isEmpty()) {
                    said += lost;
                    put(new Line(
                            System.currentTimeMillis(),
                            Level.WARN,
                            "log lines dropped: " + lost,
                            List.of(new KeyValuePair("dropped", lost)),
                            null));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void put(Line line) {
        try {
            out.write((json ? json(line) : prefix + line.text + (line.thrown == null ? "" : ": " + line.thrown))
                    .concat("\n")
                    .getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            dropped.incrementAndGet(); // whoever read it has gone
        }
    }

    private static String json(Line line) throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("at", Instant.ofEpochMilli(line.at).toString());
        all.put("level", line.level.name().toLowerCase(Locale.ROOT));
        all.put("message", line.text);
        for (KeyValuePair f : line.fields) {
            all.put(f.key, f.value instanceof Number || f.value instanceof Boolean ? f.value : String.valueOf(f.value));
        }
        if (line.thrown != null) {
            all.put("thrown", String.valueOf(line.thrown));
        }
        return JSON.std.asString(all);
    }

    /** Waits until what has been said is written, at most so long. */
    public void drain(long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try {
            while (waiting.get() > 0 && System.nanoTime() < until) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
