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
 * Writes log lines from a thread of its own. If the reader of the log stops reading, only that thread blocks: callers
 * never wait. Lines that don't fit into the queue are dropped, and their number is logged as soon as lines are written
 * again. Thread-safe.
 */
public final class AsyncLogWriter {
    private static final int DEFAULT_MAX_QUEUED_LINES = 1024;

    private final OutputStream out;
    private final String prefix;
    private final LinkedBlockingQueue<LogLine> queue = new LinkedBlockingQueue<>();
    private final AtomicInteger queuedLines = new AtomicInteger(); // including the line that is being written
    private final AtomicLong dropped = new AtomicLong();
    private volatile int maxQueuedLines = DEFAULT_MAX_QUEUED_LINES;
    private volatile boolean json;
    private long reportedDropped; // used only by the writer thread
    private Thread writer; // guarded by this

    /** Creates a writer to {@code out}; in the text format each line begins with {@code prefix}. */
    public AsyncLogWriter(OutputStream out, String prefix) {
        this.out = out;
        this.prefix = prefix;
    }

    /** Sets the format of the lines, JSON or text, and the maximum number of queued lines. */
    public void configure(boolean newJson, int newMaxQueuedLines) {
        json = newJson;
        maxQueuedLines = newMaxQueuedLines;
    }

    /** Returns the number of lines dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    void add(Level level, String message, List<KeyValuePair> fields, Throwable thrown) {
        if (queuedLines.incrementAndGet() > maxQueuedLines) {
            queuedLines.decrementAndGet();
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
                queuedLines.decrementAndGet();
                if (queue.isEmpty()) {
                    reportDropped();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reportDropped() {
        long unreported = dropped.get() - reportedDropped;
        if (unreported > 0) {
            reportedDropped += unreported;
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
            dropped.incrementAndGet(); // the reader of the log has closed its end
        }
    }

    /** Waits until all queued lines are written, for at most {@code timeoutMillis}. */
    public void drain(long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            while (queuedLines.get() > 0 && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
