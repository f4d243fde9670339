package loadbalancer.transport;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Limits the header lines of one message while it is decoded, and counts the heap that its head and its trailers take.
 * A decoder keeps each line as objects, so many short lines take over twenty times their bytes. Belongs to one decoder;
 * used on the event loop's thread only.
 */
public final class HeadMemory {
    /** The most header lines of a message, trailers included. */
    public static final int MAX_LINES = 100;

    /** Heap of a message without its header lines: the message, its map of headers and the parts of its first line. */
    private static final int MESSAGE_BYTES = 512;
    /** Heap of a header line besides its characters: the entry of the map, and two strings with their arrays. */
    private static final int LINE_BYTES = 144;

    private final ConnectionMemory memory;
    private int lines; // of this message
    private boolean open; // a head or trailers have begun and have not been taken
    private int uncountedBytes; // heap that is not counted as held yet
    private int heldBytes;

    /** Creates a counter whose heap is counted against {@code memory}. */
    public HeadMemory(ConnectionMemory memory) {
        this.memory = memory;
    }

    /** Called when the first line of a message has been decoded. */
    public void messageStarted() {
        lines = 0;
        open = true;
        uncountedBytes += MESSAGE_BYTES;
    }

    /**
     * Called for each header line.
     *
     * @throws TooLongHttpHeaderException if the message has too many
     */
    public void lineDecoded() {
        open = true;
        uncountedBytes += LINE_BYTES;
        if (++lines > MAX_LINES) {
            throw new TooLongHttpHeaderException("over " + MAX_LINES + " header lines");
        }
    }

    /**
     * Counts what a decoder has decoded of a head or of trailers.
     *
     * @param decodedBytes the bytes of the connection that the decoder has consumed
     * @param decoded the messages that the decoder has made of them
     * @throws HeadMemoryException if there is no memory for it; {@code decoded} is empty then
     */
    public void count(int decodedBytes, List<Object> decoded) {
        if (!open) {
            return;
        }
        int bytes = uncountedBytes + decodedBytes;
        uncountedBytes = 0;
        if (!memory.tryReserve(bytes)) {
            decoded.forEach(ReferenceCountUtil::release);
            decoded.clear();
            throw new HeadMemoryException();
        }
        heldBytes += bytes;
    }

    /**
     * Ends the head or the trailers.
     *
     * @return the heap that is held for it, which the caller has to release
     */
    public int take() {
        int bytes = heldBytes;
        heldBytes = 0;
        open = false;
        return bytes;
    }
}
