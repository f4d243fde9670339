package loadbalancer.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import loadbalancer.policy.Idempotency;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.InboundRequest;

/** Creates an {@link InboundRequest} from the head and the body of a client's request. */
final class InboundRequestParser {
    private static final int MAX_NAME_CHARS = 256; // of a request id or an idempotency key
    private static final int MAX_NUMBER_DIGITS = 12;
    private static final long MAX_DEADLINE_MILLIS = 600_000; // limits how long a request is kept
    private static final long MAX_WORK_ESTIMATE_MICROS = 600_000_000; // a larger estimate is ignored
    private static final long MICROS_PER_MILLI = 1000;
    private static final String HTTP_SCHEME = "http://";
    private static final List<String> SINGLE_VALUED = List.of(
            HeaderNames.REQUEST_ID,
            HeaderNames.REQUEST_CLASS,
            HeaderNames.TENANT,
            HeaderNames.DEADLINE_MILLIS,
            HeaderNames.WORK_ESTIMATE_MICROS,
            HeaderNames.CLIENT_RETRY,
            HeaderNames.IDEMPOTENCY_KEY);

    private InboundRequestParser() {}

    /**
     * Returns the request with this head and body.
     *
     * @param body the complete body; empty if {@code streamedBody} is not null
     * @throws IllegalArgumentException if the request is invalid; the message is sent to the client
     */
    static InboundRequest parse(HttpRequest head, byte[] body, BodyStream streamedBody, BootSettings siteSettings) {
        HttpHeaders headers = head.headers();
        requireSingleValues(headers);
        String id = headers.get(HeaderNames.REQUEST_ID, "");
        if (!isValidName(id)) {
            throw new InvalidRequestException("no or bad " + HeaderNames.REQUEST_ID);
        }
        int requestClass = siteSettings.classes().indexOf(headers.get(HeaderNames.REQUEST_CLASS, ""));
        if (requestClass < 0) {
            throw new InvalidRequestException("unknown " + HeaderNames.REQUEST_CLASS);
        }
        requireMethod(
                head, siteSettings.policySettings().classes().get(requestClass).idempotency());
        long timeLeftMillis = parseNumber(headers.get(HeaderNames.DEADLINE_MILLIS), -1);
        if (timeLeftMillis <= 0 || timeLeftMillis > MAX_DEADLINE_MILLIS) {
            throw new InvalidRequestException("no or bad " + HeaderNames.DEADLINE_MILLIS);
        }
        String uri = originForm(head.uri());
        if (!uri.startsWith("/")) {
            throw new InvalidRequestException("not a path");
        }
        int tenant = Math.max(0, siteSettings.tenants().indexOf(headers.get(HeaderNames.TENANT, "")));
        long workEstimateMicros = parseNumber(headers.get(HeaderNames.WORK_ESTIMATE_MICROS), -1);
        return new InboundRequest(
                id,
                head.method(),
                uri,
                EndToEndHeaders.copyOf(headers),
                body,
                streamedBody,
                requestClass,
                tenant,
                keyOf(uri),
                timeLeftMillis * MICROS_PER_MILLI,
                workEstimateMicros > MAX_WORK_ESTIMATE_MICROS ? -1 : workEstimateMicros,
                "1".equals(headers.get(HeaderNames.CLIENT_RETRY)));
    }

    private static void requireSingleValues(HttpHeaders headers) {
        for (String name : SINGLE_VALUED) {
            if (headers.contains(name) && headers.getAll(name).size() > 1) {
                throw new InvalidRequestException("more than one " + name);
            }
        }
    }

    private static void requireMethod(HttpRequest head, Idempotency idempotency) {
        HttpMethod method = idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        String idempotencyKey = head.headers().get(HeaderNames.IDEMPOTENCY_KEY);
        if (!head.method().equals(method)
                || (idempotencyKey != null) != (idempotency == Idempotency.IDEMPOTENT_WITH_KEY)
                || idempotencyKey != null && !isValidName(idempotencyKey)) {
            throw new InvalidRequestException(
                    "method or " + HeaderNames.IDEMPOTENCY_KEY + " contradicts the " + HeaderNames.REQUEST_CLASS);
        }
    }

    // HTTP servers have to accept the absolute form of a request target; an upstream gets only the path and the query.
    private static String originForm(String target) {
        if (!target.regionMatches(true, 0, HTTP_SCHEME, 0, HTTP_SCHEME.length())) {
            return target;
        }
        int path = target.indexOf('/', HTTP_SCHEME.length());
        return path < 0 ? "/" : target.substring(path);
    }

    // The key of a request is the last segment of its path.
    private static String keyOf(String uri) {
        String path = uri.split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        return key.isEmpty() ? null : key;
    }

    private static boolean isValidName(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_NAME_CHARS
                && text.chars().allMatch(character -> character > ' ' && character < 127);
    }

    private static long parseNumber(String text, long defaultValue) {
        String digits = text == null ? "" : text.strip();
        boolean decimal = !digits.isEmpty()
                && digits.length() <= MAX_NUMBER_DIGITS
                && digits.chars().allMatch(character -> character >= '0' && character <= '9');
        return decimal ? Long.parseLong(digits) : defaultValue;
    }
}
