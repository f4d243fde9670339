package loadbalancer.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes clients' requests strictly: where two readers could differ about where a request ends, it is an error. Second
 * in a client's pipeline, behind {@link ReadActivityHandler}; one object for each connection, not sharable.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    ClientRequestDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    // By itself the decoder drops the length and goes on: an upstream that went by the length instead would find
    // another
    // request inside the body of this one.
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
