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

/**
 * Entry point of the program: runs a balancer, serves the simulator's wire protocol on standard input and output, or
 * runs a command-line tool.
 */
public final class Main {
    private static final String SERVE = "serve";
    private static final String WIRE_HOST = "wirehost";
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int EXIT_WIRE_ERROR = 1;

    private Main() {}

    /**
     * Runs the command that the arguments name. {@code serve} and {@code wirehost}, which a platform starts, are
     * matched here, so that their start does not load the option parser of the command-line tools.
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case SERVE -> {
                System.exit(ServeCommand.run(System.getenv()));
            }
            case WIRE_HOST -> {
                runWireHost();
            }
            default -> {
                System.exit(Commands.run(args));
            }
        }
    }

    private static void runWireHost() {
        try (BufferedReader in = new BufferedReader(
                        new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8),
                        BUFFER_BYTES);
                OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES)) {
            new SimulatorWireAdapter(JsqDasPolicy::new, in, out).run();
        } catch (WireException | IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
            System.exit(EXIT_WIRE_ERROR);
        }
    }
}
