package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.operator.OperatorConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks an operator file and lists its errors. */
@Command(
        name = "check",
        description = "Checks an operator file and lists all its errors as FILE:LINE: MESSAGE.",
        mixinStandardHelpOptions = true)
final class CheckCommand extends OperatorFileCommand {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws IOException {
        OperatorConfig operator = read(file);
        operator.notes().forEach(out()::println);
        out().println(file.getFileName() + ": sound; " + operator.pools().size() + " pools, "
                + operator.routing().routes().size() + " routes");
        return EXIT_OK;
    }
}
