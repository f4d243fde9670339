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
 * <p>Small pieces are joined until the end of a read, see {@link #flush}: as an object each, they would take many times
 * their bytes, and a slice would keep the whole buffer that it was read into.
 *
 * <p>A disconnect of the source can be detected only after all data before it has been read, and a request must not be
 * forwarded for a client that has disconnected. So with a {@link MemoryBudget} the source is also read, within
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
    /** Smaller pieces are joined. */
    private static final int MIN_PIECE_BYTES = 2 * 1024;
    /** The size of the buffers for joined and for queued bytes. */
    private static final int BLOCK_BYTES = 8 * 1024;

    private final Channel source;
    private final long lengthBytes;
    private final MemoryBudget memory;
    private int reservedBytes; // of the memory budget, for queued data
    private final ArrayDeque<ByteBuf> queued = new ArrayDeque<>(); // blocks, of which the last one may have room
    private ByteBuf joined; // small pieces that have not been forwarded or queued; null if there are none
    private final List<Runnable> completionListeners = new ArrayList<>(1);
    private Sink sink;
    private boolean consumed;
    private boolean complete;
    private boolean closed; // all data has been forwarded, or the rest is discarded
    private boolean paused;
    private long pausedAtNanos;
    private long pausedNanos;
    private final long startedAtNanos = System.nanoTime();
    private long progressAtNanos = startedAtNanos;
    private final LastByteEstimator lastByte;

    /** Creates a stream without a memory budget; {@code lengthBytes} is -1 if the length is not declared. */
    public BodyStream(Channel source, long lengthBytes) {
        this(source, lengthBytes, null);
    }

    /** Creates a stream whose queue is counted against {@code memory}, if that is not null. */
    public BodyStream(Channel source, long lengthBytes, MemoryBudget memory) {
        this.source = source;
        this.lengthBytes = lengthBytes;
        this.memory = memory;
        lastByte = new LastByteEstimator(lengthBytes, startedAtNanos);
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

    /** Returns whether the source is not read, and the body has no sink yet. */
    public boolean isWaitingUnread() {
        return paused && !consumed;
    }

    /** Returns for how long no data has arrived while the source was read; 0 while it is not read. */
    public long stalledNanos(long nowNanos) {
        return paused || closed || complete ? 0 : nowNanos - progressAtNanos;
    }

    /** Returns the time since the stream was created. */
    public long elapsedNanos(long nowNanos) {
        return nowNanos - startedAtNanos;
    }

    /** Returns how many bytes of the body have arrived. */
    public long receivedBytes() {
        return lastByte.receivedBytes();
    }

    /** Returns the total time for which reading from the source was paused, without a pause that still lasts. */
    public long pausedNanos() {
        return pausedNanos;
    }

    /** Returns the earliest time at which the source can have sent the last byte, from System.nanoTime(). */
    public long earliestLastByteNanos() {
        return lastByte.earliestNanos(System.nanoTime());
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

    /** Called when a read begins whose data has arrived at {@code arrivedNanos} at the earliest. */
    public void readStarted(long arrivedNanos) {
        lastByte.readStarted(arrivedNanos);
    }

    /** Called when a read has left the socket of the source empty. */
    public void drained() {
        if (!complete && !paused) {
            lastByte.drained(System.nanoTime());
        }
    }

    /** Forwards or queues a part of the body, and releases it in the end; a small part with the next {@link #flush}. */
    public void write(ByteBuf bytes) {
        progressAtNanos = System.nanoTime();
        lastByte.received(bytes.readableBytes(), progressAtNanos);
        if (closed) {
            bytes.release();
        } else if (bytes.readableBytes() < MIN_PIECE_BYTES) {
            join(bytes);
        } else {
            flush();
            forwardOrQueue(bytes);
        }
    }

    private void join(ByteBuf bytes) {
        if (joined != null && joined.maxWritableBytes() < bytes.readableBytes()) {
            flush();
        }
        if (joined == null) {
            joined = Unpooled.buffer(bytes.readableBytes(), BLOCK_BYTES);
        }
        joined.writeBytes(bytes);
        bytes.release();
    }

    /** Forwards or queues the small parts that have been written; called at the end of each read. */
    public void flush() {
        if (joined != null) {
            ByteBuf bytes = joined;
            joined = null;
            forwardOrQueue(bytes);
        }
    }

    private void forwardOrQueue(ByteBuf bytes) {
        if (closed) {
            bytes.release();
        } else if (sink == null) {
            enqueue(bytes);
        } else {
            sink.onData(bytes);
            writabilityChanged();
        }
    }

    // What has been read already is kept even if there is no memory for it; then nothing more is read.
    private void enqueue(ByteBuf bytes) {
        while (bytes.isReadable()) {
            ByteBuf block = queued.peekLast();
            if (block == null || !block.isWritable()) {
                block = addBlock();
            }
            block.writeBytes(bytes, Math.min(bytes.readableBytes(), block.writableBytes()));
        }
        bytes.release();
    }

    private ByteBuf addBlock() {
        boolean available = memory != null
                && reservedBytes + BLOCK_BYTES <= MAX_QUEUED_BYTES
                && memory.tryReserveDeferrable(BLOCK_BYTES);
        if (!available) {
            pause();
            if (memory != null) {
                memory.reserve(BLOCK_BYTES);
            }
        }
        reservedBytes += memory == null ? 0 : BLOCK_BYTES;
        ByteBuf block = Unpooled.buffer(BLOCK_BYTES, BLOCK_BYTES);
        queued.add(block);
        return block;
    }

    private void releaseMemory() {
        if (memory != null) {
            memory.release(reservedBytes);
            reservedBytes = 0;
        }
    }

    /**
     * Marks the body as complete: its last byte has been written. The source is read again, as what follows on its
     * connection does not belong to this body.
     */
    public void complete() {
        flush();
        complete = true;
        resume();
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
        flush();
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
        if (joined != null) {
            joined.release();
            joined = null;
        }
        releaseMemory();
        resume();
    }

    private void pause() {
        if (!closed && !complete) {
            if (!paused) {
                paused = true;
                pausedAtNanos = System.nanoTime();
                lastByte.paused(pausedAtNanos);
            }
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
