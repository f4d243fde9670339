package loadbalancer.handover;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/** Finds the clients' listening socket if the platform holds it open and passes it to each process. Stateless. */
public final class InheritedListener {
    private static final String DESCRIPTOR_VARIABLE = "ROUTER_INHERITED_FD";
    /** The only descriptor that the JDK can return as an inherited channel. */
    private static final String STANDARD_INPUT = "0";

    private InheritedListener() {}

    /**
     * Returns the listening socket that this process was started with; null if the environment names none. It must not
     * be closed before the process ends, because closing the JDK's inherited channel redirects standard error.
     *
     * @throws IOException if the environment names a descriptor that is not a listening socket
     */
    public static ServerSocketChannel find(Map<String, String> environment) throws IOException {
        String variable = environment.get(DESCRIPTOR_VARIABLE);
        if (variable == null || variable.isBlank()) {
            return null;
        }
        String descriptor = variable.strip();
        if (!descriptor.equals(STANDARD_INPUT)) {
            throw new IOException(DESCRIPTOR_VARIABLE + " is " + descriptor
                    + ": expected 0, the only descriptor that can be inherited");
        }
        Channel inherited = System.inheritedChannel();
        if (inherited instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException(DESCRIPTOR_VARIABLE + " is set, but descriptor 0 is not a listening socket");
    }
}
