package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;
import loadbalancer.transport.HeadMemory;
import loadbalancer.transport.ReadPacer;

/**
 * Decodes clients' requests strictly: a request whose end two parsers could locate differently is an error, and so is
 * one whose head is too large. The second handler in the pipeline, after {@link ReadActivityHandler}; one object for
 * each connection, not sharable.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    private final HeadMemory headMemory;
    private final ReadPacer pacer;

    ClientRequestDecoder(HeadMemory headMemory, ReadPacer pacer) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES));
        this.headMemory = headMemory;
        this.pacer = pacer;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        int readableBytes = bytes.readableBytes();
        super.decode(context, bytes, out);
        pacer.decoded(out.size());
        headMemory.count(readableBytes - bytes.readableBytes(), out);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        headMemory.messageStarted();
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int size) {
        pacer.decoded(1);
        headMemory.lineDecoded();
        return super.splitHeaderName(line, start, size);
    }

    // By default, the decoder ignores the Content-Length header and continues. An upstream that used the Content-Length
    // instead would find another request inside the body of this one (request smuggling).
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
