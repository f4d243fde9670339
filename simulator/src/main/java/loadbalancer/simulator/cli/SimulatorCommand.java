package loadbalancer.simulator.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** The simulator's command line. Exit codes: 0 all expectations hold, 1 one doesn't, 2 unusable input. */
@Command(
        name = "simulator",
        mixinStandardHelpOptions = true,
        version = "load-balancer simulator 0.1.0",
        subcommands = {
            DemoCommand.class,
            MatrixCommand.class,
            FaultInjectionCommand.class,
            FleetCommand.class,
            RunCommand.class,
            CompareCommand.class,
            QueueCommand.class,
            RandomSearchCommand.class,
            TheoryCommand.class,
            ScaleCommand.class,
            ReportCommand.class,
            ListCommand.class
        },
        description = "Emulates the whole service in simulated time, and compares what a change does.")
public final class SimulatorCommand {
    @Option(names = "--log-json", scope = ScopeType.INHERIT, description = "Log lines as JSON.")
    private boolean jsonLog;

    private SimulatorCommand() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        SimulatorCommand lab = new SimulatorCommand();
        CommandLine line = new CommandLine(lab);
        line.setExecutionStrategy(parsed -> {
            SimulatorLog.form(lab.jsonLog);
            return new CommandLine.RunLast().execute(parsed);
        });
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof IllegalArgumentException || e instanceof java.io.IOException) {
                command.getErr().println("simulator: " + e.getMessage());
                return 2;
            }
            throw e;
        });
        return line.execute(args);
    }
}
