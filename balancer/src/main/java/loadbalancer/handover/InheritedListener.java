package loadbalancer.handover;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/** The clients' listening socket where the platform holds it and hands it to each process. */
public final class InheritedListener {
    private static final String VARIABLE = "ROUTER_INHERITED_FD";

    private InheritedListener() {}

    /**
     * The socket that this process was started with; null where the environment names none. It is not to be
     * closed before the process ends: the JDK's channel redirects standard error then.
     *
     * @throws IOException where the environment names one that isn't there
     */
    public static ServerSocketChannel find(Map<String, String> environment) throws IOException {
        String named = environment.get(VARIABLE);
        if (named == null || named.isBlank()) {
            return null;
        }
        if (!named.strip().equals("0")) {
            throw new IOException(VARIABLE + " names descriptor " + named.strip() + ", only 0 can be taken");
        }
        Channel inherited = System.inheritedChannel();
        if (inherited instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException(VARIABLE + " is set, but descriptor 0 is no listening socket");
    }
}
