package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BodyBufferTest {
    private final BodyBuffer buffer = new BodyBuffer();

    @Test
    void partsAreJoinedInOrder() {
        byte[] body = new byte[BodyLimits.MAX_BUFFERED_BYTES];
        new Random(7).nextBytes(body);
        int partBytes = 5_000;
        for (int from = 0; from < body.length; from += partBytes) {
            buffer.append(Unpooled.copiedBuffer(body, from, Math.min(partBytes, body.length - from)));
        }
        assertEquals(body.length, buffer.lengthBytes());
        assertArrayEquals(body, buffer.takeArray());
    }

    @Test
    void bytesBeyondTheLimitDontFit() {
        buffer.append(Unpooled.wrappedBuffer(new byte[BodyLimits.MAX_BUFFERED_BYTES - 1]));
        assertTrue(buffer.fits(1));
        assertFalse(buffer.fits(2));
    }

    @Test
    void takingEmptiesTheBufferAndKeepsNoReference() {
        buffer.append(Unpooled.wrappedBuffer(new byte[] {1, 2}));
        buffer.append(Unpooled.wrappedBuffer(new byte[] {3}));
        ByteBuf first = buffer.takeByteBuf();
        buffer.append(Unpooled.wrappedBuffer(new byte[] {4}));
        assertEquals(Unpooled.wrappedBuffer(new byte[] {1, 2, 3}), first);
        assertArrayEquals(new byte[] {4}, buffer.takeArray());
        assertArrayEquals(new byte[0], buffer.takeArray());
    }
}
