package loadbalancer.simulator.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** The laboratory's command line. Exit codes: 0 all expectations hold, 1 one doesn't, 2 unusable input. */
@Command(
        name = "simulator",
        mixinStandardHelpOptions = true,
        version = "load-balancer simulator 0.1.0",
        subcommands = {
            DemoCommand.class,
            MatrixCommand.class,
            WreckCommand.class,
            FleetCommand.class,
            RunCommand.class,
            CompareCommand.class,
            QueueCommand.class,
            HuntCommand.class,
            TheoryCommand.class,
            ScaleCommand.class,
            ReportCommand.class,
            ListCommand.class
        },
        description = "Emulates the whole service in simulated time, and compares what a change does.")
public final class Lab {
    @Option(names = "--log-json", scope = ScopeType.INHERIT, description = "Log lines as JSON.")
    private boolean jsonLog;

    private Lab() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        Lab lab = new Lab();
        CommandLine line = new CommandLine(lab);
        line.setExecutionStrategy(parsed -> {
            LabLog.form(lab.jsonLog);
            return new CommandLine.RunLast().execute(parsed);
        });
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof IllegalArgumentException || e instanceof java.io.IOException) {
                command.getErr().println("lab: " + e.getMessage());
                return 2;
            }
            throw e;
        });
        return line.execute(args);
    }
}
