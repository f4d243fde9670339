package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A listener whose backlog is full, so that further connections are established only once the test accepts some. */
final class FullListener implements Closeable {
    private static final int MAX_FILLERS = 50;

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

    FullListener() throws IOException {
        while (fill()) {
            assertTrue(fillers.size() < MAX_FILLERS, "the backlog never fills");
        }
    }

    private boolean fill() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()), 300);
            fillers.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Accepts all connections from now on, and returns when those that filled the backlog have been accepted. */
    void acceptAll() throws InterruptedException {
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(listener.accept());
                }
            } catch (IOException e) {
                Thread.currentThread().interrupt();
            }
        });
        accepting.start();
        for (int i = 0; i < fillers.size(); i++) {
            nextAccepted();
        }
    }

    /** Waits for the next connection. */
    Socket nextAccepted() throws InterruptedException {
        Socket socket = accepted.poll(20, TimeUnit.SECONDS);
        assertTrue(socket != null, "no connection came");
        return socket;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
