package loadbalancer.handover;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/** The clients' listening socket where the platform holds it and hands it to each process. Stateless. */
public final class InheritedListener {
    private static final String DESCRIPTOR_VARIABLE = "ROUTER_INHERITED_FD";
    /** The one that the JDK can make a channel of. */
    private static final String STANDARD_INPUT = "0";

    private InheritedListener() {}

    /**
     * Returns the socket that this process was started with; null where the environment names none. It is not to be
     * closed before the process ends: the JDK's channel redirects standard error then.
     *
     * @throws IOException where the environment names one that is not there
     */
    public static ServerSocketChannel find(Map<String, String> environment) throws IOException {
        String variable = environment.get(DESCRIPTOR_VARIABLE);
        if (variable == null || variable.isBlank()) {
            return null;
        }
        String descriptor = variable.strip();
        if (!descriptor.equals(STANDARD_INPUT)) {
            throw new IOException(DESCRIPTOR_VARIABLE + " names descriptor " + descriptor + ", only 0 can be taken");
        }
        Channel inherited = System.inheritedChannel();
        if (inherited instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException(DESCRIPTOR_VARIABLE + " is set, but descriptor 0 is no listening socket");
    }
}
