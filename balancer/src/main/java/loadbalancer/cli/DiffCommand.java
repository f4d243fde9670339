package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.operator.ConfigDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Says what would change in service where one operator file takes the place of another. */
@Command(
        name = "diff",
        description = "Says in words what will change in service; exit 1 where anything does.",
        mixinStandardHelpOptions = true)
final class DiffCommand extends OperatorFileCommand {
    @Parameters(index = "0", paramLabel = "OLD")
    private Path former;

    @Parameters(index = "1", paramLabel = "NEW")
    private Path next;

    @Override
    public Integer call() throws IOException {
        List<String> changes = ConfigDiff.between(read(former), read(next));
        changes.forEach(out()::println);
        if (changes.isEmpty()) {
            out().println("nothing changes in service");
        }
        return changes.isEmpty() ? EXIT_OK : EXIT_NEGATIVE;
    }
}
