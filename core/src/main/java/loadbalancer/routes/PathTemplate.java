package loadbalancer.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * A path with places: {@code /api/{key}/seats} or {@code /static/**}. A place in braces stands for one segment that
 * is not empty, {@code **} at the end for any rest, also none. Segments are compared as they were sent: an encoded
 * slash is no slash (RFC 3986, section 2.2), and case counts.
 */
public record PathTemplate(List<Segment> segments, boolean rest) {
    /** One part between slashes; {@code text} is the literal, or the name of a place. */
    public record Segment(String text, boolean place) {}

    private static final int MOST = 64;

    public PathTemplate {
        segments = List.copyOf(segments);
    }

    /**
     * Reads a template.
     *
     * @throws IllegalArgumentException that says what is wrong, in plain words
     */
    public static PathTemplate of(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("path '" + text + "' must begin with '/'");
        }
        List<Segment> all = new ArrayList<>();
        boolean rest = false;
        String[] parts = text.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            String part = parts[i];
            if (part.equals("**")) {
                if (i < parts.length - 1) {
                    throw new IllegalArgumentException("path '" + text + "': '**' may only stand at the end");
                }
                rest = true;
            } else if (part.startsWith("{") && part.endsWith("}") && part.length() > 2) {
                all.add(new Segment(part.substring(1, part.length() - 1), true));
            } else if (part.indexOf('{') >= 0 || part.indexOf('}') >= 0 || part.indexOf('*') >= 0) {
                throw new IllegalArgumentException(
                        "path '" + text + "': '" + part + "' is neither a literal, nor '{name}', nor '**'");
            } else if (part.equals(".") || part.equals("..")) {
                throw new IllegalArgumentException("path '" + text + "': no request with '" + part + "' is routed");
            } else {
                all.add(new Segment(part, false));
            }
        }
        if (all.size() > MOST) {
            throw new IllegalArgumentException(
                    "path '" + text + "' has " + all.size() + " segments, " + MOST + " at most");
        }
        return new PathTemplate(all, rest);
    }

    /**
     * The segments of a request's path, without its query; null for a path that no two servers need read alike: one
     * that doesn't begin with a slash, or holds a segment {@code .} or {@code ..}, encoded or not (RFC 3986, section
     * 5.2.4 would remove it, and what is behind it might be another route's).
     */
    public static String[] split(String path) {
        int end = path.length();
        for (int i = 0; i < end; i++) {
            char c = path.charAt(i);
            if (c == '?' || c == '#') {
                end = i;
            }
        }
        if (end == 0 || path.charAt(0) != '/') {
            return null;
        }
        String[] segments = path.substring(1, end).split("/", -1);
        for (String s : segments) {
            if (isDots(s)) {
                return null;
            }
        }
        return segments;
    }

    private static boolean isDots(String segment) {
        if (segment.isEmpty() || segment.length() > 6) {
            return false;
        }
        String plain = segment.replace("%2e", ".").replace("%2E", ".");
        return plain.equals(".") || plain.equals("..");
    }

    /** Whether the segments of a request fit: the plain definition, which {@link RouteTable} must agree with. */
    public boolean matches(String[] path) {
        if (rest ? path.length < segments.size() : path.length != segments.size()) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            Segment s = segments.get(i);
            if (s.place ? path[i].isEmpty() : !s.text.equals(path[i])) {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (Segment s : segments) {
            out.append('/').append(s.place ? "{" + s.text + "}" : s.text);
        }
        return out.append(rest ? "/**" : "").toString();
    }
}
