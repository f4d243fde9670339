package loadbalancer.cli;

import java.io.PrintWriter;
import loadbalancer.toml.ConfigException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** All commands beside {@code serve} and {@code wirehost}, which start without any of this. */
@Command(
        name = "load-balancer",
        mixinStandardHelpOptions = true,
        version = "load-balancer 0.1.0",
        description = "A balancer, and the tools for its operator file.",
        footer = {
            "",
            "serve and wirehost take no options: they go by $ROUTER_CONFIG and its companions.",
            "Exit codes: 0 as asked, 1 a request that is refused or files that differ, 2 unusable input."
        },
        subcommands = {CheckCommand.class, ExplainCommand.class, DiffCommand.class, RoutesCommand.class})
public final class Commands {
    private static final int EXIT_UNUSABLE_INPUT = 2;

    private Commands() {}

    /** Runs a command line on the standard streams; returns the code to exit with. */
    public static int run(String... arguments) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), arguments);
    }

    static int run(PrintWriter out, PrintWriter err, String... arguments) {
        if (arguments.length == 0) {
            new CommandLine(new Commands()).usage(err);
            return EXIT_UNUSABLE_INPUT;
        }
        return new CommandLine(new Commands())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler(
                        (exception, commandLine, parsed) -> report(exception, commandLine.getErr()))
                .execute(arguments);
    }

    private static int report(Exception exception, PrintWriter err) {
        if (exception instanceof ConfigException faults) {
            faults.lines().forEach(err::println);
        } else {
            err.println(exception.getMessage());
        }
        return EXIT_UNUSABLE_INPUT;
    }
}
