package loadbalancer.cli;

import java.io.PrintWriter;
import loadbalancer.toml.ConfigException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** All commands except {@code serve} and {@code wirehost}, which start without this class and picocli. */
@Command(
        name = "load-balancer",
        mixinStandardHelpOptions = true,
        version = "load-balancer 0.1.0",
        description = "A load balancer and the tools for its operator file.",
        footer = {
            "",
            "serve and wirehost take no options: $ROUTER_CONFIG and the other ROUTER_ variables configure them.",
            "Exit codes: 0 success, 1 the request is rejected or the files differ, 2 invalid input."
        },
        subcommands = {CheckCommand.class, ExplainCommand.class, DiffCommand.class, RoutesCommand.class})
public final class Commands {
    private static final int EXIT_INVALID_INPUT = 2;

    private Commands() {}

    /** Runs a command line on the standard streams and returns the exit code. */
    public static int run(String... arguments) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), arguments);
    }

    static int run(PrintWriter out, PrintWriter err, String... arguments) {
        if (arguments.length == 0) {
            new CommandLine(new Commands()).usage(err);
            return EXIT_INVALID_INPUT;
        }
        return new CommandLine(new Commands())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler(
                        (exception, commandLine, parsed) -> report(exception, commandLine.getErr()))
                .execute(arguments);
    }

    private static int report(Exception exception, PrintWriter err) {
        if (exception instanceof ConfigException configException) {
            configException.lines().forEach(err::println);
        } else {
            err.println(exception.getMessage());
        }
        return EXIT_INVALID_INPUT;
    }
}
