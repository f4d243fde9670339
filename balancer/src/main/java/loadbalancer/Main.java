package loadbalancer;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import loadbalancer.cli.Commands;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.process.ServeCommand;
import loadbalancer.wire.SimulatorWireAdapter;
import loadbalancer.wire.WireException;

/** The program's entry: a balancer, the simulator's wire on standard input and output, or a tool. */
public final class Main {
    private static final String SERVE = "serve";
    private static final String WIRE_HOST = "wirehost";
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int EXIT_WIRE_FAILED = 1;

    private Main() {}

    /**
     * Runs the command that the arguments name. The two that a platform starts are told apart here, so that a start
     * does not load the tools' option parser.
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case SERVE -> {
                System.exit(ServeCommand.run(System.getenv()));
            }
            case WIRE_HOST -> {
                hostOnWire();
            }
            default -> {
                System.exit(Commands.run(args));
            }
        }
    }

    private static void hostOnWire() {
        try (BufferedReader in = new BufferedReader(
                        new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8),
                        BUFFER_BYTES);
                OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES)) {
            new SimulatorWireAdapter(JsqDasPolicy::new, in, out).run();
        } catch (WireException | IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
            System.exit(EXIT_WIRE_FAILED);
        }
    }
}
