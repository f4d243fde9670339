package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** How much is read from one connection in one turn of the event loop. */
@SuppressWarnings("deprecation") // Netty marks Handle
class ReadPacerTest {
    private static final int TURNS = 50;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ReadPacer pacer = new ReadPacer();
    private final RecvByteBufAllocator.Handle handle = pacer.newHandle();

    /** Plays a turn with a full socket, in which each unit of work takes that many bytes; returns the units. */
    private int turn(int bytesOfUnit) {
        handle.reset(channel.config());
        int units = 0;
        do {
            int bytes = handle.guess();
            handle.attemptedBytesRead(bytes);
            handle.lastBytesRead(bytes);
            handle.incMessagesRead(1);
            units += bytes / bytesOfUnit;
            pacer.decoded(bytes / bytesOfUnit);
        } while (handle.continueReading());
        return units;
    }

    /** Guards against a client that occupies the loop with chunks of a byte each, at full speed. */
    @Test
    void aTurnEndsWhenItsWorkIsDone() {
        turn(6);
        for (int i = 0; i < TURNS; i++) {
            assertTrue(turn(6) <= 2 * ReadPacer.MAX_UNITS_PER_TURN);
        }
    }

    /** Also right after the connection has sent a large body, whose reads are large. */
    @Test
    void aConnectionThatTurnsExpensiveIsSlowedDownWithinATurn() {
        for (int i = 0; i < TURNS; i++) {
            turn(1 << 20);
        }
        assertEquals(ChannelBufferSettings.MAX_READ_BYTES / 6, turn(6));
        assertTrue(turn(6) <= 2 * ReadPacer.MAX_UNITS_PER_TURN);
    }

    @Test
    void aConnectionWithLargePiecesIsReadAtFullSize() {
        for (int i = 0; i < TURNS; i++) {
            turn(6);
        }
        for (int i = 0; i < TURNS; i++) {
            turn(1 << 20);
        }
        handle.reset(channel.config());
        assertEquals(ChannelBufferSettings.MAX_READ_BYTES, handle.guess());
        assertFalse(handle.guess() > ChannelBufferSettings.MAX_READ_BYTES);
    }
}
