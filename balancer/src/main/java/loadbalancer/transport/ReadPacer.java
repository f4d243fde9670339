package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Limits how much is read from one connection in one turn of the event loop, by the work that its bytes cause. Small
 * chunks and header lines cost many times as much as the same bytes of a body, so a limit in bytes alone would let one
 * peer that sends them at full speed occupy the loop. The decoder of the connection reports its work; past the limit
 * the turn ends, and the next reads are as small as the work demands. One object for each connection; used on the event
 * loop's thread only.
 */
@SuppressWarnings("deprecation") // Netty marks Handle, and has no other delegating one
public final class ReadPacer implements RecvByteBufAllocator {
    /** How many header lines, heads and pieces of bodies are decoded for one connection in one turn, about. */
    static final int MAX_UNITS_PER_TURN = 128;

    private static final int MIN_READ_BYTES = 256;

    private final RecvByteBufAllocator allocator = ChannelBufferSettings.receiveBufferAllocator();
    private int units; // of this turn
    private int bytes; // of this turn
    private int maxReadBytes = ChannelBufferSettings.MAX_READ_BYTES;

    /** Creates a pacer and makes {@code channel} read by it. */
    public static ReadPacer attachTo(Channel channel) {
        ReadPacer pacer = new ReadPacer();
        channel.config().setRecvByteBufAllocator(pacer);
        return pacer;
    }

    /** Called by the decoder when it has decoded {@code moreUnits} lines, heads or pieces. */
    public void decoded(int moreUnits) {
        units += moreUnits;
    }

    @Override
    public Handle newHandle() {
        return new PacedHandle(allocator.newHandle());
    }

    private void startTurn() {
        maxReadBytes = units > MAX_UNITS_PER_TURN
                ? Math.max(MIN_READ_BYTES, (int) ((long) bytes * MAX_UNITS_PER_TURN / units))
                : Math.min(ChannelBufferSettings.MAX_READ_BYTES, 2 * maxReadBytes);
        units = 0;
        bytes = 0;
    }

    /** The handle of the connection's channel. */
    private final class PacedHandle extends DelegatingHandle {
        PacedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            startTurn();
            super.reset(config);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator bufferAllocator) {
            return bufferAllocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(maxReadBytes, super.guess());
        }

        @Override
        public void lastBytesRead(int count) {
            bytes += Math.max(0, count);
            super.lastBytesRead(count);
        }

        @Override
        public boolean continueReading() {
            return units <= MAX_UNITS_PER_TURN && super.continueReading();
        }
    }
}
