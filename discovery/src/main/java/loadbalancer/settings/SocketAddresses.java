package loadbalancer.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses the socket addresses of configurations and endpoint lists. Stateless; safe for use by any thread. */
public final class SocketAddresses {
    private static final String PORT_FORM = "\\d{1,5}";
    private static final int MAX_PORT = 65_535;
    private static final String IP_LITERAL_FORM = "[0-9.]+|\\[?[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]?";

    private SocketAddresses() {}

    /**
     * Parses {@code address:port}, where the address is an IPv4 or IPv6 literal.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon <= 0 || !port.matches(PORT_FORM) || Integer.parseInt(port) > MAX_PORT) {
            throw new IllegalArgumentException("not address:port: '" + text + "'");
        }
        return parseLiteral(text.substring(0, colon), Integer.parseInt(port));
    }

    // Host names are rejected: the site has no DNS, and a look-up would block the start.
    private static InetSocketAddress parseLiteral(String host, int port) {
        if (!host.matches(IP_LITERAL_FORM)) {
            throw new IllegalArgumentException("not an IP address: '" + host + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an IP address: '" + host + "'");
        }
    }
}
