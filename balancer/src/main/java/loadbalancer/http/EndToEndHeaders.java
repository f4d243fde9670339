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

/** Selects the headers of a request that are forwarded to the upstream. */
final class EndToEndHeaders {
    /** Hop-by-hop headers and the deadline header, which is set for each attempt; in lower case. */
    private static final Set<String> NOT_FORWARDED = Set.of(
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

    /** Returns a copy without the hop-by-hop headers and those that the {@code Connection} header lists. */
    static HttpHeaders copyOf(HttpHeaders headers) {
        HttpHeaders endToEnd = new DefaultHttpHeaders();
        Set<String> connectionOptions = connectionOptions(headers);
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name) && !connectionOptions.contains(name)) {
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
