package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import loadbalancer.transport.HeadMemory;
import loadbalancer.transport.ReadPacer;

/**
 * Decodes responses strictly: a response that two parsers could understand differently is an error. Placed directly
 * before {@link ResponseReader} in the pipeline of a connection to an upstream. One object for each connection, not
 * sharable.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    private final ResponseReader reader;
    private final HeadMemory headMemory;
    private final ReadPacer pacer;

    UpstreamResponseDecoder(ResponseReader reader, HeadMemory headMemory, ReadPacer pacer) {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
        this.reader = reader;
        this.headMemory = headMemory;
        this.pacer = pacer;
    }

    /** Returns whether bytes have been read that are not decoded as part of a response yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) throws Exception {
        if (reader.expectsData()) {
            super.channelRead(context, part);
        } else {
            ReferenceCountUtil.release(part);
            reader.onUnexpectedData();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        int readableBytes = bytes.readableBytes();
        super.decode(context, bytes, out);
        pacer.decoded(out.size());
        headMemory.count(readableBytes - bytes.readableBytes(), out);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        headMemory.messageStarted();
        return super.createMessage(initialLine);
    }

    // By default, the decoder ignores the Content-Length header and continues.
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    // By default, the decoder takes the first word of a line without a colon as the header name.
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int size) {
        if (start + size >= line.length || line[start + size] != ':') {
            throw new IllegalArgumentException("header line without a colon");
        }
        pacer.decoded(1);
        headMemory.lineDecoded();
        return super.splitHeaderName(line, start, size);
    }
}
