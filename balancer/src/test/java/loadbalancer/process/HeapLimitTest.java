package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Peers make a balancer with the heap of the run line hold as much as they can: with as many connections as it accepts,
 * it neither ends for lack of memory nor stops serving.
 */
@Timeout(120)
class HeapLimitTest {
    /** Each needs a turn of the event loop at least, in which it reads a part of what the crowd has sent. */
    private static final int READINESS_CHECKS = 30;

    /** Half of the limits that a process has at the most. */
    private static final int HALVED_DESCRIPTORS = 512;

    private static final long HALVED_MEMORY_BYTES = 96_000_000;
    private static final int FLOODED_REQUESTS = 1_500;

    private static final String SHORT_LINES = "X: 1\r\n".repeat(90);

    /** What a client of the crowd sends, by its number. */
    private enum Flood {
        /** Heads of as many short lines as are accepted, without their end. */
        INCOMPLETE_HEADS {
            @Override
            String bytes(int client) {
                return "GET /api/k HTTP/1.1\r\n" + SHORT_LINES;
            }
        },
        /** Heads of more lines than are accepted. */
        OVERLONG_HEADS {
            @Override
            String bytes(int client) {
                return "GET /api/k HTTP/1.1\r\n" + "X: 1\r\n".repeat(1_300);
            }
        },
        /** As many requests as may wait behind one another, each with a large head. */
        PIPELINED_HEADS {
            @Override
            String bytes(int client) {
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < 16; i++) {
                    requests.append(request("GET", "read", client * 100 + i, SHORT_LINES));
                }
                return requests.toString();
            }
        },
        /** Trailers of many short lines, without their end. */
        INCOMPLETE_TRAILERS {
            @Override
            String bytes(int client) {
                String chunked = "Transfer-Encoding: chunked\r\n";
                return request("POST", "book", client, chunked) + "1\r\nx\r\n0\r\n" + SHORT_LINES;
            }
        },
        /** Large bodies in chunks of one byte, which wait behind a request that is not answered. */
        SMALL_CHUNKS {
            @Override
            String bytes(int client) {
                String chunked = "Transfer-Encoding: chunked\r\n";
                return request("GET", "read", client, "")
                        + request("POST", "book", client + 10_000, chunked)
                        + "1\r\nx\r\n".repeat(90_000);
            }
        },
        /** Requests whose responses are large and begin with many short header lines, and do not end. */
        INCOMPLETE_RESPONSES {
            @Override
            String bytes(int client) {
                return request("GET", "read", client, "");
            }
        };

        abstract String bytes(int client);

        static String request(String method, String requestClass, int id, String headers) {
            return method + " /api/k" + id + " HTTP/1.1\r\nHost: x\r\nReq-Id: f" + id + "\r\nReq-Kind: " + requestClass
                    + "\r\nReq-Deadline-Ms: 2000\r\n" + headers + "\r\n";
        }
    }

    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "INCOMPLETE_HEADS, 1024, 1024",
        "OVERLONG_HEADS, 1024, 1024",
        "PIPELINED_HEADS, 1024, 1024",
        "INCOMPLETE_TRAILERS, 1024, 1024",
        "SMALL_CHUNKS, 1024, 60",
        "INCOMPLETE_RESPONSES, 1024, 1024",
        "OVERLONG_HEADS, 512, 512",
        "INCOMPLETE_RESPONSES, 512, 512",
    })
    void aFloodDoesNotEndTheProcess(Flood flood, int maxDescriptors, int clients)
            throws IOException, InterruptedException {
        try (ServerSocket upstream = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
                FakeUpstream discovery = new FakeUpstream();
                ChildBalancer balancer = new ChildBalancer(discovery, "127.0.0.1:" + upstream.getLocalPort())) {
            startHangingUpstream(upstream);
            balancer.start(maxDescriptors, "ask", ChildBalancer.runLineOptions());
            for (int i = 0; i < clients; i++) {
                flood(balancer, flood.bytes(i));
            }
            assertServes(balancer);
        }
    }

    /**
     * Guards against a process that is ended for its memory: what it has resident is more than its heap, and the limits
     * of a process may be halved.
     */
    @Test
    void floodsOfAllKindsStayUnderTheHalvedMemoryLimit() throws IOException, InterruptedException {
        try (ServerSocket upstream = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
                FakeUpstream discovery = new FakeUpstream();
                ChildBalancer balancer = new ChildBalancer(discovery, "127.0.0.1:" + upstream.getLocalPort())) {
            startHangingUpstream(upstream);
            balancer.start(HALVED_DESCRIPTORS, "ask", ChildBalancer.runLineOptions());
            for (int i = 0; i < FLOODED_REQUESTS; i++) {
                Flood flood = Flood.values()[i % Flood.values().length];
                flood(balancer, flood.bytes(i));
            }
            assertServes(balancer);
            long peakBytes = balancer.peakResidentBytes();
            assertTrue(peakBytes <= HALVED_MEMORY_BYTES, "resident: " + peakBytes);
        }
    }

    private static void assertServes(ChildBalancer balancer) throws IOException {
        for (int i = 0; i < READINESS_CHECKS; i++) {
            try (BalancerFixture.Client client = new BalancerFixture.Client(balancer.listenAddress())) {
                String response =
                        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readResponse();
                assertTrue(response != null && response.startsWith("HTTP/1.1 "), response);
            }
        }
        assertTrue(balancer.isAlive(), "the process has ended");
    }

    /** Sends without waiting for the balancer to read; a connection that it refuses or closes is no fault. */
    private void flood(ChildBalancer balancer, String bytes) {
        try {
            Socket socket = new Socket(
                    balancer.listenAddress().getAddress(),
                    balancer.listenAddress().getPort());
            sockets.add(socket);
            Thread writer = new Thread(() -> {
                try {
                    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                } catch (IOException e) {
                    Thread.currentThread().interrupt(); // closed by either side
                }
            });
            writer.setDaemon(true);
            writer.start();
        } catch (IOException e) {
            assertTrue(balancer.isAlive(), "the process has ended");
        }
    }

    /** Reads only heads, and answers with a large part of a response; then it reads no more. */
    private void startHangingUpstream(ServerSocket upstream) {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = upstream.accept();
                    sockets.add(socket);
                    Thread connection = new Thread(() -> answerInPart(socket));
                    connection.setDaemon(true);
                    connection.start();
                }
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the test has ended
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private static void answerInPart(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            String head = FakeUpstream.readHead(in);
            if (head != null && head.startsWith("GET")) {
                String response = "HTTP/1.1 200 OK\r\n" + SHORT_LINES + "Content-Length: 65000\r\n\r\n";
                socket.getOutputStream().write((response + "x".repeat(64_000)).getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            Thread.currentThread().interrupt(); // the balancer has closed the connection
        }
    }
}
