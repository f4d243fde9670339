package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.transport.BodyLimits;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.ConnectionMemory;
import loadbalancer.transport.HeadMemory;
import loadbalancer.transport.MemoryBudget;
import loadbalancer.transport.ReadPacer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** However a body is framed and wherever its pieces end, its request ends with its last byte. */
class RequestReaderTest {
    private static final int MAX_PIECE_BYTES = 20_000;
    private static final int REQUESTS_PER_CONNECTION = 3;
    private static final int MEMORY_BYTES = 1 << 22;

    private enum Framing {
        CONTENT_LENGTH,
        CHUNKED,
        CHUNKED_WITH_TRAILERS
    }

    /** Records the requests as they end. */
    private static class RecordingListener implements RequestReader.Listener {
        final List<byte[]> bodies = new ArrayList<>();
        ByteArrayOutputStream streamed;
        String problem;

        void onPiece() {}

        @Override
        public void onHead(HttpRequest head) {}

        @Override
        public void onRequest(HttpRequest head, int headBytes, byte[] body) {
            bodies.add(body);
        }

        @Override
        public void onStreamedRequest(HttpRequest head, int headBytes, BodyStream body) {
            streamed = new ByteArrayOutputStream();
            body.forwardTo(new BodyStream.Sink() {
                @Override
                public void onData(ByteBuf bytes) {
                    onPiece();
                    streamed.writeBytes(ByteBufUtil.getBytes(bytes));
                    bytes.release();
                }

                @Override
                public void onComplete() {
                    bodies.add(streamed.toByteArray());
                }

                @Override
                public void onAborted() {
                    problem = "aborted";
                }

                @Override
                public boolean isWritable() {
                    return true;
                }
            });
        }

        @Override
        public void onStreamedRequestComplete() {
            assertArrayEquals(streamed.toByteArray(), bodies.get(bodies.size() - 1));
        }

        @Override
        public void onInvalidRequest(HttpResponseStatus status, String reason) {
            problem = status + " " + reason;
        }
    }

    static Stream<Arguments> sizesAroundTheLimitOfBuffering() {
        int limit = BodyLimits.MAX_BUFFERED_BYTES;
        return IntStream.of(0, 1, 8_192, limit - 1, limit, limit + 1, 65_700, 66_000, 66_300, limit + 8_192, 70_000)
                .boxed()
                .flatMap(size -> Stream.of(Framing.values()).map(framing -> Arguments.of(size, framing)));
    }

    /** Each request is sent whole, as by a client on the same host, and again with its last byte alone. */
    @ParameterizedTest
    @MethodSource("sizesAroundTheLimitOfBuffering")
    void aBodyEndsWithItsLastByte(int size, Framing framing) {
        Random random = new Random(size);
        byte[] message = message(random, framing, size);
        assertBodiesAreRead(List.of(size), message, List.of(message.length));
        assertBodiesAreRead(List.of(size), message, List.of(message.length - 1, message.length));
    }

    /** Requests of random sizes follow each other on a connection, and the pieces that arrive end anywhere. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void pipelinedBodiesEndWithTheirLastBytes(Framing framing) {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            ByteArrayOutputStream messages = new ByteArrayOutputStream();
            List<Integer> sizes = new ArrayList<>();
            for (int i = 0; i < REQUESTS_PER_CONNECTION; i++) {
                sizes.add(random.nextInt(4) == 0 ? random.nextInt(200_000) : 65_537 + random.nextInt(9_000));
                messages.writeBytes(message(random, framing, sizes.get(i)));
            }
            List<Integer> ends = new ArrayList<>();
            for (int end = 0; end < messages.size(); ) {
                end = Math.min(messages.size(), end + 1 + random.nextInt(MAX_PIECE_BYTES));
                ends.add(end);
            }
            assertBodiesAreRead(sizes, messages.toByteArray(), ends);
        }
    }

    /** As an object each, pieces of one byte would take a hundred times their bytes. */
    @Test
    void smallPiecesAreJoined() {
        int[] pieces = new int[1];
        RecordingListener listener = new RecordingListener() {
            @Override
            void onPiece() {
                pieces[0]++;
            }
        };
        MemoryBudget memory = new MemoryBudget(MEMORY_BYTES);
        EmbeddedChannel channel = channel(listener, memory);
        int size = 200_000;
        StringBuilder message = new StringBuilder("POST /api/k1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        message.append("1\r\nx\r\n".repeat(size)).append("0\r\n\r\n");
        channel.writeInbound(Unpooled.copiedBuffer(message, StandardCharsets.ISO_8859_1));
        assertEquals(size, listener.bodies.get(0).length);
        assertTrue(pieces[0] <= size / 4_096, size + " bytes came in " + pieces[0] + " pieces");
        channel.finishAndReleaseAll();
    }

    private static EmbeddedChannel channel(RequestReader.Listener listener, MemoryBudget memory) {
        ConnectionMemory connectionMemory = new ConnectionMemory(new MemoryBudget(MEMORY_BYTES));
        HeadMemory headMemory = new HeadMemory(connectionMemory);
        return new EmbeddedChannel(
                new ClientRequestDecoder(headMemory, new ReadPacer()),
                new RequestReader(listener, memory, headMemory, connectionMemory));
    }

    private static void assertBodiesAreRead(List<Integer> sizes, byte[] messages, List<Integer> pieceEnds) {
        RecordingListener listener = new RecordingListener();
        MemoryBudget memory = new MemoryBudget(MEMORY_BYTES);
        EmbeddedChannel channel = channel(listener, memory);
        int begin = 0;
        for (int end : pieceEnds) {
            channel.writeInbound(Unpooled.copiedBuffer(messages, begin, end - begin));
            begin = end;
        }
        assertEquals(null, listener.problem);
        assertEquals(sizes, listener.bodies.stream().map(body -> body.length).toList());
        for (byte[] body : listener.bodies) {
            assertArrayEquals(body(body.length), body);
        }
        assertTrue(memory.tryReserve(MEMORY_BYTES), "memory stays reserved");
        channel.finishAndReleaseAll();
    }

    // Each size has bytes of its own, so that no body can be taken for a part of another.
    private static byte[] body(int size) {
        byte[] body = new byte[size];
        new Random(size).nextBytes(body);
        return body;
    }

    private static byte[] message(Random random, Framing framing, int size) {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        String header = framing == Framing.CONTENT_LENGTH ? "Content-Length: " + size : "Transfer-Encoding: chunked";
        write(message, "POST /api/k1 HTTP/1.1\r\nHost: x\r\n" + header + "\r\n\r\n");
        byte[] body = body(size);
        if (framing == Framing.CONTENT_LENGTH) {
            message.writeBytes(body);
            return message.toByteArray();
        }
        for (int begin = 0; begin < size; ) {
            int count = Math.min(size - begin, 1 + random.nextInt(MAX_PIECE_BYTES));
            write(message, Integer.toHexString(count) + (random.nextBoolean() ? ";x=y\r\n" : "\r\n"));
            message.write(body, begin, count);
            write(message, "\r\n");
            begin += count;
        }
        write(message, framing == Framing.CHUNKED ? "0\r\n\r\n" : "0\r\nChecksum: 1\r\n\r\n");
        return message.toByteArray();
    }

    private static void write(ByteArrayOutputStream message, String text) {
        message.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
