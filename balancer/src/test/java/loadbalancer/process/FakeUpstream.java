package loadbalancer.process;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server for tests: queues each request that it receives, and the test writes the response. Health checks are
 * answered at once and not queued, unless a test takes them.
 */
public final class FakeUpstream implements Closeable {
    /** A request as it was received, and the connection to respond on. */
    public record ReceivedRequest(String head, byte[] body, Socket socket, int connectionNumber) {
        public String requestLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        public String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return null;
        }

        public void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        public void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        public void respond(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            write(out.toByteArray());
        }

        public void respond(int status, String headers, String body) throws IOException {
            respond(status, headers, body.getBytes(StandardCharsets.UTF_8));
        }

        /** Ends the connection with a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits for the other side to close the connection; returns false if it does not. */
        public boolean awaitClosedByPeer() {
            try {
                socket.setSoTimeout(20_000);
                return socket.getInputStream().read() < 0;
            } catch (IOException e) {
                return !(e instanceof java.net.SocketTimeoutException);
            }
        }
    }

    private final ServerSocket server;
    private final BlockingQueue<ReceivedRequest> requests = new LinkedBlockingQueue<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger healthChecks = new AtomicInteger();
    /** Whether health checks are queued like other requests. */
    public volatile boolean queuesHealthChecks;

    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private final Thread acceptor;

    public FakeUpstream() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptor = run(() -> {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                int connectionNumber = connections.incrementAndGet();
                run(() -> read(socket, connectionNumber));
            }
        });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private Thread run(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the socket is closed, so its thread ends
            }
        });
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
        return thread;
    }

    private void read(Socket socket, int connectionNumber) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            String head = readHead(in);
            if (head == null) {
                return;
            }
            ReceivedRequest received = new ReceivedRequest(head, new byte[0], socket, connectionNumber);
            String length = received.header("Content-Length");
            byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            ReceivedRequest complete = new ReceivedRequest(head, body, socket, connectionNumber);
            if (isHealthCheck(complete) && !queuesHealthChecks) {
                healthChecks.incrementAndGet();
                complete.respond(complete.requestLine().contains("healthy") ? 200 : 404, "", "health");
                continue;
            }
            requests.add(complete);
            if (head.contains("watch=1")) {
                return; // the test reads the rest of a watch itself
            }
        }
    }

    private static boolean isHealthCheck(ReceivedRequest request) {
        return request.requestLine().startsWith("GET /-/healthy ")
                || request.requestLine().startsWith("GET /-/none ");
    }

    /** Reads up to the empty line after the headers; returns null at the end of the stream. */
    public static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.toString();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public int connectionCount() {
        return connections.get();
    }

    /** Returns how many health checks have been answered. */
    public int healthCheckCount() {
        return healthChecks.get();
    }

    /** Waits for the next request; fails if none comes. */
    public ReceivedRequest nextRequest() throws InterruptedException {
        ReceivedRequest received = requests.poll(20, TimeUnit.SECONDS);
        if (received == null) {
            throw new AssertionError("no request came");
        }
        return received;
    }

    public boolean isEmpty() {
        return requests.isEmpty();
    }

    /**
     * Closes the server. Waits for the accepting thread, as the kernel goes on accepting connections while a thread is
     * in accept(); connections are refused once this returns.
     */
    @Override
    public void close() throws IOException {
        server.close();
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
