package loadbalancer.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** How much is read from a connection at a time, and how much may wait to leave on one. */
public final class ReadBufferSettings {
    public static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(16 << 10, 32 << 10);
    private static final int MOST = 16 << 10;
    private static final int IN_A_ROW = 4;

    private ReadBufferSettings() {}

    /**
     * Guards against one connection that keeps the loop, and memory, to itself. Each look reads until nothing is left
     * or the end has come: a request and the end of its connection behind it are then read together.
     */
    public static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(512, 2_048, MOST)
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(IN_A_ROW);
    }
}
