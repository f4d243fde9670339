package loadbalancer.operator;

import java.util.regex.Pattern;

/** Tokens of HTTP, of which methods and names of headers consist (RFC 9110, section 5.6.2). */
final class HttpToken {
    private static final Pattern FORM = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private HttpToken() {}

    static boolean isToken(String text) {
        return FORM.matcher(text).matches();
    }
}
