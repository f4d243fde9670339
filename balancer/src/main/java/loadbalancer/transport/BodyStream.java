package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is forwarded as it arrives, from the connection that brings it, its source, to one {@link Sink}. What
 * arrives before there is a sink is queued here, and the source is read only while the sink is writable. With a {@link
 * BodyMemoryBudget} the source is read for a while also before there is a sink: the end of a connection shows only
 * behind all that arrived before it, and nothing is to be forwarded for a client that has left. Source and sink run on
 * the same event loop.
 */
public final class BodyStream {
    /** The side that a body is forwarded to. */
    public interface Sink {
        /** Takes over {@code bytes} with its reference. */
        void onData(ByteBuf bytes);

        /** The last byte has been given to {@link #onData}. */
        void onComplete();

        /** The body breaks off: nothing more follows. */
        void onAborted();

        /** Returns whether more can be taken without queueing it. */
        boolean isWritable();
    }

    private static final int MAX_QUEUED_BYTES = 1 << 20;

    private final Channel source;
    private final long lengthBytes;
    private final BodyMemoryBudget memory;
    private int reservedBytes; // of what is queued
    private final ArrayDeque<ByteBuf> queued = new ArrayDeque<>();
    private final List<Runnable> completionListeners = new ArrayList<>(1);
    private Sink sink;
    private boolean consumed;
    private boolean complete;
    private boolean closed; // nobody wants more of it, or no more follows
    private boolean paused;
    private long pausedAtNanos;
    private long pausedNanos;
    private long progressAtNanos = System.nanoTime();

    /** Creates a stream without a memory budget; {@code lengthBytes} is -1 where it isn't known beforehand. */
    public BodyStream(Channel source, long lengthBytes) {
        this(source, lengthBytes, null);
    }

    /** Creates a stream whose queue is counted against {@code memory}, which may be null. */
    public BodyStream(Channel source, long lengthBytes, BodyMemoryBudget memory) {
        this.source = source;
        this.lengthBytes = lengthBytes;
        this.memory = memory;
    }

    /** Returns the connection that brings the body. */
    public Channel source() {
        return source;
    }

    /** Returns the declared length in bytes, or -1. */
    public long lengthBytes() {
        return lengthBytes;
    }

    /** Returns whether a sink has had some of the body, so that it can't be forwarded a second time. */
    public boolean isConsumed() {
        return consumed;
    }

    /** Returns whether the last byte has arrived. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns for how long nothing has arrived although it could have; 0 while the source is not read. */
    public long stalledNanos(long nowNanos) {
        return paused || closed || complete ? 0 : nowNanos - progressAtNanos;
    }

    /** Returns for how long the source was not read because the sink was not writable. */
    public long pausedNanos() {
        return pausedNanos;
    }

    /** Runs {@code listener} when the last byte has arrived; at once where it has. */
    public void whenComplete(Runnable listener) {
        if (complete) {
            listener.run();
        } else {
            completionListeners.add(listener);
        }
    }

    // ---- called by the source

    /** Forwards or queues more of the body, and takes over its reference. */
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

    // Copied, as a few bytes would keep all of the buffer that they were read into.
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

    /** Marks the body as complete. */
    public void complete() {
        complete = true;
        completionListeners.forEach(Runnable::run);
        completionListeners.clear();
        if (sink != null && !closed) {
            Sink receiver = sink;
            closed = true;
            receiver.onComplete();
        }
    }

    /** The source has gone; without effect on a body that is complete. */
    public void abort() {
        if (!complete && !closed) {
            Sink receiver = sink;
            discard();
            if (receiver != null) {
                receiver.onAborted();
            }
        }
    }

    // ---- called by the sink

    /** Forwards what is queued, and all that follows, to {@code receiver}. */
    public void forwardTo(Sink receiver) {
        sink = receiver;
        consumed = true;
        while (!queued.isEmpty()) {
            receiver.onData(queued.poll());
        }
        releaseMemory();
        if (complete) {
            closed = true;
            receiver.onComplete();
        } else {
            writabilityChanged();
        }
    }

    /** Reads the source, or ceases to, as the sink is writable or not. */
    public void writabilityChanged() {
        if (sink != null && sink.isWritable()) {
            resume();
        } else {
            pause();
        }
    }

    /** Nobody wants the rest: what still arrives is read and dropped. */
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
            source.config().setAutoRead(false); // each time: others may have turned it on
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
