package loadbalancer.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** How much is read from a connection at a time, and how much may wait to be written to one. */
public final class ChannelBufferSettings {
    /** Between 16 and 32 KiB wait in a connection's outbound buffer before it counts as not writable. */
    public static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16 << 10;
    private static final int MAX_READS_PER_ROUND = 4;

    private ChannelBufferSettings() {}

    /**
     * Returns a new allocator for one bootstrap. Its limits keep one connection from holding the event loop, and
     * memory, to itself. A round reads on until nothing is left, so that a request and the end of its connection right
     * behind it are read together.
     */
    public static RecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_ROUND);
    }
}
