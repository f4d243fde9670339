package loadbalancer.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * A path with parameters, such as {@code /api/{key}/seats} or {@code /static/**}. A parameter in braces matches one
 * segment that is not empty; {@code **} at the end matches any number of further segments, also none. Segments are
 * compared as they were sent, in the same case; an encoded slash does not separate segments (RFC 3986, section 2.2).
 * Immutable.
 *
 * @param trailingWildcard whether the template ends with {@code **}
 */
public record PathTemplate(List<Segment> segments, boolean trailingWildcard) {
    /** One segment; {@code text} is the literal, or the name of the parameter. */
    public record Segment(String text, boolean parameter) {}

    private static final String WILDCARD = "**";
    private static final int MAX_SEGMENTS = 64;
    private static final int MAX_DOT_SEGMENT_LENGTH = "%2e%2e".length();

    /** Makes a defensive copy of the segments. */
    public PathTemplate {
        segments = List.copyOf(segments);
    }

    /**
     * Parses a template.
     *
     * @throws IllegalArgumentException if the template is malformed; the message is meant for operators
     */
    public static PathTemplate of(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("path '" + text + "' must begin with '/'");
        }
        List<Segment> segments = new ArrayList<>();
        boolean trailingWildcard = false;
        String[] parts = text.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            if (!parts[i].equals(WILDCARD)) {
                segments.add(segment(text, parts[i]));
            } else if (i < parts.length - 1) {
                throw new IllegalArgumentException("path '" + text + "': '**' may only stand at the end");
            } else {
                trailingWildcard = true;
            }
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new IllegalArgumentException(
                    "path '" + text + "' has " + segments.size() + " segments, " + MAX_SEGMENTS + " are allowed");
        }
        return new PathTemplate(segments, trailingWildcard);
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
     * Returns the segments of a request's path without its query. Returns null for a path that servers may interpret
     * differently: one that doesn't begin with a slash, or contains a segment {@code .} or {@code ..}, encoded or not.
     * RFC 3986, section 5.2.4, removes such segments, and the path without them might belong to another route.
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
            if (isDotSegment(segment)) {
                return null;
            }
        }
        return segments;
    }

    private static boolean isDotSegment(String segment) {
        if (segment.isEmpty() || segment.length() > MAX_DOT_SEGMENT_LENGTH) {
            return false;
        }
        String decoded = segment.replace("%2e", ".").replace("%2E", ".");
        return decoded.equals(".") || decoded.equals("..");
    }

    /** Whether the segments of a request's path match this template; {@link RouteTable} must give the same result. */
    public boolean matches(String[] path) {
        if (trailingWildcard ? path.length < segments.size() : path.length != segments.size()) {
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
        return out.append(trailingWildcard ? "/**" : "").toString();
    }
}
