package loadbalancer.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** Limits for how much is read from a connection at a time and how much may wait to be written to it. */
public final class ChannelBufferSettings {
    /** A connection is not writable from 32 KiB in its outbound buffer on, until less than 16 KiB are left. */
    public static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;
    /** The most bytes of one read. */
    static final int MAX_READ_BYTES = 16 << 10;

    private static final int MAX_READS_PER_ROUND = 4;

    private ChannelBufferSettings() {}

    /**
     * Returns a new allocator for one connection. Its limits keep one connection from occupying the event loop and the
     * memory alone. Within these limits a read continues until no data is left, so that a request and a disconnect
     * right after it are read together.
     */
    static RecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_ROUND);
    }
}
