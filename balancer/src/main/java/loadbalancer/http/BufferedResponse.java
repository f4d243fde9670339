package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/**
 * A response to a client whose body is complete.
 *
 * @param contentType the content type, or null to send none
 * @param extraName the name of an additional header, which is omitted if {@code extraValue} is null
 * @param extraValue the value of the additional header, or null
 */
record BufferedResponse(
        HttpResponseStatus status, ByteBuf body, String contentType, String extraName, String extraValue) {
    private static final String TEXT = "text/plain";

    /** Returns a response with one line of text. */
    static BufferedResponse text(HttpResponseStatus status, String line) {
        return text(status, line, null, null);
    }

    /** Returns a response with one line of text and an additional header, unless its value is null. */
    static BufferedResponse text(HttpResponseStatus status, String line, String extraName, String extraValue) {
        ByteBuf body = Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8);
        return new BufferedResponse(status, body, TEXT, extraName, extraValue);
    }
}
