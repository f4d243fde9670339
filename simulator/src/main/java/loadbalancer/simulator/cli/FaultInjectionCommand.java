package loadbalancer.simulator.cli;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.simulator.faultinjection.StreamFault;
import loadbalancer.simulator.sockets.FaultInjectionServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Stands between two sockets and does what a script says, until it is ended. */
@Command(
        name = "wreck",
        mixinStandardHelpOptions = true,
        description =
                "Stands between clients and a server on" + " loopback and breaks their connections as a script says.",
        footer = {
            "",
            "A script has lines such as:",
            "  on 2 up half-close at body-first+3     # connection 2, towards the server, before the 4th"
                    + " byte of its body",
            "  on * down cut at 37                    # all, towards the client, before byte 37 of the stream",
            "  on 3- down garble 0.01 seed 7",
            "  on 4 refuse",
            "Faults: cut half-close reset silence pause twice garble pieces"
                    + " delay rate refuse mute. Points: head head-last body-first body-last end, of message #n.",
            "",
            "The control port takes lines: a fault (added, for connections accepted from then on),"
                    + " clear, resume, trace, end."
        })
final class FaultInjectionCommand implements Callable<Integer> {
    @Option(names = "--target", required = true, paramLabel = "PORT", description = "the server's port on loopback")
    private int target;

    @Option(names = "--port", defaultValue = "0", description = "where to listen; 0: any free one")
    private int port;

    @Option(names = "--control", defaultValue = "0", description = "the control port; 0: any free one")
    private int control;

    @Option(names = "--script", paramLabel = "FILE")
    private Path script;

    private final List<StreamFault> faults = new ArrayList<>();
    private boolean over;

    @Override
    public Integer call() throws IOException {
        if (script != null) {
            faults.addAll(StreamFault.script(script.getFileName().toString(), Files.readString(script)));
        }
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        FaultInjectionServer server = new FaultInjectionServer(
                group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), target), faults);
        try (ServerSocket calls = new ServerSocket(control, 8, InetAddress.getLoopbackAddress())) {
            System.out.println(
                    "listening on " + server.listen(port).getPort() + ", control on " + calls.getLocalPort());
            while (!over) {
                try (Socket socket = calls.accept()) {
                    serve(socket, server);
                }
            }
        } finally {
            server.close();
            group.shutdownGracefully();
        }
        return 0;
    }

    private void serve(Socket socket, FaultInjectionServer server) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        PrintWriter out = new PrintWriter(socket.getOutputStream(), true, StandardCharsets.UTF_8);
        for (String line = in.readLine(); line != null && !over; line = in.readLine()) {
            switch (line.strip()) {
                case "" -> {}
                case "clear" -> faults.clear();
                case "resume" -> server.resume();
                case "trace" -> server.trace().forEach(out::println);
                case "end" -> over = true;
                default -> {
                    try {
                        faults.add(StreamFault.of(line.strip()));
                    } catch (IllegalArgumentException e) {
                        out.println("fault: " + e.getMessage());
                        continue;
                    }
                }
            }
            server.script(faults);
            out.println("ok");
        }
    }
}
