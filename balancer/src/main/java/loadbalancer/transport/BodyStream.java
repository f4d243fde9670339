package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is forwarded as it arrives, from a source (the connection that receives it) to one {@link Sink}. Reading
 * of the source is paused while the sink is not writable. Data that arrives before the sink is set is queued.
 *
 * <p>A disconnect of the source can be detected only after all data before it has been read, and a request must not be
 * forwarded for a client that has disconnected. So with a {@link BodyMemoryBudget} the source is also read, within
 * limits, while there is no sink yet. Source and sink run on the same event loop.
 */
public final class BodyStream {
    /** The destination of a body. */
    public interface Sink {
        /** Consumes {@code bytes}, which the sink has to release. */
        void onData(ByteBuf bytes);

        /** Called after the last byte has been given to {@link #onData}. */
        void onComplete();

        /** Called if the body ends early; no further call follows. */
        void onAborted();

        /** Returns whether the sink can take more data without queueing it. */
        boolean isWritable();
    }

    private static final int MAX_QUEUED_BYTES = 1 << 20;

    private final Channel source;
    private final long lengthBytes;
    private final BodyMemoryBudget memory;
    private int reservedBytes; // of the memory budget, for queued data
    private final ArrayDeque<ByteBuf> queued = new ArrayDeque<>();
    private final List<Runnable> completionListeners = new ArrayList<>(1);
    private Sink sink;
    private boolean consumed;
    private boolean complete;
    private boolean closed; // all data has been forwarded, or the rest is discarded
    private boolean paused;
    private long pausedAtNanos;
    private long pausedNanos;
    private long progressAtNanos = System.nanoTime();

    /** Creates a stream without a memory budget; {@code lengthBytes} is -1 if the length is not declared. */
    public BodyStream(Channel source, long lengthBytes) {
        this(source, lengthBytes, null);
    }

    /** Creates a stream whose queue is counted against {@code memory}, if that is not null. */
    public BodyStream(Channel source, long lengthBytes, BodyMemoryBudget memory) {
        this.source = source;
        this.lengthBytes = lengthBytes;
        this.memory = memory;
    }

    /** Returns the connection that receives the body. */
    public Channel source() {
        return source;
    }

    /** Returns the declared length in bytes, or -1 if there is none. */
    public long lengthBytes() {
        return lengthBytes;
    }

    /** Returns whether a sink has been set or the body discarded, so that it can't be forwarded again. */
    public boolean isConsumed() {
        return consumed;
    }

    /** Returns whether the last byte has arrived. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns for how long no data has arrived while the source was read; 0 while it is not read. */
    public long stalledNanos(long nowNanos) {
        return paused || closed || complete ? 0 : nowNanos - progressAtNanos;
    }

    /** Returns the total time for which reading from the source was paused, without a pause that still lasts. */
    public long pausedNanos() {
        return pausedNanos;
    }

    /** Runs {@code listener} when the last byte has arrived, or immediately if it already has. */
    public void whenComplete(Runnable listener) {
        if (complete) {
            listener.run();
        } else {
            completionListeners.add(listener);
        }
    }

    // ---- called by the source

    /** Forwards or queues a part of the body, and releases it in the end. */
    public void write(ByteBuf bytes) {
        progressAtNanos = System.nanoTime();
        if (closed) {
            bytes.release();
        } else if (sink == null) {
            enqueue(bytes);
        } else {
            sink.onData(bytes);
            writabilityChanged();
        }
    }

    // The bytes are copied because a small slice would keep the whole buffer that it was read into from being freed.
    private void enqueue(ByteBuf bytes) {
        int count = bytes.readableBytes();
        if (memory != null && reservedBytes + count <= MAX_QUEUED_BYTES && memory.tryReserveDeferrable(count)) {
            reservedBytes += count;
            queued.add(Unpooled.copiedBuffer(bytes));
            bytes.release();
        } else {
            queued.add(bytes);
            pause();
        }
    }

    private void releaseMemory() {
        if (memory != null) {
            memory.release(reservedBytes);
            reservedBytes = 0;
        }
    }

    /** Marks the body as complete: its last byte has been written. */
    public void complete() {
        complete = true;
        completionListeners.forEach(Runnable::run);
        completionListeners.clear();
        if (sink != null && !closed) {
            Sink previousSink = sink;
            closed = true;
            previousSink.onComplete();
        }
    }

    /** Ends the body early as its source has closed; has no effect on a complete body. */
    public void abort() {
        if (!complete && !closed) {
            Sink previousSink = sink;
            discard();
            if (previousSink != null) {
                previousSink.onAborted();
            }
        }
    }

    // ---- called by the sink

    /** Forwards the queued data and all further data to {@code newSink}. */
    public void forwardTo(Sink newSink) {
        sink = newSink;
        consumed = true;
        while (!queued.isEmpty()) {
            newSink.onData(queued.poll());
        }
        releaseMemory();
        if (complete) {
            closed = true;
            newSink.onComplete();
        } else {
            writabilityChanged();
        }
    }

    /** Resumes or pauses reading from the source, depending on whether the sink is writable. */
    public void writabilityChanged() {
        if (sink != null && sink.isWritable()) {
            resume();
        } else {
            pause();
        }
    }

    /** Discards the queued data; data that still arrives is read and discarded. */
    public void discard() {
        closed = true;
        sink = null;
        consumed = true;
        while (!queued.isEmpty()) {
            queued.poll().release();
        }
        releaseMemory();
        resume();
    }

    private void pause() {
        if (!closed) {
            pausedAtNanos = paused ? pausedAtNanos : System.nanoTime();
            paused = true;
            source.config().setAutoRead(false); // on each call, as other code may have turned it on
        }
    }

    private void resume() {
        if (paused) {
            paused = false;
            progressAtNanos = System.nanoTime();
            pausedNanos += progressAtNanos - pausedAtNanos;
            source.config().setAutoRead(true);
        }
    }
}
