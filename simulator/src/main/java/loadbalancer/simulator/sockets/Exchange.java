package loadbalancer.simulator.sockets;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * What a client saw of one request on a connection of its own.
 *
 * @param status of the answer, where its head and body came whole; else 0
 * @param end how the connection ended for the client: {@code answer}, {@code closed}, {@code reset}, {@code partial}
 *     (ended within an answer), {@code garbled} (no answer that can be read), {@code silent} (nothing came in time),
 *     {@code unreachable}
 * @param extra bytes that came behind the answer
 */
public record Exchange(int status, String end, int extra, long micros) {
    /** Sends a request as it stands, and reads until the answer is whole, the connection ends or time is over. */
    public static Exchange of(InetSocketAddress to, String request, int waitMillis) {
        long began = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(to, waitMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMillis);
            try {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                return read(socket, began, "reset"); // what was said before is read all the same
            }
            return read(socket, began, "closed");
        } catch (IOException e) {
            return new Exchange(0, "unreachable", 0, since(began));
        }
    }

    private static Exchange read(Socket socket, long began, String otherwise) {
        boolean some = false;
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            in.mark(1);
            if (in.read() < 0) {
                return new Exchange(0, otherwise, 0, since(began));
            }
            some = true;
            in.reset();
            String head = StandInEndpoint.head(in);
            if (head == null) {
                return new Exchange(0, "partial", 0, since(began));
            }
            String length = StandInEndpoint.header(head, "content-length");
            if (!head.matches("(?s)HTTP/1\\.1 \\d{3} .*") || length != null && !length.matches("\\d{1,9}")) {
                return new Exchange(0, "garbled", 0, since(began));
            }
            int wanted = length == null ? 0 : Integer.parseInt(length);
            if (in.readNBytes(wanted).length < wanted) {
                return new Exchange(0, "partial", 0, since(began));
            }
            long micros = since(began);
            int extra = in.available();
            return new Exchange(Integer.parseInt(head.split(" ")[1]), "answer", extra, micros);
        } catch (SocketTimeoutException e) {
            return new Exchange(0, some ? "partial" : "silent", 0, since(began));
        } catch (IOException e) {
            return new Exchange(0, some ? "partial" : "reset", 0, since(began));
        }
    }

    private static long since(long began) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - began);
    }
}
