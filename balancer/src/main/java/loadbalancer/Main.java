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

/** Starts a real balancer, the adapter on standard input and output, or a tool. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(ServeCommand.run(System.getenv()));
        }
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.exit(Commands.run(args));
        }
        try (BufferedReader in = new BufferedReader(
                        new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8),
                        1 << 16);
                OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new SimulatorWireAdapter(JsqDasPolicy::new, in, out).run();
        } catch (WireException | IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
            System.exit(1);
        }
    }
}
