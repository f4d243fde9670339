package loadbalancer.logs;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;

/**
 * Writes lines from a thread of its own. A reader of the log that stops reading blocks that thread alone: callers
 * never wait, lines that don't fit the queue are dropped, and how many were is logged as soon as lines are written
 * again. Any thread may call it.
 */
public final class AsyncLogWriter {
    private static final int DEFAULT_MAX_QUEUED_LINES = 1024;

    private final OutputStream out;
    private final String prefix;
    private final LinkedBlockingQueue<LogLine> queue = new LinkedBlockingQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();
    private volatile int maxQueuedLines = DEFAULT_MAX_QUEUED_LINES;
    private volatile boolean json;
    private long droppedReported; // by the writer thread, which alone uses it
    private Thread writer; // guarded by this

    /** Writes to {@code out}; each line of text begins with {@code prefix}. */
    public AsyncLogWriter(OutputStream out, String prefix) {
        this.out = out;
        this.prefix = prefix;
    }

    /** From here on lines are JSON or text, and so many may wait. */
    public void configure(boolean asJson, int queuedLines) {
        json = asJson;
        maxQueuedLines = queuedLines;
    }

    /** Lines that were dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    void add(Level level, String message, List<KeyValuePair> fields, Throwable thrown) {
        if (waiting.incrementAndGet() > maxQueuedLines) {
            waiting.decrementAndGet();
            dropped.incrementAndGet();
            return;
        }
        queue.add(new LogLine(System.currentTimeMillis(), level, message, fields, thrown));
        startWriter();
    }

    private synchronized void startWriter() {
        if (writer == null) {
            writer = new Thread(this::writeLines, "log");
            writer.setDaemon(true);
            writer.start();
        }
    }

    private void writeLines() {
        try {
            while (true) {
                write(queue.take());
                waiting.decrementAndGet();
                if (queue.isEmpty()) {
                    reportDropped();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reportDropped() {
        long unreported = dropped.get() - droppedReported;
        if (unreported > 0) {
            droppedReported += unreported;
            write(new LogLine(
                    System.currentTimeMillis(),
                    Level.WARN,
                    "log lines dropped: " + unreported,
                    List.of(new KeyValuePair("dropped", unreported)),
                    null));
        }
    }

    private void write(LogLine line) {
        try {
            String text = json ? line.toJson() : line.toText(prefix);
            out.write(text.concat("\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            dropped.incrementAndGet(); // the reader of the log has gone
        }
    }

    /** Waits until the lines logged so far are written, at most that long. */
    public void drain(long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            while (waiting.get() > 0 && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
