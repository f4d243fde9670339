package loadbalancer.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * A path with parameters: {@code /api/{key}/seats} or {@code /static/**}. A parameter in braces stands for one segment
 * that is not empty, {@code **} at the end for any rest, also none. Segments are compared as they were sent: an encoded
 * slash is no slash (RFC 3986, section 2.2), and case counts. Immutable.
 *
 * @param rest whether any further segments may follow
 */
public record PathTemplate(List<Segment> segments, boolean rest) {
    /** One part between slashes; {@code text} is the literal, or the name of a parameter. */
    public record Segment(String text, boolean parameter) {}

    private static final String REST = "**";
    private static final int MAX_SEGMENTS = 64;
    private static final int MAX_ENCODED_DOTS = "%2e%2e".length();

    /** Copies the segments. */
    public PathTemplate {
        segments = List.copyOf(segments);
    }

    /**
     * Reads a template.
     *
     * @throws IllegalArgumentException that says what is wrong, for operators
     */
    public static PathTemplate of(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("path '" + text + "' must begin with '/'");
        }
        List<Segment> segments = new ArrayList<>();
        boolean rest = false;
        String[] parts = text.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            if (!parts[i].equals(REST)) {
                segments.add(segment(text, parts[i]));
            } else if (i < parts.length - 1) {
                throw new IllegalArgumentException("path '" + text + "': '**' may only stand at the end");
            } else {
                rest = true;
            }
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new IllegalArgumentException(
                    "path '" + text + "' has " + segments.size() + " segments, " + MAX_SEGMENTS + " at most");
        }
        return new PathTemplate(segments, rest);
    }

    private static Segment segment(String path, String part) {
        if (part.startsWith("{") && part.endsWith("}") && part.length() > 2) {
            return new Segment(part.substring(1, part.length() - 1), true);
        }
        if (part.indexOf('{') >= 0 || part.indexOf('}') >= 0 || part.indexOf('*') >= 0) {
            throw new IllegalArgumentException(
                    "path '" + path + "': '" + part + "' is neither a literal, nor '{name}', nor '**'");
        }
        if (part.equals(".") || part.equals("..")) {
            throw new IllegalArgumentException("path '" + path + "': no request with '" + part + "' is routed");
        }
        return new Segment(part, false);
    }

    /**
     * The segments of a request's path, without its query; null for a path that servers may read differently: one that
     * doesn't begin with a slash, or holds a segment {@code .} or {@code ..}, encoded or not (RFC 3986, section 5.2.4
     * removes it, and the path without it might be another route's).
     */
    public static String[] split(String path) {
        int end = path.length();
        for (int i = 0; i < end; i++) {
            char character = path.charAt(i);
            if (character == '?' || character == '#') {
                end = i;
            }
        }
        if (end == 0 || path.charAt(0) != '/') {
            return null;
        }
        String[] segments = path.substring(1, end).split("/", -1);
        for (String segment : segments) {
            if (isDots(segment)) {
                return null;
            }
        }
        return segments;
    }

    private static boolean isDots(String segment) {
        if (segment.isEmpty() || segment.length() > MAX_ENCODED_DOTS) {
            return false;
        }
        String decoded = segment.replace("%2e", ".").replace("%2E", ".");
        return decoded.equals(".") || decoded.equals("..");
    }

    /** Whether the segments of a request match: the definition, which {@link RouteTable} must agree with. */
    public boolean matches(String[] path) {
        if (rest ? path.length < segments.size() : path.length != segments.size()) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            if (segment.parameter ? path[i].isEmpty() : !segment.text.equals(path[i])) {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (Segment segment : segments) {
            out.append('/').append(segment.parameter ? "{" + segment.text + "}" : segment.text);
        }
        return out.append(rest ? "/**" : "").toString();
    }
}
