package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** When the source of a streamed body is read. */
class BodyStreamReadingTest {
    private static final class FullSink implements BodyStream.Sink {
        @Override
        public void onData(ByteBuf bytes) {
            bytes.release();
        }

        @Override
        public void onComplete() {}

        @Override
        public void onAborted() {}

        @Override
        public boolean isWritable() {
            return false;
        }
    }

    private final EmbeddedChannel source = new EmbeddedChannel();

    /** Guards against a connection that is used again and not read, as its last body ended while its sink was full. */
    @Test
    void sourceIsReadAgainOnceItsBodyIsComplete() {
        BodyStream stream = new BodyStream(source, 10_000);
        stream.forwardTo(new FullSink());
        stream.write(Unpooled.wrappedBuffer(new byte[10_000]));
        assertFalse(source.config().isAutoRead());
        stream.complete();
        assertTrue(source.config().isAutoRead());
        stream.writabilityChanged();
        assertTrue(source.config().isAutoRead());
    }

    /** Guards against a client that is not read, so that its leaving is not seen, behind a body that has arrived. */
    @Test
    void sourceIsReadWhileItsCompleteBodyWaits() {
        BodyStream stream = new BodyStream(source, 10_000);
        stream.write(Unpooled.wrappedBuffer(new byte[10_000])); // there is no memory for it
        assertFalse(source.config().isAutoRead());
        stream.complete();
        assertTrue(source.config().isAutoRead());
        stream.forwardTo(new FullSink());
        assertTrue(source.config().isAutoRead());
    }
}
