package loadbalancer.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes clients' requests strictly: a request whose end two parsers could locate differently is an error. The second
 * handler in the pipeline, after {@link ReadActivityHandler}; one object for each connection, not sharable.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    ClientRequestDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    // By default, the decoder ignores the Content-Length header and continues. An upstream that used the Content-Length
    // instead would find another request inside the body of this one (request smuggling).
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
