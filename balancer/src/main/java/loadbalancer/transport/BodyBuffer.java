package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Arrays;

/**
 * Collects one body of at most {@link BodyLimits#MAX_BUFFERED_BYTES} on the heap, copied off the socket's buffers. One
 * connection reuses one buffer for message after message; not thread-safe.
 */
public final class BodyBuffer {
    private static final byte[] EMPTY = new byte[0];

    private byte[] bytes = EMPTY;
    private int lengthBytes;

    /** Returns how many bytes have been collected. */
    public int lengthBytes() {
        return lengthBytes;
    }

    /** Returns whether that many more bytes stay within the limit. */
    public boolean fits(int moreBytes) {
        return lengthBytes + moreBytes <= BodyLimits.MAX_BUFFERED_BYTES;
    }

    /** Appends what is readable of {@code more}, which {@link #fits}; its reference stays the caller's. */
    public void append(ByteBuf more) {
        int count = more.readableBytes();
        if (lengthBytes == 0) {
            bytes = ByteBufUtil.getBytes(more);
        } else if (count > 0) {
            if (lengthBytes + count > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.min(BodyLimits.MAX_BUFFERED_BYTES, 2 * (lengthBytes + count)));
            }
            more.readBytes(bytes, lengthBytes, count);
        }
        lengthBytes += count;
    }

    /** Returns the body and empties this buffer, which keeps no reference to what it returned. */
    public byte[] takeArray() {
        byte[] body = bytes.length == lengthBytes ? bytes : Arrays.copyOf(bytes, lengthBytes);
        clear();
        return body;
    }

    /** Returns the body as a Netty buffer and empties this buffer, which keeps no reference to what it returned. */
    public ByteBuf takeByteBuf() {
        ByteBuf body = Unpooled.wrappedBuffer(bytes, 0, lengthBytes);
        clear();
        return body;
    }

    /** Drops what has been collected. */
    public void clear() {
        bytes = EMPTY;
        lengthBytes = 0;
    }
}
