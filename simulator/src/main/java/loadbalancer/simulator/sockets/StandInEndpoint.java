package loadbalancer.simulator.sockets;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * A stand-in upstream with a ledger: runs each request whose last byte has come, once for each time it comes, and ends
 * the connection behind its answer. A request that breaks off never runs.
 */
public final class StandInEndpoint implements Closeable {
    private static final int BACKLOG = 512;

    private final ServerSocket listener;
    private final Function<String, byte[]> answers;
    private final Map<String, Integer> ran = new ConcurrentHashMap<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** {@code answers}: the bytes of an answer to a request's head, whole with their own head. */
    public StandInEndpoint(Function<String, byte[]> answers) throws IOException {
        this.answers = answers;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                open.add(socket);
                daemon(() -> serve(socket));
            }
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        Thread.currentThread().interrupt(); // its socket has ended, and so does it
                    }
                },
                "box");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = head(in);
            if (head == null) {
                return;
            }
            String length = header(head, "content-length");
            int wanted = length == null ? 0 : Integer.parseInt(length);
            if (in.readNBytes(wanted).length < wanted) {
                return; // broken off: it never runs
            }
            ran.merge(String.valueOf(header(head, "req-id")), 1, Integer::sum);
            socket.getOutputStream().write(answers.apply(head));
            socket.shutdownOutput();
            in.readAllBytes(); // closed with bytes unread it would be a reset
        } finally {
            open.remove(socket);
        }
    }

    static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.toString();
    }

    static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return null;
    }

    /** An answer of 200 with that body, behind which the connection ends. */
    public static byte[] ok(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\nConnection: close\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** How often the request by that id has run. */
    public int ran(String id) {
        return ran.getOrDefault(id, 0);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
