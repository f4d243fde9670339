package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;

/**
 * Collects one message body of at most {@link BodyLimits#MAX_BUFFERED_BYTES} on the heap, copied from the buffers of
 * the socket. A connection reuses one buffer for all of its messages. Not thread-safe.
 */
public final class BodyBuffer {
    private static final byte[] EMPTY = new byte[0];

    private byte[] bytes = EMPTY;
    private int lengthBytes;

    /** Returns how many bytes have been collected. */
    public int lengthBytes() {
        return lengthBytes;
    }

    /** Returns how many bytes of heap are held for the collected bytes. */
    public int capacityBytes() {
        return bytes.length;
    }

    /** Returns how many further bytes of heap are held once {@code moreBytes} have been appended. */
    public int growthBytes(int moreBytes) {
        return capacityFor(moreBytes) - bytes.length;
    }

    // Doubles, so that a body that arrives in many pieces is not copied for each of them.
    private int capacityFor(int moreBytes) {
        int neededBytes = lengthBytes + moreBytes;
        if (lengthBytes == 0 || neededBytes <= bytes.length) {
            return Math.max(bytes.length, neededBytes);
        }
        return Math.min(BodyLimits.MAX_BUFFERED_BYTES, 2 * neededBytes);
    }

    /** Returns whether {@code moreBytes} further bytes stay within the limit. */
    public boolean fits(int moreBytes) {
        return lengthBytes + moreBytes <= BodyLimits.MAX_BUFFERED_BYTES;
    }

    /** Appends the readable bytes of {@code more}, which must {@link #fits fit}; the caller still has to release it. */
    public void append(ByteBuf more) {
        int count = more.readableBytes();
        if (growthBytes(count) > 0) {
            bytes = Arrays.copyOf(bytes, capacityFor(count));
        }
        more.readBytes(bytes, lengthBytes, count);
        lengthBytes += count;
    }

    /** Returns the body and empties this buffer, which keeps no reference to the returned array. */
    public byte[] takeArray() {
        byte[] body = bytes.length == lengthBytes ? bytes : Arrays.copyOf(bytes, lengthBytes);
        clear();
        return body;
    }

    /** Returns the body as a Netty buffer and empties this buffer, which keeps no reference to the returned bytes. */
    public ByteBuf takeByteBuf() {
        ByteBuf body = Unpooled.wrappedBuffer(bytes, 0, lengthBytes);
        clear();
        return body;
    }

    /** Discards the collected bytes. */
    public void clear() {
        bytes = EMPTY;
        lengthBytes = 0;
    }
}
