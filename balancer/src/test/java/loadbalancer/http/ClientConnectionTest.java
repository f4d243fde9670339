package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.MemoryBudgets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The timeouts of a client connection whose response has not been written to the socket. */
class ClientConnectionTest {
    /** A channel whose socket takes nothing until the client reads. */
    private static final class StalledChannel extends EmbeddedChannel {
        private boolean clientReads;

        @Override
        protected void doWrite(ChannelOutboundBuffer in) throws Exception {
            if (clientReads) {
                super.doWrite(in);
            }
        }
    }

    private final StalledChannel channel = new StalledChannel();
    private final ClientConnection connection = new ClientConnection(
            new ClientRequestHandler(new ServingState(), null, null, () -> 0), MemoryBudgets.create(), channel);

    private static long nowPlusSeconds(int seconds) {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    }

    /**
     * Guards against a response that is cut off as its connection counts as idle, or as lingering, from when its last
     * byte was handed to the channel.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n"})
    void aConnectionIsNotIdleBeforeItsClientHasTakenTheResponse(String header) {
        send("GET /-/ready HTTP/1.1\r\nHost: b\r\n" + header + "\r\n");
        assertTrue(connection.hasPendingResponse());
        assertEquals(-1, connection.idleNanos(nowPlusSeconds(6)));
        connection.checkTimeouts(nowPlusSeconds(6));
        assertTrue(channel.isOpen());
        channel.clientReads = true;
        channel.flush();
        connection.checkTimeouts(nowPlusSeconds(6));
        assertFalse(channel.isOpen());
    }

    /** The same for a connection that waits for its client to close, behind the response to an invalid request. */
    @ParameterizedTest
    @ValueSource(strings = {"GET / HTTP/1.1\r\nno colon\r\n\r\n"})
    void aRejectionIsNotCutOff(String invalidRequest) {
        send(invalidRequest);
        connection.checkTimeouts(nowPlusSeconds(6));
        assertTrue(channel.isOpen());
    }

    private void send(String request) {
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
        channel.runPendingTasks();
    }
}
