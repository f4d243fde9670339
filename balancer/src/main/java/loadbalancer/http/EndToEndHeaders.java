package loadbalancer.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.transport.HeaderNames;

/** Selects the headers of a request that are forwarded. */
final class EndToEndHeaders {
    /** In lower case; the deadline is set anew for each attempt. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            HeaderNames.DEADLINE_MILLIS.toLowerCase(Locale.ROOT));

    private EndToEndHeaders() {}

    /** Returns a copy without hop-by-hop headers and without those that {@code Connection} names. */
    static HttpHeaders copyOf(HttpHeaders headers) {
        HttpHeaders endToEnd = new DefaultHttpHeaders();
        Set<String> connectionOptions = connectionOptions(headers);
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                endToEnd.add(header.getKey(), header.getValue());
            }
        }
        return endToEnd;
    }

    private static Set<String> connectionOptions(HttpHeaders headers) {
        List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
        return values.isEmpty()
                ? Set.of()
                : Set.copyOf(values.stream()
                        .flatMap(value ->
                                Stream.of(value.toLowerCase(Locale.ROOT).split("\\s*,\\s*")))
                        .distinct()
                        .toList());
    }
}
