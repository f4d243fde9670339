package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is passed on as it comes, from the connection that brings it to one that takes it. What comes
 * before there is a taker waits here; the connection that brings it is read only while the taker has room. Where there
 * is a {@link BodyMemoryBudget} it is read for a while also before there is a taker: the end of a connection shows
 * only behind all
 * that came before it, and nothing is to be sent on for a client that has left.
 */
public final class BodyStream {
    /** The side that takes the body. */
    public interface Sink {
        /** Takes over {@code bytes}. */
        void more(ByteBuf bytes);

        void whole();

        /** It breaks off: no more comes. */
        void broken();

        boolean hasRoom();
    }

    private static final int HELD_MOST = 1 << 20; // bytes that may wait for a taker

    private final Channel source;
    private final long length;
    private final BodyMemoryBudget room;
    private int held; // bytes that wait and are counted against the room
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private final List<Runnable> whenWhole = new ArrayList<>(1);
    private Sink sink;
    private boolean taken;
    private boolean whole;
    private boolean over; // nobody wants it any more, or nothing more comes
    private boolean paused;
    private long pausedAt;
    private long pausedFor;
    private long movedAt = System.nanoTime();

    /** {@code length} is -1 where it isn't known beforehand. */
    public BodyStream(Channel source, long length) {
        this(source, length, null);
    }

    /** What comes before there is a taker takes some of {@code room}, which may be null. */
    public BodyStream(Channel source, long length, BodyMemoryBudget room) {
        this.source = source;
        this.length = length;
        this.room = room;
    }

    /** The connection that brings it. */
    public Channel source() {
        return source;
    }

    public long length() {
        return length;
    }

    /** Whether a taker has had some of it: it can't be passed on a second time. */
    public boolean taken() {
        return taken;
    }

    public boolean whole() {
        return whole;
    }

    /** How long nothing has come, in ns, although it could have; 0 while its taker has no room. */
    public long silentFor(long now) {
        return paused || over || whole ? 0 : now - movedAt;
    }

    /** For how long it was not read for want of room, in ns. */
    public long pausedFor() {
        return pausedFor;
    }

    /** Runs {@code then} when its last byte has come; at once where that is so. */
    public void whenWhole(Runnable then) {
        if (whole) {
            then.run();
        } else {
            whenWhole.add(then);
        }
    }

    // ---------------------------------------------------------------- the side that brings it

    /** More has come; its reference is the flow's from here on. */
    public void add(ByteBuf bytes) {
        movedAt = System.nanoTime();
        if (over) {
            bytes.release();
        } else if (sink == null) {
            wait(bytes);
        } else {
            sink.more(bytes);
            roomChanged();
        }
    }

    // Copied, as a few bytes would keep all of the buffer that they were read into.
    private void wait(ByteBuf bytes) {
        int many = bytes.readableBytes();
        if (room != null && held + many <= HELD_MOST && room.spare(many)) {
            held += many;
            waiting.add(Unpooled.copiedBuffer(bytes));
            bytes.release();
        } else {
            waiting.add(bytes);
            pause();
        }
    }

    private void give() {
        if (room != null) {
            room.give(held);
            held = 0;
        }
    }

    public void end() {
        whole = true;
        whenWhole.forEach(Runnable::run);
        whenWhole.clear();
        if (sink != null && !over) {
            Sink to = sink;
            over = true;
            to.whole();
        }
    }

    /** The side that brings it is gone. */
    public void breakOff() {
        if (!whole && !over) {
            Sink to = sink;
            discard();
            if (to != null) {
                to.broken();
            }
        }
    }

    // ---------------------------------------------------------------- the side that takes it

    public void to(Sink taker) {
        sink = taker;
        taken = true;
        while (!waiting.isEmpty()) {
            taker.more(waiting.poll());
        }
        give();
        if (whole) {
            over = true;
            taker.whole();
        } else {
            roomChanged();
        }
    }

    /** The taker has more room than it had, or less. */
    public void roomChanged() {
        if (sink != null && sink.hasRoom()) {
            resume();
        } else {
            pause();
        }
    }

    /** Nobody wants the rest: what still comes is read and dropped. */
    public void discard() {
        over = true;
        sink = null;
        taken = true;
        while (!waiting.isEmpty()) {
            waiting.poll().release();
        }
        give();
        resume();
    }

    private void pause() {
        if (!over) {
            pausedAt = paused ? pausedAt : System.nanoTime();
            paused = true;
            source.config().setAutoRead(false); // each time: others may have set it
        }
    }

    private void resume() {
        if (paused) {
            paused = false;
            movedAt = System.nanoTime();
            pausedFor += movedAt - pausedAt;
            source.config().setAutoRead(true);
        }
    }
}
