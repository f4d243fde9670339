package loadbalancer.operator;

import java.util.regex.Pattern;

/** The syntax of HTTP tokens, such as methods and header names (RFC 9110, section 5.6.2). */
final class HttpToken {
    private static final Pattern FORM = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private HttpToken() {}

    static boolean isToken(String text) {
        return FORM.matcher(text).matches();
    }
}
